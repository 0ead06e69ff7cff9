"""HTTP/1.1 connections over a Stream, for clients and servers, based on h11."""

from collections.abc import Awaitable, Callable, Iterable

import curio
import h11

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ProtocolError,
    Reason,
    not_run_refusal,
)
from sassafraskeel.core.net import READ_SIZE_BYTES, Stream
from sassafraskeel.core.types import Headers, ResponseHead
from sassafraskeel.core.work_limits import (
    ANSWER_WORK,
    FREE_PIECES,
    REQUEST_WORK,
    WorkLimit,
    count_overhead,
    count_pieces,
)

MAX_HEADER_BYTES = 32 * 1024
# Chunks that are parsed before other tasks get their turn. Chunks of one byte cost as
# much as long ones.
MAX_CHUNKS_IN_TURN = 64
# Until a request with short chunks has a chance beside those of other callers.
RETRY_SECONDS = 1.0
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def find_header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str:
    """Return the value of the first header called `name` (lower case), or ""."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1").strip()
    return ""


def strip_hop_by_hop(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers without hop-by-hop headers (RFC 9110, section 7.6.1)."""
    headers = tuple((bytes(key), bytes(value)) for key, value in headers)
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return tuple(
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP_HEADERS and key not in connection_options
    )


class HttpConnection:
    """An HTTP connection: the h11 state machine and the underlying stream.

    `shared_work` is the limit that it shares with other connections, if there is one.
    `read_bytes` are read at once.
    """

    def __init__(
        self, stream: Stream, role, clock: Clock, shared_work: WorkLimit | None = None
    ):
        self.stream = stream
        self._clock = clock
        self.h11 = h11.Connection(role, max_incomplete_event_size=MAX_HEADER_BYTES)
        self.read_bytes = READ_SIZE_BYTES
        self._pending = None
        self._stream_ended = False
        self._has_more_chunks = False
        self.bytes_received = 0
        # Bytes received that are neither content nor counted as overhead yet.
        self._uncounted_bytes = 0
        self._work_rate = REQUEST_WORK if role is h11.SERVER else ANSWER_WORK
        self._work_limit = WorkLimit(self._work_rate, clock.monotonic())
        self._shared_work = shared_work
        self._pieces = 0.0

    async def next_event(self):
        """Return the next h11 event.

        Raise ConnectionLost or ProtocolError, or AnswerTruncated if the other end
        closed the connection within a message.
        """
        if self._pending is not None:
            event, self._pending = self._pending, None
            return event
        while True:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as exc:
                if self._stream_ended:
                    raise AnswerTruncated(str(exc)) from exc
                raise ProtocolError(str(exc)) from exc
            if event is not h11.NEED_DATA:
                if type(event) is h11.Request or type(event) is h11.Response:
                    self._start_counting()
                return event
            self._count_overhead()
            data = await self.stream.read(self.read_bytes)
            self._stream_ended = not data
            self.bytes_received += len(data)
            self._uncounted_bytes += len(data)
            self.h11.receive_data(data)

    async def read_data(self) -> bytes:
        """Return the body data that has arrived, or b"" at the end of the body."""
        if self._has_more_chunks:
            self._has_more_chunks = False
            await curio.sleep(0)
        event = await self.next_event()
        if type(event) is h11.EndOfMessage:
            return b""
        if type(event) is not h11.Data:
            raise AnswerTruncated("the connection closed within a message")
        parts = [bytes(event.data)]
        while self._pending is None:
            if len(parts) >= MAX_CHUNKS_IN_TURN:
                self._has_more_chunks = True
                break
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError:
                break  # h11 raises the error again at the next call.
            if type(event) is h11.Data:
                parts.append(bytes(event.data))
            elif event is h11.NEED_DATA or event is h11.PAUSED:
                break
            else:
                self._pending = event
        data = b"".join(parts)
        self._uncounted_bytes -= len(data)
        self._spend(count_pieces(len(parts), len(data)))
        return data

    def _start_counting(self) -> None:
        """Start the count of a message; what follows its head may have arrived."""
        self._uncounted_bytes = 0
        self._work_limit = WorkLimit(self._work_rate, self._clock.monotonic())
        self._pieces = 0.0

    def _count_overhead(self) -> None:
        if self._uncounted_bytes > 0:
            overhead, self._uncounted_bytes = self._uncounted_bytes, 0
            self._spend(count_overhead(overhead))

    def _spend(self, pieces: float) -> None:
        now = self._clock.monotonic()
        if not self._work_limit.spend(pieces, now):
            raise ProtocolError("too many short chunks, or bytes that are no content")
        self._pieces += pieces
        counted = min(pieces, self._pieces - FREE_PIECES)
        if self._shared_work is None or counted <= 0:
            return
        if not self._shared_work.spend(counted, now):
            raise not_run_refusal(
                Reason.OVERLOADED, "too many short chunks of all callers", RETRY_SECONDS
            )

    def expect_another_answer(self, method: str) -> None:
        """Let the next message that arrives be an answer to the request as well."""
        data, has_ended = self.h11.trailing_data
        self.h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        for event in request_events(method, "/", ((b"host", b"-"),), b""):
            self.h11.send(event)
        if data:
            self.h11.receive_data(data)
        if has_ended:
            self.h11.receive_data(b"")

    async def send(self, *events) -> None:
        """Send events in a single write; raise ConnectionLost or ProtocolError."""
        try:
            data = b"".join(self.h11.send(event) or b"" for event in events)
        except h11.LocalProtocolError as exc:
            raise ProtocolError(str(exc)) from exc
        if data:
            await self.stream.write(data)

    async def read_body(
        self, max_bytes: int, on_data: Callable[[int], Awaitable[None]] | None = None
    ) -> bytes | None:
        """Return the complete body, or None as soon as it exceeds `max_bytes`.

        `on_data` is called with the size of each part; what it raises ends the reading.
        """
        parts = []
        size = 0
        while data := await self.read_data():
            size += len(data)
            if size > max_bytes:
                return None
            if on_data is not None:
                await on_data(len(data))
            parts.append(data)
        return b"".join(parts)

    def is_message_complete(self) -> bool:
        """Return whether the message of the other end has been read completely."""
        return self.h11.their_state is h11.DONE and self._pending is None

    async def close(self) -> None:
        """Close the stream."""
        await self.stream.close()


def request_events(method: str, target: str, headers: Headers, body: bytes):
    """Return the h11 events of a request with a Content-Length header."""
    headers = (*headers, (b"content-length", str(len(body)).encode()))
    request = h11.Request(method=method, target=target, headers=headers)
    if not body:
        return request, h11.EndOfMessage()
    return request, h11.Data(data=body), h11.EndOfMessage()


def response_events(head: ResponseHead, body: bytes):
    """Return the h11 events of a response with a Content-Length header."""
    headers = (*head.headers, (b"content-length", str(len(body)).encode()))
    response = h11.Response(status_code=head.status, headers=headers)
    if not body:
        return response, h11.EndOfMessage()
    return response, h11.Data(data=body), h11.EndOfMessage()
