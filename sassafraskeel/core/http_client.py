"""HTTP client connections, which carry one request at a time."""

import re

import h11

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    ProtocolError,
    TimedOut,
)
from sassafraskeel.core.http import (
    HttpConnection,
    find_header,
    request_events,
    strip_hop_by_hop,
)
from sassafraskeel.core.net import (
    LINK_BUFFERS,
    LONG_ANSWER_BUFFERS,
    READ_SIZE_BYTES,
    Address,
    BufferSizes,
    Network,
    wait_for_close,
)
from sassafraskeel.core.types import Headers, ResponseHead

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r"timeout=(\d{1,9})")
# A server sends at most a few 1xx answers before the answer itself.
MAX_INFORMATIONAL_ANSWERS = 16
# The largest status code (RFC 9110, section 15); h11 refuses those that are too small.
MAX_STATUS = 599
BODYLESS_STATUSES = frozenset((204, 304))


class ClientConnection:
    """A client connection; `opened_at` and `used_at` are monotonic seconds.

    `keep_alive_seconds` is how long the server keeps the connection open when idle,
    or None if the server did not send the time. `number` is that of the pool that
    opened the connection, and `request_count` counts the requests sent so far.
    `call_ids` are the calls that were sent over it, if its user records them, with
    digests in place of long ids. `buffers` are those of the connection except during a
    long answer.
    """

    def __init__(self, address: Address, stream, clock: Clock, buffers: BufferSizes):
        self.address = address
        self.number = 0
        self.request_count = 0
        self.call_ids: set[str] = set()
        self.opened_at = self.used_at = clock.monotonic()
        self.keep_alive_seconds: float | None = None
        # Whether the end of the connection ends the current answer.
        self.is_close_delimited = False
        self._buffers = buffers
        self._has_long_answer = False
        self._http = HttpConnection(stream, h11.CLIENT, clock)
        # A stream whose caller takes nothing holds its last read, in some copies.
        self._http.read_bytes = min(READ_SIZE_BYTES, buffers.receive // 2)
        self._method = ""
        self._bytes_before_request = 0

    @property
    def answer_started(self) -> bool:
        """Return whether any data has arrived since the last request."""
        return self._http.bytes_received > self._bytes_before_request

    async def send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> None:
        """Send a request in a single write."""
        self._method = method
        self.request_count += 1
        self._bytes_before_request = self._http.bytes_received
        if not find_header(headers, b"host"):
            headers = (*headers, (b"host", str(self.address).encode()))
        await self._http.send(*request_events(method, target, headers, body))

    async def receive_head(self, allow_close_delimited: bool = False) -> ResponseHead:
        """Return the head of the answer and skip some 1xx answers.

        With `allow_close_delimited`, the close of the connection may end the body.
        """
        event = await self._http.next_event()
        skipped = 0
        while type(event) is h11.InformationalResponse:
            skipped += 1
            if skipped > MAX_INFORMATIONAL_ANSWERS:
                raise ProtocolError("the server sends 1xx answers without end")
            event = await self._http.next_event()
        if type(event) is not h11.Response:
            raise ConnectionLost("the connection closed before an answer")
        if event.status_code > MAX_STATUS:
            raise ProtocolError(f"{event.status_code} is no status code")
        self._check_framing(event, allow_close_delimited)
        self._record_keep_alive(event)
        length = int(find_header(event.headers, b"content-length") or 0)
        self._has_long_answer = length > LONG_ANSWER_BUFFERS.receive
        if self._has_long_answer:
            wider = max(self._buffers, LONG_ANSWER_BUFFERS)
            self._http.stream.set_buffers(wider)
        return ResponseHead(event.status_code, strip_hop_by_hop(event.headers))

    async def receive_data(self) -> bytes:
        """Return the body data that has arrived, or b"" at the end of the body."""
        try:
            return await self._http.read_data()
        except ProtocolError as exc:
            raise AnswerTruncated(str(exc)) from exc

    async def skip_answer(self, max_bytes: int) -> None:
        """Skip an answer that belongs to an earlier request; another one follows.

        Raise ProtocolError if it has more than `max_bytes` or ends with the connection.
        """
        if self.is_close_delimited:
            raise ProtocolError("no answer follows that to another request")
        size = 0
        while data := await self.receive_data():
            size += len(data)
            if size > max_bytes:
                raise ProtocolError("the answer to another request is too long")
        self._http.expect_another_answer(self._method)

    def prepare_for_reuse(self) -> bool:
        """Prepare for the next request; return False if none can be sent."""
        state = self._http.h11
        if state.our_state is h11.IDLE:
            return True  # No request was sent yet.
        if state.our_state is not h11.DONE or state.their_state is not h11.DONE:
            return False
        if state.trailing_data[0]:
            return False
        state.start_next_cycle()
        if self._has_long_answer:
            self._http.stream.set_buffers(self._buffers)
        return True

    async def is_open_and_idle(self, clock: Clock) -> bool:
        """Return whether neither data nor EOF has arrived since the last answer."""
        try:
            async with clock.timeout(0):
                await self._http.stream.read(1)
                # The time is over, so that curio warns of a body that completes.
                raise ConnectionLost("data or the end has arrived")
        except TimedOut:
            return True
        except ConnectionLost:
            return False

    async def stop(self, clock: Clock, seconds: float) -> None:
        """Close once the server has closed its end, or after some seconds."""
        try:
            await wait_for_close(self._http.stream, clock, seconds)
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection."""
        await self._http.close()

    def _record_keep_alive(self, event) -> None:
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(
            find_header(event.headers, b"keep-alive")
        )
        if match is not None:
            self.keep_alive_seconds = float(match[1])

    def _check_framing(self, event, allow_close_delimited: bool) -> None:
        length = find_header(event.headers, b"content-length")
        encoding = find_header(event.headers, b"transfer-encoding")
        if length and encoding:
            # One of the two ends may hide the answer to another request (RFC 9112,
            # section 6.3); h11 would ignore the length.
            raise ProtocolError(
                "an answer has both Content-Length and Transfer-Encoding"
            )
        is_bodyless = self._method == "HEAD" or event.status_code in BODYLESS_STATUSES
        self.is_close_delimited = not (is_bodyless or length or encoding)
        if self.is_close_delimited and not allow_close_delimited:
            # The end of a close-delimited body cannot be distinguished from a
            # truncation (RFC 9112, section 8).
            raise ProtocolError(
                "an answer has neither Content-Length nor Transfer-Encoding"
            )


async def connect(
    network: Network,
    address: Address,
    clock: Clock,
    buffers: BufferSizes = LINK_BUFFERS,
) -> ClientConnection:
    """Open a client connection; raise ConnectionLost."""
    stream = await network.connect(address, buffers=buffers)
    return ClientConnection(address, stream, clock, buffers)


async def request_once(
    network: Network,
    clock: Clock,
    address: Address,
    method: str,
    target: str,
    headers: Headers = (),
    body: bytes = b"",
    max_bytes: int = 1 << 20,
) -> tuple[ResponseHead, bytes]:
    """Make one request on a new connection and return the complete answer.

    Raise ConnectionLost, AnswerTruncated, or ProtocolError if the answer is malformed
    or its body is longer than `max_bytes`.
    """
    conn = await connect(network, address, clock)
    try:
        await conn.send(method, target, headers, body)
        head = await conn.receive_head()
        parts = []
        size = 0
        while data := await conn.receive_data():
            parts.append(data)
            size += len(data)
            if size > max_bytes:
                raise ProtocolError(f"the answer is longer than {max_bytes} bytes")
        return head, b"".join(parts)
    finally:
        await conn.close()
