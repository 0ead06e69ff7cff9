"""A server that answers requests with any bytes, also with bytes without end."""

import re

import curio

from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.tasks import SupervisedTaskGroup

REQUEST_ID_PATTERN = re.compile(rb"x-sassafraskeel-request-id: (\S+)", re.IGNORECASE)
EXPECTED_PATTERN = re.compile(rb"expect-instance: (\S+)", re.IGNORECASE)
LAST_EVENT_ID_PATTERN = re.compile(rb"last-event-id: (\d+)", re.IGNORECASE)


class RawServer:
    """Reads request heads and passes each to `answer(server, stream, request_id)`.

    `resumed_after` is the id of the last event in the latest request, 0 without one,
    `path` its path, and `expected` the name of the replica that it expects.
    `written` counts the bytes of endless answers, `open` the open connections.
    """

    def __init__(self, clock, network, address, answer):
        self._clock = clock
        self._network = network
        self._address = address
        self._answer = answer
        self._tasks = SupervisedTaskGroup(lambda exc: None)
        self.listener = None
        self.resumed_after = 0
        self.path = self.expected = ""
        self.written = 0
        self.open = 0

    async def start(self):
        self.listener = await self._network.listen(self._address)
        await self._tasks.spawn(self._accept)

    @property
    def address(self):
        return self.listener.address

    async def close(self):
        await self.listener.close()
        await self._tasks.close()

    async def _accept(self):
        while True:
            stream = await self.listener.accept()
            await self._tasks.spawn(self._serve, stream)

    async def _serve(self, stream):
        self.open += 1
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    data = await stream.read()
                    if not data:
                        return
                    received += data
                head, _, received = received.partition(b"\r\n\r\n")
                match = LAST_EVENT_ID_PATTERN.search(head)
                self.resumed_after = int(match[1]) if match else 0
                self.path = head.split(b" ", 2)[1].decode()
                match = EXPECTED_PATTERN.search(head)
                self.expected = match[1].decode() if match else ""
                match = REQUEST_ID_PATTERN.search(head)
                await self._answer(self, stream, match[1] if match else b"")
        except ConnectionLost:
            return
        finally:
            self.open -= 1
            await stream.close()

    async def sleep(self, seconds):
        await self._clock.sleep(seconds)

    async def write_forever(self, stream, data, pause=0.001):
        """Write the same bytes again and again until the caller closes."""
        while True:
            await stream.write(data)
            self.written += len(data)
            await self._clock.sleep(pause)
            await curio.sleep(0)


def answer_head(request_id, status=b"200 OK", *headers):
    """Return the head of a replica's answer to a request."""
    lines = (
        b"HTTP/1.1 " + status,
        b"x-sassafraskeel-request-id: " + request_id,
        b"x-sassafraskeel-response-stamp: 1.1",
        *headers,
    )
    return b"\r\n".join(lines) + b"\r\n\r\n"
