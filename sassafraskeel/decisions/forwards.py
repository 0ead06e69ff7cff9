"""Calls forwarded to other regions that the loads of heartbeats do not include yet."""

from collections import deque

# The load of a forwarded call is in the region's summary after the latency to the
# region (0.08 s), the wait for the next heartbeat (every 0.4 s, from both ends) and the
# latency back.
UNREPORTED_SECONDS = 0.5


class RecentForwards:
    """Seconds of work forwarded in the last UNREPORTED_SECONDS, by region and service.

    Without this count, all calls of a burst choose the region that was idle when the
    burst began.
    """

    def __init__(self):
        self._sent: dict[tuple[str, str], deque[tuple[float, float]]] = {}

    def sent(self, region: str, service: str, work: float, now: float) -> None:
        """Record a call that occupies a replica of the region for `work` seconds."""
        self._recent(region, service, now).append((now, work))

    def unreported_work(self, region: str, service: str, now: float) -> float:
        """Return the seconds of work that the region's loads do not include yet."""
        return sum(work for _, work in self._recent(region, service, now))

    def unreported_calls(self, region: str, service: str, now: float) -> int:
        """Return the number of calls that the region's loads do not include yet."""
        return len(self._recent(region, service, now))

    def _recent(self, region, service, now) -> deque[tuple[float, float]]:
        # The keys are bounded: they come from the settings and the manifest.
        sent = self._sent.setdefault((region, service), deque())
        while sent and now - sent[0][0] >= UNREPORTED_SECONDS:
            sent.popleft()
        return sent
