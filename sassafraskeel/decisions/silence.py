"""Noticing replicas that have gone silent with several calls in hand."""

from typing import NamedTuple

# The step of an engine that reads a full chunk of prompts takes 55 ms, and an event of
# a stream holds up to five steps; a plain service answers within 0.2 s. The more calls
# a replica has, the sooner one of them is due, but not sooner than MIN_SILENT_SECONDS.
SILENT_SECONDS = 1.2
MIN_SILENT_SECONDS = 0.3
# One call alone may hang or take long at a replica that works.
MIN_SILENT_CALLS = 2
# A silent replica still gets a call this often, so that its return is noticed.
PROBE_INTERVAL_SECONDS = 1.0


class AwaitedData(NamedTuple):
    """Calls of which data is due, and when a replica was last heard of or sent one."""

    calls: int
    heard_at: float
    sent_at: float


class SilenceDetector:
    """When each replica was last heard of; only those with calls in hand are kept."""

    def __init__(self):
        self._awaited: dict[str, AwaitedData] = {}

    def expect_data(self, name: str, now: float) -> None:
        """Count a call of which data is due from now on."""
        known = self._awaited.get(name, AwaitedData(0, now, now))
        self._awaited[name] = known._replace(calls=known.calls + 1, sent_at=now)

    def data_received(self, name: str, now: float) -> None:
        """Note that data of some call arrived."""
        known = self._awaited.get(name)
        if known is not None:
            self._awaited[name] = known._replace(heard_at=now)

    def call_finished(self, name: str) -> None:
        """Count a call as over."""
        known = self._awaited.pop(name)
        if known.calls > 1:
            self._awaited[name] = known._replace(calls=known.calls - 1)

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether a replica should get no call for the moment."""
        known = self._awaited.get(name)
        if known is None or known.calls < MIN_SILENT_CALLS:
            return False
        bound = max(SILENT_SECONDS / known.calls, MIN_SILENT_SECONDS)
        is_due = now - known.sent_at >= PROBE_INTERVAL_SECONDS
        return now - known.heard_at > bound and not is_due
