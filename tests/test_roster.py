"""Tests of rosters, of the ranking of coordinators and of the change feed."""

from unittest import TestCase

from sassafraskeel.core.errors import HistoryLost
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.coordination import rank_coordinators
from sassafraskeel.decisions.region_loads import (
    SUMMARY_TTL_SECONDS,
    RegionLoads,
    ServiceLoad,
)
from sassafraskeel.decisions.roster import HostState, Roster, RosterEntry
from sassafraskeel.store.feed import MAX_CHANGES, ChangeFeed
from sassafraskeel.store.interface import Change, ChangeBatch, StoreRevision
from tests.support.clock import run_virtual

ADDRESS = Address("10.0.0.1", 80)


def entry(number, state=HostState.LIVE):
    return RosterEntry(f"h-{number}", "1", state)


def host(name, capacity=1.0):
    return HostInfo(name, "a", "1", ADDRESS, ADDRESS, capacity)


class RosterTest(TestCase):
    def test_updates(self):
        """Guards against updates that grow with the fleet instead of its changes."""
        roster = Roster()
        roster.refresh([entry(n) for n in range(100)])
        first = roster.update_since(0)
        self.assertTrue(first.complete)
        self.assertEqual(len(first.entries), 100)
        roster.refresh([entry(n) for n in range(100)])
        self.assertEqual(roster.update_since(first.version).entries, ())
        drained = [entry(n) for n in range(1, 99)]
        roster.refresh([entry(0, HostState.DRAINING), *drained])
        update = roster.update_since(first.version)
        self.assertFalse(update.complete)
        self.assertEqual(
            set(update.entries),
            {entry(0, HostState.DRAINING), entry(99, HostState.GONE)},
        )

    def test_unknown_version(self):
        """Guards against a new coordinator that sends only a part of its roster."""
        roster = Roster()
        roster.refresh([entry(1)])
        self.assertTrue(roster.update_since(7).complete)

    def test_gone_hosts_are_dropped(self):
        """Guards against a roster that grows with every host that ever ran."""
        roster = Roster()
        roster.refresh([entry(n) for n in range(10)])
        roster.refresh([])
        roster.retain(set())
        self.assertEqual(roster.update_since(1).entries, ())


class RankingTest(TestCase):
    def test_change_of_one_host(self):
        """Guards against a change of coordinator when another host comes or goes."""
        hosts = [host(f"h-{n}") for n in range(20)]
        ranked = rank_coordinators("north", hosts)
        for gone in ranked[1:]:
            rest = [h for h in hosts if h is not gone]
            self.assertEqual(rank_coordinators("north", rest)[0], ranked[0])

    def test_capacity(self):
        """Guards against a slow coordinator of a large region."""
        hosts = [host("fast", 2.1), *(host(f"h-{n}", 0.5) for n in range(20))]
        self.assertEqual(rank_coordinators("north", hosts)[0].name, "fast")


class RegionLoadsTest(TestCase):
    def test_old_summary(self):
        """Guards against calls sent to a region that has not been heard of lately."""
        loads = RegionLoads()
        loads.update("south", {"desk": ServiceLoad(2, 8, 0.1)}, 10.0)
        self.assertEqual(loads.regions(10.0), ["south"])
        loads.update("south", {}, 9.0)
        self.assertEqual(list(loads.services("south")), ["desk"])
        self.assertEqual(loads.regions(10.0 + SUMMARY_TTL_SECONDS), [])


MIB = 1024 * 1024


def at(number) -> StoreRevision:
    return StoreRevision(1, number)


class ChangeFeedTest(TestCase):
    def test_changes(self):
        """Guards against changes that a follower misses or gets twice."""

        async def main(clock):
            feed = ChangeFeed(clock)
            await feed.reset(at(5))
            changes = (Change("a", b"1", at(6)), Change("b", b"", at(7)))
            await feed.add(ChangeBatch(changes, at(7)))
            batch = await feed.wait(at(6), 1.0)
            self.assertEqual([change.key for change in batch.changes], ["b"])
            self.assertEqual(batch.revision, at(7))
            started = clock.monotonic()
            self.assertEqual((await feed.wait(at(7), 1.0)).changes, ())
            self.assertGreaterEqual(clock.monotonic() - started, 1.0)
            with self.assertRaises(HistoryLost):
                await feed.wait(at(4), 1.0)

        run_virtual(main)

    def test_bound(self):
        """Guards against a feed that keeps every change, or hides that it does not."""

        async def main(clock):
            feed = ChangeFeed(clock)
            await feed.reset(at(1))
            changes = tuple(
                Change(f"k-{n}", b"", at(2 + n)) for n in range(MAX_CHANGES + 10)
            )
            await feed.add(ChangeBatch(changes, changes[-1].revision))
            with self.assertRaises(HistoryLost):
                await feed.wait(at(5), 1.0)
            self.assertEqual(len((await feed.wait(at(11), 1.0)).changes), MAX_CHANGES)

        run_virtual(main)

    def test_large_values(self):
        """Guards against a feed that is bounded by changes but not by their bytes."""

        async def main(clock):
            feed = ChangeFeed(clock)
            await feed.reset(at(1))
            for number in range(40):
                change = Change(f"k-{number}", bytes(MIB), at(2 + number))
                await feed.add(ChangeBatch((change,), change.revision))
            with self.assertRaises(HistoryLost):
                await feed.wait(at(1), 1.0)
            kept = (await feed.wait(at(36), 1.0)).changes
            self.assertEqual(
                [change.revision for change in kept], list(map(at, range(37, 42)))
            )

        run_virtual(main)

    def test_key_written_often(self):
        """Guards against followers that get, and hosts that keep, replaced changes.

        A follower that lacks many manifests gets the last one, and nothing is lost.
        """

        async def main(clock):
            feed = ChangeFeed(clock)
            await feed.reset(at(1))
            await feed.add(ChangeBatch((Change("b", b"1", at(2)),), at(2)))
            last = 2 * MAX_CHANGES
            for number in range(3, last):
                change = Change("a", bytes(MIB), at(number))
                await feed.add(ChangeBatch((change,), change.revision))
            removed = Change("c", None, at(last))
            await feed.add(ChangeBatch((removed,), removed.revision))
            batch = await feed.wait(at(1), 1.0)
            self.assertEqual([c.key for c in batch.changes], ["b", "a", "c"])
            self.assertEqual(batch.revision, at(last))
            behind = await feed.wait(at(last - 1), 1.0)
            self.assertEqual(behind.changes, (removed,))

        run_virtual(main)
