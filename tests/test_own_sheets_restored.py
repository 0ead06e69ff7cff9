"""Tests that no older sheet comes into force after a restore of the store."""

import random
from collections import Counter
from unittest import TestCase

from sassafraskeel.core.errors import SheetReplaced
from sassafraskeel.sheets.parse import compute_digest
from sassafraskeel.store.key_value import Entry, Revision
from sassafraskeel.store.sheet_store import accept_sheet
from tests.support.clock import run_virtual
from tests.support.deployment import HOSTS, Deployment
from tests.support.store import MemoryStore
from tests.test_precedence import CONVERGENCE_SECONDS, DOMAINS, Node, sheet_text


class SheetWorld:
    """Four hosts in two failure domains that follow the sheet in one store."""

    def __init__(self, clock):
        self.clock = clock
        self.rng = random.Random(1)
        self.store = MemoryStore(clock, self.rng)
        self.cut = set()
        self.events = Counter()
        self.failures, self.deltas = [], []
        self.installations = set()
        self.nodes = {name: Node(self, name) for name in DOMAINS}

    def reachable(self, node):
        return [other for other in self.nodes.values() if other is not node]

    async def start(self):
        for node in self.nodes.values():
            await node.start()

    async def close(self):
        for node in self.nodes.values():
            await node.group.close()

    def restore(self, copy):
        """Restore the store; no host reaches it until the next sheet is accepted."""
        self.store.restore(copy)
        self.cut = set(DOMAINS)

    async def accept(self, number, **options):
        """Accept a sheet as an operator and wait until the hosts have read it."""
        version = await accept_sheet(self.store, sheet_text(number), **options)
        self.cut = set()
        await self.clock.sleep(CONVERGENCE_SECONDS)
        return version

    def texts(self):
        """Return the texts that are in force on the hosts."""
        return {node.installed.current.text for node in self.nodes.values()}


def with_sheets(test):
    """Run an async test method with a started SheetWorld in virtual time."""

    def run(self):
        async def main(clock):
            world = SheetWorld(clock)
            await world.start()
            try:
                await test(self, world)
            finally:
                await world.close()

        run_virtual(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


class RestoredSheetTest(TestCase):
    @with_sheets
    async def test_repeated_sheet_replaces_a_later_one(self, world):
        """Guards against an older sheet in force when the operator repeats writes."""
        await world.accept(1)
        copy = dict(world.store.values)
        # The text of an operator that lost a race takes version 2.
        world.store.values["sheet/2"] = Entry({"digest": "lost"}, Revision(1, 1))
        for number in (2, 3):
            await world.accept(number)
        world.restore(copy)
        world.installations.clear()
        await world.accept(2)
        self.assertEqual(world.texts(), {sheet_text(3)})
        with self.assertRaises(SheetReplaced):
            await world.accept(2)
        await world.accept(3)
        self.assertEqual(world.texts(), {sheet_text(3)})
        digests = {item.digest for item in world.installations}
        self.assertLessEqual(digests, {compute_digest(sheet_text(3))[:16]})

    @with_sheets
    async def test_earlier_sheet_that_is_wanted_again(self, world):
        """Guards against a host that takes back what an operator accepted again."""
        await world.accept(1)
        copy = dict(world.store.values)
        world.store.values["sheet/2"] = Entry({"digest": "lost"}, Revision(1, 1))
        for number in (2, 3):
            await world.accept(number)
        world.restore(copy)
        await world.accept(2, again=True)
        self.assertEqual(world.texts(), {sheet_text(2)})

    @with_sheets
    async def test_version_of_a_rejected_sheet(self, world):
        """Guards against a sheet that is left out for a version rejected before."""
        await world.accept(1)
        copy = dict(world.store.values)
        for node in world.nodes.values():
            node.installed.install(2, "not a sheet", "platform")
            self.assertEqual(node.installed.rejected.version, 2)
        world.restore(copy)
        self.assertEqual(await world.accept(2), 2)
        self.assertEqual(world.texts(), {sheet_text(2)})


class StartTest(TestCase):
    def test_host_that_starts_after_restore(self):
        """Guards against an older sheet in force on a host that starts meanwhile."""

        async def main(clock):
            world = Deployment(clock, 1)
            await world.start(settle=5)
            copy = world.platform.copy()
            earlier = world.hosts[HOSTS[0]].installed.stamp
            await world.accept()
            await clock.sleep(5)
            await world.hosts.pop(HOSTS[0]).close()
            world.platform.restore(copy)
            await world.start_host(HOSTS[0])
            await clock.sleep(7)
            installed = world.hosts[HOSTS[0]].installed
            await world.close()
            self.assertEqual(installed.version, 2)
            self.assertIsNone(installed.text_of(earlier))

        run_virtual(main)
