"""Resumed streams at hosts that stop or come back (docs/incidents, LOST)."""

from unittest import TestCase

import curio

from tests.support.routes import ROUTES, manifest, with_routes
from tests.test_resumed_streams import DEADLINE_MS, ONE_FAR_HOST
from tests.test_route_host import drain_stream

THREE_RUNS = {
    "world_options": ONE_FAR_HOST["world_options"],
    "document": manifest(
        routes=[dict(r, attempts=3, timeoutMs=30_000) for r in ROUTES]
    ),
}


async def start_far_host(world, number, seed=None):
    """Start a further host in the region of the replicas."""
    host = world.build_host(number, "north-a", seed=seed)
    world.hosts.append(host)
    await host.start()
    return host


class CloseTest(TestCase):
    """A host that closes while it resumes a stream."""

    @with_routes(**THREE_RUNS)
    async def test_close_during_second_resume(self, world):
        """Guards against a host that closes late because a stream that was resumed
        before is resumed again after its task was cancelled.
        """
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=1, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(1.0)
        second = await start_far_host(world, 2)
        await world.clock.sleep(1.5)
        await world.hosts[0].close()
        await world.clock.sleep(3.0)
        self.assertEqual(world.runs("c-1"), 2)
        await second.close()
        await world.clock.sleep(0.3)
        started_at = world.clock.monotonic()
        await world.hosts[1].close()
        self.assertLess(world.clock.monotonic() - started_at, 0.1)
        self.assertEqual(world.runs("c-1"), 2)
        await conn.close()


class UnreachableHostTest(TestCase):
    """A host that was unreachable and is started again."""

    @with_routes(**ONE_FAR_HOST)
    async def test_host_that_was_unreachable(self, world):
        """Guards against a restarted host that gets no calls for two seconds because
        its last incarnation could not be reached.
        """
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=1, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(2.3)
        reader = await curio.spawn(drain_stream, conn)
        await world.hosts[0].close()
        await world.clock.sleep(0.4)
        self.assertTrue(world.hosts[1].hosts._unreachable_since)
        await start_far_host(world, 0, seed=99)
        await world.clock.sleep(1.2)
        self.assertEqual(world.runs("c-1"), 2)
        _, ended = await reader.join()
        self.assertTrue(ended)
