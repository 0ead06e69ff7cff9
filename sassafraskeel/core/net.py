"""Interfaces for byte streams, and their implementation with TCP and TLS."""

import errno
import math
import ssl
import struct
from typing import NamedTuple, Protocol

import curio
from curio import socket, ssl as curio_ssl, traps

from sassafraskeel.core.clock import Clock, SystemClock
from sassafraskeel.core.errors import (
    AcceptFailed,
    AddressUnavailable,
    ConnectionLost,
    TimedOut,
    UserError,
)
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.turns import TurnTimer

# The buffer of a read is cut down to what has arrived, so that a larger one leaves a
# gap in the memory of the process beside each part that is kept.
READ_SIZE_BYTES = 8192
# The longest write between two checks of whether the turn of the task is over.
WRITE_SLICE_BYTES = 256 * 1024
# What may be in transit when a peer is told to stop. After it each read is followed by
# a pause, since of a peer that goes on only the close matters.
FAST_DROP_BYTES = 1024 * 1024
DROP_PAUSE_SECONDS = 0.001
LISTEN_BACKLOG = 1024


class BufferSizes(NamedTuple):
    """The bytes that the kernel is asked to buffer for a connection.

    Linux takes twice as much, for its own overhead. Without a size it lets the buffer
    of a connection whose bytes nobody reads grow to megabytes.
    """

    receive: int
    send: int


# For the connections of a listener, since any client may open one, and what has arrived
# counts as memory of the host. Bodies of some tens of KB still arrive in a few round
# trips.
CLIENT_BUFFERS = BufferSizes(16 * 1024, 16 * 1024)
# Replicas are near, and callers that don't read their streams leave these ones full.
# Less than 8 KB would fill with the overhead of short segments.
UPSTREAM_BUFFERS = BufferSizes(8 * 1024, 64 * 1024)
# For the rest of a long answer, which the host has room for as a whole.
LONG_ANSWER_BUFFERS = BufferSizes(64 * 1024, 64 * 1024)
# Between regions, a round trip of 160 ms carries no more than the buffer.
LINK_BUFFERS = BufferSizes(192 * 1024, 192 * 1024)

# A peer that disappears without a reset is detected after five seconds. The user
# timeout decides that, whatever the number of probes: an idle connection ends if none
# of those after two, three and four seconds is answered, and a busy one if nothing is
# acknowledged. It also ends one whose peer takes nothing for so long.
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 5000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# Of what a client doesn't take, the kernel accepts little more than one write; the send
# buffer then bounds what is on its way.
UNSENT_BYTES = 4096
# The option to linger for zero seconds, with which a close sends a reset.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Address(NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self):
        return f"{self.ip}:{self.port}"


def parse_address(text: str) -> Address:
    """Return the address written as `ip:port`; raise UserError otherwise."""
    ip, colon, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= 5
    is_closed = ip.startswith("[") == ip.endswith("]")
    if not colon or not ip or not is_closed or not is_number or int(port) > 65535:
        raise UserError(f"{text!r} is not an address of the form ip:port")
    return Address(ip.strip("[]"), int(port))


class Stream(Protocol):
    """An open connection."""

    async def read(self, max_bytes: int = READ_SIZE_BYTES) -> bytes:
        """Return the next bytes, or b"" at the end; raise ConnectionLost."""

    async def write(self, data: bytes) -> None:
        """Write all bytes; raise ConnectionLost."""

    async def end_writing(self) -> None:
        """Send the end of the stream; `read` goes on. Raise ConnectionLost."""

    async def close(self) -> None:
        """Close the connection; closing twice is harmless."""

    async def reset(self) -> None:
        """Close the connection so that the peer does not take it for a clean end."""

    def set_buffers(self, buffers: BufferSizes) -> None:
        """Ask the kernel for larger buffers; after a close this does nothing."""


async def drop_data(stream: Stream, clock: Clock, max_bytes: float) -> None:
    """Read and drop what a peer sends until it closes, or until some bytes were read.

    Raise ConnectionLost.
    """
    size = 0
    while size < max_bytes and (data := await stream.read()):
        size += len(data)
        if size > FAST_DROP_BYTES:
            await clock.sleep(DROP_PAUSE_SECONDS)


async def wait_for_close(stream: Stream, clock: Clock, seconds: float) -> bool:
    """End our side of a connection, and wait until the peer has closed its own.

    Return whether it did within some seconds. What it still sends is dropped.
    """
    try:
        async with clock.timeout(seconds):
            await stream.end_writing()
            await drop_data(stream, clock, math.inf)
    except TimedOut:
        return False
    except ConnectionLost:
        pass  # The connection is over, too.
    return True


class Listener(Protocol):
    """A socket that accepts connections."""

    address: Address

    async def accept(self) -> Stream:
        """Wait for the next connection.

        Raises ConnectionLost once closed, and AcceptFailed if the next attempt may
        succeed, as when the process has no descriptor left.
        """

    async def close(self) -> None:
        """Stop listening; closing twice is harmless."""


class Network(Protocol):
    """Opens and accepts connections."""

    async def connect(
        self, address: Address, buffers: BufferSizes = LINK_BUFFERS
    ) -> Stream:
        """Open a connection; raise ConnectionLost."""

    async def listen(self, address: Address) -> Listener:
        """Listen on an address; port 0 selects a free port.

        Raises AddressUnavailable if it may be free later, and UserError.
        """


class _SocketClosed(curio.CancelledError):
    """Wakes a task that waits for a socket that another task closes."""


async def _close_socket(sock) -> None:
    """Close a socket, and wake the other tasks that wait for it.

    curio keeps a descriptor registered while a task waits for it, and until a task that
    it woke runs on. The next socket gets the same descriptor: its tasks would fail, or
    end the event loop and thus the process.
    """
    fileno = sock._fileno
    await traps._io_release(fileno)  # For the current task.
    selector = (await traps._get_kernel())._selector
    for task in _registered_tasks(selector, fileno):
        if task.cancel_func is not None:
            task.cancelled = False  # curio cancels a task only once.
            await task.cancel(exc=_SocketClosed, blocking=False)
        else:
            task._last_io = None
    if _registered_tasks(selector, fileno):
        selector.unregister(fileno)
    await sock.close()


def _registered_tasks(selector, fileno) -> list[curio.Task]:
    try:
        return [task for task in selector.get_key(fileno).data if task is not None]
    except (KeyError, ValueError):  # Not registered, or closed already.
        return []


async def _raise_closed(exc: _SocketClosed):
    (await curio.current_task()).cancelled = False
    raise ConnectionLost("another task has closed the connection") from exc


class TcpStream:
    """A TCP or TLS connection; `peer` names the other end in logs."""

    def __init__(self, sock, turns: TurnTimer, peer: str):
        self._sock = sock
        self._turns = turns
        self._peer = peer
        # The turn of the last write if no read followed it, or -1.
        self._written_in_turn = -1
        self._closed = False

    async def read(self, max_bytes: int = READ_SIZE_BYTES) -> bytes:
        # A cancellation may be raised here, so nothing may have been read yet.
        if self._turns.is_over():
            await self._turns.give_way()
        self._turns.record_read(self._peer)
        self._written_in_turn = -1
        try:
            return await self._sock.recv(max_bytes)
        except _SocketClosed as exc:
            await _raise_closed(exc)
        except OSError as exc:
            raise ConnectionLost(str(exc)) from exc

    async def write(self, data: bytes) -> None:
        # The first write of a turn is not delayed: it may follow a check that holds
        # only now. Later ones raise no cancellation that a write alone would not raise.
        if self._written_in_turn == self._turns.number and self._turns.is_over():
            await self._turns.give_way_uncancelled()
        try:
            await self._sock.sendall(data[:WRITE_SLICE_BYTES])
            for start in range(WRITE_SLICE_BYTES, len(data), WRITE_SLICE_BYTES):
                if self._turns.is_over():
                    await self._turns.give_way()
                await self._sock.sendall(data[start : start + WRITE_SLICE_BYTES])
        except _SocketClosed as exc:
            await _raise_closed(exc)
        except OSError as exc:
            raise ConnectionLost(str(exc)) from exc
        self._written_in_turn = self._turns.number

    async def end_writing(self) -> None:
        try:
            await self._sock.shutdown(socket.SHUT_WR)
        except OSError as exc:
            raise ConnectionLost(str(exc)) from exc

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            await _close_socket(self._sock)

    async def reset(self) -> None:
        if not self._closed:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            await self.close()

    def set_buffers(self, buffers: BufferSizes) -> None:
        if not self._closed:
            _set_buffers(self._sock, buffers)


class TcpListener:
    """A listening TCP socket."""

    def __init__(self, sock, context: ssl.SSLContext | None, turns: TurnTimer):
        self._sock = sock
        self._context = context
        self._turns = turns
        self._closed = False
        self.address = Address(*sock.getsockname()[:2])

    async def accept(self) -> Stream:
        if self._turns.is_over():
            await self._turns.give_way()
        if self._closed:
            raise ConnectionLost("the listener is closed")
        self._turns.record_read(f"clients of {self.address}")
        try:
            sock, address = await self._sock.accept()
        except _SocketClosed as exc:
            await _raise_closed(exc)
        except OSError as exc:
            error = ConnectionLost if self._closed else AcceptFailed
            raise error(str(exc)) from exc
        _set_options(sock)
        if self._context is not None:
            # The handshake runs at the first read, in the task of the connection,
            # so that a silent client cannot block the accept loop.
            sock = await curio_ssl.CurioSSLContext(self._context).wrap_socket(
                sock, server_side=True, do_handshake_on_connect=False
            )
        client = f"client {address[0]}:{address[1]} of {self.address}"
        return TcpStream(sock, self._turns, client)

    async def close(self) -> None:
        if not self._closed:
            self._closed = True
            await _close_socket(self._sock)


class TcpNetwork:
    """A TCP network that uses TLS if contexts are given."""

    def __init__(
        self,
        server_context: ssl.SSLContext | None = None,
        client_context: ssl.SSLContext | None = None,
        turns: TurnTimer | None = None,
    ):
        # Without the timer of the process, no turn is logged.
        self._turns = turns or TurnTimer(SystemClock(), NullLog())
        self._server_context = server_context
        self._client_context = client_context

    async def connect(
        self, address: Address, buffers: BufferSizes = LINK_BUFFERS
    ) -> Stream:
        sock = socket.socket(_family(address), socket.SOCK_STREAM)
        try:
            _set_buffers(sock, buffers)
            await sock.connect(address)
            if self._client_context is not None:
                context = curio_ssl.CurioSSLContext(self._client_context)
                sock = await context.wrap_socket(
                    sock, server_hostname=address.ip, do_handshake_on_connect=False
                )
                await sock.do_handshake()
        except BaseException as exc:
            await _close_socket(sock)
            if not isinstance(exc, OSError):
                raise
            raise ConnectionLost(f"{address}: {exc}") from exc
        _set_options(sock)
        return TcpStream(sock, self._turns, f"server {address}")

    async def listen(self, address: Address) -> Listener:
        sock = socket.socket(_family(address), socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Accepted sockets inherit the sizes; what has arrived on one before it is
            # accepted can't be taken back.
            _set_buffers(sock, CLIENT_BUFFERS)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, UNSENT_BYTES)
            sock.bind(address)
            sock.listen(LISTEN_BACKLOG)
        except OSError as exc:
            sock._socket.close()
            is_unavailable = exc.errno in (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
            error = AddressUnavailable if is_unavailable else UserError
            raise error(f"cannot listen on {address}: {exc}") from exc
        return TcpListener(sock, self._server_context, self._turns)


def _family(address: Address):
    return socket.AF_INET6 if ":" in address.ip else socket.AF_INET


def _set_buffers(sock, buffers: BufferSizes) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffers.receive)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffers.send)


def _set_options(sock) -> None:
    for option in KEEP_ALIVE_OPTIONS:
        sock.setsockopt(*option)
