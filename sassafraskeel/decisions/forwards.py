"""Calls that were sent to other regions and that no heartbeat shows yet."""

from collections import deque

# A call shows in the loads of its new host after the way there (0.08 s), at the next
# heartbeat (every 0.4 s, from both ends) and the way back.
UNREPORTED_SECONDS = 0.5


class RecentForwards:
    """The work sent to each service of a region within the last moment, in seconds.

    Without it, all calls of a burst choose the region that was idle a moment before.
    """

    def __init__(self):
        self._sent: dict[tuple[str, str], deque[tuple[float, float]]] = {}

    def sent(self, region: str, service: str, work: float, now: float) -> None:
        """Count a call that keeps a replica of the region busy for some seconds."""
        self._recent(region, service, now).append((now, work))

    def unreported_work(self, region: str, service: str, now: float) -> float:
        """Return the seconds of work that the region's loads do not contain yet."""
        return sum(work for _, work in self._recent(region, service, now))

    def _recent(self, region, service, now) -> deque[tuple[float, float]]:
        # Regions and services are those of the settings and the manifest.
        sent = self._sent.setdefault((region, service), deque())
        while sent and now - sent[0][0] >= UNREPORTED_SECONDS:
            sent.popleft()
        return sent
