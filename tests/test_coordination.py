"""Hosts of a region that place their calls through one coordinator."""

from unittest import TestCase

import curio

from sassafraskeel.core.net import Address
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import IDLE, Load
from sassafraskeel.decisions.membership import Member, Membership
from tests.support.routes import ANY_PORT, manifest, with_routes

FLEET = {
    "zones": ("north-a",) * 6 + ("south-a",),
    "replica_zones": ("north-a", "north-a"),
}
ENGINE = manifest(engine={"slots": 4, "kvCapacityTokens": 100_000})


def others(world):
    """Return the numbers of the northern hosts that do not coordinate the region."""
    coordinator = world.coordinator()
    return [n for n, host in enumerate(world.hosts[:6]) if host is not coordinator]


async def use_four_slots(world):
    """Give each replica four slots and answers that take a second."""
    for replica in world.replicas:
        replica.delay = 0.2
        await world.register_replica(replica, slots=4)
    await world.clock.sleep(1)


class RateShareTest(TestCase):
    def test_region_that_starts_again(self):
        """Guards against hosts that each send a cold replica a first request.

        callers --vary --seed 1054246922172 on pomar-prensa-grown (FAILBACK): twenty
        hosts of a region started within 1.2 s and learned of each other one by one.
        Eight of them placed a request at a cold replica within half a second.
        """
        regions = {"a": "north"}
        hosts = [
            HostInfo(f"h-{number}", "a", "1", Address("::1", number), ANY_PORT)
            for number in range(20)
        ]
        tables = [HostTable(Membership(host), regions) for host in hosts]
        coordinations = [Coordination(table) for table in tables]
        # The coordinator, and one host that does not reach it.
        max_senders = 2
        used: list[set[int]] = []
        for step in range(60):
            now = 100 + 0.05 * step
            for table in tables:
                # Each host links one more host, until it knows all.
                for peer in hosts[: step + 1]:
                    if peer != table.local_host:
                        table.register(peer)
                        table.membership.update(Member(peer, now, 1, False))
            shares = [c.rate_share("r-1", now) for c in coordinations]
            used.append({n for n, share in enumerate(shares) if share})
            senders = set().union(*used[-20:])
            self.assertLessEqual(len(senders), max_senders, "in the last second")
        self.assertTrue(used[-1])


class PlacementTest(TestCase):
    @with_routes(world_options=FLEET, document=ENGINE)
    async def test_burst_on_all_hosts(self, world):
        """Guards against replicas that many hosts fill at the same moment.

        Hosts that know each other's calls only from heartbeats sent 24 calls to the 8
        slots of the region within the same 0.4 s.
        """
        await use_four_slots(world)
        calls = [
            await world.open_call(
                "/stream/draft/1", host=number % 6, call_id=f"b-{number}"
            )
            for number in range(24)
        ]
        for _ in range(10):
            await world.clock.sleep(0.05)
            for replica in world.replicas:
                self.assertLessEqual(replica.running, 4)
        self.assertEqual(sum(replica.running for replica in world.replicas), 8)
        for conn in calls:
            await conn.close()
        await world.clock.sleep(1)
        for host in world.hosts[:6]:
            for replica in world.replicas:
                load = host.loads.total(replica.name, world.clock.monotonic())
                self.assertEqual(load, IDLE)

    @with_routes(world_options=FLEET | {"cores": (1.0, 1.0, 4.0)})
    async def test_fastest_host_coordinates(self, world):
        """Guards against a small host that places the calls of a whole region."""
        self.assertEqual(world.coordinator().membership.local_host.name, "host-2")

    @with_routes(world_options=FLEET, document=ENGINE)
    async def test_host_dies_with_calls(self, world):
        """Guards against slots that are never released after their host has died."""
        await use_four_slots(world)
        number = others(world)[0]
        for call in range(4):
            await world.open_call("/stream/draft/1", host=number, call_id=f"d-{call}")
        await world.clock.sleep(0.1)
        coordinator = world.coordinator()
        world.network.faults.freeze(f"host-{number}")
        await world.clock.sleep(4)
        now = world.clock.monotonic()
        for replica in world.replicas:
            self.assertEqual(coordinator.loads.total(replica.name, now), IDLE)
        await world.network.faults.thaw(f"host-{number}")

    @with_routes(world_options=FLEET)
    async def test_coordinator_freezes(self, world):
        """Guards against calls that wait for a coordinator that has stopped.

        A host places calls itself within a second, then the next host coordinates.
        """
        number = others(world)[0]
        coordinator = world.coordinator()
        name = coordinator.membership.local_host.name
        world.network.faults.freeze(name)
        started = world.clock.monotonic()
        head, _ = await world.call("/order/1", "POST", host=number, call_id="f-0")
        self.assertEqual(head.status, 200)
        self.assertLess(world.clock.monotonic() - started, 1.6)
        await world.clock.sleep(8)
        started = world.clock.monotonic()
        head, _ = await world.call("/order/1", "POST", host=number, call_id="f-1")
        self.assertEqual(head.status, 200)
        self.assertLess(world.clock.monotonic() - started, 0.2)
        await world.network.faults.thaw(name)

    @with_routes(world_options=FLEET, document=ENGINE)
    async def test_new_coordinator_knows_calls(self, world):
        """Guards against a new coordinator that takes busy replicas for idle ones."""
        await use_four_slots(world)
        for replica in world.replicas:
            replica.hang = 4
        numbers = others(world)
        for call in range(8):
            await world.open_call("/order/1", host=numbers[0], call_id=f"n-{call}")
        await world.clock.sleep(0.2)
        coordinator = world.coordinator()
        world.hosts.remove(coordinator)
        await coordinator.close()
        await world.clock.sleep(2)
        coordinator = world.coordinator()
        now = world.clock.monotonic()
        loads = [coordinator.loads.total(r.name, now).running for r in world.replicas]
        self.assertEqual(loads, [4, 4])

    @with_routes(world_options=FLEET)
    async def test_lapsed_grant(self, world):
        """Guards against a host that was suspended and then uses an old grant."""
        number = others(world)[0]
        host = world.hosts[number]
        client = host.dispatcher._placement
        accept_grant = client._accept_grant
        lapsed = []

        async def accept_late(*args):
            if not lapsed:
                lapsed.append(args)
                await world.clock.sleep(2.0)
            return await accept_grant(*args)

        client._accept_grant = accept_late
        head, _ = await world.call("/order/1", "POST", host=number)
        self.assertEqual(head.status, 200)
        self.assertEqual(world.runs(), 1)
        await world.clock.sleep(0.2)
        now = world.clock.monotonic()
        for replica in world.replicas:
            load = world.coordinator().loads.total(replica.name, now)
            self.assertEqual(load, Load(0, 0))

    @with_routes(world_options=FLEET, document=ENGINE)
    async def test_caller_leaves_queue(self, world):
        """Guards against slots granted to calls whose callers have left."""
        await use_four_slots(world)
        for replica in world.replicas:
            replica.hang = 4
        numbers = others(world)
        busy = [
            await world.open_call("/order/1", host=numbers[0], call_id=f"l-{call}")
            for call in range(8)
        ]
        await world.clock.sleep(0.1)
        waiting = [
            await world.open_call("/stream/draft/1", host=n, call_id=f"w-{n}")
            for n in numbers
        ]
        await world.clock.sleep(0.1)
        for conn in (*waiting, *busy):
            await conn.close()
        await world.clock.sleep(1)
        self.assertEqual(sum(world.runs(f"w-{n}") for n in numbers), 0)
        now = world.clock.monotonic()
        for replica in world.replicas:
            load = world.coordinator().loads.total(replica.name, now)
            self.assertEqual(load, IDLE)


class FeedTest(TestCase):
    @with_routes(world_options=FLEET)
    async def test_one_watch_a_region(self, world):
        """Guards against calls to the store that grow with hosts times changes."""
        await world.clock.sleep(3)
        before = len(world.store.calls)
        for number in range(10):
            await world.store.write("op/evacuate/east-a", b"{}" * (number + 1))
            await world.clock.sleep(1)
        watches = [call for call in world.store.calls[before:] if "kv-watch" in call]
        # Two regions, ten changes, and a watch without changes in between.
        self.assertLess(len(watches), 2 * (10 + 10 + 3))

    @with_routes(world_options=FLEET)
    async def test_changes_arrive(self, world):
        """Guards against hosts that miss the changes that their coordinator reads."""
        await world.clock.sleep(3)
        await world.store.write("op/config", manifest(7))
        await world.clock.sleep(0.8)
        self.assertEqual({host.fleet.version for host in world.hosts}, {7})

    @with_routes(world_options=FLEET)
    async def test_coordinator_loses_store(self, world):
        """Guards against changes that are late because the coordinator is cut off.

        A change must be in force within four seconds on hosts that reach the store.
        """
        await world.clock.sleep(3)
        coordinator = world.coordinator()
        name = coordinator.membership.local_host.name
        world.network.faults.cut([name], ["store"])
        await world.store.write("op/config", manifest(7))
        await world.clock.sleep(4)
        versions = {h.fleet.version for h in world.hosts if h is not coordinator}
        self.assertEqual(versions, {7})

    @with_routes(world_options=FLEET)
    async def test_coordinator_freezes(self, world):
        """Guards against changes that are late because the coordinator has stopped."""
        await world.clock.sleep(3)
        coordinator = world.coordinator()
        name = coordinator.membership.local_host.name
        world.network.faults.freeze(name)
        await world.store.write("op/config", manifest(7))
        await world.clock.sleep(4)
        versions = {h.fleet.version for h in world.hosts if h is not coordinator}
        self.assertEqual(versions, {7})
        await world.network.faults.thaw(name)


class RosterTest(TestCase):
    @with_routes(world_options=FLEET)
    async def test_store_outage(self, world):
        """Guards against hosts that are not listed while the store is away."""
        await world.clock.sleep(2)
        world.store.silent = True
        await world.clock.sleep(20)
        for number in range(6):
            self.assertEqual(len(await world.directory(number)), 6)

    @with_routes(world_options=FLEET)
    async def test_dead_host_in_store_outage(self, world):
        """Guards against a dead host that stays listed while the store is away."""
        await world.clock.sleep(2)
        world.store.silent = True
        await world.clock.sleep(1)
        number = others(world)[-1]
        address = world.hosts[number].cfg.listen.callers
        world.network.faults.freeze(f"host-{number}")
        await world.clock.sleep(8)
        for other in set(range(6)) - {number}:
            self.assertNotIn(address, await world.directory(other))
        await world.network.faults.thaw(f"host-{number}")

    @with_routes(world_options=FLEET)
    async def test_drain(self, world):
        """Guards against callers that are sent to a host that is being stopped."""
        await world.clock.sleep(2)
        number = others(world)[-1]
        address = world.hosts[number].cfg.listen.callers
        task = await curio.spawn(world.hosts[number].drain)
        await world.clock.sleep(1.5)
        for other in set(range(6)) - {number}:
            self.assertNotIn(address, await world.directory(other))
        await task.join()

    @with_routes(world_options=FLEET)
    async def test_few_links(self, world):
        """Guards against links and heartbeats that grow with the number of hosts."""
        await world.clock.sleep(3)
        for number in others(world):
            links = world.hosts[number]._links.links()
            self.assertLessEqual(len(links), 2)
