"""The membership of complete hosts while links are cut in either direction."""

import random
from unittest import TestCase

from hypothesis import Phase, given, settings, strategies as st

from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import parse_settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.emulators.network import Wan, WanNetwork
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.settings import HOST_SETTINGS

DOMAINS = ("east", "north", "south")
HOSTS_IN_DOMAIN = 2
PLATFORM = Address("127.0.0.1", 29999)
# The time of heartbeats, the choice of links, backoff and three summary exchanges.
SETTLE_SECONDS = 32.0
START_SECONDS = 12.0
SHEET = """kind,name,type,regions
domain,east,,here
domain,north,,here
domain,south,,here
service,chat,model,here
"""

directions = st.tuples(st.sampled_from(DOMAINS), st.sampled_from(DOMAINS)).filter(
    lambda pair: pair[0] != pair[1]
)
steps = st.one_of(
    st.tuples(st.just("cut"), directions),
    st.tuples(st.just("heal"), st.none()),
    st.tuples(st.just("stop"), st.integers(0, 5)),
    st.tuples(st.just("start"), st.integers(0, 5)),
    st.tuples(st.just("drain"), st.integers(0, 5)),
)


class World:
    """Hosts in three domains; a restarted host has a new incarnation."""

    def __init__(self, clock):
        self.clock = clock
        self.network = MemoryNetwork()
        self.platform = PlatformEmulator(clock, self.network, PLATFORM)
        self.sites = {PLATFORM: "platform"}
        for number in range(len(DOMAINS) * HOSTS_IN_DOMAIN):
            self.sites[self.listen(number)] = self.domain(number)
        self.wans = {}
        self.hosts = {}
        self.drained = set()
        self.runs = 0

    @staticmethod
    def domain(number):
        return DOMAINS[number // HOSTS_IN_DOMAIN]

    @staticmethod
    def listen(number):
        return Address("127.0.0.1", 30000 + number)

    async def begin(self):
        await self.platform.start()
        for number in range(len(DOMAINS) * HOSTS_IN_DOMAIN):
            await self.start(number)
        store = PlatformClient(self.hosts[0].cfg.platform, self.clock, self.network)
        await accept_sheet(store, SHEET)
        await self.clock.sleep(START_SECONDS)

    async def start(self, number):
        if number in self.hosts:
            return
        self.runs += 1
        # The other host of the domain and one host each of two domains; a restart must
        # not depend on these two.
        seeds = {self.listen(number ^ 1), self.listen(0), self.listen(2)}
        text = HOST_SETTINGS.format(
            name=f"{self.domain(number)}-{number}",
            domain=self.domain(number),
            gateways=self.listen(number),
            seeds=" ".join(map(str, sorted(seeds))),
            platform=PLATFORM,
        )
        cfg = parse_settings(text, "test.ini")
        local_site = self.domain(number)
        remote_sites = {a: s for a, s in self.sites.items() if s != local_site}
        wan = Wan(remote_sites, dict.fromkeys((*DOMAINS, "platform"), 0.02))
        old = self.wans.get(number)
        if old:
            wan.cut_in, wan.cut_out = old.cut_in, old.cut_out
        self.wans[number] = wan
        network = WanNetwork(self.network, self.clock, wan)
        store = PlatformClient(cfg.platform, self.clock, network)
        rng = random.Random(self.runs)
        turns = TurnTimer(self.clock, NullLog())
        env = Environment(self.clock, network, rng, NullLog(), store, turns)
        host = Host(cfg, env)
        await host.start()
        self.hosts[number] = host

    async def stop(self, number):
        host = self.hosts.pop(number, None)
        self.drained.discard(number)
        if host is not None:
            await host.close()

    def cut(self, source, target):
        """Drop the traffic from one domain to another, in this direction only."""
        for number, wan in self.wans.items():
            if self.domain(number) == source:
                wan.cut_out = wan.cut_out | {target}
            if self.domain(number) == target:
                wan.cut_in = wan.cut_in | {source}

    def heal(self):
        for wan in self.wans.values():
            wan.cut_in, wan.cut_out = set(), set()

    async def take(self, step):
        kind, value = step
        if kind == "cut":
            self.cut(*value)
        elif kind == "heal":
            self.heal()
        elif kind == "stop":
            await self.stop(value)
        elif kind == "start":
            await self.start(value)
        elif value in self.hosts:
            self.hosts[value].request_tracker.draining = True
            self.drained.add(value)

    def expected(self, domain):
        """Return the incarnations of a domain's hosts that accept new work."""
        return {
            host.membership.local_host.incarnation
            for number, host in self.hosts.items()
            if self.domain(number) == domain and number not in self.drained
        }

    def known(self, number, domain):
        host = self.hosts[number]
        hosts = host.domains.hosts(domain, self.clock.monotonic())
        return {entry.incarnation for entry in hosts}

    async def close(self):
        for number in list(self.hosts):
            await self.stop(number)
        await self.platform.close()


def run_in_world(function, *args):
    async def main(clock):
        world = World(clock)
        await world.begin()
        try:
            await function(world, *args)
        finally:
            await world.close()

    run_virtual(main)


class MembershipTest(TestCase):
    # Shrinking takes minutes: an example runs six hosts for two virtual minutes.
    @settings(max_examples=3, phases=(Phase.explicit, Phase.generate))
    @given(st.lists(st.tuples(steps, st.sampled_from((0.5, 4.0, 15.0))), max_size=6))
    def test_hosts_agree_after_cuts(self, script):
        """Guards against hosts missing after a cut or still listed after a stop."""

        async def run(world):
            for step, seconds in script:
                await world.take(step)
                await world.clock.sleep(seconds)
            world.heal()
            await world.clock.sleep(SETTLE_SECONDS)
            for number in world.hosts:
                for domain in DOMAINS:
                    expected = world.expected(domain)
                    if domain == world.domain(number):
                        expected -= {
                            world.hosts[number].membership.local_host.incarnation
                        }
                    self.assertEqual(
                        world.known(number, domain), expected, (number, domain)
                    )

        run_in_world(run)

    def test_host_that_starts_cut_off_learns_from_its_peers(self):
        """Guards against a host that needs the platform or another domain to start."""

        async def run(world):
            await world.stop(5)
            for source in (*DOMAINS, "platform"):
                world.cut("south", source)
                world.cut(source, "south")
            await world.start(5)
            await world.clock.sleep(8)
            host = world.hosts[5]
            self.assertEqual(host.installed.version, 1)
            rosters = host.summaries.rosters()
            for domain in ("east", "north"):
                incarnations = {entry.incarnation for entry in rosters[domain]}
                self.assertEqual(incarnations, world.expected(domain))
            self.assertEqual(
                world.known(5, "south"),
                world.expected("south") - {host.membership.local_host.incarnation},
            )

        run_in_world(run)

    def test_draining_host_gets_no_new_work(self):
        """Guards against calls that are sent to a host after it began to drain."""

        async def run(world):
            world.hosts[1].request_tracker.draining = True
            world.drained.add(1)
            await world.clock.sleep(7)  # One pong, and two exchanges of summaries.
            for number in (0, 2, 3, 4, 5):
                self.assertNotIn(
                    world.hosts[1].membership.local_host.incarnation,
                    world.known(number, "east"),
                )

        run_in_world(run)
