"""Tests of hosts whose store is restored from a copy that is some seconds old."""

from unittest import TestCase

import curio

from sassafraskeel.core.log import NullLog
from sassafraskeel.core.types import HostInfo
from sassafraskeel.emulators.store import StoreEmulator
from sassafraskeel.platform.documents import PlatformDocumentCodec
from sassafraskeel.platform.store_client import StoreClient
from sassafraskeel.store.registration import Registration
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.routes import ANY_PORT, ROUTES, manifest, with_routes

ADDED = {"name": "added", "pathPrefix": "/added/", "kind": "safe"}


class ChangesTest(TestCase):
    async def confirm_versions(self, world):
        for version in (2, 3, 4):
            await world.store.write("op/config", manifest(version))
            await world.clock.sleep(1)

    async def check_added_route(self, world):
        for host in range(3):
            head, _ = await world.call("/added/1", host=host, call_id=f"a-{host}")
            self.assertEqual(head.status, 200)

    @with_routes
    async def test_confirmed_route_missing(self, world):
        """Guards against a confirmed route that no host serves after a restore."""
        copy = world.store.copy()
        await self.confirm_versions(world)
        await world.store.restore(copy)
        await world.clock.sleep(2)
        for number in range(2):
            await world.store.write("op/other", str(number).encode())
        await world.store.write("op/config", manifest(5, (*ROUTES, ADDED)))
        await world.clock.sleep(4)
        await self.check_added_route(world)

    @with_routes
    async def test_confirmed_route_missing_without_410(self, world):
        """Guards against changes missed once a restored store has passed a revision."""
        copy = world.store.copy()
        await self.confirm_versions(world)
        await world.store.restore(copy)
        await world.store.write("op/config", manifest(5, (*ROUTES, ADDED)))
        for number in range(10):
            await world.store.write("op/other", str(number).encode())
        await world.clock.sleep(4)
        await self.check_added_route(world)


class ManifestTest(TestCase):
    @with_routes
    async def test_older_manifest_after_start(self, world):
        """Guards against a host that starts by an older manifest than its peers use."""
        copy = world.store.copy()
        await world.store.write("op/config", manifest(5, (*ROUTES, ADDED)))
        await world.clock.sleep(1)
        await world.store.restore(copy)
        world.hosts.append(world.build_host(3, "north-a"))
        await world.hosts[3].start()
        while await world.ready(3) != 200:
            await world.clock.sleep(0.01)
        head, _ = await world.call("/added/1", host=3)
        self.assertEqual(head.status, 200)


def build_registration(name, store, network, clock) -> Registration:
    host = HostInfo(name, "a", name, ANY_PORT, ANY_PORT, 1.0)
    client = StoreClient(store.address, clock, network)
    codec = PlatformDocumentCodec()
    return Registration(client, codec, lambda: host, clock, NullLog())


def with_registrations(test):
    """Wrap an async test that gets a store emulator and two registrations."""

    def run(self):
        async def main(clock):
            network = MemoryNetwork()
            store = StoreEmulator(clock, network, ANY_PORT)
            await store.start()
            registrations = [
                build_registration(name, store, network, clock)
                for name in ("host-a", "host-b")
            ]
            copy = store.copy()
            first = await curio.spawn(registrations[0].run)
            await clock.sleep(0.5)
            await store.restore(copy)
            second = await curio.spawn(registrations[1].run)
            await clock.sleep(0.5)
            try:
                await test(self, store, registrations, clock)
            finally:
                await first.cancel()
                await second.cancel()
                await store.close()

        run_virtual(main)

    run.__doc__ = test.__doc__
    return run


class LeaseTest(TestCase):
    @with_registrations
    async def test_stop_unregisters_another_host(self, store, registrations, clock):
        """Guards against a stop that ends a lease given out again to another host."""
        await registrations[0].unregister()
        self.assertEqual(store.keys(), {"hosts/host-b"})

    @with_registrations
    async def test_registration_lost(self, store, registrations, clock):
        """Guards against a host that renews another's lease and stays unregistered."""
        await clock.sleep(2)
        self.assertEqual(store.keys(), {"hosts/host-a", "hosts/host-b"})


class ReplicaTest(TestCase):
    async def calls_of(self, world, replica):
        arrivals = replica.arrivals
        for number in range(10):
            await world.call("/read/stock", call_id=f"d-{number}")
        return replica.arrivals - arrivals

    @with_routes
    async def test_draining_replica_is_used_again(self, world):
        """Guards against calls for a draining replica that the copy lists as ready."""
        replica, copy = world.replicas[0], world.store.copy()
        await world.register_replica(replica, state="draining")
        await world.clock.sleep(1)
        await world.store.restore(copy)
        await world.clock.sleep(3)
        self.assertEqual(await self.calls_of(world, replica), 0)

    @with_routes
    async def test_removed_replica_is_used_again(self, world):
        """Guards against calls for a replica that has left and is in the copy."""
        replica, copy = world.replicas[0], world.store.copy()
        await world.store.write(f"servers/{replica.name}", None)
        await world.clock.sleep(1)
        await world.store.restore(copy)
        await world.clock.sleep(3)
        self.assertEqual(await self.calls_of(world, replica), 0)
        await world.register_replica(replica)
        await world.clock.sleep(1)
        self.assertGreater(await self.calls_of(world, replica), 0)

    @with_routes
    async def test_new_replica_is_dropped(self, world):
        """Guards against a replica that is dropped before it has registered again."""
        for replica in world.replicas:
            await world.store.write(f"servers/{replica.name}", None)
        await world.clock.sleep(1)
        copy = world.store.copy()
        for replica in world.replicas:
            await world.register_replica(replica)
        await world.clock.sleep(3)
        await world.store.restore(copy)
        await world.clock.sleep(1.9)
        head, _ = await world.call("/read/stock")
        self.assertEqual(head.status, 200)


class EvacuationTest(TestCase):
    @with_routes
    async def test_evacuation_is_forgotten(self, world):
        """Guards against calls for an evacuated zone before it is evacuated again."""
        copy = world.store.copy()
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(1)
        await world.store.restore(copy)
        for number in range(15):
            await world.clock.sleep(0.2)
            if number == 8:
                await world.store.write("op/evacuate/north-a", b"{}")
            await world.call("/read/stock", call_id=f"e-{number}")
        self.assertEqual(sum(r.arrivals for r in world.replicas[:2]), 0)
        await world.store.write("op/evacuate/north-a", None)
        await world.clock.sleep(1)
        await world.call("/read/stock", call_id="e-last")
        self.assertEqual(sum(r.arrivals for r in world.replicas[:2]), 1)
