"""Time as an interface, and its implementation on the machine's clock."""

import time
from datetime import UTC, datetime
from typing import Protocol

import curio

from sassafraskeel.core.errors import TimedOut


class Timeout(Protocol):
    """An asynchronous context manager that raises TimedOut when its bound passes."""

    async def __aenter__(self) -> "Timeout": ...

    async def __aexit__(self, exc_type, exc, traceback) -> bool | None: ...


class Clock(Protocol):
    """Wall time, monotonic time, sleeping and time bounds."""

    def now(self) -> datetime:
        """Return the wall time in UTC; it may step in either direction."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; it never steps back."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for some seconds."""

    def timeout(self, seconds: float) -> Timeout:
        """Return a context manager that bounds its body to some seconds."""


class _CurioTimeout:
    def __init__(self, seconds: float):
        self._seconds = seconds
        self._inner = curio.timeout_after(max(seconds, 0))

    async def __aenter__(self):
        await self._inner.__aenter__()
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        try:
            handled = await self._inner.__aexit__(exc_type, exc, traceback)
        except curio.TaskTimeout as timeout:
            raise TimedOut(self._seconds) from timeout
        if self._inner.expired:
            # curio lets its own exception pass here instead of raising it.
            raise TimedOut(self._seconds) from exc
        return handled


class SystemClock:
    """The machine's clock."""

    def now(self) -> datetime:
        return datetime.now(UTC)

    def monotonic(self) -> float:
        # Unlike CLOCK_MONOTONIC it counts the time in which the machine is suspended,
        # so that what was learnt before a suspension is known to be old after it.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        await curio.sleep(max(seconds, 0))

    def timeout(self, seconds: float) -> Timeout:
        return _CurioTimeout(seconds)
