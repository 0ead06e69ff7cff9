"""A replica that is silent for a while during each answer."""

from sassafraskeel.core.errors import ConnectionLost
from tests.support.raw_server import answer_head

STREAM_HEADERS = (b"content-type: text/event-stream", b"transfer-encoding: chunked")
EVENT_COUNT = 5


class SlowReplica:
    """Does not read its connections while it is silent.

    It begins a run at once, sends `events_before` events, is silent for some seconds,
    and sends the rest unless the connection has been closed. With `resets`, it resets
    the connection in place of the rest of its first answer. `ended_at` is when it
    stopped its last run, `runs` the number of runs.
    """

    def __init__(self, world, events_before, silent_seconds, resets=False):
        self._clock = world.clock
        self._events_before = events_before
        self._silent_seconds = silent_seconds
        self._resets = resets
        self.ended_at = None
        self.runs = 0

    async def answer(self, server, stream, request_id):
        """Answer a request to a RawServer with a stream."""
        self.runs += 1
        head = answer_head(request_id, b"200 OK", *STREAM_HEADERS)
        first = server.resumed_after + 1
        count = self._events_before
        try:
            if count:
                await stream.write(head + _chunks(first, first + count - 1))
                head = b""
            await self._clock.sleep(self._silent_seconds)
            if stream.has_ended():
                raise ConnectionLost("closed")
            if self._resets:
                self._resets = False
                await stream.reset()
                raise ConnectionLost("reset")
            await stream.write(head + _chunks(first + count, EVENT_COUNT))
            await stream.write(b"0\r\n\r\n")
        finally:
            self.ended_at = self._clock.monotonic()

    async def answer_plainly(self, server, stream, request_id):
        """Answer a request to a RawServer with a plain answer after the silence."""
        self.runs += 1
        await self._clock.sleep(self._silent_seconds)
        await stream.write(answer_head(request_id, b"200 OK", b"content-length: 2"))
        await stream.write(b"{}")


def _chunks(first, last):
    parts = []
    for number in range(first, last + 1):
        event = f"id: {number}\ndata: x\n\n".encode()
        parts.append(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    return b"".join(parts)
