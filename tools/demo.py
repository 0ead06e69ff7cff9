"""Runs a deployment through a partition and a drain; prints the results of calls.

`python -m tools.demo NAME` runs the deployment of that name (cooperativa by default).
The exit status is 1 if a call was not answered or an order ran twice.
"""

import http.client
import json
import signal
import sys
import time
import urllib.error
import urllib.request
import uuid
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.net import TcpNetwork
from sassafraskeel.core.settings import PlatformSection
from sassafraskeel.store.key_value import PlatformClient
from sassafraskeel.store.sheet_store import accept_sheet
from tools.cluster import Cluster, request_json
from tools.deployments import DEPLOYMENTS

CALLS_PER_PHASE = 90
CALLERS = 12
CALL_TIMEOUT_SECONDS = 30
# Time limit for all hosts to put the sheet in force.
SHEET_SECONDS = 7.0
CALLS_DURING_DRAIN = 600
DRAIN_TOKENS = 100
CALLS_BEFORE_DRAIN_SECONDS = 0.5
# Time limit for the draining process to exit.
DRAIN_SECONDS = 30.0
MAX_RETRIES = 8
RETRY_SECONDS = 0.5
# Reasons of refusals after which a caller tries the next host of the directory.
FAILOVER_REASONS = (b"draining", b"view_changing", b"witness_unreachable")
# Time limit for all home domains to answer orders.
ORDER_SECONDS = 30.0


def new_order_id() -> str:
    """Return a random UUIDv7 (RFC 9562) for the current time."""
    milliseconds = int(time.time() * 1000)
    random_bits = uuid.uuid4().int & ((1 << 74) - 1)
    value = milliseconds << 80 | 7 << 76 | (random_bits >> 62) << 64
    return str(uuid.UUID(int=value | 2 << 62 | random_bits & ((1 << 62) - 1)))


class CallResult(NamedTuple):
    """The result of one call: its outcome, duration, body and serving domain."""

    outcome: str
    seconds: float
    data: bytes
    served_by: str


def call(address, method, path, body=None, headers=None) -> CallResult:
    """Make one call and return its result.

    The outcome is "refused" if the connection was refused, "broken" for any other
    connection error, and otherwise the outcome of the answer.
    """
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method, headers=headers or {}
    )
    started = time.monotonic()
    served_by = ""
    try:
        with urllib.request.urlopen(request, timeout=CALL_TIMEOUT_SECONDS) as answer:
            outcome, data = "answered", answer.read()
            served_by = answer.headers.get("X-Served-By", "")
    except urllib.error.HTTPError as exc:
        data = exc.read()
        try:
            outcome = json.loads(data)["outcome"]
        except (ValueError, KeyError):
            outcome = f"status {exc.code}"
    except (OSError, http.client.HTTPException) as exc:
        refused = isinstance(getattr(exc, "reason", None), ConnectionRefusedError)
        outcome, data = "refused" if refused else "broken", repr(exc).encode()
    return CallResult(outcome, time.monotonic() - started, data, served_by)


def call_with_failover(addresses, method, path, body, headers) -> CallResult:
    """Make one call, trying the next host on a refusal that permits failover.

    A refused connection or one of FAILOVER_REASONS leads to the next host. Orders keep
    their idempotency key, so that a retry cannot run an order twice.
    """
    started = time.monotonic()
    retries = addresses * MAX_RETRIES if len(addresses) > 1 else []
    for address in [*addresses, *retries]:
        result = call(address, method, path, body, headers)
        can_fail_over = any(reason in result.data for reason in FAILOVER_REASONS)
        if result.outcome == "answered" or not (
            result.outcome == "refused" or can_fail_over
        ):
            break
        time.sleep(RETRY_SECONDS)
    return result._replace(seconds=time.monotonic() - started)


class CallRow(NamedTuple):
    """The kind and result of a call, and whether another domain served it."""

    kind: str
    result: CallResult
    away: bool


def make_calls(cluster, workspaces, count, failover=False, tokens=8) -> list[CallRow]:
    """Send calls of every kind to hosts of each workspace's home domain."""
    deployment = cluster.deployment
    jobs = []
    for number in range(count):
        workspace = sorted(workspaces)[number % len(workspaces)]
        hosts = [gw for gw in cluster.gateways if gw.domain == workspaces[workspace]]
        first = number % len(hosts)
        addresses = [gw.callers for gw in (*hosts[first:], *hosts[:first])]
        if not failover:
            del addresses[1:]
        jobs.append((number, workspace, addresses))

    def run(job):
        number, workspace, addresses = job
        home = workspaces[workspace]
        model = f"/w/{workspace}/{deployment.model_service}/v1/chat/completions"
        plain = f"/w/{workspace}/{deployment.plain_service}"
        kind = ("chat", "stream", "read", "order")[number // 3 % 4]
        method, path, body, headers = "POST", model, None, {}
        if kind in ("chat", "stream"):
            content = {
                "messages": [{"role": "user", "content": f"question {number}"}],
                "max_tokens": tokens,
                "stream": kind == "stream",
            }
            body = json.dumps(content).encode()
        elif kind == "read":
            method, path = "GET", f"{plain}/items/{number}"
        else:
            path, body = f"{plain}/orders", b"{}"
            headers = {"Idempotency-Key": new_order_id()}
        result = call_with_failover(addresses, method, path, body, headers)
        return CallRow(kind, result, result.served_by not in ("", home))

    with ThreadPoolExecutor(CALLERS) as pool:
        return list(pool.map(run, jobs))


def print_phase(name, results):
    """Print one line of the result table for each kind of call."""
    for kind in ("chat", "stream", "read", "order"):
        rows = [row for row in results if row.kind == kind]
        times = sorted(row.result.seconds * 1000 for row in rows)
        outcomes = Counter(row.result.outcome for row in rows)
        p50 = times[len(times) // 2]
        p99 = times[min(len(times) - 1, int(len(times) * 0.99))]
        others = len(rows) - sum(
            outcomes[key] for key in ("answered", "not_run", "unknown")
        )
        away = sum(row.away for row in rows)
        print(
            f"{name:<10} {kind:<7} {len(rows):>6} {outcomes['answered']:>9}"
            f" {outcomes['not_run']:>8} {outcomes['unknown']:>8} {others:>7}"
            f" {away:>5} {p50:>8.0f} {p99:>8.0f}"
        )


def make_calls_during_drain(cluster, workspaces) -> list[CallRow]:
    """Make calls while a host drains after SIGTERM; exit if its status is not 0."""
    draining_gateway = next(
        gw for gw in cluster.gateways if gw.domain in workspaces.values()
    )
    process = cluster.processes[draining_gateway.name]
    with ThreadPoolExecutor(1) as pool:
        calls = pool.submit(
            make_calls, cluster, workspaces, CALLS_DURING_DRAIN, True, DRAIN_TOKENS
        )
        time.sleep(CALLS_BEFORE_DRAIN_SECONDS)
        process.send_signal(signal.SIGTERM)
        results = calls.result()
    status = process.wait(DRAIN_SECONDS)
    if status:
        sys.exit(f"{draining_gateway.name} exited with status {status}")
    return results


def orders_run_twice(cluster: Cluster) -> int:
    """Return the number of order ids that the plain services ran more than once."""
    runs = Counter()
    for upstream in cluster.upstreams:
        if upstream.service == cluster.deployment.plain_service:
            runs.update(request_json("GET", upstream.address, "/ledger")["writes"])
    return sum(count > 1 for count in runs.values())


def accept_deployment_sheet(cluster: Cluster) -> None:
    """Accept the deployment's sheet through the platform."""
    clock = SystemClock()
    cfg = PlatformSection(address=cluster.platform)
    store = PlatformClient(cfg, clock, TcpNetwork())
    curio.run(accept_sheet, store, cluster.sheet())


def wait_for_orders(cluster: Cluster) -> None:
    """Wait until the home domains' hosts answer orders and all views are complete."""
    deployment = cluster.deployment
    homes = {home: workspace for workspace, home in deployment.workspaces.items()}
    waiting = [gw for gw in cluster.gateways if gw.domain in homes]

    def orders_are_taken():
        for gateway in list(waiting):
            path = f"/w/{homes[gateway.domain]}/{deployment.plain_service}/orders"
            headers = {"Idempotency-Key": new_order_id()}
            outcome = call(gateway.callers, "POST", path, b"{}", headers)[0]
            if outcome != "answered":
                return False
            waiting.remove(gateway)
        return len(find_complete_views(cluster)) == len(deployment.regions)

    cluster.wait_for(orders_are_taken, ORDER_SECONDS)


def find_complete_views(cluster: Cluster) -> list[str]:
    """Return the failure domains whose view has all hosts and no pending change."""
    complete = []
    for domain, count in cluster.deployment.hosts.items():
        view = request_json("GET", cluster.platform, f"/kv/views/{domain}")["value"]
        if view and len(view["members"]) == count and not view["next"]:
            complete.append(domain)
    return complete


def main() -> int:
    """Run the demo and return the exit status."""
    deployment = DEPLOYMENTS[sys.argv[1] if len(sys.argv) > 1 else "cooperativa"]
    with Cluster(deployment) as cluster:
        print(f"{deployment.name}: {len(cluster.processes)} processes")
        accept_deployment_sheet(cluster)
        workspace = next(iter(deployment.workspaces))
        query = f"workspace={workspace}&service={deployment.model_service}"

        def sheet_in_force():
            for gateway in cluster.gateways:
                request_json("GET", gateway.callers, f"/v1/directory?{query}")
            return True

        cluster.wait_for(sheet_in_force, SHEET_SECONDS)
        wait_for_orders(cluster)
        print(
            f"{'phase':<10} {'kind':<7} {'calls':>6} {'answered':>9} {'not run':>8}"
            f" {'unknown':>8} {'broken':>7} {'away':>5}"
            f" {'p50 ms':>8} {'p99 ms':>8}"
        )
        healthy = make_calls(cluster, deployment.workspaces, CALLS_PER_PHASE)
        print_phase("healthy", healthy)
        cut_domain = list(deployment.regions)[-1]
        cluster.cut(cut_domain)
        cut_workspaces = {
            name: home
            for name, home in deployment.workspaces.items()
            if home == cut_domain
        }
        during_cut = make_calls(cluster, cut_workspaces, CALLS_PER_PHASE)
        print_phase("cut off", during_cut)
        cluster.heal()
        healed = make_calls(cluster, deployment.workspaces, CALLS_PER_PHASE)
        print_phase("healed", healed)
        draining = make_calls_during_drain(cluster, deployment.workspaces)
        print_phase("draining", draining)
        run_twice = orders_run_twice(cluster)
        print(f"orders run twice: {run_twice}")
        results = (*healthy, *during_cut, *healed, *draining)
        failed = [row for row in results if row.result.outcome != "answered"]
        for row in failed[:5]:
            print(f"{row.kind}: {row.result.outcome}: {row.result.data[:200]!r}")
        return 1 if run_twice or failed else 0


if __name__ == "__main__":
    sys.exit(main())
