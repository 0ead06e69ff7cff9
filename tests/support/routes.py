"""Route hosts with a store and replicas, in memory and virtual time."""

import json
import random

from sassafraskeel.core.http_client import connect, request_once
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address, parse_address
from sassafraskeel.core.route_settings import RouteSettings
from sassafraskeel.core.settings import parse_settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.emulators.replica import ReplicaEmulator
from sassafraskeel.emulators.store import StoreEmulator
from sassafraskeel.platform.daemon import build_interfaces
from sassafraskeel.platform.documents import PlatformDocumentCodec
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from sassafraskeel.platform.store_client import StoreClient
from sassafraskeel.route_host import RouteEnvironment, RouteHost
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork

ANY_PORT = Address("127.0.0.1", 0)
HOST = "app.example"
SETTINGS = """
[host]
name = {name}
domain = {zone}
cores = {cores}
grace = {grace}
[listen]
callers = 127.0.0.1:{port}0
directory = 127.0.0.1:{port}1
readiness = 127.0.0.1:{port}2
gateways = 127.0.0.1:{port}3
metrics = 127.0.0.1:{port}4
[store]
address = {store}
[regions]
north-a = north
south-a = south
"""
ROUTES = (
    {"name": "reads", "pathPrefix": "/read/", "kind": "safe", "attempts": 2},
    {"name": "orders", "pathPrefix": "/order/", "kind": "non_idempotent"},
    {
        "name": "chats",
        "pathPrefix": "/stream/chat/",
        "kind": "streaming",
        "canResume": True,
        "attempts": 2,
        "gapAimMs": 200,
    },
    {"name": "drafts", "pathPrefix": "/stream/draft/", "kind": "streaming"},
    {
        "name": "bound",
        "pathPrefix": "/read/bound/",
        "kind": "safe",
        "homeRegions": ["north"],
    },
    {"name": "short", "pathPrefix": "/read/short/", "kind": "safe", "timeoutMs": 500},
)


def manifest(version=1, routes=ROUTES, **service) -> bytes:
    """Return a manifest with one service `desk`, as JSON."""
    defaults = {
        "host": HOST,
        "service": "desk",
        "timeoutMs": 6000,
        "targetLatencyMs": 500,
        "priority": 1,
        "attempts": 1,
    }
    content = {
        "version": version,
        "routes": [defaults | route for route in routes],
        "services": [{"name": "desk", "healthPath": "/healthz"} | service],
        "limits": {"maxBodyBytes": 65536, "idleTimeoutMs": 15000},
    }
    return json.dumps(content).encode()


DEFAULT_ZONES = ("north-a", "north-a", "south-a")


class RouteWorld:
    """A store, replicas and route hosts, by default two in the north, one in the south.

    `cores` are the speeds of the hosts, 1 for those that are not listed; `versions` are
    those of the replicas' software, v1 for those that are not listed.
    """

    def __init__(
        self,
        clock,
        replica_zones=DEFAULT_ZONES,
        zones=DEFAULT_ZONES,
        cores=(),
        versions=(),
    ):
        self.clock = clock
        self.zones = zones
        self.cores = cores
        self.network = MemoryNetwork()
        self.store = StoreEmulator(clock, self.network.for_node("store"), ANY_PORT)
        self.replicas = [
            ReplicaEmulator(
                clock,
                self.network.for_node(f"r-{number}"),
                ANY_PORT,
                f"r-{number}",
                zone,
            )
            for number, zone in enumerate(replica_zones)
        ]
        for replica, version in zip(self.replicas, versions, strict=False):
            replica.version = version
        self.hosts = []
        self.logs = []

    async def start(self, document=None):
        await self.store.start()
        for replica in self.replicas:
            await replica.start()
            await self.register_replica(replica)
        await self.store.write("op/config", document or manifest())
        for number, zone in enumerate(self.zones):
            self.hosts.append(self.build_host(number, zone))
            await self.hosts[-1].start()
        await self.clock.sleep(2)

    def build_host(self, number, zone, log=None, grace="8 s", seed=None) -> RouteHost:
        """Return a host; another `seed` gives it another incarnation."""
        text = SETTINGS.format(
            name=f"host-{number}",
            zone=zone,
            port=3100 + number,
            store=self.store.address,
            grace=grace,
            cores=self.cores[number] if number < len(self.cores) else 1.0,
        )
        cfg = parse_settings(text, "test.ini", RouteSettings)
        network = self.network.for_node(f"host-{number}")
        env = RouteEnvironment(
            clock=self.clock,
            network=network,
            rng=random.Random(number if seed is None else seed),
            log=log or NullLog(),
            store=StoreClient(cfg.store.address, self.clock, network),
            codec=PlatformDocumentCodec(),
            replicas=PlatformReplicaInterface(),
            interfaces=build_interfaces,
            turns=TurnTimer(self.clock, NullLog()),
        )
        return RouteHost(cfg, env)

    def now_ms(self):
        """Return the Unix milliseconds, by which replicas name their starts."""
        return int(self.clock.now().timestamp() * 1000)

    async def register_replica(self, replica, service="desk", **fields):
        """Write the entry of a replica into the store."""
        value = json.dumps(replica.store_entry(service, **fields)).encode()
        await self.store.write(f"servers/{replica.name}", value)

    async def close(self):
        for component in (*self.hosts, *self.replicas, self.store):
            await component.close()

    async def call(
        self,
        path,
        method="GET",
        host=0,
        call_id="c-1",
        deadline_ms=5000,
        headers=(),
        max_bytes=1 << 20,
    ):
        """Send a call on a new connection and return the answer's head and body."""
        fields = (
            (b"host", HOST.encode()),
            (b"x-sassafraskeel-request-id", call_id.encode()),
            (b"x-sassafraskeel-deadline-ms", str(deadline_ms).encode()),
            *headers,
        )
        address = self.hosts[host].cfg.listen.callers
        return await request_once(
            self.network,
            self.clock,
            address,
            method,
            path,
            fields,
            max_bytes=max_bytes,
        )

    async def open_call(
        self,
        path,
        method="POST",
        host=0,
        call_id="c-1",
        deadline_ms=5000,
        headers=(),
    ):
        """Send a call and return its connection before the answer is read."""
        address = self.hosts[host].cfg.listen.callers
        conn = await connect(self.network, address, self.clock)
        fields = (
            (b"host", HOST.encode()),
            (b"x-sassafraskeel-request-id", call_id.encode()),
            (b"x-sassafraskeel-deadline-ms", str(deadline_ms).encode()),
            *headers,
        )
        await conn.send(method, path, fields, b"")
        return conn

    def coordinator(self, region="north"):
        """Return the running host that coordinates a region, as the hosts see it."""
        now = self.clock.monotonic()
        names = {
            host.coordination.candidates(region, now)[0].name
            for host in self.hosts
            if host.hosts.region_of(host.membership.local_host) == region
        }
        [name] = names
        return next(
            host for host in self.hosts if host.membership.local_host.name == name
        )

    async def ready(self, host=0):
        """Return the HTTP status of a host's readiness check."""
        address = self.hosts[host].cfg.listen.readiness
        return (
            await request_once(self.network, self.clock, address, "GET", "/api/ready")
        )[0].status

    async def directory(self, host=0, region="north"):
        """Return the addresses in a host's directory for callers of a region."""
        address = self.hosts[host].cfg.listen.directory
        path = f"/api/resolve?name={HOST}&region={region}&zone={region}-a"
        _, body = await request_once(self.network, self.clock, address, "GET", path)
        return [parse_address(text) for text in json.loads(body)["addresses"]]

    def runs(self, call_id="c-1"):
        """Return the number of runs of a call over all replicas."""
        return sum(replica.ledger[call_id] for replica in self.replicas)


def with_routes(test=None, world_options=None, **options):
    """Run an async test method with a started RouteWorld in virtual time."""

    def decorate(test):
        def run(self):
            async def main(clock):
                world = RouteWorld(clock, **(world_options or {}))
                await world.start(**options)
                try:
                    await test(self, world)
                finally:
                    await world.close()

            run_virtual(main)

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate(test) if test is not None else decorate
