"""Tests of entries of older runs and of several restores of a store."""

from unittest import TestCase

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.crash_evidence import CrashEvidence
from sassafraskeel.decisions.fleet import LAPSE_GRACE_SECONDS, Fleet
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.platform.documents import PlatformDocumentCodec
from tests.support.clock import run_virtual
from tests.support.routes import ANY_PORT, RouteWorld, with_routes
from tests.test_fleet import replica


def host_info(name) -> HostInfo:
    return HostInfo(name, "a", "1", ANY_PORT, ANY_PORT)


class ReplicaTest(TestCase):
    async def check_unused(self, world, replica):
        arrivals = replica.arrivals
        for number in range(10):
            await world.call("/read/stock", call_id=f"d-{number}")
        self.assertEqual(replica.arrivals, arrivals)

    def test_older_run(self):
        """Guards against a replica that the entry of an older run takes back."""
        fleet = Fleet({"north-a": "north"})
        fleet.update(replica(started_at_ms=2, draining=True, sequence=1))
        self.assertTrue(fleet.is_outdated(replica(started_at_ms=1, sequence=9)))
        fleet.remove("r-1", 10.0)
        self.assertTrue(fleet.is_outdated(replica(started_at_ms=1, sequence=9)))
        self.assertFalse(fleet.is_outdated(replica(started_at_ms=3, sequence=1)))

    @with_routes
    async def test_older_run_is_used(self, world):
        """Guards against calls for a draining replica with an older run in the copy."""
        replica, copy = world.replicas[0], world.store.copy()
        await world.register_replica(replica, born=2, seqNo=1, state="draining")
        await world.clock.sleep(1)
        await world.store.restore(copy)
        await world.clock.sleep(3)
        await self.check_unused(world, replica)

    @with_routes
    async def test_first_entry_is_used(self, world):
        """Guards against a drain that an entry with the number 0 takes back."""
        replica = world.replicas[0]
        await world.register_replica(replica, born=2, seqNo=0)
        await world.clock.sleep(1)
        copy = world.store.copy()
        await world.register_replica(replica, born=2, seqNo=1, state="draining")
        await world.clock.sleep(1)
        await world.store.restore(copy)
        await world.clock.sleep(3)
        await self.check_unused(world, replica)


class SecondRestoreTest(TestCase):
    def setUp(self):
        self.fleet = Fleet({"north-a": "north"})
        self.before_end = 11.0 + LAPSE_GRACE_SECONDS - 0.1

    def restore_empty(self):
        """Restore the store twice, the second time within the grace of the first."""
        for now in (10.0, 11.0):
            self.fleet.store_restored(now)
            self.fleet.retain(set(), now)
            self.fleet.retain_evacuated(set(), now)

    def test_replica_is_dropped(self):
        """Guards against a replica that is dropped before it has registered again."""
        self.fleet.update(replica())
        self.restore_empty()
        self.assertEqual(self.fleet.expire(self.before_end), [])
        self.assertEqual(len(self.fleet.replicas("desk", self.before_end)), 1)
        self.assertEqual(self.fleet.expire(self.before_end + 0.2), ["r-1"])

    def test_evacuation_is_forgotten(self):
        """Guards against an evacuation that ends before it was written again."""
        self.fleet.set_evacuated("north-a", True, 9.0)
        self.restore_empty()
        self.assertEqual(self.fleet.ended_evacuations(self.before_end), [])
        ended = self.fleet.ended_evacuations(self.before_end + 0.2)
        self.assertEqual(ended, ["north-a"])


class FirstEraTest(TestCase):
    def test_restore_is_not_noticed(self):
        """Guards against a restore that is not noticed since the first era is 0."""

        async def main(clock):
            world = RouteWorld(clock)
            world.store.era = 0
            await world.start()
            copy = world.store.copy()
            await world.store.write("op/evacuate/north-a", b"{}")
            await clock.sleep(1)
            await world.store.restore(copy)
            for number in range(9):
                await clock.sleep(0.2)
                await world.call("/read/stock", call_id=f"e-{number}")
            arrivals = sum(replica.arrivals for replica in world.replicas[:2])
            await world.close()
            self.assertEqual(arrivals, 0)

        run_virtual(main)


class HostTest(TestCase):
    async def count_listed(self, world, stopped):
        """Return how many answers list a stopped host for callers of its region."""
        listed = 0
        for number in range(30):
            await world.clock.sleep(0.2)
            if number == 10:
                await world.store.compact()
            for host in (0, 1, 2):
                addresses = await world.directory(host, "south")
                listed += stopped.cfg.listen.callers in addresses
        return listed

    @with_routes(world_options={"zones": ("north-a", "north-a", "south-a", "south-a")})
    async def test_stopped_host_is_listed(self, world):
        """Guards against callers sent to a stopped host whose registration returns."""
        copy = world.store.copy()
        stopped = world.hosts[3]
        await stopped.drain()
        await world.clock.sleep(13)
        await world.store.restore(copy)
        self.assertEqual(await self.count_listed(world, stopped), 0)

    @with_routes(world_options={"zones": ("north-a", "north-a", "south-a", "south-a")})
    async def test_killed_host_is_listed(self, world):
        """Guards against callers sent to a killed host whose registration returns."""
        copy = world.store.copy()
        killed = world.hosts[3]
        await killed.close()
        await world.clock.sleep(13)
        await world.store.restore(copy)
        self.assertEqual(await self.count_listed(world, killed), 0)

    def test_registers_again(self):
        """Guards against a host that registers again and is not taken for alive."""
        table = HostTable(Membership(host_info("host-0")), {"a": "north"})
        other = host_info("host-1")
        for written, live in ((False, 0), (True, 1)):
            table.register(other)
            table.unregister("host-1")
            table.register(other, just_written=written)
            table.store_answered(10.0)
            self.assertEqual(table.count(10.0), 1 + live)

    @with_routes
    async def test_older_run_of_host(self, world):
        """Guards against a restarted host that its previous registration replaces."""
        copy, table = world.store.copy(), world.hosts[0].hosts
        host = world.hosts[2].membership.local_host._replace(incarnation="restarted")
        await world.hosts[2].close()
        await world.store.write(*PlatformDocumentCodec().encode_host(host))
        await world.clock.sleep(1)
        self.assertIn(host, table.registered())
        await world.store.restore(copy)
        await world.clock.sleep(1)
        self.assertIn(host, table.registered())

    def test_replaced_run(self):
        """Guards against a run of a host that comes back after a later one."""
        table = HostTable(Membership(host_info("host-0")), {"a": "north"})
        older, newer = (
            host_info("host-1"),
            host_info("host-1")._replace(incarnation="2"),
        )
        table.register(older)
        table.register(newer)
        table.register(older, just_written=False)
        self.assertEqual(table.registered(), [newer])
        table.unregister("host-1")
        table.register(older, just_written=False)
        self.assertEqual(table.registered(), [])


class CrashTableTest(TestCase):
    def test_cleared_crash_of_earlier_run(self):
        """Guards against a cleared crash of an earlier run that counts again."""
        earlier = CrashEvidence("host-0", "1")
        earlier.replica_lost("desk", "r-0", ("part",), 10.0)
        table = earlier.table(10.0)
        evidence = CrashEvidence("host-0", "2")
        evidence.merge("host-0", table, 11.0)
        evidence.survived("desk", ("part",), 12.0)
        evidence.merge("host-0", table, 13.0)
        self.assertTrue(evidence.is_empty)
