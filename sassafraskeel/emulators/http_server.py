"""HTTP server of the emulators, with fault injection."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qsl, urlsplit

import curio
import h11

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost, SassafraskeelError
from sassafraskeel.core.http import HttpConnection, find_header, response_events
from sassafraskeel.core.http_requests import send_with_timeout
from sassafraskeel.core.net import Address, Network
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import Headers, ResponseHead
from sassafraskeel.emulators.faults import Faults, FaultyStream

MAX_BODY_BYTES = 8 * 1024 * 1024
# A client that takes no data for this long has no answer.
SEND_SECONDS = 30.0
# An answer too many comes where the next answer on its connection is due, if the next
# request arrives within this time.
MAX_EXTRA_DELAY_SECONDS = 1.0
FAULTLESS_PATHS = frozenset(
    ("/load", "/faults", "/control", "/progress", "/cache-events", "/ledger")
)


class Request(NamedTuple):
    """A request with its complete body."""

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body: bytes

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)

    def header(self, name: bytes) -> str:
        """Return the value of a header, or "" if it is absent."""
        return find_header(self.headers, name)


class Reply(NamedTuple):
    """An answer; `body` is bytes or an iterator of chunks.

    `close_unanswered` closes the connection instead of answering. `extra` is an answer
    too many: it is sent before the next answer on the connection.
    """

    status: int = 200
    body: bytes | AsyncIterator[bytes] = b""
    headers: Headers = ((b"content-type", b"application/json"),)
    close_unanswered: bool = False
    extra: "Reply | None" = None


def json_reply(content, status: int = 200, headers: Headers = ()) -> Reply:
    """Return an answer with a JSON body."""
    body = json.dumps(content).encode()
    return Reply(status, body, ((b"content-type", b"application/json"), *headers))


Handler = Callable[[Request], Awaitable[Reply]]


class HttpServer:
    """Serves requests with one handler, in one task per connection.

    A handler is cancelled when its client closes the connection.
    """

    def __init__(
        self,
        clock: Clock,
        network: Network,
        address: Address,
        handler: Handler,
        faults: Faults | None = None,
    ):
        self._clock = clock
        self._network = network
        self._address = address
        self._handler = handler
        self._group = SupervisedTaskGroup(lambda exc: None)
        self._listener = None
        self._faults = faults or Faults()

    @property
    def address(self) -> Address:
        """Return the address that the server listens on."""
        return self._listener.address

    async def start(self) -> None:
        """Start listening."""
        self._listener = await self._network.listen(self._address)
        await self._group.spawn(self._accept)

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._listener is not None:
            await self._listener.close()
        await self._group.close()

    async def crash(self, restart_after: float) -> None:
        """Drop all connections like a crash; restart after `restart_after` seconds."""
        address = self.address
        await self.close()
        await self._clock.sleep(restart_after)
        self._address = address
        await self.start()

    async def _accept(self):
        while True:
            try:
                stream = await self._listener.accept()
            except ConnectionLost:
                return
            await self._group.spawn(self._serve_connection, stream)

    async def _serve_connection(self, stream):
        http = HttpConnection(FaultyStream(stream), h11.SERVER, self._clock)
        extra, expires = None, 0.0
        try:
            while (request := await self._read_request(http)) is not None:
                if self._clock.monotonic() > expires:
                    extra = None
                reply = await self._serve_request(http, request, extra)
                if reply is None or http.h11.our_state is not h11.DONE:
                    return
                extra = reply.extra
                expires = self._clock.monotonic() + MAX_EXTRA_DELAY_SECONDS
                http.h11.start_next_cycle()
        except SassafraskeelError:
            return
        finally:
            await http.close()

    async def _read_request(self, http) -> Request | None:
        event = await http.next_event()
        if type(event) is not h11.Request:
            return None
        body = await http.read_body(MAX_BODY_BYTES)
        target = urlsplit(event.target.decode())
        return Request(
            event.method.decode(),
            target.path,
            dict(parse_qsl(target.query)),
            tuple(event.headers),
            body or b"",
        )

    async def _serve_request(self, http, request, extra) -> Reply | None:
        """Send an answer too many, if any, and the answer to a request.

        Return None if the connection must close unanswered.
        """
        watcher = await self._group.spawn(
            self._cancel_on_close, http, await curio.current_task()
        )
        try:
            return await self._handle_request(http, request, extra)
        finally:
            await watcher.cancel()

    async def _cancel_on_close(self, http, task):
        data = await http.stream.read()
        http.h11.receive_data(data)
        if not data:
            await task.cancel(blocking=False)

    async def _handle_request(self, http, request, extra) -> Reply | None:
        faulty = request.path not in FAULTLESS_PATHS
        # The handler has begun when the client reads the answer too many.
        writer = None
        if extra is not None:
            writer = await self._group.spawn(self._send_extra, http, extra)
        reply = await self._handler(request)
        if writer is not None:
            await writer.wait()
        if reply.close_unanswered or faulty and self._faults.consume("lose_answers"):
            return None
        if faulty:
            http.stream.set_fault(self._faults.next_answer())
        await self._send_reply(http, reply)
        await http.stream.finish_answer()
        return reply

    async def _send_extra(self, http, extra: Reply) -> None:
        try:
            await http.stream.write(_encode(extra))
        except ConnectionLost:
            return  # The task of the connection finds out by itself.

    async def _send_reply(self, http, reply):
        if isinstance(reply.body, bytes):
            head = ResponseHead(reply.status, reply.headers)
            await self._send(http, *response_events(head, reply.body))
            return
        head = h11.Response(status_code=reply.status, headers=reply.headers)
        await self._send(http, head)
        try:
            async for chunk in reply.body:
                if self._faults.slow:
                    await self._clock.sleep(self._faults.slow)
                await self._send(http, h11.Data(data=chunk))
        finally:
            await reply.body.aclose()
        await self._send(http, h11.EndOfMessage())

    async def _send(self, http, *events) -> None:
        await send_with_timeout(http, self._clock, SEND_SECONDS, *events)


def _encode(reply: Reply) -> bytes:
    """Return the bytes of a whole answer."""
    headers = (*reply.headers, (b"content-length", str(len(reply.body)).encode()))
    lines = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
    return f"HTTP/1.1 {reply.status} \r\n".encode() + lines + b"\r\n" + reply.body
