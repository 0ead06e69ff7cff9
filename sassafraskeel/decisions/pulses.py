"""Noticing replicas that have gone silent with several calls in hand."""

from typing import NamedTuple

# The step of an engine that reads a full chunk of prompts takes 55 ms, and an event of
# a stream holds up to five steps; a plain service answers within 0.2 s. The more calls
# a replica has, the sooner one of them is due, but not sooner than MIN_SILENT_SECONDS.
SILENT_SECONDS = 1.2
MIN_SILENT_SECONDS = 0.3
# One call alone may hang or take long at a replica that works.
SILENT_CALLS = 2
# A silent replica still gets a call this often, so that its return is noticed.
RETRY_SECONDS = 1.0


class Pulse(NamedTuple):
    """Calls of which data is due, and when a replica was last heard of or sent one."""

    calls: int
    heard_at: float
    sent_at: float


class Pulses:
    """When each replica was last heard of; only those with calls in hand are kept."""

    def __init__(self):
        self._pulses: dict[str, Pulse] = {}

    def expect(self, name: str, now: float) -> None:
        """Count a call of which data is due from now on."""
        known = self._pulses.get(name, Pulse(0, now, now))
        self._pulses[name] = known._replace(calls=known.calls + 1, sent_at=now)

    def heard(self, name: str, now: float) -> None:
        """Note that data of some call arrived."""
        known = self._pulses.get(name)
        if known is not None:
            self._pulses[name] = known._replace(heard_at=now)

    def done(self, name: str) -> None:
        """Count a call as over."""
        known = self._pulses.pop(name)
        if known.calls > 1:
            self._pulses[name] = known._replace(calls=known.calls - 1)

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether a replica should get no call for the moment."""
        known = self._pulses.get(name)
        if known is None or known.calls < SILENT_CALLS:
            return False
        bound = max(SILENT_SECONDS / known.calls, MIN_SILENT_SECONDS)
        is_due = now - known.sent_at >= RETRY_SECONDS
        return now - known.heard_at > bound and not is_due
