"""Consecutive failures, backoff, and the ramp after a recovery, by name."""

from typing import NamedTuple

BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
# Share of the full work at the start of a ramp.
RAMP_START = 0.1
# A single broken connection does not justify a ramp, which takes most slots away.
FAILURES_BEFORE_RAMP = 2
# A call that tests a failing name blocks further ones until it has a result, but not
# for longer than this.
TEST_SECONDS = 1.0
MAX_NAMES = 4096


class Failures(NamedTuple):
    """Consecutive failures, and the monotonic time at which the backoff ends."""

    count: int
    retry_at: float


class Health:
    """Tracks which replicas, hosts or domains may get new work.

    Only names that failed are kept, at most MAX_NAMES of them. The oldest is dropped
    first; it then counts as healthy, so that it is tried again.
    """

    def __init__(self, ramp_seconds: float):
        self._ramp_seconds = ramp_seconds
        self._failures: dict[str, Failures] = {}
        self._ramp_started: dict[str, float] = {}
        self._test_started: dict[str, float] = {}

    def failed(self, name: str, now: float) -> None:
        """Record a failure; the name gets no new work until its backoff ends."""
        self._test_started.pop(name, None)
        known = self._failures.pop(name, None)
        if known is not None and now < known.retry_at:
            # Calls that started before the first failure was seen do not count again.
            self._failures[name] = known
            return
        count = known.count + 1 if known else 1
        backoff = BACKOFF_MIN_SECONDS * 2 ** min(count - 1, 10)
        self._failures[name] = Failures(count, now + min(backoff, BACKOFF_MAX_SECONDS))
        if len(self._failures) > MAX_NAMES:
            oldest = next(iter(self._failures))
            del self._failures[oldest]
            self._test_started.pop(oldest, None)

    def succeeded(self, name: str, now: float) -> None:
        """Record a success; start the ramp after FAILURES_BEFORE_RAMP failures."""
        self._test_started.pop(name, None)
        known = self._failures.pop(name, None)
        if known is not None and known.count >= FAILURES_BEFORE_RAMP:
            self.start_ramp(name, now)

    def start_ramp(self, name: str, now: float) -> None:
        """Start the ramp of a name."""
        self._ramp_started[name] = now
        if len(self._ramp_started) > MAX_NAMES:
            del self._ramp_started[next(iter(self._ramp_started))]

    def usable(self, name: str, now: float) -> bool:
        """Return whether a name may get new work."""
        known = self._failures.get(name)
        return known is None or now >= known.retry_at

    def unusable(self, now: float) -> list[str]:
        """Return the names that get no new work."""
        return [name for name in self._failures if not self.usable(name, now)]

    def test_started(self, name: str, now: float) -> None:
        """Record that a call tests whether a failing name has recovered."""
        if name in self._failures:
            self._test_started[name] = now

    def is_tested(self, name: str, now: float) -> bool:
        """Return whether a call that tests a failing name has no result yet."""
        return now - self._test_started.get(name, float("-inf")) < TEST_SECONDS

    def is_failing(self, name: str) -> bool:
        """Return whether the latest result of a name is a failure."""
        return name in self._failures

    def ramp(self, name: str, now: float) -> float:
        """Return the share of its full work that a name may get, from 0 to 1."""
        since = self._ramp_started.get(name)
        if since is None or now - since >= self._ramp_seconds:
            self._ramp_started.pop(name, None)
            return 1.0
        return RAMP_START + (1 - RAMP_START) * max(now - since, 0) / self._ramp_seconds

    def retain(self, names) -> None:
        """Forget all names except the given ones."""
        for table in (self._failures, self._ramp_started, self._test_started):
            for name in [name for name in table if name not in names]:
                del table[name]
