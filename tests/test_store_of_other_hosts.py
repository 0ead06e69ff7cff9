"""Hosts that the store turns away while it serves other hosts of the fleet."""

from unittest import TestCase

from tests.support.routes import with_routes

FOUR_HOSTS = {
    "zones": ("north-a", "north-a", "north-a", "south-a"),
    "replica_zones": ("north-a", "north-a", "south-a"),
}
# An evacuation is to be in force within 5 s of its confirmation.
EVACUATE_SECONDS = 4.0


def names(hosts):
    return [host.membership.local_host.name for host in hosts]


class EvacuationTest(TestCase):
    async def check(self, world, cut_off):
        """Cut hosts off from the store; check that none uses an evacuated zone."""
        world.network.faults.cut(names(cut_off), ["store"])
        await world.clock.sleep(3)
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(EVACUATE_SECONDS)
        for number in range(12):
            await world.call(f"/read/{number}", host=number % 3, call_id=f"c-{number}")
        runs = [len(replica.runs) for replica in world.replicas]
        self.assertEqual(runs, [0, 0, 12])

    @with_routes(world_options=FOUR_HOSTS)
    async def test_coordinator_is_turned_away(self, world):
        """Guards against a coordinator that grants replicas of an evacuated zone.

        hunt-baa0-3 on atlas-coffre-grown: they had become cold meanwhile.
        """
        await self.check(world, [world.coordinator()])

    @with_routes(world_options=FOUR_HOSTS)
    async def test_coordinator_and_standby_are_turned_away(self, world):
        """Guards against a region that depends on two hosts to hear of the store."""
        now = world.clock.monotonic()
        candidates = world.hosts[0].coordination.candidates("north", now)
        chosen = {host.name for host in candidates}
        await self.check(
            world, [h for h in world.hosts if h.membership.local_host.name in chosen]
        )

    @with_routes(world_options=FOUR_HOSTS)
    async def test_store_is_away(self, world):
        """Guards against hosts that take each other's old answers for new ones."""
        world.network.faults.cut(names(world.hosts), ["store"])
        await world.clock.sleep(10)
        now = world.clock.monotonic()
        ages = [now - host.follower.answered_at for host in world.hosts]
        self.assertGreater(min(ages), 8.0)
