"""Calls that only replicas with one version of the software may run."""

import json
from unittest import TestCase

import curio

from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.core.errors import (
    Outcome,
    Reason,
    Refusal,
    not_run_refusal,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.gateways.codec import decode, encode
from sassafraskeel.gateways.forwarding import message_to_refusal, refusal_to_message
from tests.support.routes import ROUTES, manifest, with_routes
from tests.support.versions import (
    TWO_REGIONS,
    bind,
    call,
    fail_repeatedly,
    place,
    runs,
    set_versions,
)

REFUSE_SECONDS = 0.3
FOUR_REPLICAS = ("north-a",) * 4
ONE_REGION = {
    "zones": ("north-a", "north-a"),
    "replica_zones": FOUR_REPLICAS,
}
# The latency objective is long enough for calls to wait for a slot.
ENGINE = manifest(
    routes=[dict(r, targetLatencyMs=4000) for r in ROUTES],
    engine={"slots": 1, "kvCapacityTokens": 100_000},
)


class LocalPlacementTest(TestCase):
    """Calls that are placed in the region of their host."""

    async def check_host(self, world, number):
        """Check that calls run only at the last two of the four replicas."""
        await set_versions(world, "v1", "v1", "v2", "v2")
        bind(world.hosts[number], "v2")
        for attempt in range(12):
            head, _ = await world.call(
                "/stream/chat/1", "POST", host=number, call_id=f"c-{attempt}"
            )
            self.assertEqual(head.status, 200)
        self.assertEqual(runs(world)[:2], [0, 0])
        self.assertEqual(sum(runs(world)), 12)

    @with_routes(world_options=ONE_REGION)
    async def test_coordinator(self, world):
        """Guards against a stream that goes on at another version."""
        await self.check_host(world, world.hosts.index(world.coordinator()))

    @with_routes(world_options=ONE_REGION)
    async def test_host_with_grants(self, world):
        """Guards against a coordinator that grants replicas of any version."""
        coordinator = world.hosts.index(world.coordinator())
        await self.check_host(world, 1 - coordinator)

    @with_routes(world_options=ONE_REGION)
    async def test_any_version(self, world):
        """Guards against calls without a version that use only some replicas."""
        await set_versions(world, "v1", "v2", "v3", "v4")
        for attempt in range(40):
            await world.call("/read/1", call_id=f"c-{attempt}")
        self.assertTrue(all(runs(world)), runs(world))

    @with_routes(world_options=ONE_REGION)
    async def test_retry(self, world):
        """Guards against a retry at another version after a failed replica."""
        await set_versions(world, "v1", "v1", "v2", "v2")
        bind(world.hosts[0], "v2")
        for replica in world.replicas[2:]:
            replica.refuse = 1
        await world.call("/stream/chat/1", "POST")
        self.assertEqual(runs(world)[:2], [0, 0])

    @with_routes(world_options=ONE_REGION)
    async def test_replica_with_another_version(self, world):
        """Guards against a slot of a replica whose entry has another version by now.

        An entry without the start of its run is of any run of the replica.
        """
        host = world.hosts[0]
        listed = host.fleet.get("r-0")
        changed = listed._replace(software_version="v2")
        host.fleet.update(changed)
        now = world.clock.monotonic()
        self.assertFalse(host.fleet.accepts_work(listed, now))
        self.assertTrue(host.fleet.accepts_work(changed, now))

    @with_routes(world_options=ONE_REGION)
    async def test_paused(self, world):
        """Guards against a call that waits although all of its version are paused."""
        await set_versions(world, "v1", "v1", "v2", "v2")
        host = world.coordinator()
        now = world.clock.monotonic()
        for name in ("r-2", "r-3"):
            replica = host.fleet.get(name)
            host._routing_state.statements.heard_pause(replica, 3.0, now)
        bound = call(now, "v2")
        self.assertAlmostEqual(host.placement.options.pause_left(bound, now), 3.0)
        for other in ("v1", "v9"):
            left = host.placement.options.pause_left(call(now, other), now)
            self.assertEqual(left, 0)
        self.assertTrue(host.placement.options.lists_version(bound, now))
        self.assertFalse(host.placement.options.lists_version(call(now, "v9"), now))
        self.assertEqual(host.placement.options.pause_left(call(now), now), 0)
        with self.assertRaises(Refusal) as caught:
            await host.placement.find_target(bound, AttemptHistory())
        self.assertIs(caught.exception.reason, Reason.NO_UPSTREAM)
        self.assertEqual(world.clock.monotonic(), now)


class CoordinatorTest(TestCase):
    @with_routes(world_options=ONE_REGION)
    async def test_no_link_to_the_coordinator(self, world):
        """Guards against a host that ignores the version when it places by itself."""
        await set_versions(world, "v1", "v1", "v1", "v2")
        number = 1 - world.hosts.index(world.coordinator())
        host = world.hosts[number]
        host._coordinated_placement._coordinator_link = lambda: None
        bind(host, "v2")
        for attempt in range(4):
            await world.call(
                "/stream/chat/1", "POST", host=number, call_id=f"c-{attempt}"
            )
        self.assertEqual(runs(world), [0, 0, 0, 4])


class QueueTest(TestCase):
    """Calls that wait for a slot at their version."""

    async def use_slots(self, world, *versions):
        """Give each replica one slot, and use those of some versions for a second."""
        for replica in world.replicas:
            replica.delay = 0.2
        await set_versions(world, "v1", "v1", "v2", "v2", slots=1)
        host = world.coordinator()
        placement = host.placement
        taken = []
        for version in versions:
            now = world.clock.monotonic()
            bound = call(now, version)
            target = await placement.find_target(bound, AttemptHistory())
            taken.append((target, bound))
        return host, taken

    @with_routes(world_options=ONE_REGION, document=ENGINE)
    async def test_slot_of_another_version(self, world):
        """Guards against a waiting call that gets a free slot of another version."""
        host, taken = await self.use_slots(world, "v1", "v1")
        placement, now = host.placement, world.clock.monotonic()
        waiting = await curio.spawn(
            placement.find_target, call(now, "v1"), AttemptHistory()
        )
        await world.clock.sleep(0.5)
        self.assertFalse(waiting.terminated)
        await placement.release(*taken[1], prefilled=False)
        target = await waiting.join()
        self.assertEqual(target.name, taken[1][0].name)

    @with_routes(world_options=ONE_REGION, document=ENGINE)
    async def test_waiting_call_blocks_no_others(self, world):
        """Guards against calls that wait, or leave the region, behind a bound one.

        The first call of the queue waits for a version whose slots are all used, while
        other versions have free slots.
        """
        host, _ = await self.use_slots(world, "v1", "v1")
        placement, now = host.placement, world.clock.monotonic()
        waiting = await curio.spawn(
            placement.find_target, call(now, "v1"), AttemptHistory()
        )
        await world.clock.sleep(0.1)
        started = world.clock.monotonic()
        first = await placement.find_target(call(started), AttemptHistory())
        second = await placement.find_target(call(started, "v2"), AttemptHistory())
        self.assertEqual(world.clock.monotonic(), started)
        self.assertEqual({first.name, second.name}, {"r-2", "r-3"})
        self.assertFalse(waiting.terminated)
        await waiting.cancel()

    @with_routes(world_options=TWO_REGIONS, document=ENGINE)
    async def test_waiting_call_sends_no_others_away(self, world):
        """Guards against new calls that leave a region with free slots."""
        await set_versions(world, "v1", "v2", "v2", "v2", slots=1)
        placement, now = world.hosts[0].placement, world.clock.monotonic()
        await placement.find_target(call(now, "v1"), AttemptHistory())
        waiting = await curio.spawn(
            placement.find_target, call(now, "v1"), AttemptHistory()
        )
        await world.clock.sleep(0.1)
        target = await placement.find_target(call(now), AttemptHistory())
        self.assertEqual(target.name, "r-1")
        await waiting.cancel()

    @with_routes(world_options=ONE_REGION, document=ENGINE)
    async def test_queue_of_a_version(self, world):
        """Guards against a call that waits behind too many of its own version."""
        host, _ = await self.use_slots(world, "v1", "v1")
        placement, now = host.placement, world.clock.monotonic()
        host._routing_state.service_times.record("desk", "model", 1.5)
        tasks = []
        for _ in range(8):
            tasks.append(await curio.spawn(place, placement, call(now, "v1")))
            await world.clock.sleep(0.01)
        waiting = [task for task in tasks if not task.terminated]
        # Both slots are free again after about 1.5 s, and calls may wait for 3 s.
        self.assertIn(len(waiting), (3, 4))
        for task in waiting:
            await task.cancel()
        for task in set(tasks) - set(waiting):
            self.assertIs(task.result.reason, Reason.OVERLOADED)

    @with_routes(world_options=ONE_REGION, document=ENGINE)
    async def test_queue_goes_on_behind_a_bound_call(self, world):
        """Guards against a slot that stays free while calls wait for it."""
        host, taken = await self.use_slots(world, "v1", "v1", "v2", "v2")
        placement, now = host.placement, world.clock.monotonic()
        tasks = []
        for version in ("v1", "", "v2"):
            bound = call(now, version)
            tasks.append(
                await curio.spawn(placement.find_target, bound, AttemptHistory())
            )
            await world.clock.sleep(0.01)
        for target, bound in taken[2:]:
            await placement.release(target, bound, prefilled=False)
        await world.clock.sleep(0.01)
        self.assertEqual([task.terminated for task in tasks], [False, True, True])
        for task in tasks:
            await task.cancel()

    @with_routes(world_options=ONE_REGION, document=ENGINE)
    async def test_wait_that_is_too_long(self, world):
        """Guards against a call that waits by the slots of replicas it can't use."""
        host, _ = await self.use_slots(world)
        options, now = host.placement.options, world.clock.monotonic()
        host._routing_state.service_times.record("desk", "model", 1.0)
        # The mean time between two slots of one replica.
        slot = 4 * options.predicted_wait(call(now), 0, now)
        bound = call(now, "v1")
        for wait, slots in (
            (options.predicted_wait(call(now), 1, now), 2 / 4),
            (options.predicted_wait(bound, 0, now), 1 / 2),
            (options.predicted_wait(bound, 1, now), 1 / 2 + 1 / 4),
            (options.predicted_wait(bound, 0, now, 1), 2 / 2),
        ):
            self.assertAlmostEqual(wait, slots * slot)
        self.assertGreater(options.predicted_wait(call(now, "v9"), 0, now), 1e9)


class VersionGoneTest(TestCase):
    """Calls whose version has no replica left."""

    async def check_refusal(self, world, host, path="/stream/chat/1"):
        """Check that a host refuses calls at `v1` at once."""
        bind(world.hosts[host], "v1")
        started = world.clock.monotonic()
        head, body = await world.call(path, "POST", host=host)
        self.assertLess(world.clock.monotonic() - started, REFUSE_SECONDS)
        self.assertEqual(head.status, 503)
        self.assertGreater(float(find_header(head.headers, b"retry-after")), 0)
        self.assertEqual(json.loads(body)["error"], "version_gone")
        self.assertEqual(sum(runs(world)), 0)

    @with_routes(world_options=ONE_REGION)
    async def test_no_replica(self, world):
        """Guards against a call that is held for a version that is gone."""
        await set_versions(world, "v2", "v2", "", "")
        for host in (0, 1):
            await self.check_refusal(world, host)

    @with_routes(world_options=ONE_REGION)
    async def test_draining_replicas(self, world):
        """Guards against a wait for replicas that get no new calls any more."""
        await set_versions(world, "v2", "v2", "v2", "v1")
        await world.register_replica(world.replicas[3], state="draining")
        await world.clock.sleep(1)
        for host in (0, 1):
            await self.check_refusal(world, host)

    @with_routes(world_options=ONE_REGION)
    async def test_leaving_replicas(self, world):
        """Guards against a wait for replicas that said that they leave."""
        await set_versions(world, "v2", "v2", "v2", "v1")
        host, now = world.coordinator(), world.clock.monotonic()
        host._routing_state.statements.heard_leaving(host.fleet.get("r-3"), now)
        await self.check_refusal(world, world.hosts.index(host))

    @with_routes(world_options=TWO_REGIONS)
    async def test_region_that_is_no_home(self, world):
        """Guards against a wait for a region that may not run the call."""
        await set_versions(world, "v2", "v2", "v1", "v1")
        host, now = world.hosts[0], world.clock.monotonic()
        options = host.placement.options
        policy = call(now).route_policy
        self.assertTrue(options.lists_version(call(now, "v1"), now))
        at_home = policy._replace(home_regions=frozenset(["north"]))
        bound = call(now, "v1", route_policy=at_home)
        self.assertFalse(options.lists_version(bound, now))

    @with_routes(world_options=ONE_REGION)
    async def test_crashed_replica(self, world):
        """Guards against a refusal while a replica of the version may come back."""
        await set_versions(world, "v2", "v2", "v2", "v1")
        host, now = world.coordinator(), world.clock.monotonic()
        fail_repeatedly(host, "r-3", now)
        with self.assertRaises(Refusal) as caught:
            await host.placement.find_target(call(now, "v1"), AttemptHistory())
        self.assertIs(caught.exception.reason, Reason.NO_UPSTREAM)
        self.assertGreater(world.clock.monotonic(), now + 0.5)

    @with_routes(world_options=ONE_REGION)
    async def test_last_replica_leaves(self, world):
        """Guards against a waiting call that outlives the version it waits for."""
        await set_versions(world, "v2", "v2", "v2", "v1")
        host, now = world.coordinator(), world.clock.monotonic()
        fail_repeatedly(host, "r-3", now)
        task = await curio.spawn(place, host.placement, call(now, "v1"))
        await world.clock.sleep(0.1)
        await world.store.write("servers/r-3", None)
        refusal = await task.join()
        self.assertIs(refusal.reason, Reason.VERSION_GONE)
        self.assertLess(world.clock.monotonic(), now + 0.9)

    def test_message(self):
        """Guards against a refusal that other hosts can't decode."""
        refusal = not_run_refusal(Reason.VERSION_GONE, "v1", 5.0)
        read = message_to_refusal(decode(encode(refusal_to_message(refusal))))
        self.assertEqual(
            (read.outcome, read.reason, read.retry_after),
            (Outcome.NOT_RUN, Reason.VERSION_GONE, 5.0),
        )
