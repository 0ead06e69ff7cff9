"""What clients that keep to no limit send to a host.

`tools.crowd` sends it. A crowd is described by what its connections send, not by how
fast.
"""

from collections.abc import Callable, Iterable, Iterator
from itertools import repeat
from typing import NamedTuple

from tools.route_cluster import HOST_NAME, LISTENERS

# The limits of the hosts of crowds.
MAX_CONNECTIONS = 200
MAX_BODY_BYTES = 400_000
# Of the connections that a host takes, a crowd leaves ten to ordinary callers.
CROWD_SIZE = 190
SEND_BYTES = 65_536

HEAD = (
    "{method} {path} HTTP/1.1\r\nHost: " + HOST_NAME + "\r\n"
    "X-Sassafraskeel-Request-Id: {id}\r\nX-Sassafraskeel-Deadline-Ms: 30000\r\n"
)
PROMPT = (
    "X-Sassafraskeel-Model: m\r\nX-Sassafraskeel-Token-Count: 10,10\r\n"
    "X-Sassafraskeel-Prompt-Prefix: {name}:0\r\n"
)
LONG_NAME = 25_000
# Hosts take heads of 32 KB.
LONG_HEAD_BYTES = 32_500
HANDSHAKE = (
    b"GET /gateway HTTP/1.1\r\nHost: gateway\r\nUpgrade: websocket\r\n"
    b"Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    b"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
FRAME_BYTES = 1_199_000


class Crowd(NamedTuple):
    """Connections to some listeners of a host.

    `sent` returns what a connection sends, by its number, one piece after the other.
    With `in_turn` a piece is sent after the answer to the one before it. Connections
    that don't `read` leave answers in the buffers of the kernel. One that has sent all
    is reset and opened again for the remaining `rounds`. Replicas take `delay_ms` for
    an answer, and for each event of a stream, and have `slots`.
    """

    name: str
    sent: Callable[[int], Iterable[bytes]]
    listeners: tuple[str, ...] = ("callers",)
    connections: int = CROWD_SIZE
    in_turn: bool = False
    reads: bool = True
    delay_ms: float = 1.0
    rounds: int = 1
    slots: int = 8


def request(number: int, framing: str, path: str = "/order/1") -> bytes:
    """Return the head of a request of a crowd."""
    head = HEAD.format(method="POST", path=path, id=f"crowd-{number}")
    return f"{head}{framing}\r\n\r\n".encode()


def chunk(size: int) -> bytes:
    """Return a chunk of a body."""
    return f"{size:x}\r\n".encode() + bytes(size) + b"\r\n"


def announced(size: int, sent: int) -> Callable[[int], Iterator[bytes]]:
    """Return what sends a part of a body of an announced size."""

    def pieces(number: int) -> Iterator[bytes]:
        yield request(number, f"Content-Length: {size}")
        yield from repeat(bytes(SEND_BYTES), sent // SEND_BYTES)
        yield bytes(sent % SEND_BYTES)

    return pieces


def chunked(size: int, count: int) -> Callable[[int], Iterator[bytes]]:
    """Return what sends some chunks of a body without its end."""

    def pieces(number: int) -> Iterator[bytes]:
        yield request(number, "Transfer-Encoding: chunked")
        data = chunk(size)
        at_once = max(SEND_BYTES // len(data), 1)
        yield from repeat(data * at_once, count // at_once)
        yield data * (count % at_once)

    return pieces


def unfinished_head(number: int) -> Iterator[bytes]:
    """Send a head of almost the longest size without its end."""
    head = HEAD.format(method="POST", path="/order/1", id=f"crowd-{number}").encode()
    yield head + b"X-Filler: " + b"f" * (LONG_HEAD_BYTES - len(head))


def pipelined(number: int) -> Iterator[bytes]:
    """Begin a stream, and send more before it ends."""
    yield request(number, "Content-Length: 0", "/stream/draft/1")
    yield from repeat(bytes(60_000), 20)


def long_prompt_parts(number: int) -> Iterator[bytes]:
    """Send streams, each with a prompt part of a new and long name."""
    for stream in range(100):
        name = f"{number:x}{stream:04x}".rjust(LONG_NAME, "a")
        head = HEAD.format(
            method="POST", path="/stream/draft/1", id=f"crowd-{number}-{stream}"
        )
        yield f"{head}{PROMPT.format(name=name)}Content-Length: 0\r\n\r\n".encode()


def long_ids(number: int) -> Iterator[bytes]:
    """Send streams that can be resumed, each with a new and long id."""
    for stream in range(100):
        request_id = f"{number:x}-{stream:04x}".rjust(LONG_NAME, "a")
        head = HEAD.format(method="POST", path="/stream/chat/1", id=request_id)
        yield f"{head}Content-Length: 0\r\n\r\n".encode()


def unread_answers(number: int) -> Iterator[bytes]:
    """Send a read whose answer is long."""
    head = HEAD.format(method="GET", path="/read/long", id=f"crowd-{number}")
    yield f"{head}\r\n".encode()


def unread_stream(number: int) -> Iterator[bytes]:
    """Send a call whose answer is a long stream."""
    yield request(number, "Content-Length: 0", "/stream/draft/long")


def unauthorized_frame(number: int) -> Iterator[bytes]:
    """Open a link between hosts with a long message that is not finished."""
    yield HANDSHAKE
    size = FRAME_BYTES.to_bytes(8, "big")
    yield b"\x82\xff" + size + bytes(4)
    yield from repeat(bytes(SEND_BYTES), FRAME_BYTES // SEND_BYTES - 1)


def silent(number: int) -> Iterator[bytes]:
    """Send nothing."""
    return iter(())


CROWDS = (
    Crowd("endless_announced", announced(10_000_000_000, 16_000_000)),
    Crowd("endless_chunks", chunked(65_536, 250)),
    Crowd("unfinished_announced", announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1)),
    Crowd("unfinished_chunks", chunked(65_536, MAX_BODY_BYTES // 65_536)),
    Crowd("byte_chunks", chunked(1, 4000)),
    Crowd("unfinished_heads", unfinished_head),
    Crowd("pipelined_bytes", pipelined, delay_ms=200.0),
    Crowd("long_prompt_parts", long_prompt_parts, connections=16, in_turn=True),
    Crowd("long_ids", long_ids, connections=16, in_turn=True),
    Crowd("unread_answers", unread_answers, reads=False),
    Crowd(
        "unread_streams",
        unread_stream,
        reads=False,
        slots=MAX_CONNECTIONS,
        connections=180,
    ),
    Crowd("reconnecting", chunked(65_536, 2), rounds=20),
    Crowd("unauthorized_links", unauthorized_frame, ("gateways",)),
    Crowd("silent_connections", silent, LISTENERS),
)
