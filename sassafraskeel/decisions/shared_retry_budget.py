"""A budget of repeated sends that all hosts share without talking to each other."""

from collections import deque

# Of the ratio and the extra, this share is spent; hosts join and leave unseen, and
# requests that are abandoned on the way are not counted by the replicas.
SAFETY_FACTOR = 0.7


class SharedRetryBudget:
    """Allows one host its part of the repeats of a service in a sliding window.

    `ratio` of the requests that this host saw, and an even part of `extra`, may be
    repeated in `window` seconds.
    """

    def __init__(self, ratio: float, extra: float, window: float):
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_call(self, service: str, now: float) -> None:
        """Count a request of a caller."""
        self._count(self._requests, service, now)

    def allows(self, service: str, hosts: int, now: float) -> bool:
        """Return whether one more repeat is within this host's part of the budget."""
        requests = len(self._recent(self._requests, service, now))
        retries = len(self._recent(self._retries, service, now))
        limit = self._ratio * requests + self._extra / max(hosts, 1)
        return retries + 1 <= SAFETY_FACTOR * limit

    def record_retry(self, service: str, now: float) -> None:
        """Count a repeat that is sent."""
        self._count(self._retries, service, now)

    def _count(self, table, service, now) -> None:
        self._recent(table, service, now).append(now)

    def _recent(self, table, service, now) -> deque[float]:
        times = table.setdefault(service, deque())
        while times and now - times[0] >= self._window:
            times.popleft()
        return times
