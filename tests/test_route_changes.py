"""Tests of hosts that serve routes while regions, replicas and manifests change."""

from unittest import TestCase

import curio

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import request_once
from tests.support.routes import ROUTES, manifest, with_routes
from tests.test_route_host import drain_stream, events

FAR_HOME = (
    {"name": "far", "pathPrefix": "/read/", "kind": "safe", "homeRegions": ["east"]},
)


class RegionTest(TestCase):
    @with_routes
    async def test_home(self, world):
        """Guards against calls that run outside of their home regions."""
        head, _ = await world.call("/read/bound/1", host=2)
        self.assertEqual(head.status, 200)
        self.assertEqual(world.replicas[2].ledger["c-1"], 0)

    @with_routes(document=manifest(2, FAR_HOME))
    async def test_home_without_replicas(self, world):
        """Guards against a call that runs outside of a home region without replicas."""
        for host in (0, 2):
            head, _ = await world.call("/read/1", host=host, call_id=f"h-{host}")
            self.assertEqual(head.status, 503)
            self.assertEqual(world.runs(f"h-{host}"), 0)

    @with_routes
    async def test_home_unreachable(self, world):
        """Guards against a call that runs elsewhere while its home is unreachable."""
        others = ["host-0", "host-1", "r-0", "r-1"]
        world.network.faults.cut(["host-2"], others)
        await world.clock.sleep(3)
        head, _ = await world.call("/read/bound/1", host=2)
        self.assertEqual(head.status, 503)
        self.assertTrue(find_header(head.headers, b"retry-after"))
        self.assertEqual(world.runs(), 0)

    @with_routes
    async def test_region_without_replicas(self, world):
        """Guards against refusals while another region has free slots."""
        await world.store.write("servers/r-2", None)
        await world.clock.sleep(1)
        head, _ = await world.call("/order/1", "POST", host=2)
        self.assertEqual(head.status, 200)
        self.assertEqual(world.runs(), 1)

    @with_routes
    async def test_partitioned_region_serves(self, world):
        """Guards against a region that stops serving when it is partitioned."""
        others = ["host-0", "host-1", "r-0", "r-1", "store"]
        world.network.faults.cut(["host-2", "r-2"], others)
        await world.clock.sleep(20)
        head, _ = await world.call("/order/1", "POST", host=2)
        self.assertEqual(head.status, 200)


class ReplicaChangeTest(TestCase):
    @with_routes
    async def test_draining(self, world):
        """Guards against work for a replica that reports that it is draining."""
        await world.register_replica(world.replicas[0], state="draining")
        await world.clock.sleep(1)
        for number in range(10):
            await world.call("/read/stock", call_id=f"d-{number}")
        self.assertEqual(world.replicas[0].arrivals, 0)

    @with_routes
    async def test_evacuated(self, world):
        """Guards against work for an evacuated zone."""
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(1)
        for number in range(5):
            head, _ = await world.call("/read/stock", call_id=f"e-{number}")
            self.assertEqual(head.status, 200)
        self.assertEqual(sum(r.arrivals for r in world.replicas[:2]), 0)

    @with_routes
    async def test_address_used_again(self, world):
        """Guards against a call that runs at another replica with the same address."""
        world.replicas[0].name = world.replicas[1].name = "another"
        head, _ = await world.call("/order/1", "POST")
        self.assertEqual(head.status, 200)
        self.assertEqual(world.replicas[2].ledger["c-1"], 1)

    @with_routes(document=manifest(coldStartS=3.0, coldPerS=2.0))
    async def test_cold_rate(self, world):
        """Guards against exceeding the request rate of a cold replica."""
        for replica in world.replicas:
            replica.cold_ms = 3000
            await world.register_replica(replica)
        await world.clock.sleep(0.5)
        for number in range(20):
            await world.open_call("/read/stock", "GET", number % 2, f"k-{number}")
        await world.clock.sleep(1.0)
        for replica in world.replicas:
            self.assertLessEqual(replica.arrivals, 5)

    @with_routes(document=manifest(coldStartS=3.0, coldPerS=2.0))
    async def test_warm_after_evacuation(self, world):
        """Guards against warm replicas held at the cold rate for three seconds."""
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(1)
        await world.store.write("op/evacuate/north-a", None)
        await world.clock.sleep(0.5)
        for number in range(20):
            head, _ = await world.call("/read/stock", call_id=f"w-{number}")
            self.assertEqual(head.status, 200)
        self.assertEqual(sum(r.arrivals for r in world.replicas[:2]), 20)
        self.assertGreater(sum(r.probes for r in world.replicas[:2]), 0)


class ManifestTest(TestCase):
    @with_routes
    async def test_newer_version(self, world):
        """Guards against hosts that keep or return to an older manifest."""
        routes = [route for route in ROUTES if route["name"] != "orders"]
        await world.store.write("op/config", manifest(3, routes))
        await world.clock.sleep(1)
        for host in range(3):
            head, _ = await world.call("/order/1", "POST", host=host)
            self.assertEqual(head.status, 404)
        await world.store.write("op/config", manifest(2))
        await world.clock.sleep(1)
        head, _ = await world.call("/order/1", "POST")
        self.assertEqual(head.status, 404)

    @with_routes
    async def test_malformed_manifest(self, world):
        """Guards against a malformed manifest that replaces the last valid one."""
        await world.store.write("op/config", b'{"version": 9}')
        await world.store.write("servers/r-0", b"\xff")
        await world.store.write("servers/r-9", b'{"service": 1}')
        await world.clock.sleep(1)
        head, _ = await world.call("/read/stock")
        self.assertEqual(head.status, 200)


class StoreTest(TestCase):
    @with_routes
    async def test_outage(self, world):
        """Guards against hosts that stop serving without the store."""
        world.store.silent = True
        await world.clock.sleep(20)
        head, _ = await world.call("/order/1", "POST")
        self.assertEqual(head.status, 200)
        self.assertEqual(await world.ready(), 200)
        self.assertEqual(len(await world.directory()), 2)

    @with_routes
    async def test_lapsed_entries(self, world):
        """Guards against replicas that are dropped because their entries lapsed."""
        world.store.error_status = 503
        await world.clock.sleep(5)
        for replica in world.replicas:
            await world.store.write(f"servers/{replica.name}", None)
        world.store.error_status = 0
        await world.clock.sleep(1.2)
        head, _ = await world.call("/read/stock")
        self.assertEqual(head.status, 200)
        for replica in world.replicas[1:]:
            await world.register_replica(replica)
        await world.clock.sleep(5)
        fleet = world.hosts[0].fleet
        self.assertEqual(fleet.names(), {"r-1", "r-2"})

    @with_routes
    async def test_store_compaction(self, world):
        """Guards against changes missed when the store compacts its history."""
        await world.store.write("servers/r-0", None)
        await world.store.compact()
        await world.clock.sleep(3)
        self.assertNotIn("r-0", world.hosts[0].fleet.names())

    @with_routes
    async def test_lease_ended(self, world):
        """Guards against a host that stays unregistered after its lease ended."""
        await world.store.revoke_leases()
        await world.clock.sleep(4)
        keys = {f"hosts/host-{number}" for number in range(3)}
        self.assertLessEqual(keys, world.store.keys())

    @with_routes
    async def test_no_manifest(self, world):
        """Guards against 404 from a host that has no manifest yet."""
        world.store.silent = True
        host = world.build_host(3, "north-a")
        world.hosts.append(host)
        await host.start()
        self.assertEqual(await world.ready(3), 503)
        head, _ = await world.call("/read/stock", host=3)
        self.assertEqual(head.status, 503)

    @with_routes
    async def test_directory_after_start(self, world):
        """Guards against a new host that lists only itself in its directory."""
        world.store.silent = True
        host = world.build_host(3, "south-a")
        world.hosts.append(host)
        await host.start()
        address = host.cfg.listen.directory
        path = "/api/resolve?name=app.example&region=north&zone=north-a"
        head, _ = await request_once(world.network, world.clock, address, "GET", path)
        self.assertEqual(head.status, 503)


class DirectoryTest(TestCase):
    @with_routes
    async def test_directory_names_local_region(self, world):
        """Guards against callers that are directed to another region."""
        callers = [host.cfg.listen.callers for host in world.hosts]
        self.assertEqual(set(await world.directory()), set(callers[:2]))
        self.assertEqual(set(await world.directory(0, "south")), {callers[2]})

    @with_routes
    async def test_dead_host(self, world):
        """Guards against a dead host in the directory."""
        dead = world.hosts.pop(1)
        await dead.close()
        await world.clock.sleep(8)
        addresses = await world.directory()
        self.assertNotIn(dead.cfg.listen.callers, addresses)
        self.assertEqual(len(addresses), 1)

    @with_routes
    async def test_drain(self, world):
        """Guards against a drain that truncates streams or is not announced."""
        for replica in world.replicas:
            replica.delay = 0.5
        conn = await world.open_call("/stream/draft/1")
        await world.clock.sleep(0.1)
        task = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(0.5)
        self.assertEqual(await world.ready(), 503)
        self.assertEqual(len(await world.directory(1)), 1)
        head, _ = await world.call("/read/stock", call_id="c-2")
        self.assertEqual(head.status, 200)
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        await task.join()

    @with_routes
    async def test_drain_waits(self, world):
        """Guards against a stream that is truncated when its host stops listening."""
        for replica in world.replicas:
            replica.delay = 0.8
        conn = await world.open_call("/stream/draft/1")
        await world.clock.sleep(0.1)
        task = await curio.spawn(world.hosts[0].drain)
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        await task.join()

    @with_routes
    async def test_kept_connection_ends_with_drain(self, world):
        """Guards against calls that are accepted long after the drain started.

        In hunt-7d3d-19 a connection that was streaming at SIGTERM accepted another
        stream 4.7 s later, which was truncated at the end of the grace period (LOST).
        """
        for replica in world.replicas:
            replica.hang = 1
        busy = await world.open_call("/order/1", call_id="busy")
        await world.clock.sleep(0.1)
        for replica in world.replicas:
            replica.hang, replica.delay = 0, 0.5
        conn = await world.open_call("/stream/draft/1")
        await world.clock.sleep(1.2)
        task = await curio.spawn(world.hosts[0].drain)
        _, ended = await drain_stream(conn)
        self.assertTrue(ended)
        headers = (
            (b"host", b"app.example"),
            (b"x-sassafraskeel-request-id", b"late"),
        )
        self.assertTrue(conn.prepare_for_reuse())
        with self.assertRaises(SassafraskeelError):
            await conn.send("GET", "/read/stock", headers, b"")
            async with world.clock.timeout(1.0):
                await conn.receive_head()
        self.assertEqual(world.runs("late"), 0)
        await busy.close()
        await task.join()

    @with_routes
    async def test_metrics(self, world):
        """Guards against a metrics address that serves no metrics."""
        await world.call("/read/stock")
        address = world.hosts[0].cfg.listen.metrics
        _, body = await request_once(
            world.network, world.clock, address, "GET", "/metrics"
        )
        self.assertIn(b"sassafraskeel_calls", body)
