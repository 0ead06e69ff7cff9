"""A websocket between two gateway hosts that carries CBOR messages."""

import hmac
from collections import deque
from typing import NamedTuple

from websockets.client import ClientProtocol
from websockets.exceptions import WebSocketException
from websockets.frames import Opcode
from websockets.http11 import Request
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri

from sassafraskeel.core.errors import ConnectionLost, ProtocolError
from sassafraskeel.core.net import Address, Network, Stream
from sassafraskeel.gateways.codec import MAX_MESSAGE_BYTES, Hello, decode, encode

WS_PATH = "/gateway"
# Empty fragments do not count towards the size of a message.
MAX_FRAGMENTS = 1024


class Channel:
    """One websocket, used by one reader; writes are whole messages."""

    def __init__(self, stream: Stream, protocol):
        self._stream = stream
        self._protocol = protocol
        self._received = deque()
        self._fragments = []
        self._message_size = 0

    async def open_as_client(self) -> None:
        """Make the opening handshake of the dialling end."""
        self._protocol.send_request(self._protocol.connect())
        await self._flush()
        while self._protocol.state is State.CONNECTING:
            await self._receive_frames()
        if self._protocol.handshake_exc is not None:
            raise ProtocolError(str(self._protocol.handshake_exc))

    async def open_as_server(self) -> None:
        """Answer the opening handshake of the other end."""
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
        """Write messages in one piece."""
        try:
            for message in messages:
                self._protocol.send_binary(encode(message))
        except WebSocketException as exc:
            raise ConnectionLost(str(exc)) from exc
        await self._flush()

    async def receive(self) -> NamedTuple:
        """Return the next message; raise ConnectionLost at the end."""
        while not self._received:
            await self._receive_frames()
        return decode(self._received.popleft())

    async def close(self) -> None:
        """Close the connection without waiting for the other end."""
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
                raise ProtocolError("a message is too long")
            if event.fin:
                self._received.append(b"".join(self._fragments))
                self._fragments.clear()
                self._message_size = 0
        elif opcode is Opcode.TEXT:
            raise ProtocolError("a text frame arrived")

    async def _read(self) -> bytes:
        data = await self._stream.read()
        if not data:
            raise ConnectionLost("the other end closed the connection")
        return data

    async def _flush(self):
        data = b"".join(self._protocol.data_to_send())
        if data:
            await self._stream.write(data)


async def dial(network: Network, address: Address, hello: Hello):
    """Open a channel and exchange hellos; return the channel and the peer's hello."""
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

    The own hello, with its token, is sent only after the peer's token was checked.
    """
    channel = Channel(stream, ServerProtocol(max_size=MAX_MESSAGE_BYTES))
    try:
        await channel.open_as_server()
        peer = await _receive_hello(channel, hello.token)
        await channel.send(hello._replace(purpose=peer.purpose))
        return channel, peer
    except BaseException:
        await channel.close()
        raise


async def _receive_hello(channel: Channel, token: str) -> Hello:
    hello = await channel.receive()
    if not isinstance(hello, Hello):
        raise ProtocolError("the first message is not a hello")
    if not hmac.compare_digest(hello.token.encode(), token.encode()):
        raise ProtocolError("the token of the hello is wrong")
    return hello
