"""Rules that planned stops rest on, each without the others that may hide its loss."""

from unittest import TestCase

import curio
import h11

from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.core.errors import ConnectionLost, Outcome, Reason, Refusal, TimedOut
from sassafraskeel.core.http import HttpConnection
from sassafraskeel.core.http_requests import wait_for_request
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.route_settings import PeerSection
from sassafraskeel.core.types import HostInfo
from sassafraskeel.core.watched_stream import WatchedStream
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.gateways.channel import accept_channel
from sassafraskeel.gateways.messages import Accept, Hello, Refuse
from sassafraskeel.gateways.route_forwarding import RouteForwarder
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork, stream_pair
from tests.support.offers import PEER, dial_host, send_offer
from tests.support.routes import with_routes
from tests.test_route_forwarding import LOCAL_HOST, REMOTE_HOST, on_spare_used, order


class AcceptTest(TestCase):
    @with_routes
    async def test_accept_before_the_run(self, world):
        """Guards against a call that runs before its host has sent Accept.

        The forwarding host takes a connection that ends without Accept as "not run".
        """
        host = world.hosts[0]
        channel = await dial_host(world, host)
        run, received = host.dispatcher.run, []

        async def check_and_run(call, body):
            try:
                async with world.clock.timeout(0.1):
                    received.append(await channel.receive())
            except TimedOut:
                received.append(None)
            return await run(call, body)

        host.dispatcher.run = check_and_run
        await send_offer(world, channel, "c-1")
        await world.clock.sleep(1)
        self.assertEqual([type(message) for message in received], [Accept])
        self.assertEqual(world.runs("c-1"), 1)

    @with_routes
    async def test_accept_that_is_not_sent(self, world):
        """Guards against a call that runs although Accept could not be written."""
        channel = await dial_host(world, world.hosts[0])

        async def fail(data):
            raise ConnectionLost("broken pipe")

        channel._stream.peer.write = fail
        await send_offer(world, channel, "c-1")
        await world.clock.sleep(1)
        self.assertEqual(world.runs("c-1"), 0)


class PeerScript:
    """A host that takes connections and ends each of its offers by `end`."""

    def __init__(self, clock, end):
        self.network = MemoryNetwork()
        self.forwarder = RouteForwarder(
            PeerSection(),
            LOCAL_HOST,
            clock,
            self.network,
            lambda: 1,
            NullLog(),
            on_spare_used,
        )
        self.connections = self.offers = 0
        self._end = end

    async def start(self):
        """Listen, and return the task that takes connections."""
        listener = await self.network.listen(REMOTE_HOST.gateways)
        return await curio.spawn(self._run, listener, daemon=True)

    async def _run(self, listener):
        while True:
            stream = await listener.accept()
            self.connections += 1
            hello = Hello(REMOTE_HOST, PeerSection().token, 1, "")
            channel, _ = await accept_channel(stream, hello)
            await channel.receive()  # The header of the call, then its body.
            await channel.receive()
            self.offers += 1
            await self._end(channel, stream)

    async def refused(self, clock):
        """Forward an order and return its refusal."""
        try:
            await self.forwarder.send(REMOTE_HOST, order(clock.monotonic()), b"")
        except Refusal as refusal:
            return refusal
        raise AssertionError("the order was answered")


async def close_stream(channel, stream):
    await stream.close()


async def reset_stream(channel, stream):
    await stream.reset()


async def send_close_frame(channel, stream):
    channel._protocol.send_close()
    await channel._flush()


async def refuse_and_close(channel, stream):
    await channel.send(Refuse("not_run", Reason.OVERLOADED.value, "", 1.0))
    await stream.close()


class ConnectionEndTest(TestCase):
    def check_outcome(self, end, outcome):
        async def main(clock):
            peer = PeerScript(clock, end)
            task = await peer.start()
            refusal = await peer.refused(clock)
            self.assertIs(refusal.outcome, outcome)
            self.assertEqual(peer.offers, 1)
            await task.cancel()

        run_virtual(main)

    def test_end_in_order(self):
        """Guards against an order that is held back although it was not accepted."""
        self.check_outcome(close_stream, Outcome.NOT_RUN)

    def test_reset(self):
        """Guards against a second run of an order whose Accept was lost in a reset."""
        self.check_outcome(reset_stream, Outcome.UNKNOWN)

    def test_close_frame(self):
        """Guards against a close frame that counts as the end of a connection.

        Hosts send no close frames, so that one says nothing about the order.
        """
        self.check_outcome(send_close_frame, Outcome.UNKNOWN)

    def test_kept_connection_that_ended(self):
        """Guards against an offer on a kept connection that its peer has closed."""

        async def main(clock):
            peer = PeerScript(clock, refuse_and_close)
            task = await peer.start()
            for number in (1, 2):
                refusal = await peer.refused(clock)
                self.assertIs(refusal.reason, Reason.OVERLOADED)
                self.assertEqual(peer.connections, number)
                await clock.sleep(0.1)
            await task.cancel()

        run_virtual(main)


class DrainCheckTest(TestCase):
    @with_routes
    async def test_receiver(self, world):
        """Guards against a draining host that takes a call it will cut off.

        The sender may not have heard of the drain yet. The drain is younger than the
        time for which calls of callers are taken without this check.
        """
        host = world.hosts[0]
        since = world.clock.monotonic() - 1.0
        host.hosts.mark_draining(host.membership.local_host, since)
        for seconds, reply in ((7.0, Refuse), (2.0, Accept)):
            channel = await dial_host(world, host)
            await send_offer(world, channel, f"c-{reply.__name__}", seconds)
            self.assertIsInstance(await channel.receive(), reply)
        await world.clock.sleep(1)
        self.assertEqual(world.runs("c-Refuse"), 0)

    @with_routes
    async def test_sender(self, world):
        """Guards against an offer to a host that closes before the call is over.

        Its refusal would cost a round trip to the other region.
        """
        host, now = world.hosts[2], world.clock.monotonic()
        north = [other.membership.local_host for other in world.hosts[:2]]
        for other in north:
            host.hosts.mark_draining(other, now - 3.0)
        options = host.placement.options
        for seconds, expected in ((5.0, []), (3.0, north)):
            call = order(now)._replace(expires=now + seconds)
            found = options.forward_hosts("north", call, AttemptHistory(), now)
            self.assertEqual(found, expected)


class DrainAgeTest(TestCase):
    @with_routes(world_options={"zones": ("north-a", *["south-a"] * 5)})
    async def test_drain_in_a_roster(self, world):
        """Guards against a drain that a roster shows as younger than it is."""
        coordinator = world.coordinator("south")
        draining = world.hosts[0].membership.local_host
        others = [
            host
            for host in world.hosts[1:]
            if host.membership.member(draining.name) is None
        ]
        self.assertTrue(others)
        since = world.clock.monotonic() - 3.0
        coordinator.hosts.mark_draining(draining, since)
        await world.clock.sleep(1.5)
        for host in others:
            host.hosts.reachable("north", world.clock.monotonic())
            self.assertIsNone(host.membership.member(draining.name))
            heard = host.hosts.draining_since(draining)
            self.assertIsNotNone(heard)
            self.assertAlmostEqual(heard, since, delta=0.6)

    def test_own_drain(self):
        """Guards against a host that forgets its own drain in a long grace period."""
        local_host = HostInfo("own", "b", "1", PEER.callers, PEER.gateways)
        table = HostTable(Membership(local_host), {"b": "south"})
        table.mark_draining(local_host, 10.0)
        for now in range(10, 40):
            table.reachable("south", float(now))
            self.assertEqual(table.draining_since(local_host), 10.0)


class LateTimeout:
    """A time limit that expires while its body returns."""

    async def __aenter__(self):
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        raise TimedOut(1.0)


class LateClock:
    """A clock whose time limits expire while their bodies return."""

    def timeout(self, seconds):
        return LateTimeout()


class IdleLimitTest(TestCase):
    def test_request_at_the_idle_limit(self):
        """Guards against a request that is dropped as the idle limit expires.

        A request that was read at this moment must be served; a connection that sent
        nothing is closed.
        """

        async def main(clock):
            left, right = stream_pair()
            stream = WatchedStream(right)
            http = HttpConnection(stream, h11.SERVER, clock)
            await left.write(b"GET / HTTP/1.1\r\n")
            self.assertTrue(await wait_for_request(http, stream, LateClock(), 1.0))
            left, right = stream_pair()
            stream = WatchedStream(right)
            http = HttpConnection(stream, h11.SERVER, clock)
            await left.close()
            self.assertFalse(await wait_for_request(http, stream, LateClock(), 1.0))

        run_virtual(main)
