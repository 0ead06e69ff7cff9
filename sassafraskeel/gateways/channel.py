"""A websocket between two gateway hosts that carries CBOR messages."""

import hmac
import math
from collections import deque
from typing import NamedTuple

import curio
from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionClosed,
    ConnectionLost,
    ProtocolError,
    TimedOut,
)
from sassafraskeel.core.net import Address, Network, Stream, wait_for_close
from sassafraskeel.gateways.codec import MAX_MESSAGE_BYTES, decode, encode
from sassafraskeel.gateways.messages import Hello

WS_PATH = "/gateway"
# The size limit of a message does not bound the number of its empty fragments.
MAX_FRAGMENTS = 1024
# The handshake and the hello of a peer, whose token has not been checked yet, have some
# hundred bytes.
MAX_UNVERIFIED_BYTES = 8 * 1024
# All frames of a read are parsed before other tasks get their turn, and the shortest
# ones have two bytes.
FRAMES_READ_BYTES = 8192


class Channel:
    """A websocket with one reading task; each write contains complete messages."""

    def __init__(self, stream: Stream, protocol):
        self._stream = stream
        self._protocol = protocol
        self._received = deque()
        self._fragments = []
        self._message_size = 0
        self._unread_allowance = math.inf
        # Several tasks send; a write that is cut off leaves part of a frame.
        self._write_lock = curio.Lock()
        self._write_failed = False

    def limit_unverified(self) -> None:
        """Let `receive` fail once more has arrived than a hello needs."""
        self._unread_allowance = MAX_UNVERIFIED_BYTES

    def set_verified(self) -> None:
        """Remove the limit, since the peer has the token."""
        self._unread_allowance = math.inf

    async def open_as_client(self) -> None:
        """Perform the opening handshake as the dialling end."""
        self._protocol.send_request(self._protocol.connect())
        await self._flush()
        while self._protocol.state is State.CONNECTING:
            await self._receive_frames()
        if self._protocol.handshake_exc is not None:
            raise ProtocolError(str(self._protocol.handshake_exc))

    async def open_as_server(self) -> None:
        """Answer the opening handshake of the dialling end."""
        request = None
        while request is None:
            self._protocol.receive_data(await self._read())
            for event in self._protocol.events_received():
                if isinstance(event, Request):
                    request = event
            if self._protocol.handshake_exc is not None:
                raise ProtocolError(str(self._protocol.handshake_exc))
        self._protocol.send_response(self._protocol.accept(request))
        await self._flush()
        if self._protocol.handshake_exc is not None:
            raise ProtocolError(str(self._protocol.handshake_exc))

    async def send(self, *messages: NamedTuple) -> None:
        """Send messages in one write; raise ConnectionLost if the channel is closed."""
        try:
            for message in messages:
                self._protocol.send_binary(encode(message))
        except WebSocketException as exc:
            raise ConnectionLost(str(exc)) from exc
        await self._flush()

    async def receive(self) -> NamedTuple:
        """Return the next message.

        Raises ConnectionLost when the websocket is closed, ConnectionClosed if the peer
        closed it between two messages that it sent, and ProtocolError if the message is
        malformed.
        """
        while not self._received:
            await self._receive_frames()
        return decode(self._received.popleft())

    async def is_open(self, clock: Clock) -> bool:
        """Return whether the peer has neither sent a message nor closed the channel."""
        try:
            async with clock.timeout(0):
                await self._receive_frames()
                # The time is over, so that curio warns of a body that completes.
                raise ConnectionLost("frames have arrived")
        except TimedOut:
            return not self._received
        except (ConnectionLost, ProtocolError):
            return False

    async def stop(self, clock: Clock, seconds: float) -> None:
        """Close once the peer has closed its end, or after some seconds."""
        try:
            await wait_for_close(self._stream, clock, seconds)
        finally:
            await self.close()

    async def close(self) -> None:
        """Close the connection without a closing handshake."""
        await self._stream.close()

    async def _receive_frames(self):
        self._protocol.receive_data(await self._read())
        for event in self._protocol.events_received():
            self._handle_frame(event)
        await self._flush()
        if self._protocol.state in (State.CLOSING, State.CLOSED):
            raise ConnectionLost("the websocket was closed")

    def _handle_frame(self, event):
        opcode = getattr(event, "opcode", None)
        if opcode is Opcode.BINARY or opcode is Opcode.CONT:
            self._fragments.append(event.data)
            self._message_size += len(event.data)
            if (
                self._message_size > MAX_MESSAGE_BYTES
                or len(self._fragments) > MAX_FRAGMENTS
            ):
                raise ProtocolError("a message has too many bytes or fragments")
            if event.fin:
                self._received.append(b"".join(self._fragments))
                self._fragments.clear()
                self._message_size = 0
        elif opcode is Opcode.TEXT:
            raise ProtocolError("unexpected text frame, messages are binary")

    async def _read(self) -> bytes:
        data = await self._stream.read(FRAMES_READ_BYTES)
        if not data:
            raise ConnectionClosed("the peer closed the connection")
        self._unread_allowance -= len(data)
        if self._unread_allowance < 0:
            raise ProtocolError("the peer sends too much before its hello")
        return data

    async def _flush(self):
        async with self._write_lock:
            if self._write_failed:
                raise ConnectionLost("an earlier write was cut off")
            data = b"".join(self._protocol.data_to_send())
            if not data:
                return
            self._write_failed = True
            await self._stream.write(data)
            self._write_failed = False


async def dial(network: Network, address: Address, hello: Hello):
    """Open a channel and exchange hellos; return the channel and the peer's hello.

    Raises ConnectionLost or ProtocolError if the peer is unreachable, does not
    follow the protocol or has another token.
    """
    uri = parse_uri(f"ws://{address.ip}:{address.port}{WS_PATH}")
    stream = await network.connect(address)
    channel = Channel(stream, ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES))
    try:
        await channel.open_as_client()
        await channel.send(hello)
        return channel, await _receive_hello(channel, hello.token)
    except BaseException:
        await channel.close()
        raise


async def accept_channel(stream: Stream, hello: Hello):
    """Accept a channel and exchange hellos; return the channel and the peer's hello.

    The local hello contains the token, so it is sent only after the peer's token has
    been checked. Its purpose is that of the peer, and the local features.
    """
    channel = Channel(stream, ServerProtocol(max_size=MAX_MESSAGE_BYTES))
    channel.limit_unverified()
    try:
        await channel.open_as_server()
        peer = await _receive_hello(channel, hello.token)
        channel.set_verified()
        purpose = f"{peer.purpose} {hello.purpose}".strip()
        await channel.send(hello._replace(purpose=purpose))
        return channel, peer
    except BaseException:
        await channel.close()
        raise


async def _receive_hello(channel: Channel, token: str) -> Hello:
    hello = await channel.receive()
    if not isinstance(hello, Hello):
        raise ProtocolError("the first message on the channel is not a hello")
    if not hmac.compare_digest(hello.token.encode(), token.encode()):
        raise ProtocolError("the token in the hello does not match the local one")
    return hello
