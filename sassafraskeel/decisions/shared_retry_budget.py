"""A retry budget that all hosts share without coordination."""

from collections import deque

# Only this share of the budget is spent: a host may not have noticed that others joined
# or left, and replicas do not count requests that are abandoned on the way to them.
SAFETY_FACTOR = 0.7


class SharedRetryBudget:
    """Limits the retries that one host sends to each service in a sliding window.

    In `window` seconds all hosts together may send `ratio` retries for each request,
    and `extra` more. Each host counts the requests that it received itself, and gets
    an even part of `extra`.
    """

    def __init__(self, ratio: float, extra: float, window: float):
        self._ratio = ratio
        self._extra = extra
        self._window = window
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_call(self, service: str, now: float) -> None:
        """Count a request from a caller."""
        self._count(self._requests, service, now)

    def allows(self, service: str, hosts: int, now: float) -> bool:
        """Return whether one more retry is within this host's part of the budget."""
        requests = len(self._recent(self._requests, service, now))
        retries = len(self._recent(self._retries, service, now))
        limit = self._ratio * requests + self._extra / max(hosts, 1)
        return retries + 1 <= SAFETY_FACTOR * limit

    def record_retry(self, service: str, now: float) -> None:
        """Count a retry that is sent."""
        self._count(self._retries, service, now)

    def cancel_retry(self, service: str, sent_at: float) -> None:
        """Take back a retry that reached no upstream; `sent_at` is when it was sent."""
        times = self._retries.get(service, ())
        if sent_at in times:
            times.remove(sent_at)

    def _count(self, table, service, now) -> None:
        self._recent(table, service, now).append(now)

    def _recent(self, table, service, now) -> deque[float]:
        times = table.setdefault(service, deque())
        while times and now - times[0] >= self._window:
            times.popleft()
        return times
