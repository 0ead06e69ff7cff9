"""Tests of at-most-once orders through complete hosts, on a virtual clock.

The ledger of the emulated service counts executions: no order may run twice, and an
order whose calls were all refused as "not run" must not have run.
"""

from unittest import TestCase

import curio

from tests.support.domain import NORTH, with_orders

OWNER, WITNESS, OTHER = NORTH


class OrderTest(TestCase):
    async def retry_everywhere(self, world, text, expected):
        """Send an order to all hosts and check outcomes and executions."""
        for name in sorted(world.hosts):
            outcome = await world.order(name, text)
            self.assertIn(outcome, expected, name)
            if outcome == "not_run":
                self.assertEqual(world.runs(text), 0)
        self.assertLessEqual(world.runs(text), 1)

    async def start_order(self, world, text, entry=OTHER):
        """Start an order and wait until the service runs it."""
        world.desk.delay = 2.0
        task = await curio.spawn(world.order, entry, text)
        while not world.runs(text):
            await world.clock.sleep(0.01)
        return task

    @with_orders
    async def test_retry_at_every_host(self, world):
        """Guards against a retry that runs an order again, at any host in any view."""
        text = world.new_order_id()
        await self.retry_everywhere(world, text, {"answered"})
        self.assertEqual(world.runs(text), 1)
        self.assertEqual(await world.order(OTHER, text, b"[]"), "unknown")
        for name in NORTH:
            await world.kill(name)
            await world.wait_until_joined()
            await world.start_host(name)
            await world.wait_until_joined()
            await self.retry_everywhere(world, text, {"answered"})
        self.assertEqual(world.runs(text), 1)

    @with_orders
    async def test_planned_stop(self, world):
        """Guards against losing records when all hosts are drained in turn."""
        text = world.new_order_id()
        self.assertEqual(await world.order(OTHER, text), "answered")
        for name in NORTH:
            await world.hosts.pop(name).drain()
            await world.start_host(name)
            await world.wait_until_joined()
        await self.retry_everywhere(world, text, {"answered"})

    @with_orders
    async def test_owner_killed_after_dispatch(self, world):
        """Guards against a second execution by the witness, the new owner."""
        text = world.new_order_id(OWNER, WITNESS)
        task = await self.start_order(world, text)
        await world.kill(OWNER)
        self.assertEqual(await task.join(), "unknown")
        await self.retry_everywhere(world, text, {"unknown"})
        await world.wait_until_joined()
        await self.retry_everywhere(world, text, {"unknown"})
        self.assertEqual(await world.order(OTHER, world.new_order_id()), "answered")

    @with_orders
    async def test_owner_killed_before_dispatch(self, world):
        """Guards against a false "not run" and an order that stays refused."""
        text = world.new_order_id(OWNER, WITNESS)
        await world.kill(OWNER)
        self.assertEqual(await world.order(OTHER, text), "not_run")
        await world.wait_until_joined()
        await self.retry_everywhere(world, text, {"answered"})
        self.assertEqual(world.runs(text), 1)

    @with_orders
    async def test_owner_frozen(self, world):
        """Guards against an owner that was paused, removed, and then dispatches."""
        running, waiting = (world.new_order_id(OWNER, WITNESS) for _ in range(2))
        task = await self.start_order(world, running)
        world.faults.freeze(OWNER)
        late = await curio.spawn(world.order, OWNER, waiting)
        await world.clock.sleep(0.1)
        frozen = world.hosts.pop(OWNER)
        await world.wait_until_joined()
        world.desk.delay = 0.01
        await self.retry_everywhere(world, running, {"unknown"})
        await self.retry_everywhere(world, waiting, {"answered"})
        world.hosts[OWNER] = frozen
        await world.faults.thaw(OWNER)
        await world.wait_until_joined()
        for call in (task, late):
            await call.join()
        await self.retry_everywhere(world, waiting, {"answered"})
        self.assertEqual(world.runs(running), 1)
        self.assertEqual(world.runs(waiting), 1)

    @with_orders
    async def test_witness_killed(self, world):
        """Guards against a dispatch without a witness."""
        before, running = (world.new_order_id(OWNER, WITNESS) for _ in range(2))
        task = await self.start_order(world, running)
        await world.kill(WITNESS)
        self.assertEqual(await world.order(OWNER, before), "not_run")
        self.assertEqual(await task.join(), "answered")
        await world.wait_until_joined()
        await self.retry_everywhere(world, before, {"answered"})
        await self.retry_everywhere(world, running, {"answered"})

    @with_orders
    async def test_both_killed(self, world):
        """Guards against refusing an order as not run after its records were lost."""
        text, fresh = (world.new_order_id(OWNER, WITNESS) for _ in range(2))
        self.assertEqual(await world.order(OTHER, text), "answered")
        await world.kill(OWNER, WITNESS)
        self.assertEqual(await world.order(OTHER, fresh), "unknown")
        await world.wait_until_joined()
        await self.retry_everywhere(world, text, {"unknown"})
        self.assertEqual(await world.order(OTHER, world.new_order_id()), "answered")

    @with_orders
    async def test_caller_leaves(self, world):
        """Guards against a result that is lost with its caller's connection."""
        text = world.new_order_id(OWNER, WITNESS)
        world.desk.delay = 2.0
        self.assertEqual(await world.order(OTHER, text, seconds=1.0), "unknown")
        task = await self.start_order(world, world.new_order_id(OWNER), OWNER)
        await task.cancel()
        await world.clock.sleep(3)
        for key in list(world.desk.ledger):
            await self.retry_everywhere(world, key, {"answered"})

    @with_orders
    async def test_upstream_answers(self, world):
        """Guards against a second attempt after a lost answer.

        After a refusal by the upstream, a retry must run the order.
        """
        lost, refused = world.new_order_id(), world.new_order_id()
        world.desk.lose_answers = 1
        self.assertEqual(await world.order(OTHER, lost), "unknown")
        await self.retry_everywhere(world, lost, {"unknown"})
        self.assertEqual(world.runs(lost), 1)
        world.desk.refuse = 1
        self.assertEqual(await world.order(OTHER, refused), "not_run")
        await self.retry_everywhere(world, refused, {"answered"})
        self.assertEqual(world.runs(refused), 1)

    @with_orders
    async def test_domain_cut_off(self, world):
        """Guards against a domain that refuses orders while it is cut off."""
        text = world.new_order_id()
        self.assertEqual(await world.order(OTHER, text), "answered")
        world.faults.cut(NORTH, ("platform", "south"))
        await world.clock.sleep(30)
        for name in NORTH:
            self.assertEqual(await world.order(name, world.new_order_id()), "answered")
            self.assertEqual(await world.order(name, text), "answered")
        world.faults.heal()
        await world.clock.sleep(30)
        await self.retry_everywhere(world, text, {"answered"})

    @with_orders
    async def test_member_cut_off(self, world):
        """Guards against two sides of a partition that both run an order."""
        text = world.new_order_id(OWNER)
        world.faults.cut((OWNER,), (*NORTH, "platform", "south"))
        for _ in range(12):
            await world.clock.sleep(2)
            await self.retry_everywhere(world, text, {"answered", "unknown", "not_run"})
        self.assertEqual(world.runs(text), 1)
        world.faults.heal()
        await world.wait_until_joined(90)
        await self.retry_everywhere(world, text, {"answered"})

    @with_orders
    async def test_all_replaced_at_once(self, world):
        """Guards against new hosts that run the orders of the hosts they replace."""
        text = world.new_order_id()
        self.assertEqual(await world.order(OTHER, text), "answered")
        await world.kill(*NORTH)
        for name in NORTH:
            await world.start_host(name)
        await world.wait_until_joined(120)
        await self.retry_everywhere(world, text, {"unknown"})
        fresh = world.new_order_id()
        await self.retry_everywhere(world, fresh, {"answered"})
        self.assertEqual(world.runs(fresh), 1)
