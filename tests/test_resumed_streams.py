"""Forwarded streams that a planned stop cuts (docs/incidents, LOST)."""

from unittest import TestCase

import curio

from tests.support.routes import ROUTES, manifest, with_routes
from tests.test_route_host import drain_stream, events

# The host of the caller is in the south, and all replicas are in the north.
FAR_REPLICAS = {
    "world_options": {"replica_zones": ("north-a", "north-a")},
    "document": manifest(
        routes=[dict(r, timeoutMs=30_000, targetLatencyMs=8_000) for r in ROUTES]
    ),
}
ONE_FAR_HOST = {
    "world_options": {
        "replica_zones": ("north-a", "north-a"),
        "zones": ("north-a", "south-a"),
    },
    "document": FAR_REPLICAS["document"],
}
DEADLINE_MS = 30_000


class OfferTest(TestCase):
    """Offers of calls to hosts that are being stopped."""

    @with_routes(**FAR_REPLICAS)
    async def test_offer_to_a_host_without_service_times(self, world):
        """Guards against a refusal by a host that was started just before its stop.

        configs-rolls --seed 1 on atlas-coffre: it knew no mean time of such calls, and
        refused each that was allowed to last until after its close.
        """
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(2.0)
        world.hosts[2]._routing_state.service_times.record("desk", "model", 0.1)
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        body, _ = await drain_stream(conn)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        for task in drains:
            await task.join()

    @with_routes(**FAR_REPLICAS)
    async def test_host_of_the_caller_stops_too(self, world):
        """Guards against a call that is taken by its mean time and cut, although the
        host that forwards it is being stopped.

        That host may not have heard of the other's drain.
        """
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 0.1)
        for replica in world.replicas:
            replica.delay = 0.9
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(2.8)
        drains.append(await curio.spawn(world.hosts[2].drain))
        await world.clock.sleep(0.2)
        world.hosts[2].hosts.stays_until = lambda host, time: True
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        _, ended = await drain_stream(conn)
        self.assertTrue(ended)
        for task in drains:
            await task.join()

    @with_routes(
        world_options=FAR_REPLICAS["world_options"],
        document=manifest(
            routes=[dict(r, attempts=1, timeoutMs=9_000) for r in ROUTES]
        ),
    )
    async def test_read_on_a_route_with_one_attempt(self, world):
        """Guards against reads that are refused because they might last until their
        deadline, although they take a few milliseconds.
        """
        await world.call("/read/stock", host=2, call_id="first")
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(2.0)
        head, _ = await world.call("/read/stock", host=2, deadline_ms=9_000)
        self.assertEqual(head.status, 200)
        for task in drains:
            await task.join()

    @with_routes(**FAR_REPLICAS)
    async def test_wait_for_a_slot(self, world):
        """Guards against a call that waits in the queue of a draining host for so long
        that it is cut after its start.
        """
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 1.5)
        for replica in world.replicas:
            replica.hang = 1
            await world.register_replica(replica, slots=1)
        await world.clock.sleep(1.0)
        busy = []
        for number in (0, 1):
            call_id = f"busy-{number}"
            busy.append(
                await world.open_call(
                    "/order/1", call_id=call_id, deadline_ms=DEADLINE_MS
                )
            )
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(5.0)
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(1.2)
        for other in busy:
            await other.close()
        await drain_stream(conn)
        self.assertEqual(world.runs("c-1"), 0)
        for task in drains:
            await task.join()


class ResumeTest(TestCase):
    """Streams that go on after the host to which they were forwarded has closed."""

    @with_routes(**ONE_FAR_HOST)
    async def test_host_that_comes_back(self, world):
        """Guards against a stream that is given up because the host that cut it is
        not used again, although it was restarted.
        """
        await self.check_resume(world, 0)

    @with_routes(**ONE_FAR_HOST)
    async def test_host_that_comes_late(self, world):
        """Guards against a stream that is given up like a new call that finds no slot.

        configs-rolls --seed 1 on atlas-coffre: the host of the caller gave the stream
        up 1.3 s after the cut and 2.5 s before it closed itself.
        """
        await self.check_resume(world, 2)

    async def check_resume(self, world, number):
        """Check that a stream goes on through a host that is started 1.5 s late."""
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=1, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(0.3)
        await world.hosts[0].drain()
        await world.clock.sleep(1.5)
        world.hosts.append(world.build_host(number, "north-a", seed=99))
        await world.hosts[-1].start()
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        self.assertEqual(world.runs("c-1"), 2)

    @with_routes(**FAR_REPLICAS)
    async def test_host_that_closes_a_little_earlier(self, world):
        """Guards against a stream that waits for a host that stays as long as its own
        until its caller gives up, although another one stays long enough.

        configs-rolls --seed 1 on atlas-coffre: five callers gave up after 3.3 s.
        """
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 1.0)
        for replica in world.replicas:
            replica.delay = 1.5
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(0.3)
        [first] = [h for h in world.hosts[:2] if h.request_tracker.in_flight]
        [second] = [host for host in world.hosts[:2] if host is not first]
        number = world.hosts.index(second)
        drains = [await curio.spawn(first.drain)]
        await world.clock.sleep(6.2)
        for replica in world.replicas:
            replica.hang = 1
        busy = await world.open_call(
            "/order/1", host=number, call_id="busy", deadline_ms=DEADLINE_MS
        )
        for host in (second, world.hosts[2]):
            await world.clock.sleep(0.4)
            drains.append(await curio.spawn(host.drain))
        await world.clock.sleep(0.7)
        for replica in world.replicas:
            replica.delay = 0.1
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        await busy.close()
        for task in drains:
            await task.join()

    @with_routes
    async def test_time_of_the_rest(self, world):
        """Guards against service times that are too short after many resumes, so that
        streams are forwarded to hosts that close before their end.
        """
        for replica in world.replicas:
            replica.delay = 0.5
        times = world.hosts[0]._routing_state.service_times
        await world.call("/stream/chat/1", "POST")
        await world.clock.sleep(0.1)
        expected = times.expected("desk", "model")
        rest = ((b"last-event-id", b"4"), (b"resumes", b"c-1"))
        await world.call("/stream/chat/1", "POST", call_id="c-2", headers=rest)
        await world.clock.sleep(0.1)
        self.assertEqual(world.runs("c-2"), 1)
        self.assertEqual(times.expected("desk", "model"), expected)

    @with_routes(**FAR_REPLICAS)
    async def test_second_cut(self, world):
        """Guards against a stream that is resumed on its last run through a host that
        closes before it is over.

        rolls --seed 12 on atlas-coffre: the stream was cut twice and given up.
        """
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 0.1)
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(0.3)
        [first] = [h for h in world.hosts[:2] if h.request_tracker.in_flight]
        [second] = [host for host in world.hosts[:2] if host is not first]
        busy = await world.open_call(
            "/stream/chat/1",
            host=world.hosts.index(second),
            call_id="busy",
            deadline_ms=DEADLINE_MS,
        )
        drains = [await curio.spawn(first.drain)]
        await world.clock.sleep(1.5)
        drains.append(await curio.spawn(second.drain))
        await world.clock.sleep(7.8)
        world.hosts.append(world.build_host(3, "north-a"))
        await world.hosts[-1].start()
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        await busy.close()
        for task in drains:
            await task.join()

    @with_routes(**ONE_FAR_HOST)
    async def test_own_host_closes(self, world):
        """Guards against a stream that waits for a resume after its host has closed."""
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=1, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(0.3)
        drain = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(5.0)
        started_at = world.clock.monotonic()
        await world.hosts[1].drain()
        self.assertLess(world.clock.monotonic() - started_at, 7.6)
        _, ended = await drain_stream(conn)
        self.assertFalse(ended)
        await drain.join()
