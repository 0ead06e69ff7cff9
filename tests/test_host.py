"""Complete hosts in one process, with a virtual clock and a network in memory."""

import json
import random
from unittest import TestCase

from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import parse_settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.emulators.engine import EngineEmulator
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.emulators.service import ServiceEmulator
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.orders import order_id
from tests.support.settings import HOST_SETTINGS

ANY_PORT = Address("127.0.0.1", 0)
SHEET = """kind,name,domain,address,service,type,regions,home
domain,north-a,,,,,north,
domain,south-a,,,,,south,
service,chat,,,,model,north south,
service,desk,,,,plain,north south,
workspace,shop,,,,,north south,north-a
workspace,local,,,,,south,south-a
upstream,engine-1,south-a,{engine},chat,,,
upstream,desk-1,north-a,{desk},desk,,,
"""


class World:
    """A platform, two upstreams and hosts in two failure domains."""

    sheet = SHEET

    def __init__(self, clock):
        self.clock = clock
        self.network = MemoryNetwork()
        self.platform = PlatformEmulator(clock, self.network, ANY_PORT)
        self.engine = EngineEmulator(clock, self.network, ANY_PORT)
        self.desk = ServiceEmulator(clock, self.network, ANY_PORT)
        self.hosts = []

    async def start(self):
        for part in (self.platform, self.engine, self.desk):
            await part.start()
        gateways = [f"127.0.0.1:{port}" for port in (30001, 30002, 30003)]
        for number, domain in enumerate(("north-a", "north-a", "south-a")):
            text = HOST_SETTINGS.format(
                name=f"host-{number}",
                domain=domain,
                gateways=gateways[number],
                seeds=" ".join(gateways),
                platform=self.platform.address,
            )
            cfg = parse_settings(text, "test.ini")
            store = PlatformClient(cfg.platform, self.clock, self.network)
            rng = random.Random(number)
            turns = TurnTimer(self.clock, NullLog())
            env = Environment(self.clock, self.network, rng, NullLog(), store, turns)
            self.hosts.append(Host(cfg, env))
            await self.hosts[-1].start()
        sheet = self.sheet.format(engine=self.engine.address, desk=self.desk.address)
        await accept_sheet(store, sheet)
        await self.clock.sleep(5)

    async def close(self):
        for part in (*self.hosts, self.platform, self.engine, self.desk):
            await part.close()

    async def call(self, host, method, path, headers=(), body=b""):
        address = self.hosts[host].callers_address
        return await request_once(
            self.network, self.clock, address, method, path, headers, body
        )


def with_world(test):
    """Decorate an async test method to run with a started World in virtual time."""

    def run(self):
        async def main(clock):
            world = World(clock)
            await world.start()
            try:
                await test(self, world)
            finally:
                await world.close()

        run_virtual(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run


class HostTest(TestCase):
    @with_world
    async def test_call_through_two_hosts(self, world):
        """Guards against a call that is lost between two failure domains."""
        body = json.dumps(
            {"messages": [{"role": "user", "content": "hi"}], "max_tokens": 3}
        )
        head, data = await world.call(
            0, "POST", "/w/shop/chat/v1/chat/completions", body=body.encode()
        )
        self.assertEqual(head.status, 200)
        self.assertEqual(
            len(json.loads(data)["choices"][0]["message"]["content"].split()), 3
        )

    @with_world
    async def test_stream_through_two_hosts(self, world):
        """Guards against a forwarded stream without its end marker."""
        body = json.dumps(
            {
                "messages": [{"role": "user", "content": "hi"}],
                "max_tokens": 4,
                "stream": True,
            }
        )
        head, data = await world.call(
            1, "POST", "/w/shop/chat/v1/chat/completions", body=body.encode()
        )
        self.assertEqual(head.status, 200)
        self.assertEqual(data.count(b"data: "), 5)
        self.assertTrue(data.endswith(b"data: [DONE]\n\n"))

    @with_world
    async def test_wrong_host_refuses(self, world):
        """Guards against data that enters a region that may not store it."""
        head, data = await world.call(
            0, "POST", "/w/local/chat/v1/chat/completions", body=b"{}"
        )
        self.assertEqual(head.status, 421)
        self.assertEqual(json.loads(data)["outcome"], "not_run")

    @with_world
    async def test_directory(self, world):
        """Guards against a directory that lists hosts that must not be used."""
        _, data = await world.call(
            0, "GET", "/v1/directory?workspace=local&service=chat"
        )
        self.assertEqual(
            [host["name"] for host in json.loads(data)["hosts"]], ["host-2"]
        )

    @with_world
    async def test_read_and_order(self, world):
        """Guards against a plain service that another domain cannot reach."""
        head, _ = await world.call(2, "GET", "/w/shop/desk/stock/12")
        self.assertEqual(head.status, 200)
        await world.clock.sleep(30)  # The first view refuses order ids from before it.
        key = order_id(world.clock.now(), 1).encode()
        head, _ = await world.call(
            2, "POST", "/w/shop/desk/orders", ((b"idempotency-key", key),), b"{}"
        )
        self.assertEqual(head.status, 201)
        self.assertEqual(sum(world.desk.ledger.values()), 1)
