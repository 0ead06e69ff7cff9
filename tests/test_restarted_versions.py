"""Streams that begin at a replica between its start with other software and its entry
(review/7)."""

from unittest import TestCase

from tests.support.routes import with_routes
from tests.support.version_streams import (
    STREAM_COUNT,
    StreamCallers,
    prepare_replicas,
    whole,
)

WORLD = {
    "replica_zones": ("north-a",) * 4,
    "zones": ("north-a", "north-a", "north-a", "south-a"),
}
NORTH = (0, 1, 2)
SOUTH = 3
# The time of a heartbeat, by which the entry of a replica is late.
ENTRY_SECONDS = 1.2


class RestartTest(TestCase):
    """The first replica runs v2 by then; its entry has v1."""

    async def begin(self, world, *hosts):
        """Return callers whose streams began before the entry of v2 was written."""
        await prepare_replicas(world)
        replica = world.replicas[0]
        replica.version, self.born = "v2", world.now_ms()
        await world.clock.sleep(0.2)
        callers = StreamCallers(world)
        await callers.begin(*hosts)
        self.assertGreater(len(callers.numbers_at("v2")), 2)
        await world.register_replica(replica, born=self.born)
        await world.clock.sleep(0.3)
        return callers

    def check(self, callers, attempts, prefix):
        """Check that no stream of v2 went on at v1, and that those of v1 did."""
        self.assertEqual(callers.mixed(prefix), [])
        self.assertGreaterEqual(len(whole(attempts)), len(callers.numbers_at("v1")) - 2)

    @with_routes(world_options=WORLD)
    async def test_within_one_answer(self, world):
        """Guards against a host that resumes such streams at the former version."""
        callers = await self.begin(world, *NORTH)
        await world.replicas[0].close()
        self.check(callers, await callers.read_on(), "c")

    @with_routes(world_options=WORLD)
    async def test_forwarded(self, world):
        """Guards against the same for streams that run in another region."""
        callers = await self.begin(world, SOUTH)
        await world.replicas[0].close()
        self.check(callers, await callers.read_on(), "c")

    @with_routes(world_options=WORLD)
    async def test_taken_up(self, world):
        """Guards against other hosts that were told the former version."""
        callers = await self.begin(world, *NORTH)
        await world.replicas[0].close()
        self.check(callers, await callers.take_up(1, 2, 0), "t")

    @with_routes(world_options=WORLD)
    async def test_earlier_streams(self, world):
        """Guards against streams of the former run that are refused."""
        await prepare_replicas(world)
        callers = StreamCallers(world)
        await callers.begin(*NORTH)
        await callers.leave()
        await world.clock.sleep(1.0)
        replica = world.replicas[0]
        replica.version = "v2"
        born = world.now_ms()
        await world.clock.sleep(ENTRY_SECONDS)
        await world.register_replica(replica, born=born)
        await world.clock.sleep(0.3)
        attempts = await callers.take_up(1, 2, 0)
        self.assertEqual(callers.mixed("t"), [])
        self.assertGreaterEqual(len(whole(attempts)), STREAM_COUNT - 2)
