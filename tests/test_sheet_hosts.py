"""Sheets on complete hosts: distribution, residency and forwarding loops."""

import json
from collections import Counter, defaultdict
from unittest import TestCase, mock

from sassafraskeel.core.http_client import request_once
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import HEAD_KEY
from tests.support.clock import run_virtual
from tests.support.deployment import DOMAINS, HOSTS, Deployment, domain_of
from tests.support.network import MemoryNetwork
from tests.support.orders import order_id

IN_FORCE_SECONDS = 7.0
SETTLE_SECONDS = 8.0
WATCH_SECONDS = 60.0
CASA, FES = ("casa-a-1", "casa-a-2"), ("fes-a-1", "fes-a-2")
SECRET = b"weighing of truck 17"
CALL_TIMEOUT_SECONDS = 20.0
RESTRICTED_SHEET = """kind,name,domain,address,service,type,regions,home
domain,fes-a,,,,,fes,
domain,casa-a,,,,,casa,
domain,agadir-a,,,,,agadir,
service,chat,,,,model,fes casa,
service,desk,,,,plain,fes casa,
workspace,shop,,,,,{regions},{home}
upstream,engine,{domain},{engine},chat,,,
upstream,desk,{domain},{desk},desk,,,
"""


class RecordingNetwork(MemoryNetwork):
    """Records the bytes that each node receives, by connection."""

    def __init__(self):
        super().__init__()
        self.received = defaultdict(list)

    async def connect(self, address, node="", buffers=None):
        stream = await super().connect(address, node)
        for end in (stream, stream.peer):
            self._record(end)
        return stream

    def _record(self, stream):
        write = stream.write
        content = bytearray()
        self.received[stream.peer.node].append(content)

        async def recorded(data):
            await write(data)
            content.extend(data)

        stream.write = recorded

    def clear_received(self):
        for contents in self.received.values():
            for content in contents:
                content.clear()

    def nodes_with(self, secret):
        """Return the nodes that received `secret`."""
        return {
            node
            for node, contents in self.received.items()
            if any(secret in content for content in contents)
        }


def with_deployment(function, *args):
    """Run a coroutine function with a started deployment in virtual time."""

    async def main(clock):
        world = Deployment(clock, 1, RecordingNetwork())
        await world.start(settle=SETTLE_SECONDS)
        try:
            await function(world, *args)
        finally:
            await world.close()

    # Websocket frames are left unmasked, so that bodies can be found in the bytes.
    with mock.patch("websockets.frames.secrets") as secrets:
        secrets.token_bytes = bytes
        run_virtual(main)


class DistributionTest(TestCase):
    def check_in_force(self, world):
        versions = {name: host.installed.version for name, host in world.hosts.items()}
        self.assertEqual(versions, dict.fromkeys(HOSTS, world.sheet_count))

    def test_domain_without_platform(self):
        """Guards against a domain cut off from the platform that gets no new sheet."""

        async def run(world):
            world.faults.cut(CASA, ["platform"])
            await world.clock.sleep(10)
            await world.accept()
            await world.clock.sleep(IN_FORCE_SECONDS)
            self.check_in_force(world)

        with_deployment(run)

    def test_start_in_outage(self):
        """Guards against a host that needs the platform to get its first sheet."""

        async def run(world):
            world.platform.down = True
            await world.hosts[CASA[0]].close()
            await world.start_host(CASA[0])
            await world.clock.sleep(IN_FORCE_SECONDS)
            self.check_in_force(world)

        with_deployment(run)

    def test_calls_grow_with_domains(self):
        """Guards against frequent reads of the head by every host of a domain."""
        calls = Counter()

        class CountingPlatform(PlatformClient):
            async def _call(self, method, path, value=None, wait=0.0):
                calls[path.startswith(f"/kv/{HEAD_KEY}")] += 1
                return await super()._call(method, path, value, wait)

        async def run(world):
            calls.clear()
            await world.clock.sleep(WATCH_SECONDS)
            # Each watcher makes two calls every 2 s, and the other hosts read rarely.
            watchers = len(DOMAINS) * (WATCH_SECONDS + 2)
            self.assertLessEqual(calls[True], watchers + len(DOMAINS) * 4)
            self.assertGreater(calls[True], watchers / 3)

        with mock.patch("tests.support.deployment.PlatformClient", CountingPlatform):
            with_deployment(run)


class ResidencyTest(TestCase):
    """Calls while only some of the hosts have the newer of two sheets."""

    def setUp(self):
        self.version = 100

    def test_body_stays_in_region(self):
        """Guards against a body sent before the receiver has checked its sheet."""

        async def run(world):
            hosts = FES + CASA
            subsets = [set(hosts[:0])]
            for name in hosts:
                subsets += [{*subset, name} for subset in subsets]
            for number, restricted in enumerate(subsets):
                for kind in ("chat", "order"):
                    entry_host = FES[number // 2 % 2]
                    await self.call_with_sheets(world, restricted, entry_host, kind)

        with_deployment(run)

    async def call_with_sheets(self, world, restricted, entry_host, kind):
        self.version += 2
        for name in FES + CASA:
            regions = "fes" if name in restricted else "fes casa"
            values = {"regions": regions, "domain": "casa-a", "home": "casa-a"}
            self.install(world, name, name in restricted, **values)
        world.network.clear_received()
        await call(world, entry_host, kind)
        nodes = world.network.nodes_with(SECRET)
        outside = {node for node in nodes if "casa-a" in node}
        if entry_host in restricted or restricted >= set(CASA):
            self.assertEqual(outside, set(), (restricted, entry_host, kind))
        elif not restricted:
            self.assertTrue(outside, "the body was not found where it may be")

    def test_wrong_host_does_not_read(self):
        """Guards against requesting a body that the host is not allowed to receive."""

        async def run(world):
            for name in FES + CASA:
                self.install(world, name, True, regions="fes", domain="fes-a")
            spoof = [
                (b"x-hops", b"casa-a-1"),
                (b"x-region", b"fes"),
                (b"x-domain", b"fes-a"),
                (b"via", b"fes-a-1"),
            ]
            stream = await world.network.connect(
                world.hosts[CASA[0]].callers_address, "callers"
            )
            lines = [b"POST /w/shop/chat/v1/chat/completions HTTP/1.1", b"host: x"]
            lines += [b"content-length: 1000000", b"expect: 100-continue"]
            lines += [b": ".join(pair) for pair in spoof]
            await stream.write(b"\r\n".join([*lines, b"", b""]))
            self.assertTrue((await stream.read()).startswith(b"HTTP/1.1 421 "))
            # An allowed host does not forward the spoofed headers to an upstream.
            await call(world, FES[0], "chat", spoof)
            for content in world.network.received["upstreams-fes-a"]:
                for name, _ in spoof:
                    self.assertNotIn(name + b":", bytes(content).lower())
            self.assertIn("upstreams-fes-a", world.network.nodes_with(SECRET))

        with_deployment(run)

    def test_opposed_sheets(self):
        """Guards against two domains that forward a call to each other."""

        async def run(world):
            hops = Counter()
            for name in FES + CASA:
                dispatcher = world.hosts[name].dispatcher

                def counted(call, check=dispatcher.check):
                    hops[len(call.hops)] += 1
                    return check(call)

                dispatcher.check = counted
            for kind in ("chat", "read", "order"):
                self.version += 2
                hops.clear()
                for name in FES + CASA:
                    other = "fes-a" if name in CASA else "casa-a"
                    newer = name in CASA
                    self.install(world, name, newer, domain=other, home=other)
                _, data = await call(world, FES[0], kind)
                self.assertEqual(json.loads(data)["outcome"], "not_run", data)
                self.assertEqual(max(hops), 1, kind)
                self.assertLessEqual(hops.total(), 3)

        with_deployment(run)

    def install(self, world, name, newer, regions="fes casa", home="fes-a", **kind):
        domain = kind["domain"]
        text = RESTRICTED_SHEET.format(
            regions=regions,
            home=home,
            domain=domain,
            engine=world.engines[domain].address,
            desk=world.services[domain].address,
        )
        installed = world.hosts[name].installed
        self.assertTrue(installed.install(self.version + newer, text, "test"))


async def call(world, host, kind, headers=()):
    """Make a call with the secret in its body; return status and answer."""
    message = {"role": "user", "content": SECRET.decode()}
    body = json.dumps({"messages": [message], "max_tokens": 2}).encode()
    path = "/w/shop/desk/items/1"
    method = "GET" if kind == "read" else "POST"
    if kind == "chat":
        path = "/w/shop/chat/v1/chat/completions"
    elif kind == "order":
        identity = order_id(world.clock.now(), 77).encode()
        headers = [*headers, (b"idempotency-key", identity)]
    address = world.hosts[host].callers_address
    async with world.clock.timeout(CALL_TIMEOUT_SECONDS):
        head, data = await request_once(
            world.network.for_node(f"callers-{domain_of(host)}"),
            world.clock,
            address,
            method,
            path,
            tuple(headers),
            body,
        )
    return head.status, data
