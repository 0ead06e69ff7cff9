"""Runs route hosts through faults and prints the results of calls in each phase."""

import sys
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from tools.route_cluster import RouteCluster, call, replica_entry

ZONES = {"serra-a": (2, 2), "campos-a": (2, 1), "planalto-a": (1, 1)}
PATHS = (
    ("GET", "/read/lot"),
    ("POST", "/order/weighing"),
    ("POST", "/stream/chat/question"),
    ("POST", "/stream/draft/summary"),
)
CALLS = 120
CALLERS = 12


def run_phase(cluster: RouteCluster, hosts, phase: str) -> bool:
    """Send calls to hosts in turn; return whether all were answered and none ran twice.

    Only the at-most-once calls are checked for a second run.
    """
    jobs = [
        (hosts[number % len(hosts)], *PATHS[number % len(PATHS)], uuid.uuid4().hex)
        for number in range(CALLS)
    ]

    def send(job):
        host, method, path, call_id = job
        return call(host, path, method, call_id).status

    with ThreadPoolExecutor(CALLERS) as pool:
        statuses = Counter(pool.map(send, jobs))
    runs = cluster.runs()
    at_most_once = [
        job for job in jobs if job[2].startswith(("/order/", "/stream/draft/"))
    ]
    run_twice = sum(runs.get(job[3], 0) > 1 for job in at_most_once)
    answered = statuses[200]
    print(f"{phase:32} answered {answered:4} of {CALLS}, ran twice {run_twice}")
    return answered == CALLS and not run_twice


def main() -> int:
    """Run all phases and return the exit status."""
    with RouteCluster(ZONES) as cluster:
        names = ", ".join(host.name for host in cluster.hosts)
        print(f"hosts {names}; {len(cluster.processes)} processes")
        passed = run_phase(cluster, cluster.hosts, "all hosts")
        killed, *others = cluster.hosts
        cluster.stop(killed.name, 9)
        passed &= run_phase(cluster, others, f"{killed.name} killed")
        cluster.start_host(killed)
        cluster.wait_ready(killed)
        replica = cluster.replicas[0]
        cluster.write(f"servers/{replica.name}", replica_entry(replica, "draining"))
        passed &= run_phase(cluster, cluster.hosts, f"{replica.name} draining")
        cluster.stop("store", 9)
        passed &= run_phase(cluster, cluster.hosts, "store killed")
        status = cluster.stop(others[0].name)
        passed &= run_phase(cluster, [killed, *others[1:]], f"{others[0].name} stopped")
        print(f"exit status of the stopped host: {status}")
    print("PASSED" if passed and not status else "FAILED")
    return 0 if passed and not status else 1


if __name__ == "__main__":
    sys.exit(main())
