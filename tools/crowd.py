"""Runs crowds of clients that don't keep to the limits of a host.

`python -m tools.crowd` runs one crowd of `tools.crowds` after the other against a new
host and prints what the host held at its peak; `tests.test_crowds` checks it. A crowd
ends once nothing moves any more.
"""

import contextlib
import errno
import os
import selectors
import socket
import sys
import time
from pathlib import Path
from typing import NamedTuple

from sassafraskeel.core.net import RESET_AT_CLOSE, parse_address
from tools.crowds import CROWDS, MAX_BODY_BYTES, MAX_CONNECTIONS, SEND_BYTES, Crowd
from tools.route_cluster import HostProcess, RouteCluster, call

# The hosts of crowds are tenths of the smallest machine: 160 MB, of which a host
# without calls takes up to 60, and 4,100 descriptors, of which 200 are for files. By
# default it takes 2,000 connections of callers, and manifests allow bodies of 4 MB.
MAX_GROWTH_BYTES = 10_000_000
MAX_SOCKETS = 390
SETTINGS = f"""[callers]
max_connections = {MAX_CONNECTIONS}
max_held_bytes = 1000000
"""

SAMPLE_SECONDS = 0.02
# A crowd has settled if no connection made progress for this long.
SETTLED_SECONDS = 1.0
# A crowd that goes on for longer is ended.
MAX_CROWD_SECONDS = 25.0
DEADLINE_MS = 8000
ANSWER_BYTES = 400_000


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
