"""What callers get while replicas name limits on the requests that they take."""

from collections import Counter
from unittest import TestCase

import curio

from sassafraskeel.decisions.call_costs import MAX_SERVICES, CallCosts
from tests.support.clock import run_virtual
from tests.support.engines import EngineModel, Region, replay
from tests.support.routes import with_routes

ENGINES = 6
HOSTS = 6
SUBJECTS = 60
# Four of the engines take three calls a second; the other two get the rest, which they
# serve in time if it is not the part of the mix that is most work.
LIMITED = 4
LIMIT = 3.0
CALLS_PER_SECOND = 40.0
SECONDS = 15.0
# The latency objective of the routes.
OBJECTIVE_SECONDS = 0.5
LARGE_ENGINE = EngineModel(
    slots=64, kv_cache_tokens=246_000, prefill_rate=42_600.0, chunk=0.02
)


def play(change=None):
    """Return the result of a load on engines most of which name a limit."""

    async def main(clock):
        region = Region(clock, HOSTS, ENGINES, coordinated=True, model=LARGE_ENGINE)
        region.limits = {f"e-{number}": LIMIT for number in range(LIMITED)}
        if change is not None:
            change(region._placements[0].options)
        return await replay(region, CALLS_PER_SECOND, SECONDS, SUBJECTS)

    return run_virtual(main)


def take_any_call(options):
    """Let replicas with limits take the first call that comes."""
    options.unreserved = lambda call, candidates, now: candidates


class LoadTest(TestCase):
    def test_limits_used_for_little_work(self):
        """Guards against limited replicas that relieve the others of little work.

        If any call used up the limits, three of ten first tokens were late.
        """
        reserved, first = play(), play(take_any_call)
        self.assertGreaterEqual(reserved.in_time, 0.95)
        self.assertGreater(reserved.in_time, first.in_time + 0.2)

    def test_services_bounded(self):
        """Guards against a table that grows with services that come and go."""
        costs = CallCosts()
        for number in range(2 * MAX_SERVICES):
            costs.record(f"s-{number}", 1.0)
        self.assertLessEqual(len(costs._means), MAX_SERVICES)


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
