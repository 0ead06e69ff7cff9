"""Detects replicas that have gone silent with several calls in flight."""

from typing import NamedTuple

# An engine step that prefills a full chunk of prompts takes 55 ms, and an event of a
# stream covers up to five steps; a service without engines answers within 0.2 s. This
# time without data is divided by the number of calls in flight: the more calls there
# are, the sooner the next data of any one of them is due. The result is at least
# MIN_SILENT_SECONDS.
SILENT_SECONDS = 1.2
MIN_SILENT_SECONDS = 0.3
# A single call may hang or take long at a healthy replica.
MIN_SILENT_CALLS = 2
# A silent replica still gets a call at this interval, so that its recovery is noticed.
PROBE_INTERVAL_SECONDS = 1.0


class AwaitedData(NamedTuple):
    """Calls waiting for data, and when data last arrived and a call was last sent."""

    calls: int
    heard_at: float
    sent_at: float


class SilenceDetector:
    """Tracks when each replica last sent data; only those with calls are kept."""

    def __init__(self):
        self._awaited: dict[str, AwaitedData] = {}

    def expect_data(self, name: str, now: float) -> None:
        """Count a call whose data is due from now on."""
        known = self._awaited.get(name, AwaitedData(0, now, now))
        self._awaited[name] = known._replace(calls=known.calls + 1, sent_at=now)

    def data_received(self, name: str, now: float) -> None:
        """Record that data of a call arrived."""
        known = self._awaited.get(name)
        if known is not None:
            self._awaited[name] = known._replace(heard_at=now)

    def call_finished(self, name: str) -> None:
        """Count a call as finished."""
        known = self._awaited.pop(name)
        if known.calls > 1:
            self._awaited[name] = known._replace(calls=known.calls - 1)

    def silent_names(self, now: float) -> list[str]:
        """Return the replicas that are silent."""
        return [name for name in self._awaited if self.is_silent(name, now)]

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether a replica is silent and should get no call now."""
        known = self._awaited.get(name)
        if known is None or known.calls < MIN_SILENT_CALLS:
            return False
        bound = max(SILENT_SECONDS / known.calls, MIN_SILENT_SECONDS)
        is_due = now - known.sent_at >= PROBE_INTERVAL_SECONDS
        return now - known.heard_at > bound and not is_due
