"""Receiving the requests of HTTP clients within limits of time and size.

h11 accepts a bare LF as the end of a line and prefers Transfer-Encoding if both it and
Content-Length are given. Two programs that frame a message differently can be made to
see different requests (RFC 9112, section 11.2), so this module refuses such requests.
"""

import re
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    ProtocolError,
    Reason,
    Refusal,
    TimedOut,
    not_run_refusal,
)
from sassafraskeel.core.held_memory import HeldMemory
from sassafraskeel.core.http import MAX_HEADER_BYTES, HttpConnection, find_header
from sassafraskeel.core.net import drop_data
from sassafraskeel.core.watched_stream import WatchedStream

END_OF_HEAD = b"\r\n\r\n"
BARE_LINE_END_PATTERN = re.compile(rb"\r[^\n]|(?<!\r)\n")
FOLDED_LINE_PATTERN = re.compile(rb"\r\n[ \t]")
# What is read beyond a head that is refused.
HEAD_READ_BYTES = 4096
# A head is held as it arrived and as the fields of its call.
HEAD_COPIES = 2
LINGER_SECONDS = 1.0
MAX_LINGER_BYTES = 8 * 1024 * 1024
HEADER_TOO_LARGE_STATUS = 431


class RequestTimeouts(NamedTuple):
    """Time limits in seconds for an idle connection, a head and a body."""

    idle: float
    head: float
    body: float


async def wait_for_request(
    http: HttpConnection, stream: WatchedStream, clock: Clock, seconds: float
) -> bool:
    """Return whether the client begins a request within some seconds."""
    if http.h11.trailing_data[0] or stream.unread:
        return True
    try:
        async with clock.timeout(seconds):
            return await stream.read_ahead()
    except TimedOut:
        return bool(stream.unread)  # The time limit may expire after data was read.


async def receive_request(
    http: HttpConnection,
    stream: WatchedStream,
    clock: Clock,
    timeouts: RequestTimeouts,
    held: HeldMemory,
) -> h11.Request | None:
    """Return the request that the client has begun, or None if there is none.

    Raise Refusal if the head is malformed, too long or too slow, or has no room.
    """
    try:
        async with clock.timeout(timeouts.head):
            await _wait_for_valid_head(http, stream, held)
            event = await http.next_event()
    except TimedOut as exc:
        raise not_run_refusal(
            Reason.BAD_REQUEST, "the head did not arrive in time"
        ) from exc
    except ProtocolError as exc:
        raise protocol_error_refusal(exc) from exc
    if type(event) is not h11.Request:
        return None
    _check_framing(event)
    return event


async def receive_body(
    http: HttpConnection,
    clock: Clock,
    timeouts: RequestTimeouts,
    max_bytes: int,
    on_data: Callable[[int], Awaitable[None]] | None = None,
) -> bytes:
    """Return the body of a request; raise Refusal if it is too long or too slow.

    `on_data` is called with the size of each part, and may raise Refusal too.
    """
    try:
        async with clock.timeout(timeouts.body):
            body = await http.read_body(max_bytes, on_data)
    except TimedOut as exc:
        raise not_run_refusal(
            Reason.BAD_REQUEST, "the body did not arrive in time"
        ) from exc
    except ProtocolError as exc:
        raise protocol_error_refusal(exc) from exc
    if body is None:
        raise too_large_refusal(max_bytes)
    return body


def too_large_refusal(max_bytes: int) -> Refusal:
    """Return the refusal of a request with a body over the limit."""
    return not_run_refusal(
        Reason.TOO_LARGE, f"the body is longer than {max_bytes} bytes"
    )


async def send_with_timeout(
    http: HttpConnection, clock: Clock, seconds: float, *events
) -> None:
    """Send events; raise ConnectionLost if the client does not read them in time."""
    try:
        async with clock.timeout(seconds):
            await http.send(*events)
    except TimedOut as exc:
        raise ConnectionLost("the client does not read its answer") from exc


async def linger(http: HttpConnection, stream: WatchedStream, clock: Clock) -> None:
    """Read and discard the rest of a refused request, so that the answer is not lost.

    Closing a socket with unread data resets the connection, and a reset discards
    an answer that the client has not read yet (RFC 9112, section 9.6).
    """
    if http.is_message_complete() or http.h11.their_state in (
        h11.MUST_CLOSE,
        h11.CLOSED,
    ):
        return
    try:
        async with clock.timeout(LINGER_SECONDS):
            await drop_data(stream, clock, MAX_LINGER_BYTES)
    except (TimedOut, ConnectionLost):
        return  # The client had time to read the answer, or has disconnected.


def protocol_error_refusal(exc: ProtocolError) -> Refusal:
    """Return the refusal of a request that violates HTTP."""
    status = getattr(exc.__cause__, "error_status_hint", 400)
    if status == HEADER_TOO_LARGE_STATUS:
        return not_run_refusal(
            Reason.TOO_LARGE, f"the head is longer than {MAX_HEADER_BYTES} bytes"
        )
    return not_run_refusal(Reason.BAD_REQUEST, str(exc))


async def _wait_for_valid_head(http, stream, held: HeldMemory) -> None:
    buffered = http.h11.trailing_data[0]
    scanned = 0
    while True:
        data = buffered + stream.unread
        # Search again from a line end that may have been incomplete.
        start = max(0, scanned - len(END_OF_HEAD))
        end = data.find(END_OF_HEAD, start)
        length = end + 2 if end >= 0 else len(data)
        if length > MAX_HEADER_BYTES:
            raise not_run_refusal(
                Reason.TOO_LARGE, f"the head is longer than {MAX_HEADER_BYTES} bytes"
            )
        if BARE_LINE_END_PATTERN.search(data, start, length):
            raise not_run_refusal(Reason.BAD_REQUEST, "a line ends in a bare CR or LF")
        if FOLDED_LINE_PATTERN.search(data, start, length):
            raise not_run_refusal(Reason.BAD_REQUEST, "a header line is folded")
        if end >= 0:
            held.add(HEAD_COPIES * (length - min(scanned, length)))
            return
        held.add(HEAD_COPIES * (len(data) - scanned))
        scanned = len(data)
        if not await stream.read_ahead(HEAD_READ_BYTES):
            raise ConnectionLost("the connection closed within a head")


def _check_framing(request: h11.Request) -> None:
    encoding = find_header(request.headers, b"transfer-encoding")
    if encoding and find_header(request.headers, b"content-length"):
        raise not_run_refusal(
            Reason.BAD_REQUEST, "both Content-Length and Transfer-Encoding are given"
        )
    if encoding and request.http_version == b"1.0":
        raise not_run_refusal(Reason.BAD_REQUEST, "Transfer-Encoding in HTTP/1.0")
