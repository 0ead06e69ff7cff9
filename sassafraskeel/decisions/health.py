"""Failures in a row, backoff, and the ramp after a return, by name."""

from typing import NamedTuple

BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
RAMP_START = 0.1
# One broken connection is no reason to take most of a replica's slots away.
FAILURES_BEFORE_RAMP = 2
MAX_NAMES = 4096


class Failures(NamedTuple):
    """Failures in a row, and the monotonic time of the next try."""

    count: int
    retry_at: float


class Health:
    """Which of some replicas, hosts or domains may get new work.

    Only names that failed are kept, at most MAX_NAMES; the oldest is dropped first
    and then counts as healthy, so that it is tried again.
    """

    def __init__(self, ramp_seconds: float):
        self._ramp_seconds = ramp_seconds
        self._failures: dict[str, Failures] = {}
        self._ramp_started: dict[str, float] = {}

    def failed(self, name: str, now: float) -> None:
        """Record a failure; no new work goes there until its backoff is over."""
        known = self._failures.pop(name, None)
        if known is not None and now < known.retry_at:
            # Calls that started before the failure was known say nothing new.
            self._failures[name] = known
            return
        count = known.count + 1 if known else 1
        backoff = BACKOFF_MIN_SECONDS * 2 ** min(count - 1, 10)
        self._failures[name] = Failures(count, now + min(backoff, BACKOFF_MAX_SECONDS))
        if len(self._failures) > MAX_NAMES:
            del self._failures[next(iter(self._failures))]

    def succeeded(self, name: str, now: float) -> None:
        """Record a success; a name that had been down starts its ramp."""
        known = self._failures.pop(name, None)
        if known is not None and known.count >= FAILURES_BEFORE_RAMP:
            self.start_ramp(name, now)

    def start_ramp(self, name: str, now: float) -> None:
        """Start the ramp of a name."""
        self._ramp_started[name] = now
        if len(self._ramp_started) > MAX_NAMES:
            del self._ramp_started[next(iter(self._ramp_started))]

    def usable(self, name: str, now: float) -> bool:
        """Return whether new work may go there."""
        known = self._failures.get(name)
        return known is None or now >= known.retry_at

    def is_failing(self, name: str) -> bool:
        """Return whether the last known result is a failure."""
        return name in self._failures

    def ramp(self, name: str, now: float) -> float:
        """Return the share of its full work that a name may get."""
        since = self._ramp_started.get(name)
        if since is None or now - since >= self._ramp_seconds:
            self._ramp_started.pop(name, None)
            return 1.0
        return RAMP_START + (1 - RAMP_START) * max(now - since, 0) / self._ramp_seconds

    def retain(self, names) -> None:
        """Forget all names but the given ones."""
        for table in (self._failures, self._ramp_started):
            for name in [name for name in table if name not in names]:
                del table[name]
