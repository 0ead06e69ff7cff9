"""Tests of the project's own interface with a store that is restored from a copy."""

from unittest import TestCase

import curio

from sassafraskeel.core.errors import LeaseLost, SheetConflict
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.settings import OrderSection, PlatformSection
from sassafraskeel.decisions.ledger import Ledger
from sassafraskeel.decisions.orders import OrderContext
from sassafraskeel.decisions.view_state import ViewState
from sassafraskeel.decisions.views import (
    View,
    ViewMember,
    agree,
    from_json,
    propose,
    to_json,
)
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.sheets.model import Fencing, Upstream
from sassafraskeel.store.host_list import (
    LEAVING_KEPT_SECONDS,
    POLL_SECONDS,
    LeavingUpstreams,
    poll_host_list,
)
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.leases import HeldLease
from sassafraskeel.store.sheet_store import HEAD_KEY, accept_sheet, read_head, read_text
from sassafraskeel.store.view_follower import WATCH_SECONDS, ViewFollower
from sassafraskeel.upstreams.control import LEASE_SECONDS, EngineControl
from tests.support.clock import run_virtual
from tests.support.domain import NORTH, with_orders
from tests.support.network import MemoryNetwork
from tests.support.orders import START, Simulation
from tests.support.upstreams import ANY_PORT, UpstreamFixture
from tests.test_precedence import sheet_text

VIEW_KEY = "views/a"
OLD_MODEL, WANTED_MODEL = "m-0", "m-1"


class StoreWorld:
    """The emulated store and its client."""

    def __init__(self, clock):
        self.clock = clock
        self.network = MemoryNetwork()
        self.platform = PlatformEmulator(clock, self.network, ANY_PORT)

    def client(self):
        cfg = PlatformSection(address=self.platform.address)
        return PlatformClient(cfg, self.clock, self.network)

    def lease(self, holder, name="control/s/a"):
        """Return a lease as a host holds it."""
        return HeldLease(self.client(), self.clock, name, holder, 30.0)


def with_store(test):
    """Run an async test method with a started store in virtual time."""

    def run(self):
        async def main(clock):
            world = StoreWorld(clock)
            await world.platform.start()
            try:
                await test(self, world)
            finally:
                await world.platform.close()

        run_virtual(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


class LeaseTest(TestCase):
    @with_store
    async def test_lease_of_another_holder_is_renewed(self, world):
        """Guards against a holder that takes the lease of a later one for its own."""
        first, second = world.lease("a"), world.lease("b")
        await first.acquire()
        copy = world.platform.copy()
        await world.clock.sleep(31)
        self.assertTrue(await second.acquire())
        world.platform.restore(copy)
        # The store lets restored leases run on, so that their holders can renew them.
        holder, fence, _ = copy.leases["control/s/a"]
        expires = world.clock.monotonic() + 30
        world.platform.leases["control/s/a"] = (holder, fence, expires)
        # The first holder has to wait for the commands of the second one.
        self.assertTrue(await first.acquire())

    @with_store
    async def test_renewal_after_restore(self, world):
        """Guards against a holder that renews a lease that the store has forgotten."""
        copy = world.platform.copy()
        lease = world.lease("a")
        await lease.acquire()
        await lease.renew()
        world.platform.restore(copy)
        with self.assertRaises(LeaseLost):
            await lease.renew()

    @with_store
    async def test_fencing_number_is_given_out_again(self, world):
        """Guards against two holders that have one fencing number, or a lower one."""
        copies = [world.platform.copy()]
        numbers = []
        for holder in "abc":
            lease = world.lease(holder)
            await lease.acquire()
            numbers.append(lease.fence)
            copies.append(world.platform.copy())
            await world.clock.sleep(31)
        for number, copy in enumerate(reversed(copies)):
            world.platform.restore(copy)
            lease = world.lease(f"restored-{number}")
            await lease.acquire()
            numbers.append(lease.fence)
        self.assertEqual(numbers, sorted(set(numbers)))


class AcceptanceTest(TestCase):
    async def accept_beside(self, world, between):
        """Accept a sheet; run `between` right before its head is written."""
        store = world.client()
        put = store.put

        async def put_later(key, value, revision):
            if key == HEAD_KEY:
                store.put = put
                await between()
            return await put(key, value, revision)

        store.put = put_later
        return await accept_sheet(store, sheet_text(20))

    @with_store
    async def test_accepted_sheet_is_overwritten_after_restore(self, world):
        """Guards against a sheet that replaces one accepted in a restored store."""
        await accept_sheet(world.client(), sheet_text(1))
        copy = world.platform.copy()
        await accept_sheet(world.client(), sheet_text(2))

        async def restore():
            world.platform.restore(copy)
            await accept_sheet(world.client(), sheet_text(10))

        with self.assertRaises(SheetConflict):
            await self.accept_beside(world, restore)
        head = world.platform.values[HEAD_KEY][0]
        self.assertEqual(len(head["lineage"]), 2)

    @with_store
    async def test_head_without_text_after_restore(self, world):
        """Guards against a head in the restored store whose text was lost."""
        await accept_sheet(world.client(), sheet_text(1))
        copy = world.platform.copy()

        async def restore():
            world.platform.restore(copy)

        with self.assertRaises(SheetConflict):
            await self.accept_beside(world, restore)
        await accept_sheet(world.client(), sheet_text(20))
        text = await read_text(world.client(), await read_head(world.client()))
        self.assertEqual(text, sheet_text(20))


class ViewWriteTest(TestCase):
    @with_store
    async def test_view_is_overwritten_after_restore(self, world):
        """Guards against an agreement that replaces a view of a restored store."""
        members = tuple(ViewMember(name, f"{name}-0", name) for name in "abc")
        view = View(7, members)
        changes = [
            propose(view, members[:2], "b-0", "remove-c"),
            propose(view, members[::2], "c-0", "remove-b"),
        ]
        copy = world.platform.copy()
        copy.values[VIEW_KEY] = (to_json(view), 4)
        world.platform.values[VIEW_KEY] = (to_json(changes[0]), 5)

        async def hand_over():
            context.view_state.freeze()
            world.platform.restore(copy)
            entry = await world.client().get(VIEW_KEY)
            await world.client().put(VIEW_KEY, to_json(changes[1]), entry.revision)

        context = OrderContext(
            ViewState(OrderSection(), members[0]), Ledger(OrderSection())
        )
        follower = ViewFollower(
            "a", context, world.client(), world.clock, NullLog(), hand_over, None
        )
        task = await curio.spawn(follower.run)
        await world.clock.sleep(2.0)
        await task.cancel()
        found = from_json(world.platform.values[VIEW_KEY][0])
        self.assertEqual(found, changes[1])


class RestoredViewTest(TestCase):
    def test_removed_host_reads_its_former_view(self):
        """Guards against an order that runs at a host that was removed, and again."""
        sim = Simulation(3)
        for slot in range(3):
            sim.start(slot)
        sim.tick(60)
        writes = len(sim.history)
        sim.partition({2}, "out")
        sim.tick(40)
        # The members of the newer view do not reach the restored store.
        sim.cut_platform = {0, 1}
        sim.restore(len(sim.history) - writes)
        for _ in range(40):
            sim.tick(1)
            for text in [sim.new_id() for _ in range(6)]:
                for host in sim.alive():
                    sim.submit(host, text)
                    sim.finish_attempts()
        sim.heal()
        sim.tick(90)
        self.assertTrue(sim.serves_orders())

    def test_activation_waits_again_after_restore(self):
        """Guards against a removal while the removed host reads the restored store."""
        members = tuple(ViewMember(name, f"{name}-0", name) for name in "ab")
        state = ViewState(OrderSection(), members[0])
        change = propose(View(7, members), members[:1], "a-0", "remove-b")
        change = agree(change, "a-0")
        for second in (0.0, 4.0):
            state.record_epoch(1)
            state.record_platform_read(change, second, second)
            self.assertIsNone(state.plan(change, second, START))
        # Between the two epochs the store had no such change for a moment.
        for second in (4.5, 6.0, 9.0):
            state.record_epoch(2)
            state.record_platform_read(change, second, second)
            self.assertIsNone(state.plan(change, second, START), second)
        state.record_platform_read(change, 9.6, 9.6)
        self.assertEqual(state.plan(change, 9.6, START).view.number, 8)

    @with_orders
    async def test_members_stay_over_a_short_outage(self, world):
        """Guards against hosts that leave their view because the store was restored."""
        members = world.members()
        copy = world.platform.copy()
        text = world.new_order_id()
        self.assertEqual(await world.order(NORTH[2], text), "answered")
        await world.clock.sleep(5)
        world.platform.down = True
        await world.clock.sleep(2)
        world.platform.restore(copy)
        world.platform.down = False
        for _ in range(10):
            await world.clock.sleep(1)
            for name in NORTH:
                self.assertEqual(await world.order(name, text), "answered")
                fresh = world.new_order_id()
                self.assertEqual(await world.order(name, fresh), "answered")
        self.assertEqual(world.members(), members)
        self.assertEqual(world.runs(text), 1)


class FollowTest(TestCase):
    @with_store
    async def test_view_of_a_lower_revision(self, world):
        """Guards against a follower that waits for a revision the store has lost."""
        members = tuple(ViewMember(name, f"{name}-0", name) for name in "ab")
        context = OrderContext(
            ViewState(OrderSection(), members[0]), Ledger(OrderSection())
        )
        world.platform.values[VIEW_KEY] = (to_json(View(7, members)), 4)
        copy = world.platform.copy()
        world.platform.values[VIEW_KEY] = (to_json(View(7, members)), 20)
        follower = ViewFollower(
            "a", context, world.client(), world.clock, NullLog(), None, None
        )
        task = await curio.spawn(follower.run)
        await world.clock.sleep(0.5)
        world.platform.restore(copy)
        entry = await world.client().get(VIEW_KEY)
        await world.client().put(VIEW_KEY, to_json(View(8, members)), entry.revision)
        await world.clock.sleep(WATCH_SECONDS)
        await task.cancel()
        self.assertEqual(context.view_state.number, 8)


class HostListTest(TestCase):
    @with_store
    async def test_leaving_upstream_is_listed_as_live_again(self, world):
        """Guards against new work for a leaving upstream by a restored host list."""
        upstream = Upstream(
            "desk-1", "a", ANY_PORT, "desk", 1, 1.0, None, Fencing.CHECKED
        )
        leaving = LeavingUpstreams(world.clock)

        async def on_host_list(states):
            leaving.set_states(states)

        world.platform.hosts["desk-1"] = "live"
        copy = world.platform.copy()
        world.platform.hosts["desk-1"] = "leaving"
        task = await curio.spawn(
            poll_host_list, world.client(), world.clock, on_host_list
        )
        await world.clock.sleep(POLL_SECONDS)
        self.assertTrue(leaving.is_leaving(upstream))
        world.platform.restore(copy)
        await world.clock.sleep(2 * POLL_SECONDS)
        self.assertTrue(leaving.is_leaving(upstream))
        # An upstream that stays is used again some time later.
        await world.clock.sleep(LEAVING_KEPT_SECONDS + POLL_SECONDS)
        self.assertFalse(leaving.is_leaving(upstream))
        await task.cancel()


class RestoredControlTest(TestCase):
    def control(self, world, fixture, holder):
        """Return the engine control of a host."""
        return EngineControl(
            "a",
            holder,
            world.clock,
            fixture.network,
            NullLog(),
            lambda: fixture.sheet,
            fixture.reports,
            world.client(),
        )

    @with_store
    async def test_engines_refuse_lower_fencing_numbers(self, world):
        """Guards against engines that refuse all commands after a restore."""
        fixture = UpstreamFixture(
            world.clock, engines=3, model=OLD_MODEL, fencing=True, load_seconds=2.0
        )
        await fixture.start()
        try:
            for name, upstream in fixture.sheet.upstreams.items():
                entry = upstream._replace(fencing=Fencing.CHECKED)
                fixture.sheet.upstreams[name] = entry
            copy = world.platform.copy()
            for holder in "acd":
                lease = world.lease(holder, "control/chat/a")
                await lease.acquire()
                await world.clock.sleep(31)
            for engine in fixture.engines:
                engine.control.fence = lease.fence
            world.platform.restore(copy)
            control = self.control(world, fixture, "b")
            await fixture.group.spawn(control.run)
            await world.clock.sleep(4 * LEASE_SECONDS)
            models = {engine.control.model for engine in fixture.engines}
            self.assertEqual(models, {WANTED_MODEL})
        finally:
            await fixture.close()
