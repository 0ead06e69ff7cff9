"""Faults that emulators inject into their answers."""

from typing import NamedTuple

import curio

from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import READ_SIZE_BYTES, Stream


class AnswerFault(NamedTuple):
    """Fault of one answer; byte counts include the head of the answer.

    `cut_after` closes the connection after that many bytes. `stall_after` discards
    all later bytes of the connection without closing it. `leftover` is written after
    the answer.
    """

    cut_after: int | None = None
    stall_after: int | None = None
    leftover: bytes = b""


class Faults:
    """Faults set by a test or through `/faults`.

    Each entry of `answers` applies to one answer. `lose_answers` counts the next
    requests that are executed but not answered, and `refuse` those refused without
    execution. `slow` is a delay in seconds before each chunk of a streamed body. A
    prompt that contains `crash_marker` crashes the engine.
    """

    def __init__(self):
        self.answers: list[AnswerFault] = []
        self.lose_answers = 0
        self.refuse = 0
        self.slow = 0.0
        self.crash_marker = ""
        self.leaving = False

    def update(self, settings: dict) -> None:
        """Set faults from a decoded `/faults` request."""
        for name in ("lose_answers", "refuse", "slow", "crash_marker", "leaving"):
            setattr(self, name, settings.get(name, getattr(self, name)))
        for entry in settings.get("answers", ()):
            leftover = entry.get("leftover", "").encode()
            self.answers.append(AnswerFault(**{**entry, "leftover": leftover}))

    def next_answer(self) -> AnswerFault:
        """Return the fault of the next answer."""
        return self.answers.pop(0) if self.answers else AnswerFault()

    def consume(self, name: str) -> bool:
        """Count a fault down by one; return whether it was above zero."""
        remaining = getattr(self, name)
        setattr(self, name, max(remaining - 1, 0))
        return remaining > 0


class FaultyStream:
    """A stream that applies an AnswerFault to the bytes written."""

    def __init__(self, inner: Stream):
        self._inner = inner
        self._fault = AnswerFault()
        self._written = 0
        self.silent = False

    def set_fault(self, fault: AnswerFault) -> None:
        """Apply a fault to all bytes written from now on."""
        self._fault = fault
        self._written = 0

    async def read(self, max_bytes: int = READ_SIZE_BYTES) -> bytes:
        if self.silent:
            await curio.Event().wait()
        return await self._inner.read(max_bytes)

    async def write(self, data: bytes) -> None:
        if self.silent:
            return
        limit = self._fault.cut_after
        if limit is None:
            limit = self._fault.stall_after
        if limit is None or self._written + len(data) < limit:
            self._written += len(data)
            await self._inner.write(data)
            return
        allowed = data[: limit - self._written]
        if allowed:
            await self._inner.write(allowed)
        if self._fault.cut_after is None:
            self.silent = True
            return
        await self._inner.close()
        raise ConnectionLost("connection cut by an injected fault")

    async def finish_answer(self) -> None:
        """Write the leftover bytes of the fault, and reset the fault."""
        if self._fault.leftover:
            await self._inner.write(self._fault.leftover)
        self.set_fault(AnswerFault())

    async def end_writing(self) -> None:
        if not self.silent:
            await self._inner.end_writing()

    async def close(self) -> None:
        if not self.silent:
            await self._inner.close()
