"""Load of the services of other regions, as their coordinators summarise it."""

from typing import NamedTuple

# Summaries arrive about twice a second.
SUMMARY_TTL_SECONDS = 2.0
MAX_REGIONS = 64


class ServiceLoad(NamedTuple):
    """The load of a service in a region.

    `replicas` counts the replicas that take new work and `free_slots` their free
    slots. `wait_seconds` is the predicted time to the first byte of a call without a
    prompt at the best replica.
    """

    replicas: int
    free_slots: int
    wait_seconds: float


class RegionLoads:
    """The latest summary of each other region; an old one counts as unreachable."""

    def __init__(self):
        self._summaries: dict[str, tuple[float, dict[str, ServiceLoad]]] = {}

    def update(self, region: str, loads: dict[str, ServiceLoad], heard_at: float):
        """Record the summary of a region unless a newer one is known."""
        known_at, _ = self._summaries.get(region, (float("-inf"), {}))
        if region not in self._summaries and len(self._summaries) >= MAX_REGIONS:
            return
        if heard_at >= known_at:
            self._summaries[region] = (heard_at, loads)

    def regions(self, now: float) -> list[str]:
        """Return the regions with a fresh summary, by name."""
        return sorted(
            region
            for region, (heard_at, _) in self._summaries.items()
            if now - heard_at < SUMMARY_TTL_SECONDS
        )

    def heard_at(self, region: str) -> float:
        """Return when the summary of a region was made, -inf without one."""
        return self._summaries.get(region, (float("-inf"), {}))[0]

    def services(self, region: str) -> dict[str, ServiceLoad]:
        """Return the latest summary of a region."""
        return self._summaries.get(region, (0.0, {}))[1]
