"""Runs route hosts through faults and prints the results of calls in each phase."""

import json
import sys
import time
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from sassafraskeel.decisions.replica_statements import BURST
from sassafraskeel.emulators.replica import (
    BOOT_PATH,
    LEDGER_PATH,
    LIMIT_PATH,
    Boot,
)
from sassafraskeel.emulators.store import COPY_PATH
from tools.route_cluster import (
    RouteCluster,
    begin_stream,
    call,
    fetch,
    replica_entry,
)

ZONES = {"serra-a": (2, 2), "campos-a": (2, 1), "planalto-a": (1, 1)}
PATHS = (
    ("GET", "/read/lot"),
    ("POST", "/order/weighing"),
    ("POST", "/stream/chat/question"),
    ("POST", "/stream/draft/summary"),
)
CALLS = 120
CALLERS = 12
# The software versions of the replicas, in turn.
VERSIONS = ("v1", "v2")
# Requests per second that a replica takes in the phase in which it names a limit, and
# the seconds in which hosts learn of it.
LIMIT = 2.0
LEARN_SECONDS = 1.5


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


def run_limited_phase(cluster: RouteCluster, replica) -> bool:
    """Let a replica name a limit during a phase; return whether it was kept."""
    set_limit(replica, f"{LIMIT:g}")
    for number in range(CALLERS):
        call(
            cluster.hosts[number % len(cluster.hosts)],
            "/read/lot",
            "GET",
            f"l-{number}",
        )
    time.sleep(LEARN_SECONDS)
    before, started = arrivals(replica), time.monotonic()
    passed = run_phase(cluster, cluster.hosts, f"{replica.name} limited to {LIMIT:g}/s")
    count, seconds = arrivals(replica) - before, time.monotonic() - started
    allowed = LIMIT * seconds + BURST
    set_limit(replica, "")
    print(f"  {count} requests in {seconds:.1f} s, allowed {allowed:.1f}")
    return passed and count <= allowed


def run_streams_phase(cluster: RouteCluster, hosts, phase: str) -> bool:
    """Break streams off and take them up at other hosts.

    Return whether half of them or more went on, each at one software version.
    """
    path = "/stream/chat/question"

    def take_up(number: int):
        first_id, second_id = uuid.uuid4().hex, uuid.uuid4().hex
        event_id = begin_stream(hosts[number % len(hosts)], path, first_id)
        headers = {"Resumes": first_id, "Last-Event-Id": str(event_id)}
        host = hosts[(number + 1) % len(hosts)]
        answer = call(host, path, "POST", second_id, headers=headers)
        return first_id, second_id, event_id > 0 and answer.status == 200

    with ThreadPoolExecutor(CALLERS) as pool:
        streams = list(pool.map(take_up, range(CALLS)))
    versions = cluster.run_versions()
    went_on = sum(is_served for _, _, is_served in streams)
    mixed = sum(
        len({*versions.get(first_id, ()), *versions.get(second_id, ())}) > 1
        for first_id, second_id, _ in streams
    )
    print(f"{phase:32} went on {went_on:5} of {CALLS}, of two versions {mixed}")
    return 2 * went_on >= CALLS and not mixed


def replace_replica(cluster: RouteCluster, replica, boot: Boot) -> None:
    """Drain a replica, and start another one at its address."""
    cluster.write(f"servers/{replica.name}", replica_entry(replica, "draining"))
    time.sleep(LEARN_SECONDS)
    cluster.write(f"servers/{replica.name}", None)
    fetch(replica.address, "PUT", BOOT_PATH, body=json.dumps(boot).encode())
    cluster.write(f"servers/{boot.name}", replica_entry(replica, boot=boot))


def restore_store(cluster: RouteCluster) -> None:
    """Restore the store from a copy that lacks a version of the manifest."""
    fetch(cluster.store, "PUT", COPY_PATH)
    cluster.write("op/config", cluster.manifest(2))
    time.sleep(LEARN_SECONDS)
    fetch(cluster.store, "POST", COPY_PATH)


def set_limit(replica, limit: str) -> None:
    """Set the limit that a replica names in its answers."""
    fetch(replica.address, "PUT", LIMIT_PATH, body=limit.encode())


def arrivals(replica) -> int:
    """Return how many requests have reached a replica."""
    return json.loads(fetch(replica.address, "GET", LEDGER_PATH).body)["arrivals"]


def main() -> int:
    """Run all phases and return the exit status."""
    with RouteCluster(ZONES, versions=VERSIONS) as cluster:
        names = ", ".join(host.name for host in cluster.hosts)
        print(f"hosts {names}; {len(cluster.processes)} processes")
        passed = run_phase(cluster, cluster.hosts, "all hosts")
        passed &= run_limited_phase(cluster, cluster.replicas[0])
        passed &= run_streams_phase(cluster, cluster.hosts, "streams taken up")
        rolled = cluster.replicas[1]
        replace_replica(cluster, rolled, Boot("r-new", VERSIONS[0], 2))
        passed &= run_phase(cluster, cluster.hosts, f"{rolled.name} replaced")
        passed &= run_streams_phase(cluster, cluster.hosts, "streams taken up")
        killed, *others = cluster.hosts
        cluster.stop(killed.name, 9)
        passed &= run_phase(cluster, others, f"{killed.name} killed")
        cluster.start_host(killed)
        cluster.wait_ready(killed)
        replica = cluster.replicas[0]
        cluster.write(f"servers/{replica.name}", replica_entry(replica, "draining"))
        passed &= run_phase(cluster, cluster.hosts, f"{replica.name} draining")
        restore_store(cluster)
        passed &= run_phase(cluster, cluster.hosts, "store restored from a copy")
        cluster.stop("store", 9)
        passed &= run_phase(cluster, cluster.hosts, "store killed")
        status = cluster.stop(others[0].name)
        passed &= run_phase(cluster, [killed, *others[1:]], f"{others[0].name} stopped")
        print(f"exit status of the stopped host: {status}")
    print("PASSED" if passed and not status else "FAILED")
    return 0 if passed and not status else 1


if __name__ == "__main__":
    sys.exit(main())
