"""Runs the routing policy and its baselines, and writes docs/benchmarks.md."""

import argparse
import json
import shutil
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from bench.cluster import TOKEN_MS, BenchCluster, finish_load
from bench.tables import render_page
from tools.deployments import DEPLOYMENTS

POLICIES = {
    "policy": {},
    "round robin": {"routing": "round_robin"},
    "least requests": {"routing": "least_requests"},
    "no affinity": {"routing": "no_affinity"},
    "no retry budget": {"retries": "unlimited", "max_attempts": "3"},
}
LOAD_GRACE_SECONDS = 40.0
SETTLE_SECONDS = 1.0
SLOWDOWN_FACTOR = 10
PAGE = Path(__file__).parent.parent / "docs" / "benchmarks.md"


class Phase(NamedTuple):
    """A load, as a fraction of the capacity, and a fault, or "" for none."""

    name: str
    load: float
    fault: str = ""


PHASES = (
    Phase("healthy 0.5", 0.5),
    Phase("healthy 0.9", 0.9),
    Phase("healthy 1.0", 1.0),
    Phase("healthy 1.3", 1.3),
    Phase("healthy 2.0", 2.0),
    Phase("replica dies", 0.9, "die"),
    Phase("region out", 0.5, "out"),
    Phase("region at a tenth", 0.5, "tenth"),
    Phase("partition heals", 0.5, "cut"),
)


def apply_fault(cluster: BenchCluster, fault: str, when: str) -> None:
    """Start, change or end a fault; `when` is `start`, `middle` or `end`."""
    first, *_, last = cluster.deployment.regions
    if fault == "die" and when == "middle":
        cluster.stop_engines(cluster.engines(first)[:1])
    elif fault == "die" and when == "end":
        cluster.restart_engines(cluster.engines(first)[:1])
    elif fault == "out" and when == "start":
        cluster.stop_engines(cluster.engines(first))
    elif fault in ("out", "tenth") and when == "end":
        cluster.restart_engines(cluster.engines(first))
    elif fault == "tenth" and when == "start":
        cluster.restart_engines(cluster.engines(first), TOKEN_MS * SLOWDOWN_FACTOR)
    elif fault == "cut" and when == "start":
        cluster.cut(last)
    elif fault == "cut" and when == "middle":
        cluster.restart_engines(cluster.engines(last))
        cluster.heal()


def run_phase(clusters, phase: Phase, seconds: float, seed: int) -> dict[str, dict]:
    """Run a phase on all clusters in parallel; return the report of each policy."""
    for cluster in clusters.values():
        apply_fault(cluster, phase.fault, "start")
    time.sleep(SETTLE_SECONDS)
    loads = {
        name: cluster.start_load(phase.load * cluster.capacity(), seconds, seed)
        for name, cluster in clusters.items()
    }
    if phase.fault:
        time.sleep(seconds / 2)
        for cluster in clusters.values():
            apply_fault(cluster, phase.fault, "middle")
    limit = seconds + LOAD_GRACE_SECONDS
    reports = {name: finish_load(load, limit) for name, load in loads.items()}
    for cluster in clusters.values():
        apply_fault(cluster, phase.fault, "end")
    return reports


def run_deployment(name: str, args, seed: int) -> dict[str, dict[str, dict]]:
    """Run all phases of a deployment; return the reports by phase and policy."""
    reports = {}
    with ExitStack() as stack:
        clusters = {}
        for policy in args.policies:
            cluster = BenchCluster(DEPLOYMENTS[name], POLICIES[policy])
            stack.callback(cluster.close)
            if args.logs:
                target = args.logs / f"{name}-{seed}-{policy.replace(' ', '-')}"
                stack.callback(shutil.copytree, cluster.folder, target)
            clusters[policy] = cluster.start()
        run_phase(clusters, Phase("warm", 0.5), args.seconds / 2, seed)
        for number, phase in enumerate(PHASES):
            if args.phase and phase.name not in args.phase:
                continue
            reports[phase.name] = run_phase(
                clusters, phase, args.seconds, 100 * seed + number
            )
            print_phase(name, seed, phase, reports[phase.name])
    return reports


def print_phase(deployment, seed, phase, reports) -> None:
    """Print one line for each policy."""
    for policy, report in reports.items():
        print(
            f"{deployment:<12} {seed} {phase.name:<18} {policy:<16}"
            f" goodput {report['goodput']:6.1f} p99 {report['p99']:6.0f}"
            f" cost {report['cost']:.3f} away {report['away']:.3f}"
            f" attempts {report['attempts']:.3f} {report['refusals']}",
            flush=True,
        )


def main() -> int:
    """Run the benchmark and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--deployments", nargs="+", default=list(DEPLOYMENTS))
    parser.add_argument("--policies", nargs="+", default=list(POLICIES))
    parser.add_argument("--phase", nargs="+", default=[])
    parser.add_argument("--json", type=Path, help="Also write all reports here.")
    parser.add_argument("--logs", type=Path, help="Copy the log files here.")
    parser.add_argument("--no-page", action="store_true")
    args = parser.parse_args()
    runs = {
        name: {seed: run_deployment(name, args, seed) for seed in args.seeds}
        for name in args.deployments
    }
    if args.json:
        args.json.write_text(json.dumps(runs), encoding="utf-8")
    if not args.no_page:
        command = "python -m bench.policy " + " ".join(sys.argv[1:])
        PAGE.write_text(
            render_page(runs, command.strip(), args.seconds), encoding="utf-8"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
