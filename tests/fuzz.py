"""Runs a deployment in virtual time under pairs of faults drawn at random.

`python -m tests.fuzz --first 1 --count 20` prints each seed with what was injected,
what callers saw and which promise was broken, and exits with 1 if one was.
"""

import argparse
import sys
from collections import Counter

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from tests.support.clock import run_virtual
from tests.support.deployment import HOSTS, Deployment
from tests.support.faults import FAULTS

ROUNDS = 3
CALLERS = 4
FAULT_SECONDS = (5.0, 20.0)
SETTLE_SECONDS = 40.0
KINDS = ("chat", "stream", "read", "order", "order")
MAX_ORDER_RETRIES = 3


async def place_order(world: Deployment, name: str) -> list:
    """Place an order and send it again, at random hosts, until it is answered."""
    outcome = await world.order(name)
    key = outcome.detail.split()[0]
    seen = [outcome]
    for _ in range(MAX_ORDER_RETRIES):
        if outcome.result == "answered":
            break
        home = [host for host in HOSTS if host[:-1] == name[:-1]]
        outcome = await world.order(world.rng.choice(home), key)
        seen.append(outcome)
    return seen


async def run_caller(world: Deployment, seen: Counter, stopped: list) -> None:
    """Make calls at random hosts until told to stop."""
    while not stopped:
        name = world.rng.choice(HOSTS)
        kind = world.rng.choice(KINDS)
        if kind == "order":
            outcomes = await place_order(world, name)
        else:
            outcomes = [await world.call(name, kind)]
        seen.update((outcome.kind, outcome.result) for outcome in outcomes)
        world.check_versions()
        await world.clock.sleep(world.rng.uniform(0.1, 1.0))


async def run_fault(world: Deployment, fault) -> None:
    """Inject a fault for a random time."""
    await world.clock.sleep(world.rng.uniform(0, 3))
    await fault.begin(world)
    await world.clock.sleep(world.rng.uniform(*FAULT_SECONDS))
    await fault.end(world)


async def run_round(world: Deployment, seen: Counter) -> list[str]:
    """Inject two faults at once while callers go on; return their names."""
    faults = [kind(world) for kind in world.rng.sample(FAULTS, 2)]
    stopped: list[bool] = []
    callers = SupervisedTaskGroup()
    for _ in range(CALLERS):
        await callers.spawn(run_caller, world, seen, stopped)
    async with SupervisedTaskGroup() as group:
        for fault in faults:
            await group.spawn(run_fault, world, fault)
        await group.spawn(accept_in_fault, world)
    stopped.append(True)
    await callers.join()
    return [type(fault).__name__ for fault in faults]


async def accept_in_fault(world: Deployment) -> None:
    """Let an operator try to accept a sheet during the faults."""
    await world.clock.sleep(world.rng.uniform(0, 10))
    try:
        await world.accept()
    except SassafraskeelError:
        return  # The platform did not answer; the operator would try again.


async def check_recovery(world: Deployment) -> None:
    """Check that all is served again and that one sheet is in force everywhere."""
    await world.clock.sleep(SETTLE_SECONDS)
    for name in HOSTS:
        for kind in ("chat", "stream", "read"):
            outcome = await world.call(name, kind)
            if outcome.result != "answered":
                world.violations.append(f"after recovery {name}: {outcome}")
        outcome = await world.order(name)
        if outcome.result != "answered":
            world.violations.append(f"after recovery {name}: {outcome}")
    versions = {host.installed.version for host in world.hosts.values()}
    if len(versions) != 1:
        world.violations.append(f"after recovery sheets {sorted(versions)} in force")


async def run(clock, seed: int, rounds: int):
    """Run one seed; return the injected faults, the outcomes and the violations."""
    world = Deployment(clock, seed)
    seen = Counter()
    injected = []
    await world.start()
    try:
        for _ in range(rounds):
            injected.append("+".join(await run_round(world, seen)))
            await check_recovery(world)
    finally:
        await world.close()
    return injected, seen, world.violations


def run_seed(seed: int, rounds: int = ROUNDS):
    """Run one seed in virtual time."""
    return run_virtual(run, seed, rounds)


def main() -> int:
    """Run the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=10, help="number of seeds")
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.count):
        injected, seen, violations = run_seed(seed)
        words = Counter()
        for (_, result), count in seen.items():
            words[result] += count
        print(f"seed {seed}: {', '.join(injected)}: {dict(words)}", flush=True)
        for violation in violations[:10]:
            print(f"  broken: {violation}", flush=True)
        broken += bool(violations)
    print(f"{options.count - broken} passed, {broken} failed")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
