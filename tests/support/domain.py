"""A failure domain with three hosts and a second one with one host, in memory."""

import json
import random

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import parse_settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.decisions.ownership import owner_and_witness
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.emulators.service import ServiceEmulator
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.orders import order_id
from tests.support.settings import ORDER_SETTINGS

ANY_PORT = Address("127.0.0.1", 0)
CALL_SECONDS = 40.0
NORTH = ("north-0", "north-1", "north-2")
ADDRESSES = {
    name: f"127.0.0.1:{30001 + number}" for number, name in enumerate((*NORTH, "south"))
}
SHEET = """kind,name,domain,address,service,type,regions,home
domain,north-a,,,,,north,
domain,south-a,,,,,south,
service,desk,,,,plain,north south,
workspace,shop,,,,,north south,north-a
upstream,desk-1,north-a,{desk},desk,,,
"""


class OrderWorld:
    """Three hosts of north-a, the home domain of all orders, and one of south-a."""

    def __init__(self, clock):
        self.clock = clock
        self.network = MemoryNetwork()
        self.faults = self.network.faults
        platform_network = self.network.for_node("platform")
        self.platform = PlatformEmulator(clock, platform_network, ANY_PORT)
        self.desk = ServiceEmulator(clock, self.network.for_node("desk"), ANY_PORT)
        self.hosts = {}
        self._start_count = 0
        self._id_count = 0

    async def start(self):
        await self.platform.start()
        await self.desk.start()
        for name in ADDRESSES:
            await self.start_host(name)
        cfg = self.hosts["south"].cfg.platform
        store = PlatformClient(cfg, self.clock, self.network)
        await accept_sheet(store, SHEET.format(desk=self.desk.address))
        await self.wait_until_joined()

    async def start_host(self, name):
        """Start a host at its address, with a new incarnation if it ran before."""
        self._start_count += 1
        text = ORDER_SETTINGS.format(
            name=name,
            domain="south-a" if name == "south" else "north-a",
            gateways=ADDRESSES[name],
            seeds=" ".join(ADDRESSES.values()),
            platform=self.platform.address,
        )
        cfg = parse_settings(text, "test.ini")
        network = self.network.for_node(name)
        store = PlatformClient(cfg.platform, self.clock, network)
        rng = random.Random(self._start_count)
        turns = TurnTimer(self.clock, NullLog())
        env = Environment(self.clock, network, rng, NullLog(), store, turns)
        self.hosts[name] = Host(cfg, env)
        await self.hosts[name].start()

    async def kill(self, *names):
        """Close hosts without draining them."""
        for name in names:
            await self.hosts.pop(name).close()

    async def close(self):
        for component in (*self.hosts.values(), self.platform, self.desk):
            await component.close()

    def members(self):
        """Return the incarnations of the platform's view by host name."""
        view = self.platform.values["views/north-a"][0]
        return {item["host"]: item["incarnation"] for item in view["members"]}

    async def wait_until_joined(self, seconds=60):
        """Wait until the members of the view are the running hosts of north-a."""
        for _ in range(seconds):
            await self.clock.sleep(1)
            running = {
                name: host.membership.local_host.incarnation
                for name, host in self.hosts.items()
                if name in NORTH
            }
            if "views/north-a" in self.platform.values and self.members() == running:
                # Order ids dated before the loss of a host are refused.
                await self.clock.sleep(4)
                return
        raise AssertionError(f"{self.members()} are not {running}")

    def new_order_id(self, owner="", witness=""):
        """Return a new order id that has the given owner and witness, if any."""
        names = {incarnation: name for name, incarnation in self.members().items()}
        while True:
            self._id_count += 1
            key = order_id(self.clock.now(), self._id_count)
            holders = [
                names[incarnation]
                for incarnation in owner_and_witness(key, names)
                if incarnation
            ]
            if holders[: bool(owner) + bool(witness)] == [
                name for name in (owner, witness) if name
            ]:
                return key

    async def order(self, name, key, body=b"{}", seconds=5.0):
        """Place an order at a host and return the result.

        The result is "answered", the outcome of a refusal, or "broken" if the
        connection failed.
        """
        headers = (
            (b"idempotency-key", key.encode()),
            (b"x-deadline-ms", str(int(seconds * 1000)).encode()),
        )
        address = self.hosts[name].callers_address
        path = "/w/shop/desk/orders"
        try:
            async with self.clock.timeout(CALL_SECONDS):
                head, data = await request_once(
                    self.network.for_node("caller"),
                    self.clock,
                    address,
                    "POST",
                    path,
                    headers,
                    body,
                )
        except SassafraskeelError:
            return "broken"
        return "answered" if head.status == 201 else json.loads(data)["outcome"]

    def runs(self, key):
        """Return the number of executions of an order."""
        return self.desk.ledger[key]


def with_orders(test):
    """Run an async test method with a started OrderWorld in virtual time."""

    def run(self):
        async def main(clock):
            world = OrderWorld(clock)
            await world.start()
            try:
                await test(self, world)
            finally:
                await world.close()

        run_virtual(main)

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run
