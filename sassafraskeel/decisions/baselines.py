"""Simple routing and retry policies, used as baselines in benchmarks."""

import itertools
import math

from sassafraskeel.core.errors import Refusal
from sassafraskeel.core.types import Call
from sassafraskeel.decisions.retries import is_retryable
from sassafraskeel.decisions.routing import Candidate


class RoundRobin:
    """Chooses the candidates in turn, whatever their load."""

    def __init__(self):
        self._counter = itertools.count()

    def choose(self, candidates, fingerprint, weights, rng) -> Candidate:
        ordered = sorted(candidates, key=lambda entry: entry.name)
        return ordered[next(self._counter) % len(ordered)]

    def max_queue_seconds(self, weights, overhead) -> float:
        return math.inf


class LeastRequests:
    """Chooses the candidate with the smallest load."""

    def choose(self, candidates, fingerprint, weights, rng) -> Candidate:
        return min(candidates, key=lambda entry: (entry.load, rng.random()))

    def max_queue_seconds(self, weights, overhead) -> float:
        return math.inf


class UnlimitedRetries:
    """Retries up to a number of attempts, without a budget."""

    def __init__(self, max_attempts: int):
        self._max_attempts = max_attempts

    def record_call(self) -> None:
        return None

    def allows(self, call: Call, refusal: Refusal, attempts: int) -> bool:
        return is_retryable(call, refusal) and attempts < self._max_attempts
