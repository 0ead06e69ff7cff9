"""Measures the costs of a host of routes that may grow with the fleet.

Run `python -m bench.route_costs`. It times decisions in one process, then the processor
time of idle hosts as processes.
"""

import random
import sys
import time

import curio

from bench.processes import processor_seconds, resident_bytes
from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.calls.crash_guard import CrashGuard, FeatureHasher
from sassafraskeel.calls.route_placement import RoutePlacement
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import (
    Call,
    CallKind,
    HostInfo,
    Prompt,
    PromptPart,
    RoutePolicy,
)
from sassafraskeel.decisions.call_costs import CallCosts
from sassafraskeel.decisions.coordination import rank_coordinators
from sassafraskeel.decisions.crash_evidence import CrashEvidence
from sassafraskeel.decisions.estimates import ServiceTimes
from sassafraskeel.decisions.fleet import Fleet, Replica
from sassafraskeel.decisions.forwards import RecentForwards
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import ReplicaLoads
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.pacing import ColdPacer
from sassafraskeel.decisions.prompt_caches import PromptCaches
from sassafraskeel.decisions.region_loads import RegionLoads
from sassafraskeel.decisions.replica_statements import ReplicaStatements
from sassafraskeel.decisions.routes import (
    CallerLimits,
    EngineSpec,
    Manifest,
    ServiceSpec,
)
from sassafraskeel.decisions.silence import SilenceDetector
from sassafraskeel.decisions.version_history import VersionHistory
from tools.route_cluster import RouteCluster

FLEETS = ((9, 5), (65, 32), (195, 35), (410, 80))
IDLE_HOSTS = (1, 4, 9, 18)
CALLS = 2000
REPEATS = 50
SETTLE_SECONDS = 4
IDLE_SECONDS = 10
ADDRESS = Address("10.0.0.1", 80)
REGIONS = {"a": "north", "b": "north", "c": "south"}
SPEC = ServiceSpec("chat", "/", 1000, 3.0, 1.5, EngineSpec(12, 256_000))


def build_state(hosts: int, replicas: int, clock) -> RoutingState:
    """Return the state of a host in a fleet, with the replicas in its region."""
    fleet = Fleet(REGIONS)
    fleet.accept(Manifest(1, (), {SPEC.name: SPEC}, CallerLimits(1, 1, 1, 1)), 0.0)
    for number in range(replicas):
        zone = "ab"[number % 2]
        fleet.update(Replica(f"r-{number}", 1, SPEC.name, zone, ADDRESS, 12, False))
    local_host = HostInfo("h-0", "a", "1", ADDRESS, ADDRESS)
    table = HostTable(Membership(local_host), REGIONS)
    for number in range(1, hosts):
        zone = "abc"[number % 3]
        table.register(HostInfo(f"h-{number}", zone, "1", ADDRESS, ADDRESS))
    table.store_answered(clock.monotonic())
    return RoutingState(
        fleet,
        table,
        ReplicaLoads(),
        PromptCaches(),
        Health(1.0),
        ColdPacer(),
        ServiceTimes(),
        ServiceTimes(),
        RecentForwards(),
        SilenceDetector(),
        RegionLoads(),
        lambda name, now: 1.0,
        ReplicaStatements(),
        CallCosts(),
        VersionHistory(),
    )


def build_crash_guard(clock) -> CrashGuard:
    """Return a guard without evidence."""
    evidence = CrashEvidence("h-0", "1")
    return CrashGuard(evidence, FeatureHasher("sassafraskeel"), clock, NullLog())


def build_call(rng: random.Random, number: int, now: float) -> Call:
    """Return a call with a long prompt that shares its subject's part with others."""
    parts = (
        PromptPart(f"g-{rng.randrange(4)}", 2520),
        PromptPart(f"s-{rng.randrange(2231)}", 3780),
        PromptPart(f"o-{number}", 2890),
    )
    prompt = Prompt("m", 9190, 50, parts)
    policy = RoutePolicy("r", 1, False, False, 0.8, 0.4, 1, prompt=prompt)
    return Call(
        f"c-{number}",
        "",
        SPEC.name,
        CallKind.MODEL,
        "POST",
        "/",
        (),
        expires=now + 5.0,
        route_policy=policy,
        queue_deadline=now + 1.6,
    )


async def time_placement(hosts: int, replicas: int) -> float:
    """Return the processor time in microseconds to place and release a call."""
    clock, rng = SystemClock(), random.Random(1)
    placement = RoutePlacement(
        clock, rng, build_state(hosts, replicas, clock), build_crash_guard(clock)
    )
    running = []
    started = time.process_time()
    for number in range(CALLS):
        call = build_call(rng, number, clock.monotonic())
        target = await placement.find_target(call, AttemptHistory())
        await placement.head_received(target)
        running.append((target, call))
        if len(running) > 6 * replicas:
            target, call = running.pop(0)
            await placement.release(target, call, True, 0.5)
    return (time.process_time() - started) / CALLS * 1e6


def time_view(hosts: int) -> float:
    """Return the processor time in microseconds of a view of all hosts."""
    clock = SystemClock()
    table = build_state(hosts, 1, clock).hosts
    started = time.process_time()
    for _ in range(REPEATS):
        table.invalidate()
        table.candidates("north", clock.monotonic(), rank_coordinators)
    return (time.process_time() - started) / REPEATS * 1e6


def measure_idle(hosts: int) -> tuple[list[float], float]:
    """Return the shares of a core that hosts use, ascending, and the most memory."""
    with RouteCluster({"north-a": (hosts, 2)}) as cluster:
        time.sleep(SETTLE_SECONDS)
        processes = [cluster.processes[host.name] for host in cluster.hosts]
        before = [processor_seconds(process) for process in processes]
        time.sleep(IDLE_SECONDS)
        used = [
            (processor_seconds(process) - start) / IDLE_SECONDS
            for process, start in zip(processes, before, strict=True)
        ]
        return sorted(used), max(map(resident_bytes, processes)) / 2**20


def main() -> None:
    """Print both tables."""
    print("| hosts | replicas in the region | a placement, us | a view of hosts, us |")
    print("|---|---|---|---|")
    for hosts, replicas in FLEETS:
        placement = curio.run(time_placement, hosts, replicas)
        print(f"| {hosts} | {replicas} | {placement:.0f} | {time_view(hosts):.0f} |")
    if "--no-idle" in sys.argv:
        return
    print()
    print("| hosts of a region | median host, idle | standby | coordinator | MB |")
    print("|---|---|---|---|---|")
    for hosts in IDLE_HOSTS:
        used, memory = measure_idle(hosts)
        shares = (used[len(used) // 2], used[-2] if hosts > 1 else 0.0, used[-1])
        cells = " | ".join(f"{share:.1%}" for share in shares)
        print(f"| {hosts} | {cells} | {memory:.0f} |")


if __name__ == "__main__":
    main()
