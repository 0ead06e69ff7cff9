"""What callers get while replicas name limits on the requests that they take."""

from collections import Counter
from unittest import TestCase

import curio

from tests.support.routes import with_routes

# The latency objective of the routes.
OBJECTIVE_SECONDS = 0.5


async def send_reads(world, seconds, per_second, host=0):
    """Send reads at a rate; return the status and the seconds of each."""

    async def call(number):
        started = world.clock.monotonic()
        head, _ = await world.call("/read/1", host=host, call_id=f"n-{number}")
        return head.status, world.clock.monotonic() - started

    tasks = []
    for number in range(int(seconds * per_second)):
        tasks.append(await curio.spawn(call, number))
        await world.clock.sleep(1 / per_second)
    return [await task.join() for task in tasks]


class RefusalTest(TestCase):
    def assert_refused_soon(self, answers):
        """Check that no refused call was held for as long as it may be late."""
        refused_after = [seconds for status, seconds in answers if status == 503]
        self.assertLessEqual(max(refused_after), OBJECTIVE_SECONDS)

    @with_routes(world_options={"replica_zones": ("north-a", "north-a")})
    async def test_refused_after_waiting_for_limit(self, world):
        """Guards against calls that wait for a limit and are refused in the end.

        By the free slots of the replicas they would not have to wait.
        """
        for replica in world.replicas:
            replica.limit = "1"
        await send_reads(world, 2, 10)
        answers = await send_reads(world, 6, 10)
        statuses = Counter(status for status, _ in answers)
        self.assertEqual(statuses.keys(), {200, 503})
        self.assertGreaterEqual(statuses[200], 2 * 6 - 1)
        self.assert_refused_soon(answers)

    @with_routes
    async def test_forwarded_to_limited_region(self, world):
        """Guards against calls forwarded to a region whose replicas take no more."""
        for replica, limit in zip(world.replicas, ("2", "2", "1"), strict=True):
            replica.limit = limit
        await send_reads(world, 2, 10)
        await send_reads(world, 1, 10, host=2)
        southern_calls = await curio.spawn(send_reads, world, 6, 5, 2)
        answers = await send_reads(world, 6, 10)
        await southern_calls.join()
        self.assert_refused_soon(answers)
        now = world.clock.monotonic()
        load = world.hosts[2].placement.options.service_loads(now)["desk"]
        self.assertEqual((load.replicas, load.free_slots), (1, 0))

    @with_routes
    async def test_held_while_other_region_is_free(self, world):
        """Guards against calls refused or held while another region has free slots."""
        for replica in world.replicas[:2]:
            replica.limit = "1"
        await send_reads(world, 2, 10)
        answers = await send_reads(world, 6, 20)
        self.assertEqual({status for status, _ in answers}, {200})
        self.assertLess(max(seconds for _, seconds in answers), OBJECTIVE_SECONDS / 2)
