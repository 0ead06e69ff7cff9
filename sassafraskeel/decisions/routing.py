"""Chooses the target of a call by a cost function with the weights of the sheet."""

import math
import random
from typing import NamedTuple, Protocol

from sassafraskeel.decisions.affinity import bounded_load_choice
from sassafraskeel.sheets.model import Policy, Upstream

RANDOM_CANDIDATES = 2


class Candidate(NamedTuple):
    """An upstream of the local failure domain, or another domain as a whole.

    `upstream` is None for a domain. `wait` is in seconds and `load` a share of the
    slots. `weight` is the weight in random draws: the free slots of an upstream or
    the spare slots of a domain. `away` marks a domain in another region, and `free`
    a candidate on which the call could start now.
    """

    name: str
    upstream: Upstream | None
    wait: float
    price: float
    away: bool
    load: float
    weight: float
    free: bool


class RemoteOverhead(NamedTuple):
    """What another domain adds: seconds, price, and whether it is another region."""

    seconds: float
    price: float
    away: bool


class RoutingPolicy(Protocol):
    """Chooses a target among candidates, of which there is at least one."""

    def choose(
        self,
        candidates: list[Candidate],
        fingerprint: bytes,
        weights: Policy,
        rng: random.Random,
    ) -> Candidate:
        """Return one of the candidates."""

    def max_queue_seconds(self, weights: Policy, overhead: RemoteOverhead) -> float:
        """Return the seconds to wait in the queue before the call is spilled."""


class WeightedCost:
    """Compares a few random candidates and the affinity candidate by cost.

    Hosts that work from the same late reports would all choose the same upstream if
    they compared all candidates.
    """

    def __init__(self, prefill_seconds: float, affinity: bool = True):
        self._prefill_seconds = prefill_seconds
        self._affinity = affinity

    def choose(self, candidates, fingerprint, weights, rng) -> Candidate:
        local = [entry for entry in candidates if entry.upstream is not None]
        remote = [entry for entry in candidates if entry.upstream is None]
        compared = weighted_sample(local, RANDOM_CANDIDATES, rng) + weighted_sample(
            remote, 1, rng
        )
        affinity_name = ""
        if local and fingerprint and self._affinity:
            affinity_name = bounded_load_choice(
                fingerprint, {up.name: up.load for up in local}
            )
            compared += [entry for entry in local if entry.name == affinity_name]

        def cost(entry):
            prefill = (
                self._prefill_seconds
                if fingerprint and entry.name != affinity_name
                else 0.0
            )
            return (
                weights.weight_tail * (entry.wait + prefill)
                + weights.weight_cost * entry.price
                + weights.weight_away * entry.away
            )

        return min(compared, key=lambda entry: (cost(entry), entry.load))

    def max_queue_seconds(self, weights: Policy, overhead: RemoteOverhead) -> float:
        """Return the seconds that the overhead of spilling is worth.

        A call that waits this long before it spills costs at most twice as much as
        the better of the two choices.
        """
        if not weights.weight_tail:
            return math.inf
        price = weights.weight_cost * max(overhead.price, 0.0)
        away = weights.weight_away * overhead.away
        return overhead.seconds + (price + away) / weights.weight_tail


def weighted_sample(candidates: list[Candidate], count: int, rng) -> list[Candidate]:
    """Draw up to `count` different candidates at random, weighted by `weight`."""
    remaining = [entry for entry in candidates if entry.weight > 0]
    drawn = []
    while remaining and len(drawn) < count:
        drawn += rng.choices(remaining, [entry.weight for entry in remaining])
        remaining.remove(drawn[-1])
    return drawn or candidates[:count]


class SpillHysteresis:
    """Decides whether calls of a service spill to other domains.

    Two thresholds keep a domain near its capacity from switching at every call.
    """

    def __init__(self, start: float, stop: float):
        self._start = start
        self._stop = stop
        self._active: set[str] = set()

    def update(self, service: str, utilisation: float) -> bool:
        """Record the utilisation of a service and return whether to spill."""
        if utilisation > self._start:
            self._active.add(service)
        elif utilisation < self._stop:
            self._active.discard(service)
        return service in self._active

    def retain(self, services) -> None:
        """Forget all services except the given ones."""
        self._active &= set(services)
