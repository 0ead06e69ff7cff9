"""Calls that meet a planned stop of a host (docs/incidents, LOST)."""

from unittest import TestCase

import curio

from sassafraskeel.core.errors import ConnectionLost, SassafraskeelError
from sassafraskeel.core.http_client import connect
from sassafraskeel.core.net import READ_SIZE_BYTES
from sassafraskeel.core.watched_stream import WatchedStream
from tests.support.network import deliver, stream_pair
from tests.support.routes import HOST, manifest, with_routes
from tests.test_route_host import drain_stream, events

REQUEST = (
    "GET /read/stock HTTP/1.1\r\n"
    f"Host: {HOST}\r\n"
    "X-Sassafraskeel-Request-Id: {call_id}\r\n"
    "X-Sassafraskeel-Deadline-Ms: 5000\r\n\r\n"
)


async def read_for(clock, stream, seconds) -> bytes:
    """Return what arrives on a stream within some seconds, or until it ends."""
    data = b""
    try:
        async with clock.timeout(seconds):
            while part := await stream.read():
                data += part
    except SassafraskeelError:
        pass  # The time is over, or the connection was reset.
    return data


async def deliver_with_close(server, streams) -> None:
    """Let requests arrive on connections while their server stops listening."""
    close = server.close

    async def close_and_deliver():
        await close()
        for number, stream in enumerate(streams):
            request = REQUEST.replace("5000", "2000").format(call_id=f"last-{number}")
            await deliver(stream, request.encode())

    server.close = close_and_deliver


class GivingWayStream(WatchedStream):
    """A stream whose task lets others run before each read."""

    giving_way = False

    async def read(self, max_bytes=READ_SIZE_BYTES):
        self.giving_way = True
        await curio.sleep(0)
        self.giving_way = False
        return await super().read(max_bytes)


class IdleConnectionTest(TestCase):
    @with_routes
    async def test_request_that_arrives_with_the_stop(self, world):
        """Guards against a request that is read and then cancelled as idle.

        rolls --seed 2 on atlas-coffre: the bytes had arrived when the drain closed
        the idle connections, and the call ended without an answer or a refusal.
        """
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        await stream.write(REQUEST.format(call_id="first").encode())
        await world.clock.sleep(0.2)
        answer = await stream.read()
        self.assertIn(b"HTTP/1.1 200", answer)
        await deliver(stream, REQUEST.format(call_id="second").encode())
        await world.hosts[0]._caller_server.close_idle()
        answer = await read_for(world.clock, stream, 1.0)
        self.assertIn(b"HTTP/1.1 200", answer)
        self.assertEqual(world.runs("second"), 1)

    @with_routes
    async def test_connection_that_gives_way(self, world):
        """Guards against an idle connection that stays open through a planned stop,
        because its task gave way to others right when the host closed idle ones.
        """
        near, far = stream_pair()
        stream = GivingWayStream(far)
        address = world.hosts[0].cfg.listen.callers
        await world.network.listeners[address].queue.put(stream)
        while not stream.giving_way:
            await curio.sleep(0)
        await world.hosts[0]._caller_server.close_idle()
        self.assertEqual(await read_for(world.clock, near, 1.0), b"")
        self.assertTrue(near.has_ended())

    @with_routes
    async def test_head_in_two_parts(self, world):
        """Guards against a request whose head is cut off between two segments."""
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        request = REQUEST.format(call_id="parts").encode()
        await stream.write(request[:40])
        await world.clock.sleep(0.1)
        await world.hosts[0]._caller_server.close_idle()
        await stream.write(request[40:])
        answer = await read_for(world.clock, stream, 1.0)
        self.assertIn(b"HTTP/1.1 200", answer)

    @with_routes
    async def test_idle_connections_close(self, world):
        """Guards against idle connections that stay open through a drain."""
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        await world.clock.sleep(0.1)
        task = await curio.spawn(world.hosts[0].drain)
        async with world.clock.timeout(1.0):
            self.assertEqual(await stream.read(), b"")
        await task.join()


class LateConnectionTest(TestCase):
    @with_routes
    async def test_short_grace(self, world):
        """Guards against a host that still listens when its grace period is over."""
        host = world.build_host(3, "north-a", grace="3 s")
        world.hosts.append(host)
        await host.start()
        await world.clock.sleep(1)
        started_at = world.clock.monotonic()
        await host.drain()
        self.assertLess(world.clock.monotonic() - started_at, 2.5)

    @with_routes
    async def test_request_after_listening(self, world):
        """Guards against a stream that begins late in a drain, on a connection that
        was opened while the host still listened, and is cut at the end of the drain.
        """
        for replica in world.replicas:
            replica.delay = 0.8
        busy = await world.open_call("/stream/draft/1", call_id="busy")
        await world.clock.sleep(0.1)
        task = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(2.9)
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        await world.clock.sleep(1.6)
        request = REQUEST.replace("GET /read/stock", "POST /stream/draft/1")
        with self.assertRaises(ConnectionLost):
            await stream.write(request.format(call_id="late").encode())
        self.assertEqual(world.runs("late"), 0)
        await busy.close()
        await task.join()

    @with_routes
    async def test_stream_sent_late(self, world):
        """Guards against a stream that is begun late in a drain and cut at its end."""
        for replica in world.replicas:
            replica.delay = 1.2
        task = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(2.95)
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        await world.clock.sleep(0.15)
        request = REQUEST.replace("GET /read/stock", "POST /stream/draft/1")
        await stream.write(request.format(call_id="late").encode())
        answer = await read_for(world.clock, stream, 6.0)
        self.assertIn(b"HTTP/1.1 503", answer)
        self.assertEqual(world.runs("late"), 0)
        await task.join()

    @with_routes
    async def test_head_that_ends_late(self, world):
        """Guards against the same for a request that begins early and ends late."""
        for replica in world.replicas:
            replica.delay = 0.8
        task = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(2.5)
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        request = REQUEST.replace("GET /read/stock", "POST /stream/draft/1")
        request = request.format(call_id="late").encode()
        await stream.write(request[:40])
        await world.clock.sleep(2.0)
        await stream.write(request[40:])
        answer = await read_for(world.clock, stream, 6.0)
        self.assertIn(b"HTTP/1.1 503", answer)
        self.assertEqual(world.runs("late"), 0)
        await task.join()

    @with_routes
    async def test_request_that_arrives_with_the_end(self, world):
        """Guards against a request that is cancelled because no other one is running.

        Nothing is in flight while the bytes of a request wait for their task.
        """
        task = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(2.0)
        address = world.hosts[0].cfg.listen.callers
        streams = [await world.network.connect(address) for _ in range(8)]
        await deliver_with_close(world.hosts[0]._caller_server, streams)
        for stream in streams:
            answer = await read_for(world.clock, stream, 5.0)
            self.assertIn(b"HTTP/1.1 200", answer)
        await task.join()


SLOW_ROUTE = {
    "name": "slow",
    "pathPrefix": "/order/",
    "kind": "non_idempotent",
    "timeoutMs": 60000,
    "targetLatencyMs": 20000,
}
ONE_REPLICA = {
    "world_options": {"replica_zones": ("north-a",)},
    "document": manifest(routes=(SLOW_ROUTE,)),
}


class WaitingCallTest(TestCase):
    @with_routes(**ONE_REPLICA)
    async def test_coordinator_stops(self, world):
        """Guards against a call that gets no answer because it waits for a slot.

        It has not been sent to a replica, so that its caller may send it again.
        """
        await self.check_waiting_call(world, world.coordinator())

    @with_routes(**ONE_REPLICA)
    async def test_other_host_stops(self, world):
        """Guards against the same at a host that waits for its coordinator."""
        coordinator = world.coordinator()
        [other] = [host for host in world.hosts[:2] if host is not coordinator]
        await self.check_waiting_call(world, other)

    @with_routes(**ONE_REPLICA)
    async def test_forwarding_host_stops(self, world):
        """Guards against a call that gets no answer after it was forwarded.

        The other host may run it, so that the outcome is unknown.
        """
        await self.check_waiting_call(world, world.hosts[2], status=502)

    async def check_waiting_call(self, world, host, status=503):
        world.replicas[0].hang = 2
        await world.register_replica(world.replicas[0], slots=1)
        await world.clock.sleep(1)
        running = await self.open(world, host, "running")
        await world.clock.sleep(0.5)
        waiting = await self.open(world, host, "waiting")
        await world.clock.sleep(0.5)
        await host.drain()
        head = await waiting.receive_head()
        self.assertEqual(head.status, status)
        self.assertLessEqual(world.runs("waiting"), 1 if status == 502 else 0)
        for conn in (running, waiting):
            await conn.close()

    async def open(self, world, host, call_id):
        conn = await connect(world.network, host.cfg.listen.callers, world.clock)
        fields = (
            (b"host", HOST.encode()),
            (b"x-sassafraskeel-request-id", call_id.encode()),
            (b"x-sassafraskeel-deadline-ms", b"60000"),
        )
        await conn.send("POST", "/order/1", fields, b"")
        return conn


class ForwardingTest(TestCase):
    @with_routes(world_options={"replica_zones": ("north-a", "north-a")})
    async def test_stream_that_outlasts_the_drain(self, world):
        """Guards against a forwarded stream that is cut by a stop of the other host.

        rolls --seed 6 on atlas-coffre: a stream was taken 3.8 s after the drain of the
        host had begun, and was cut 3.7 s later at the end of its grace period.
        """
        for replica in world.replicas:
            replica.delay = 0.75
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        calls = []
        for number in range(7):
            await world.clock.sleep(0.5)
            call_id = f"late-{number}"
            conn = await world.open_call("/stream/draft/1", host=2, call_id=call_id)
            calls.append((call_id, conn))
        for call_id, conn in calls:
            body, ended = await drain_stream(conn)
            self.assertTrue(ended, call_id)
            if world.runs(call_id):
                self.assertEqual(events(body), [1, 2, 3, 4, 5])
            else:
                self.assertIn(b'"error"', body)
        for task in drains:
            await task.join()

    @with_routes(world_options={"replica_zones": ("north-a", "north-a")})
    async def test_call_that_ends_before_the_drain(self, world):
        """Guards against idle replicas of a region whose hosts are all draining."""
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(1.5)
        head, _ = await world.call("/read/stock", host=2)
        self.assertEqual(head.status, 200)
        for task in drains:
            await task.join()

    @with_routes(world_options={"replica_zones": ("north-a", "north-a")})
    async def test_stream_that_may_be_resumed(self, world):
        """Guards against idle replicas while only streams with long deadlines come.

        rolls --seed 3 on tivul-hem: the callers of a region with one replica kept all
        streams there, although most would have ended before the other regions closed.
        """
        for replica in world.replicas:
            replica.hang = 2
        running = [
            await world.open_call("/order/1", host=n, call_id=f"running-{n}")
            for n in (0, 1)
        ]
        await world.clock.sleep(0.2)
        for replica in world.replicas:
            replica.hang = 0
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(4.0)
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 0.1)
        conn = await world.open_call("/stream/chat/1", host=2, call_id="chat")
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        for conn in running:
            await conn.close()
        for task in drains:
            await task.join()

    @with_routes(world_options={"replica_zones": ("north-a", "north-a")})
    async def test_both_hosts_stop(self, world):
        """Guards against a stream that its entry host can't continue after a cut.

        rolls --seed 3 on pomar-prensa: a stream that may be resumed was cut by the stop
        of the other host, while the host of its caller was being stopped as well.
        """
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 0.1)
        for replica in world.replicas:
            replica.delay = 0.9
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(2.8)
        drains.append(await curio.spawn(world.hosts[2].drain))
        await world.clock.sleep(0.2)
        conn = await world.open_call("/stream/chat/1", host=2, call_id="chat")
        _, ended = await drain_stream(conn)
        self.assertTrue(ended)
        for task in drains:
            await task.join()

    @with_routes(world_options={"replica_zones": ("north-a",)})
    async def test_offer_that_crosses_the_close(self, world):
        """Guards against a 502 for an order that a closing host did not accept.

        rolls --seed 6 on atlas-coffre: 24 calls were offered to hosts that had just
        finished their drain, and their callers could not send them again.
        """

        async def close(channel, stream, offer):
            raise ConnectionLost("the host is closed")

        for host in world.hosts[:2]:
            host._gateway_server._serve_call = close
        head, _ = await world.call("/order/1", "POST", host=2, call_id="c-1")
        self.assertEqual(head.status, 503)
        del world.hosts[0]._gateway_server._serve_call
        await world.clock.sleep(2.5)
        for number in range(4):
            call_id = f"c-{number + 2}"
            head, _ = await world.call("/order/1", "POST", host=2, call_id=call_id)
            self.assertEqual(head.status, 200)
            self.assertEqual(world.runs(call_id), 1)

    @with_routes
    async def test_drain_older_than_a_host(self, world):
        """Guards against a host that was started in a drain and misjudges its age."""
        began = world.clock.monotonic()
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        for replica in world.replicas:
            replica.hang = 4
        calls = [await world.open_call("/order/1", call_id=f"c-{n}") for n in range(2)]
        calls += [
            await world.open_call("/order/1", host=1, call_id=f"d-{n}")
            for n in range(2)
        ]
        await world.clock.sleep(3.0)
        world.hosts.append(world.build_host(3, "south-a"))
        await world.hosts[3].start()
        await world.clock.sleep(1.5)
        table = world.hosts[3].hosts
        for number in (0, 1):
            since = table.draining_since(world.hosts[number].membership.local_host)
            self.assertIsNotNone(since)
            self.assertAlmostEqual(since, began, delta=0.6)
        for conn in calls:
            await conn.close()
        for task in drains:
            await task.join()
