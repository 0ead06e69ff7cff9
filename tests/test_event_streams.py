"""Tests of event streams that are forwarded in complete events and resumed."""

from unittest import TestCase

import curio
from hypothesis import given, strategies as st

from sassafraskeel.calls.event_streams import EventStream
from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    ProtocolError,
    Reason,
    SassafraskeelError,
    not_run_refusal,
)
from sassafraskeel.core.types import ResponseHead

HEAD = ResponseHead(200, ((b"content-type", b"text/event-stream"),))
EVENTS = [f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 6)]
WHOLE = b"".join(EVENTS)


class ScriptedAnswer:
    """An answer that returns the given chunks, then ends or raises ConnectionLost."""

    def __init__(self, chunks, fails=False):
        self.head = HEAD
        self._chunks = list(chunks)
        self._fails = fails
        self.closed = False

    async def read(self):
        if self._chunks:
            return self._chunks.pop(0)
        if self._fails:
            raise ConnectionLost("reset")
        return b""

    async def stop(self):
        self.closed = True

    async def close(self):
        self.closed = True


async def read_all(stream):
    parts = []
    while data := await stream.read():
        parts.append(data)
    return b"".join(parts)


def cut(data, positions):
    ends = sorted({min(position, len(data)) for position in positions} | {len(data)})
    starts = [0, *ends[:-1]]
    return [data[a:b] for a, b in zip(starts, ends, strict=True) if a != b]


class EventStreamTest(TestCase):
    @given(
        st.lists(st.integers(1, len(WHOLE))),
        st.lists(st.integers(0, len(WHOLE) - 1), max_size=3),
    )
    def test_breaks_anywhere(self, positions, breaks):
        """Guards against missing, doubled or joined events after breaks."""
        breaks = sorted(breaks)

        def answer(after):
            rest = b"".join(EVENTS[after:])
            if not breaks:
                return ScriptedAnswer(cut(rest, positions))
            end = max(breaks.pop() - (len(WHOLE) - len(rest)), 0)
            return ScriptedAnswer(cut(rest[:end], positions), fails=True)

        async def resume(last_id, cause):
            return answer(int(last_id or 0))

        async def main():
            return await read_all(EventStream(answer(0), SystemClock(), resume))

        self.assertEqual(curio.run(main), WHOLE)

    def test_partial_event(self):
        """Guards against an incomplete event that is forwarded."""

        async def main():
            stream = EventStream(
                ScriptedAnswer([EVENTS[0] + b"id: 2\nda"]), SystemClock(), None
            )
            got = await stream.read()
            with self.assertRaises(AnswerTruncated):
                await stream.read()
            return got

        self.assertEqual(curio.run(main), EVENTS[0])

    def test_repeated_event(self):
        """Guards against a replica that restarts the stream from its first event."""

        async def main():
            stream = EventStream(
                ScriptedAnswer([EVENTS[1], EVENTS[0]]), SystemClock(), None
            )
            await stream.read()
            with self.assertRaises(ProtocolError):
                await stream.read()

        curio.run(main)

    def test_old_replica_is_stopped_first(self):
        """Guards against two replicas that serve a stream at the same time."""
        first = ScriptedAnswer([EVENTS[0]], fails=True)
        seen = []

        async def resume(last_id, cause):
            seen.append(first.closed)
            return ScriptedAnswer(EVENTS[1:])

        async def main():
            return await read_all(EventStream(first, SystemClock(), resume))

        self.assertEqual(curio.run(main), WHOLE)
        self.assertEqual(seen, [True])

    def test_refused_resumption(self):
        """Guards against a truncated stream that ends like a complete one."""

        async def resume(last_id, cause):
            raise not_run_refusal(Reason.NO_UPSTREAM)

        async def main():
            stream = EventStream(
                ScriptedAnswer([EVENTS[0]], fails=True), SystemClock(), resume
            )
            await stream.read()
            with self.assertRaises(SassafraskeelError):
                await stream.read()

        curio.run(main)
