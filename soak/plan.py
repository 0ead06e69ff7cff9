"""The seeded schedule of faults and operations of a run."""

import random
from typing import NamedTuple

START_SECONDS = 2.0
MAX_FAULT_SECONDS = 5.0
# Limits and random refusals start then, and end with the faults.
LIMIT_START_SECONDS = 0.5
MIN_REFUSED_SHARE, MAX_REFUSED_SHARE = 0.05, 0.3
HOST_KINDS = ("kill", "stop", "pause")
# A restored store lacks what was written in the last seconds.
MIN_COPY_SECONDS, MAX_COPY_SECONDS = 1.0, 6.0
LINK_KINDS = ("delay", "reset", "silence", "one_way", "refuse")


class Step(NamedTuple):
    """A fault or an operation on a host, a replica, a zone or the store.

    `at` is in seconds from the start of the run, and `duration` is in seconds. `rate`
    is the limit that a replica names, in requests per second, or the share of requests
    that it refuses. `version` is the software version of a replica that starts.
    """

    at: float
    kind: str
    target: str
    duration: float
    rate: float = 0.0
    version: str = ""


class Targets(NamedTuple):
    """The names that a schedule may choose from, and the versions of replicas.

    The version "" stands for an entry without one.
    """

    hosts: list[str]
    replicas: list[str]
    zones: list[str]
    versions: tuple[str, ...] = ("v1",)


def make_plan(seed: int, seconds: float, targets: Targets) -> list[Step]:
    """Return the steps of a seed that start within `seconds`, in order of time.

    The time limits of drains and evacuations hold only for hosts that reach the store,
    so odd seeds have operations and even seeds have faults of the store.
    """
    rng = random.Random(seed)
    has_operations = seed % 2 == 1
    steps, at = [], START_SECONDS
    while at < seconds:
        duration = rng.uniform(0.3, MAX_FAULT_SECONDS)
        steps.append(_choose_step(rng, at, duration, targets, has_operations))
        at += rng.uniform(0.2, 2.5)
    limit = _choose_limit(seed, seconds, targets)
    steps.append(limit)
    steps += _choose_refusals(seed, seconds, targets)
    steps += _choose_takeovers(seed, seconds, targets, limit.target)
    steps += _choose_rolls(seed, seconds, targets, limit.target)
    if not has_operations:
        steps.append(_choose_restore(seed, seconds))
    return sorted(steps, key=lambda step: step.at)


def _choose_limit(seed: int, seconds: float, targets: Targets) -> Step:
    """Return a limit that a replica names from the start of the faults to their end."""
    # The other steps of a seed are those of before limits were added.
    rng = random.Random(f"limit-{seed}")
    rate = round(rng.uniform(0.5, 4.0), 1)
    duration = seconds - LIMIT_START_SECONDS
    target = rng.choice(targets.replicas)
    return Step(LIMIT_START_SECONDS, "limit", target, duration, rate)


def _choose_refusals(seed: int, seconds: float, targets: Targets) -> list[Step]:
    """Return the share of requests that each replica refuses."""
    rng = random.Random(f"refusals-{seed}")
    duration = seconds - LIMIT_START_SECONDS
    return [
        Step(
            LIMIT_START_SECONDS,
            "refuse_some",
            replica,
            duration,
            rng.uniform(MIN_REFUSED_SHARE, MAX_REFUSED_SHARE),
        )
        for replica in targets.replicas
    ]


def _choose_takeovers(
    seed: int, seconds: float, targets: Targets, limited: str
) -> list[Step]:
    """Return when replicas are replaced by others at their addresses.

    The replica that names a limit stays, since hosts have to learn the limit of another
    one anew.
    """
    rng = random.Random(f"takeovers-{seed}")
    replicas = [replica for replica in targets.replicas if replica != limited]
    steps, at = [], START_SECONDS
    while replicas and at < seconds:
        duration = rng.uniform(0.3, MAX_FAULT_SECONDS)
        steps.append(Step(at, "take_over", rng.choice(replicas), duration))
        at += rng.uniform(1.0, 6.0)
    return steps


def _choose_rolls(
    seed: int, seconds: float, targets: Targets, limited: str
) -> list[Step]:
    """Return when replicas leave and come back, mostly with another id and version."""
    rng = random.Random(f"rolls-{seed}")
    replicas = [replica for replica in targets.replicas if replica != limited]
    steps, at = [], START_SECONDS
    while replicas and at < seconds:
        kind = rng.choice(("roll", "roll", "restart"))
        version = rng.choice(targets.versions)
        duration = rng.uniform(0.3, MAX_FAULT_SECONDS)
        steps.append(Step(at, kind, rng.choice(replicas), duration, version=version))
        at += rng.uniform(2.0, 8.0)
    return steps


def _choose_restore(seed: int, seconds: float) -> Step:
    """Return a restore of the store from a copy that is made at the step's time."""
    rng = random.Random(f"restore-{seed}")
    duration = rng.uniform(MIN_COPY_SECONDS, MAX_COPY_SECONDS)
    at = rng.uniform(START_SECONDS, max(seconds - duration, START_SECONDS))
    return Step(at, "restore", "store", duration)


def _choose_step(rng, at, duration, targets: Targets, has_operations: bool) -> Step:
    family = rng.choice(("host", "replica", "replica", "other"))
    if family == "host":
        return Step(at, rng.choice(HOST_KINDS), rng.choice(targets.hosts), duration)
    if family == "replica":
        kind = rng.choice((*LINK_KINDS, "pause"))
        return Step(at, kind, rng.choice(targets.replicas), duration)
    if has_operations:
        kind = rng.choice(("evacuate", "drain", "manifest"))
        target = {"evacuate": targets.zones, "drain": targets.replicas}.get(
            kind, ["store"]
        )
        return Step(at, kind, rng.choice(target), duration)
    return Step(at, rng.choice((*LINK_KINDS, "pause")), "store", duration)
