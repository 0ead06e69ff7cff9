"""Measures what it costs that hosts tell each other where streams began.

Run `python -m bench.stream_origins`. All hosts run in one process in virtual time and
on a network in memory, in two regions that are each other's partners: each region then
sends and receives what a region of a larger fleet does on average. Each host begins
STREAMS_PER_SECOND streams of random origins. Bytes are those of the host's connections
without TCP/IP headers, less what the same hosts send and receive without streams.
"""

import itertools
import random
import time
from typing import NamedTuple

from sassafraskeel.decisions.stream_origins import StreamOrigin
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.routes import RouteWorld

# Hosts of a region, and the sizes of fleets with such regions.
SIZES = ((3, "9"), (21, "63"), (18, "195, 410"))
SERVICES = (6, 24)
VERSIONS = 2
STREAMS_PER_SECOND = 32
LIFETIME_SECONDS = 30.0
SETTLE_SECONDS = 5.0
MEASURE_SECONDS = 20.0


class Traffic(NamedTuple):
    """Bytes and writes of hosts in a time."""

    sent: int
    received: int
    writes: int

    def rate(self, before: "Traffic", hosts: int) -> "Traffic":
        """Return the average of a host in a second since an earlier reading."""
        return Traffic(
            *(
                (a - b) / MEASURE_SECONDS / hosts
                for a, b in zip(self, before, strict=True)
            )
        )


class CountingStream:
    """A stream that counts what its host reads and writes."""

    def __init__(self, inner, counts):
        self._inner = inner
        self._counts = counts

    def __getattr__(self, name):
        return getattr(self._inner, name)

    async def read(self, max_bytes: int = 65536) -> bytes:
        data = await self._inner.read(max_bytes)
        self._counts.received += len(data)
        return data

    async def write(self, data: bytes) -> None:
        self._counts.sent += len(data)
        self._counts.writes += 1
        await self._inner.write(data)


class CountingListener:
    """A listener that accepts counted streams."""

    def __init__(self, inner, counts):
        self._inner = inner
        self._counts = counts
        self.address = inner.address

    async def accept(self):
        return CountingStream(await self._inner.accept(), self._counts)

    async def close(self):
        await self._inner.close()


class CountingNode:
    """The network of one node, which counts its bytes."""

    def __init__(self, inner):
        self._inner = inner
        self.sent = self.received = self.writes = 0

    async def connect(self, address, buffers=None):
        return CountingStream(await self._inner.connect(address), self)

    async def listen(self, address):
        return CountingListener(await self._inner.listen(address), self)


class CountingNetwork:
    """A network in memory that counts the bytes of each node."""

    def __init__(self, inner: MemoryNetwork):
        self._inner = inner
        self.nodes = {}

    def for_node(self, node):
        return self.nodes.setdefault(node, CountingNode(self._inner.for_node(node)))

    def traffic(self, names) -> Traffic:
        """Return the sum over some nodes."""
        nodes = [self.nodes[name] for name in names]
        return Traffic(
            sum(node.sent for node in nodes),
            sum(node.received for node in nodes),
            sum(node.writes for node in nodes),
        )


async def begin_streams(world, rng, services: int) -> None:
    """Let all hosts begin streams at an even rate for MEASURE_SECONDS."""
    count = round(MEASURE_SECONDS * STREAMS_PER_SECOND * len(world.hosts))
    hosts = itertools.cycle(world.hosts)
    started_at = world.clock.monotonic()
    for number, host in zip(range(count), hosts, strict=False):
        origin = StreamOrigin(
            f"service-{rng.randrange(services)}", f"v1.{rng.randrange(VERSIONS)}"
        )
        now = world.clock.monotonic()
        await host.stream_origins.began(
            f"{rng.getrandbits(64):016x}", origin, now + LIFETIME_SECONDS
        )
        due = started_at + (number + 1) * MEASURE_SECONDS / count
        await world.clock.sleep(due - now)


async def measure(clock, hosts: int, services: int) -> None:
    """Print what two regions of `hosts` hosts each cost."""
    zones = ("north-a",) * hosts + ("south-a",) * hosts
    world = RouteWorld(clock, (), zones)
    world.network = CountingNetwork(world.network)
    await world.start()
    await clock.sleep(SETTLE_SECONDS)
    names = {host.membership.local_host.name for host in world.hosts}
    roles = {"average": names, "coordinator": set(), "standby": set()}
    idle = "(without streams {:.0f}, {:.0f}, {:.1f})"
    for region in ("north", "south"):
        ranked = world.hosts[0].coordination.candidates(region, clock.monotonic())
        for role, host in zip(("coordinator", "standby"), ranked, strict=False):
            roles[role].add(host.name)
    roles["other host"] = names - roles["coordinator"] - roles["standby"]
    readings, seconds = [], []
    for load in (clock.sleep, None):
        readings.append({r: world.network.traffic(n) for r, n in roles.items()})
        started_at = time.process_time()
        if load is not None:
            await load(MEASURE_SECONDS)
        else:
            await begin_streams(world, random.Random(1), services)
        seconds.append(time.process_time() - started_at)
    readings.append({r: world.network.traffic(n) for r, n in roles.items()})
    for role, members in roles.items():
        if not members:
            continue
        before, between, after = (reading[role] for reading in readings)
        base = between.rate(before, len(members))
        loaded = after.rate(between, len(members))
        print(
            f"  {role:12} sends {loaded.sent - base.sent:6.0f} bytes/s, receives"
            f" {loaded.received - base.received:6.0f} bytes/s, writes"
            f" {loaded.writes - base.writes:5.1f} times a second",
            idle.format(*base),
        )
    share = (seconds[1] - seconds[0]) / MEASURE_SECONDS / 2
    entries = [len(host.stream_origins.origins) for host in world.hosts]
    print(f"  processor {share:.1%} of a core for all hosts of a region together")
    print(f"  entries in the tables: at most {max(entries)}")
    await world.close()


def main() -> None:
    """Print the cost at regions of several sizes."""
    for hosts, fleets in SIZES:
        for services in SERVICES:
            print(
                f"{hosts} hosts in a region (fleets of {fleets}),"
                f" {services * VERSIONS} origins",
                flush=True,
            )
            run_virtual(measure, hosts, services)


if __name__ == "__main__":
    main()
