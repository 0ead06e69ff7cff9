"""Fuzzer that runs a deployment in virtual time under pairs of random faults.

`python -m tests.fuzz --first 1 --count 20` prints the injected faults, the outcomes of
calls and the violations of each seed. The exit status is 1 if there was a violation.
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
    """Place an order and retry it at random hosts of its domain until it is answered.

    Return the outcomes of all attempts.
    """
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
    """Send calls to random hosts until `stopped` is not empty."""
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
    """Inject a fault after a random delay and end it after a random time."""
    await world.clock.sleep(world.rng.uniform(0, 3))
    await fault.begin(world)
    await world.clock.sleep(world.rng.uniform(*FAULT_SECONDS))
    await fault.end(world)


async def run_round(world: Deployment, seen: Counter) -> list[str]:
    """Inject two random faults while callers send calls; return the faults' names."""
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
    """Try to accept a sheet as an operator during the faults."""
    await world.clock.sleep(world.rng.uniform(0, 10))
    try:
        await world.accept()
    except SassafraskeelError:
        return  # The platform is unavailable, which is no violation.


async def check_recovery(world: Deployment) -> None:
    """Check that every host answers all calls and that they use the same sheet."""
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
    """Run one seed and return the injected faults, the outcomes and the violations."""
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
    """Run one seed in virtual time; return its faults, outcomes and violations."""
    return run_virtual(run, seed, rounds)


def main() -> int:
    """Run the seeds of the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--count", type=int, default=10, help="number of seeds")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.count):
        injected, seen, violations = run_seed(seed)
        totals = Counter()
        for (_, result), count in seen.items():
            totals[result] += count
        print(f"seed {seed}: {', '.join(injected)}: {dict(totals)}", flush=True)
        for violation in violations[:10]:
            print(f"  violation: {violation}", flush=True)
        failed += bool(violations)
    print(f"{options.count - failed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
