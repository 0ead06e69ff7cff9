"""Crowds of clients that don't keep to the limits of a host.

`python -m tools.crowd` runs one crowd after the other against a new host and prints
what the host held at its peak; `tests.test_crowds` checks it. A crowd is described by
what its connections send, not by how fast. It ends once nothing moves any more.
"""

import contextlib
import errno
import os
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from itertools import repeat
from pathlib import Path
from typing import NamedTuple

from sassafraskeel.core.net import RESET_AT_CLOSE, parse_address
from tools.route_cluster import HOST_NAME, LISTENERS, HostProcess, RouteCluster, call

# The hosts of crowds are tenths of the smallest machine: 160 MB, of which a host
# without calls takes up to 60, and 4,100 descriptors, of which 200 are for files. By
# default it takes 2,000 connections of callers, and manifests allow bodies of 4 MB.
MAX_CONNECTIONS = 200
MAX_GROWTH_BYTES = 10_000_000
MAX_SOCKETS = 390
MAX_BODY_BYTES = 400_000
SETTINGS = f"""[callers]
max_connections = {MAX_CONNECTIONS}
max_held_bytes = 1000000
"""
# Of the connections that a host takes, a crowd leaves ten to ordinary callers.
CROWD_SIZE = 190

SAMPLE_SECONDS = 0.02
# A crowd has settled if no connection made progress for this long.
SETTLED_SECONDS = 1.0
# A crowd that goes on for longer is ended.
MAX_CROWD_SECONDS = 25.0
SEND_BYTES = 65_536
DEADLINE_MS = 8000
ANSWER_BYTES = 400_000

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


class Usage(NamedTuple):
    """What a process holds: its resident bytes, those in the queues of its sockets,
    and the number of these.
    """

    resident: int
    queued: int
    sockets: int

    @property
    def memory(self) -> int:
        """Return the bytes that count as the memory of the process."""
        return self.resident + self.queued

    def peak(self, other: "Usage") -> "Usage":
        """Return the larger memory and the larger number of sockets."""
        largest = max(self, other, key=lambda usage: usage.memory)
        return largest._replace(sockets=max(self.sockets, other.sockets))


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


class CrowdHost:
    """A host of a crowd, with a store and a replica; a context manager."""

    def __init__(self, crowd: Crowd):
        self._crowd = crowd
        self.cluster = RouteCluster(
            {"north-a": (1, 1)},
            delay_ms=crowd.delay_ms,
            settings=SETTINGS,
            limits={"maxBodyBytes": MAX_BODY_BYTES},
            engine={"slots": crowd.slots, "kvCapacityTokens": 100_000},
            answer_bytes=ANSWER_BYTES,
            slots=crowd.slots,
        )
        self.host: HostProcess = self.cluster.hosts[0]

    def __enter__(self):
        self.cluster.__enter__()
        return self

    def __exit__(self, *exc_info):
        self.cluster.__exit__(*exc_info)

    @property
    def process(self):
        """Return the process of the host."""
        return self.cluster.processes[self.host.name]

    def usage(self) -> Usage:
        """Return what the host holds now; a process that has ended holds nothing."""
        ports = {parse_address(text).port for text in self.host.listen.values()}
        return read_usage(self.process.pid, ports)

    def order(self, call_id: str, body: bytes = b"") -> int:
        """Return the status of an ordinary order."""
        return call(
            self.host, "/order/1", "POST", call_id, DEADLINE_MS, body=body
        ).status

    def run(self) -> tuple[Usage, int]:
        """Run the crowd; return the peak, and the status of an order beside it."""
        with _CrowdRun(self._crowd, self) as run:
            run.settle()
            status = self.order("beside")
            run.sample()
        return run.peak, status


def read_usage(pid: int, ports: set[int]) -> Usage:
    """Return what a process that listens on some ports holds."""
    try:
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        entries = list(os.scandir(f"/proc/{pid}/fd"))
    except OSError:
        return Usage(0, 0, 0)
    links = []
    for entry in entries:
        with contextlib.suppress(FileNotFoundError):  # Closed meanwhile.
            links.append(os.readlink(entry.path))
    fields = [line.split() for line in status.splitlines()]
    resident = sum(int(field[1]) for field in fields if field[0] == "VmRSS:") * 1024
    inodes = {link[8:-1] for link in links if link.startswith("socket:[")}
    queued = 0
    for line in Path("/proc/net/tcp").read_text(encoding="ascii").splitlines()[1:]:
        _, local, _, state, queues, _, _, _, _, inode, *_ = line.split()
        is_own = inode in inodes or int(local.partition(":")[2], 16) in ports
        # The queues of a listener count connections.
        if is_own and state != "0A":
            queued += sum(int(size, 16) for size in queues.split(":"))
    return Usage(resident, queued, len(inodes))


class _Client:
    """A connection of a crowd."""

    def __init__(self, crowd: Crowd, address, number: int):
        self._crowd = crowd
        self._address = address
        self._number = number
        self._rounds_left = crowd.rounds
        self.open()

    def open(self) -> None:
        """Open a new connection, which sends all from the beginning."""
        self._rounds_left -= 1
        self._pieces = iter(self._crowd.sent(self._number))
        self._unsent = memoryview(b"")
        self._is_answered = True
        self._received = b""
        self.sock = socket.socket()
        self.sock.setblocking(False)
        if not self._crowd.reads:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.is_open = self.sock.connect_ex(self._address) in (0, errno.EINPROGRESS)
        self.has_sent_all = False

    def close(self) -> None:
        """Reset the connection; one that has unread bytes would be reset anyway."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        self.sock.close()

    def is_round_over(self) -> bool:
        """Return whether the connection is over and another one is to be opened."""
        return bool(self._rounds_left) and (self.has_sent_all or not self.is_open)

    def events(self) -> int:
        """Return what the connection waits for."""
        events = selectors.EVENT_READ if self._crowd.reads else 0
        if not self._unsent and self._is_answered:
            self._unsent = memoryview(next(self._pieces, b""))
            self.has_sent_all = not self._unsent
            self._is_answered = not (self._crowd.in_turn and self._unsent)
        return events | (selectors.EVENT_WRITE if self._unsent else 0)

    def proceed(self, events: int) -> None:
        """Send and receive what is possible."""
        try:
            if events & selectors.EVENT_READ:
                self._receive()
            if events & selectors.EVENT_WRITE and self._unsent:
                self._unsent = self._unsent[self.sock.send(self._unsent) :]
        except BlockingIOError:
            return
        except OSError:
            self.is_open = False

    def _receive(self) -> None:
        data = self.sock.recv(SEND_BYTES)
        self.is_open = bool(data)
        if self._crowd.in_turn:
            # Both the end of a chunked body and a body of JSON end an answer.
            self._received = (self._received + data)[-1000:]
            if self._received.endswith((b"0\r\n\r\n", b"}")):
                self._received, self._is_answered = b"", True


class _CrowdRun:
    """The connections of a crowd while they are open; a context manager."""

    def __init__(self, crowd: Crowd, host: CrowdHost):
        self._host = host
        self._selector = selectors.DefaultSelector()
        self._clients = []
        self._sampled_at = time.monotonic()
        self.peak = host.usage()
        for listener in crowd.listeners:
            address = parse_address(host.host.listen[listener])
            self._clients += [
                _Client(crowd, address, number) for number in range(crowd.connections)
            ]

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for client in self._clients:
            client.close()
        self._selector.close()

    def sample(self) -> None:
        """Record what the host holds now."""
        self._sampled_at = time.monotonic()
        self.peak = self.peak.peak(self._host.usage())

    def settle(self) -> None:
        """Let the connections proceed until none has for SETTLED_SECONDS."""
        started_at = moved_at = time.monotonic()
        waiting = dict.fromkeys(self._clients, 0)
        while time.monotonic() - moved_at < SETTLED_SECONDS:
            if time.monotonic() - started_at > MAX_CROWD_SECONDS:
                return
            for client in list(waiting):
                self._register(client, waiting)
            for key, events in self._selector.select(SAMPLE_SECONDS):
                key.data.proceed(events)
                moved_at = time.monotonic()
            if time.monotonic() - self._sampled_at > SAMPLE_SECONDS:
                self.sample()

    def _register(self, client: _Client, waiting: dict[_Client, int]) -> None:
        """Wait for what a connection needs, no longer for one that was closed."""
        events = client.events() if client.is_open else 0
        if client.is_round_over():
            if waiting[client]:
                self._selector.unregister(client.sock)
            waiting[client] = 0
            client.close()
            client.open()
            return
        if events == waiting[client]:
            return
        if not waiting[client]:
            self._selector.register(client.sock, events, client)
        elif not events:
            self._selector.unregister(client.sock)
        else:
            self._selector.modify(client.sock, events, client)
        waiting[client] = events
        if not client.is_open:
            del waiting[client]


def main(names: list[str]) -> None:
    """Run the crowds of some names, or all, and print what they take."""
    print("crowd                   idle MB  peak MB  queued MB  sockets beside  after")
    for crowd in CROWDS:
        if names and crowd.name not in names:
            continue
        with CrowdHost(crowd) as host:
            host.order("first")
            idle = host.usage()
            peak, beside = host.run()
            after = host.order("after")
        print(
            f"{crowd.name:<22}{idle.memory / 1e6:9.1f}{peak.memory / 1e6:9.1f}"
            f"{peak.queued / 1e6:11.1f}{peak.sockets:9}{beside:7}{after:7}",
            flush=True,
        )


if __name__ == "__main__":
    main(sys.argv[1:])
