"""Invalid messages and misbehaving peers at the gateway server."""

import random
from datetime import UTC
from unittest import TestCase

import cbor2
from hypothesis import given, settings, strategies as st
from websockets.client import ClientProtocol
from websockets.frames import Frame, Opcode
from websockets.protocol import State
from websockets.uri import parse_uri

from sassafraskeel.core.errors import ConnectionLost, ProtocolError, SassafraskeelError
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import HostInfo
from sassafraskeel.gateways.channel import FRAMES_READ_BYTES, Channel, dial
from sassafraskeel.gateways.codec import (
    MAX_MESSAGE_BYTES,
    MESSAGE_TYPES,
    decode,
    encode,
)
from sassafraskeel.gateways.messages import Accept, Body, Hello, Offer, Request
from tests.support.clock import run_virtual
from tests.support.network import stream_pair
from tests.test_host import with_world

UNKNOWN_HOST = HostInfo("host-x", "south-a", "1", Address("::1", 1), Address("::1", 2))
LEAVES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.builds(lambda: 1 << 20_000)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
    | st.datetimes(timezones=st.just(UTC))
)
VALUES = st.lists(LEAVES, max_size=3) | LEAVES
FIELDS = {
    int: st.integers(0, 9),
    float: st.floats(0, 9),
    str: st.text(max_size=3),
    bytes: st.binary(max_size=3),
    bool: st.booleans(),
    HostInfo: st.just(["a", "b", "c", ["d", 1], ["e", 2], 1.0]),
}


def almost_valid_arrays():
    """Return a strategy for message arrays with one field replaced by any value."""

    def arrays(item):
        number, message_type = item
        annotations = message_type.__annotations__.values()
        fields = st.tuples(
            *(FIELDS.get(annotation, st.just([])) for annotation in annotations)
        )
        last = max(len(message_type._fields) - 1, 0)
        return st.tuples(fields, st.integers(0, last), VALUES).map(
            lambda drawn: (
                [number, *drawn[0][: drawn[1]], drawn[2]]
                + list(drawn[0][drawn[1] + 1 :])
            )
        )

    return st.sampled_from(sorted(MESSAGE_TYPES.items())).flatmap(arrays)


class CodecTest(TestCase):
    @settings(max_examples=500)
    @given(st.binary(max_size=64) | almost_valid_arrays().map(cbor2.dumps))
    def test_any_bytes(self, data):
        """Guards against input that raises another error than ProtocolError."""
        try:
            message = decode(data)
        except ProtocolError:
            return
        types = type(message).__annotations__.values()
        for value, annotation in zip(message, types, strict=True):
            if annotation in FIELDS:
                self.assertIs(type(value), annotation)
            if annotation is float:
                self.assertLess(abs(value), float("inf"))

    def test_costly_bytes(self):
        """Guards against messages whose decoding takes unbounded time or memory."""
        for data, detail in (
            (b"\x81" * 1_000_000, "nesting depth"),
            (b"\x9b\x7f" + b"\xff" * 7, "end of stream"),
            (b"\xd8\x23\x78\x20" + b"(a+)+" * 6 + b"$$", "tag 35"),
            (b"\xc2\x5a\x00\x0f\x00\x00" + b"\xff" * 0xF0000, "tag 2"),
            (cbor2.dumps([22, "not_run", "loop", "", float("nan")]), "finite"),
            (b"\x00" * (MAX_MESSAGE_BYTES + 1), "bytes"),
        ):
            with self.assertRaisesRegex(ProtocolError, detail):
                decode(data)


class GatewayServerTest(TestCase):
    async def open(
        self, world, purpose="calls", token="gateway-token", host=UNKNOWN_HOST
    ):
        hello = Hello(host, token, 1, purpose)
        address = world.hosts[2].membership.local_host.gateways
        return (await dial(world.network, address, hello))[0]

    async def assert_closed(self, world, channel, reason):
        with self.assertRaises(ConnectionLost, msg=reason):
            async with world.clock.timeout(5):
                while True:
                    await channel.receive()

    async def assert_serving(self, world):
        head, _ = await world.call(0, "GET", "/w/shop/desk/stock/1")
        self.assertEqual(head.status, 200)
        self.assertEqual(
            world.hosts[2]._gateway_server._open_connections, self.initial_connections
        )

    @with_world
    async def test_features(self, world):
        """Guards against features that the dialling end does not learn of."""
        server = world.hosts[2]._gateway_server
        hello = Hello(UNKNOWN_HOST, "gateway-token", 1, "control")
        address = world.hosts[2].membership.local_host.gateways
        for features, purpose in (("", "control"), ("one two", "control one two")):
            server._components = server._components._replace(features=features)
            channel, reply = await dial(world.network, address, hello)
            self.assertEqual(reply.purpose, purpose)
            await channel.close()

    @with_world
    async def test_wrong_tokens_and_messages(self, world):
        """Guards against peers without the token or that violate the protocol."""
        server = world.hosts[2]._gateway_server
        self.initial_connections = server._open_connections
        for token in ("", "gateway-toke", "operator-token", "\u00e9"):
            with self.assertRaises(SassafraskeelError, msg=token):
                await self.open(world, token=token)
        junk = random.Random(1).randbytes(300)
        offer = Offer(
            "c",
            "shop",
            "chat",
            "model",
            "POST",
            "/",
            (),
            9.0,
            3,
            ("host-9",),
            "",
            False,
            1,
        )
        cases = {
            "junk": lambda channel: channel._protocol.send_binary(junk),
            "text": lambda channel: channel._protocol.send_text(b"hello"),
            "too long": lambda channel: channel._protocol.send_binary(
                bytes(MAX_MESSAGE_BYTES + 1)
            ),
            "no offer": lambda channel: channel._protocol.send_binary(
                encode(Accept(1))
            ),
            "forged hop": lambda channel: channel._protocol.send_binary(encode(offer)),
            "unknown kind": lambda channel: channel._protocol.send_binary(
                encode(offer._replace(kind="x", hops=("host-x",)))
            ),
            "request on a call connection": lambda channel: (
                channel._protocol.send_binary(encode(Request(1, [10])))
            ),
        }
        for name, send in cases.items():
            channel = await self.open(world)
            send(channel)
            await channel._flush()
            await self.assert_closed(world, channel, name)
            await channel.close()
        await world.clock.sleep(1)
        await self.assert_serving(world)

    @with_world
    async def test_floods(self, world):
        """Guards against frames and idle connections that fill a host's memory."""
        self.initial_connections = world.hosts[2]._gateway_server._open_connections
        empty = Frame(Opcode.CONT, b"", fin=False)
        channel = await self.open(world)
        channel._protocol.send_frame(Frame(Opcode.BINARY, b"", fin=False))
        for _ in range(5000):
            channel._protocol.send_frame(empty)
        await channel._flush()
        await self.assert_closed(world, channel, "fragments")
        address = world.hosts[2].membership.local_host.gateways
        silent = [await world.network.connect(address) for _ in range(50)]
        uri = parse_uri(f"ws://{address.ip}:{address.port}/gateway")
        for stream in silent[:25]:
            half = Channel(stream, ClientProtocol(uri))
            await half.open_as_client()
        await world.clock.sleep(3)
        await self.assert_serving(world)

    def test_tiny_frames(self):
        """Guards against a host that parses thousands of frames in one turn."""

        async def main(clock):
            near, far = stream_pair()
            uri = parse_uri("ws://127.0.0.1:1/gateway")
            channel = Channel(near, ClientProtocol(uri, state=State.OPEN))
            await far.write(Frame(Opcode.BINARY, b"").serialize(mask=False) * 20_000)
            await channel._receive_frames()
            self.assertLessEqual(len(channel._received), FRAMES_READ_BYTES / 2)

        run_virtual(main)

    @with_world
    async def test_peer_leaves(self, world):
        """Guards against calls that continue after their connection was closed."""
        world.engine._token_delay = 100.0
        channel = await self.open(world)
        body = b'{"messages": [{"content": "x"}], "max_tokens": 3}'
        await channel.send(
            Offer(
                "c",
                "shop",
                "chat",
                "model",
                "POST",
                "/v1/chat/completions",
                (),
                300.0,
                3,
                ("host-x",),
                "",
                False,
                1,
            )
        )
        self.assertIsInstance(await channel.receive(), Accept)
        await channel.send(Body(body))
        await world.clock.sleep(1)
        self.assertEqual(world.hosts[2].request_tracker.in_flight, 1)
        await channel.close()
        await world.clock.sleep(1)
        self.assertEqual(world.hosts[2].request_tracker.in_flight, 0)
        self.assertEqual(world.hosts[2].in_flight("engine-1"), 0)
