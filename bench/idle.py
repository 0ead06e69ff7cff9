"""Measures the processor time, memory and platform calls of idle hosts.

Run `python -m bench.idle`. It starts gateway hosts without callers, three in each
domain; the slope over the number of hosts is the cost of one more host.
"""

import time
from typing import NamedTuple

from bench.processes import processor_seconds, resident_bytes
from tools.cluster import Cluster, request_json
from tools.deployments import COOPERATIVA, ReplicaGroup

HOSTS_IN_DOMAIN = 3
DOMAIN_COUNTS = (1, 3, 6, 12)
SETTLE_SECONDS = 8.0
MEASURE_SECONDS = 10.0


class Usage(NamedTuple):
    """Processor seconds of all gateway processes, and calls of the platform."""

    processor: float
    calls: int


def deployment(domains: int):
    """Return a deployment with a number of failure domains."""
    names = {f"zone-{number}": f"region-{number}" for number in range(domains)}
    return COOPERATIVA._replace(
        regions=names,
        hosts=dict.fromkeys(names, HOSTS_IN_DOMAIN),
        replicas=(ReplicaGroup(COOPERATIVA.model_service, "zone-0", 1),),
        workspaces={"shop": "zone-0"},
        store_region="region-0",
    )


def read_usage(cluster: Cluster, processes) -> Usage:
    """Return the totals of the gateway processes and of the platform so far."""
    used = sum(processor_seconds(process) for process in processes)
    calls = sum(request_json("GET", cluster.platform, "/calls").values())
    return Usage(used, calls)


def measure(domains: int) -> None:
    """Measure a deployment and print its row."""
    with Cluster(deployment(domains)) as cluster:
        cluster.accept_sheet()
        processes = [cluster.processes[gw.name] for gw in cluster.gateways]
        time.sleep(SETTLE_SECONDS)
        before = read_usage(cluster, processes)
        time.sleep(MEASURE_SECONDS)
        after = read_usage(cluster, processes)
        memory = sum(resident_bytes(process) for process in processes)
    hosts = len(processes)
    core_percent = 100 * (after.processor - before.processor) / MEASURE_SECONDS / hosts
    calls = (after.calls - before.calls) / MEASURE_SECONDS
    print(
        f"{domains:>7} {hosts:>5} {core_percent:>10.2f} {memory / hosts / 2**20:>8.1f}"
        f" {calls:>10.1f} {calls / hosts:>8.2f}",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    print(
        f"{'domains':>7} {'hosts':>5} {'% of core':>10} {'MB':>8}"
        f" {'platform/s':>10} {'per host':>8}"
    )
    for domains in DOMAIN_COUNTS:
        measure(domains)


if __name__ == "__main__":
    main()
