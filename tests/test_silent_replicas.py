"""Sound replicas that fall silent for a second or so, which ends no answer."""

from unittest import TestCase

from tests.support.routes import ROUTES, manifest, with_routes
from tests.support.slow_replica import SlowReplica
from tests.test_route_faults import replace_replicas
from tests.test_route_host import drain_stream, events

# Only replicas of the north may run the calls.
NORTH = [dict(r, targetLatencyMs=800, homeRegions=["north"]) for r in ROUTES]
OPTIONS = {"document": manifest(routes=NORTH)}


class SilentReplicaTest(TestCase):
    async def check_stream(self, world, host=0):
        """Check that a stream is whole."""
        conn = await world.open_call("/stream/chat/1", host=host)
        await world.clock.sleep(0.1)
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])

    @with_routes(**OPTIONS)
    async def test_stream_that_could_go_on_elsewhere(self, world):
        """Guards against a stream that is taken from a sound replica by a pause."""
        slow = SlowReplica(world, 2, 1.5)
        await replace_replicas(world, 1, slow.answer)
        conn = await world.open_call("/stream/chat/1")
        await world.clock.sleep(0.1)
        await world.register_replica(world.replicas[1])
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        self.assertEqual(world.replicas[1].runs, [])

    @with_routes(**OPTIONS)
    async def test_stream_without_another_replica(self, world):
        """Guards against a stream that is cut although no other replica can go on.

        The host of the south forwards it to one of the north.
        """
        slow = SlowReplica(world, 2, 2.9)
        await replace_replicas(world, 1, slow.answer)
        for host in (0, 2):
            await self.check_stream(world, host)
        self.assertEqual(slow.runs, 2)

    @with_routes(**OPTIONS)
    async def test_start_without_another_replica(self, world):
        """Guards against a stream that is cut before its first event."""
        slow = SlowReplica(world, 0, 1.5)
        await replace_replicas(world, 1, slow.answer)
        await self.check_stream(world)
        self.assertEqual(slow.runs, 1)

    @with_routes(**OPTIONS)
    async def test_plain_answer_without_another_replica(self, world):
        """Guards against a plain answer that is given up without another replica."""
        slow = SlowReplica(world, 0, 1.2)
        await replace_replicas(world, 1, slow.answer_plainly)
        head, _ = await world.call("/read/1")
        self.assertEqual((head.status, slow.runs), (200, 1))

    @with_routes(**OPTIONS)
    async def test_only_replica_resets_a_stream(self, world):
        """Guards against a stream that may never go on at the replica that had it."""
        slow = SlowReplica(world, 2, 0.1, resets=True)
        await replace_replicas(world, 1, slow.answer)
        await self.check_stream(world)
        self.assertEqual(slow.runs, 2)
