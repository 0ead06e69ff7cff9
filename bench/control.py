"""Measures the bytes per second that a host sends and receives on control links.

Run `python -m bench.control`. All hosts run in one process in virtual time and on a
network in memory, without callers; the load of every domain changes at random.
Bytes are counted without TCP/IP headers. A least-squares fit over deployments of
several sizes gives the cost of a link and of a domain.
"""

import random
import sys
from typing import NamedTuple

from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import parse_settings
from sassafraskeel.core.turns import TurnTimer
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.host import Environment, Host
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork

# Number of domains, number of hosts in each.
SIZES = ((1, 3), (4, 3), (16, 3), (2, 6), (8, 6), (12, 6))
TARGET_DOMAINS = 70
TARGET_HOSTS_IN_DOMAIN = 410 / 70
SETTLE_SECONDS = 20.0
MEASURE_SECONDS = 40.0
SLOTS = 64.0
# Largest change of a service's used slots in one second, as a fraction of its slots.
MAX_CHANGE_PER_SECOND = 0.02
SERVICES = ("chat", "draft", "desk", "stock")
SETTINGS = """[host]
name = {name}
domain = {domain}
[callers]
listen = 127.0.0.1:0
[gateways]
listen = {listen}
token = gateway-token
seeds = {seeds}
[operators]
listen = 127.0.0.1:0
token = operator-token
[platform]
address = {platform}
"""


class SizeMeasurement(NamedTuple):
    """The bytes per second and the dialled links of a host, for one size."""

    domains: int
    hosts: int
    bytes_per_second: float
    links: float


class CountingStream:
    """A stream that adds the bytes read and written to the counter of a network."""

    def __init__(self, inner, network):
        self._inner = inner
        self._network = network

    async def read(self, max_bytes: int = 65536) -> bytes:
        data = await self._inner.read(max_bytes)
        self._network.bytes += len(data)
        return data

    async def write(self, data: bytes) -> None:
        self._network.bytes += len(data)
        await self._inner.write(data)

    async def close(self) -> None:
        await self._inner.close()

    def set_buffers(self, buffers) -> None:
        self._inner.set_buffers(buffers)


class CountingListener:
    """A listener that accepts counted streams."""

    def __init__(self, inner, network):
        self._inner = inner
        self._network = network
        self.address = inner.address

    async def accept(self):
        return CountingStream(await self._inner.accept(), self._network)

    async def close(self):
        await self._inner.close()


class CountingNetwork:
    """Counts the bytes of one host's connections, except those to the platform."""

    def __init__(self, inner, platform: Address):
        self._inner = inner
        self._platform = platform
        self.bytes = 0

    async def connect(self, address, buffers=None):
        stream = await self._inner.connect(address)
        return stream if address == self._platform else CountingStream(stream, self)

    async def listen(self, address):
        return CountingListener(await self._inner.listen(address), self)


class RandomLoad:
    """The load of a domain's services, which changes at random.

    All hosts of a domain share one instance, so that they report the same load.
    """

    def __init__(self, clock, seed):
        self._clock = clock
        self._rng = random.Random(seed)
        self._used = {name: SLOTS * self._rng.random() for name in SERVICES}
        self._at = clock.monotonic()

    def __call__(self, sheet):
        seconds = self._clock.monotonic() - self._at
        self._at += seconds
        for name, used in self._used.items():
            change = MAX_CHANGE_PER_SECOND * SLOTS * seconds * self._rng.uniform(-1, 1)
            self._used[name] = min(max(used + change, 0.0), SLOTS)
        return {name: (SLOTS, used) for name, used in self._used.items()}


async def start_hosts(clock, network, platform, domains, hosts_in_domain):
    """Start all hosts and return each with its counting network."""
    positions = [(d, h) for d in range(domains) for h in range(hosts_in_domain)]
    addresses = {
        position: f"127.0.0.1:{30000 + n}" for n, position in enumerate(positions)
    }
    loads = [RandomLoad(clock, domain) for domain in range(domains)]
    hosts = []
    for number, (domain, host) in enumerate(positions):
        # The seeds are the first host of the local domain and a host of domain 0.
        seeds = {addresses[domain, 0], addresses[0, host]}
        text = SETTINGS.format(
            name=f"zone-{domain:02}-{host}",
            domain=f"zone-{domain:02}",
            listen=addresses[domain, host],
            seeds=" ".join(sorted(seeds)),
            platform=platform.address,
        )
        cfg = parse_settings(text, "bench.ini")
        counting = CountingNetwork(network, platform.address)
        store = PlatformClient(cfg.platform, clock, counting)
        turns = TurnTimer(clock, NullLog())
        env = Environment(
            clock, counting, random.Random(number), NullLog(), store, turns
        )
        node = Host(cfg, env)
        node.placement.slot_usage = loads[domain]
        await node.start()
        hosts.append((node, counting))
    return hosts


async def measure(clock, domains: int, hosts_in_domain: int) -> SizeMeasurement:
    """Run a deployment of one size and return its measurement."""
    network = MemoryNetwork()
    platform = PlatformEmulator(clock, network, Address("127.0.0.1", 0))
    await platform.start()
    hosts = await start_hosts(clock, network, platform, domains, hosts_in_domain)
    store = PlatformClient(hosts[0][0].cfg.platform, clock, network)
    await accept_sheet(store, "kind,name,regions\ndomain,zone-00,north\n")
    await clock.sleep(SETTLE_SECONDS)
    before = sum(counting.bytes for _, counting in hosts)
    await clock.sleep(MEASURE_SECONDS)
    after = sum(counting.bytes for _, counting in hosts)
    links = sum(len(node.links.links()) for node, _ in hosts)
    known_domains = {len(node.summaries.rosters()) for node, _ in hosts}
    for node, _ in hosts:
        await node.close()
    await platform.close()
    if known_domains != {domains}:
        sys.exit(
            f"a host has only the rosters of {min(known_domains)} of {domains} domains"
        )
    count = len(hosts)
    return SizeMeasurement(
        domains, count, (after - before) / MEASURE_SECONDS / count, links / count
    )


def fit_slopes(measurements: list[SizeMeasurement]) -> tuple[float, float, float]:
    """Fit bytes = constant + a × links + b × domains by least squares."""
    rows = [
        (1.0, measurement.links, float(measurement.domains))
        for measurement in measurements
    ]
    matrix = [
        [sum(r[i] * r[j] for r in rows) for j in range(3)]
        + [
            sum(
                r[i] * f.bytes_per_second
                for r, f in zip(rows, measurements, strict=True)
            )
        ]
        for i in range(3)
    ]
    for i in range(3):
        pivot = max(range(i, 3), key=lambda row: abs(matrix[row][i]))
        matrix[i], matrix[pivot] = matrix[pivot], matrix[i]
        for j in range(3):
            if j != i:
                factor = matrix[j][i] / matrix[i][i]
                matrix[j] = [
                    a - factor * b for a, b in zip(matrix[j], matrix[i], strict=True)
                ]
    return tuple(matrix[i][3] / matrix[i][i] for i in range(3))


def main() -> None:
    """Print the measurements, the fit and its estimate for the target size."""
    measurements = []
    for domains, hosts in SIZES:
        measurement = run_virtual(measure, domains, hosts)
        measurements.append(measurement)
        print(
            f"{measurement.domains:>3} domains {measurement.hosts:>3} hosts"
            f" {measurement.links:>5.1f} links dialled per host"
            f" {measurement.bytes_per_second:>7.0f} bytes/s per host",
            flush=True,
        )
    constant, by_link, by_domain = fit_slopes(measurements)
    links = TARGET_HOSTS_IN_DOMAIN - 1 + 2
    target = constant + by_link * links + by_domain * TARGET_DOMAINS
    print(
        f"fit: {constant:.0f} + {by_link:.1f} per link + {by_domain:.1f} per domain;"
        f" 410 hosts in 70 domains: {target:.0f} bytes/s per host (limit 3000)"
    )


if __name__ == "__main__":
    main()
