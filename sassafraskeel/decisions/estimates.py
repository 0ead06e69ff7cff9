"""Estimates of the load, speed and health of upstreams in the local domain."""

import math

from sassafraskeel.core.settings import LimitSection
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.reports import LoadReport, LoadReports
from sassafraskeel.sheets.model import Upstream

# The weight of a load report halves in this time.
REPORT_HALF_LIFE_SECONDS = 2.0
# The weight of the latest call in the moving average of service times.
MOVING_AVERAGE_WEIGHT = 0.1
# About half of the calls take longer than the mean: a call that starts just in time by
# the mean often ends after its deadline and wastes its slot.
SERVICE_TIME_MARGIN = 1.25
MAX_WORK_CLASSES = 4096
# Limits are fractional, but slots are whole. Rounding down on every host leaves slots
# idle; dithering in steps of the golden ratio rounds up as often as the fraction says.
DITHER_STEP = 0.6180339887


class NoReports:
    """Implements LoadReports for upstreams that do not report their load."""

    def report(self, upstream: str) -> LoadReport | None:
        return None


class UpstreamEstimates:
    """Estimates the load and health of the upstreams of the local failure domain.

    Entries are kept only for the upstreams of the sheet; `retain` drops the rest.
    """

    def __init__(self, cfg: LimitSection, reports: LoadReports):
        self.health = Health(cfg.ramp.total_seconds())
        self._reports = reports
        self._held_slots: dict[str, int] = {}
        self._dither = 0.5
        self._held_at_report: dict[str, tuple[float, int]] = {}

    def held_slots(self, upstream: str) -> int:
        """Return how many slots of an upstream the local host holds."""
        return self._held_slots.get(upstream, 0)

    def started(self, upstream: str) -> None:
        """Record that the local host has taken a slot."""
        self._track_report(upstream)
        self._held_slots[upstream] = self.held_slots(upstream) + 1
        self._dither = (self._dither + DITHER_STEP) % 1

    def finished(self, upstream: str) -> None:
        """Record that the local host has released a slot."""
        self._track_report(upstream)
        self._held_slots[upstream] = max(self.held_slots(upstream) - 1, 0)

    def retain(self, upstreams) -> None:
        """Forget the upstreams that are not listed and have no call in flight."""
        self.health.retain(upstreams)
        for name in [name for name in self._held_slots if name not in upstreams]:
            if not self._held_slots[name]:
                del self._held_slots[name]
                self._held_at_report.pop(name, None)

    def slots_held_by_others(self, upstream: Upstream, hosts: int, now: float) -> float:
        """Return the estimated number of slots that other hosts hold.

        As a report ages, the estimate moves from the reported figure to the prior:
        all slots, divided evenly between the hosts of the failure domain.
        """
        prior = upstream.slots * (hosts - 1) / hosts
        report = self._track_report(upstream.name)
        if report is None:
            return prior
        held_then = self._held_at_report[upstream.name][1]
        reported = max(report.running + report.queued - held_then, 0)
        report_weight = self._report_weight(report, now)
        return report_weight * reported + (1 - report_weight) * prior

    def limit(self, upstream: Upstream, hosts: int, now: float) -> float:
        """Return how many slots of an upstream the local host may hold.

        The limit is at least the host's even share, so that no host is starved. Above
        the share, each host takes only its part of the slots that the last report
        showed free: if each host took all of them, late reports would let the hosts
        fill an upstream several times over.
        """
        if not self.usable(upstream.name, now):
            return 0.0
        if self.health.is_failing(upstream.name):
            return 1.0  # One call at a time checks whether the upstream has recovered.
        share = max(upstream.slots / hosts, 1.0)
        report = self._track_report(upstream.name)
        if report is not None:
            free = max(upstream.slots - report.running - report.queued, 0)
            fair = self._held_at_report[upstream.name][1] + free / hosts
            share = max(
                share, share + self._report_weight(report, now) * (fair - share)
            )
        limit = max(share * self.health.ramp(upstream.name, now), 1.0)
        return max(math.floor(limit + self._dither), 1)

    def load(self, upstream: Upstream, hosts: int, now: float) -> float:
        """Return the estimated use of an upstream, as a share of its slots."""
        slots_held_by_others = self.slots_held_by_others(upstream, hosts, now)
        slots = upstream.slots * self.health.ramp(upstream.name, now)
        return (self.held_slots(upstream.name) + slots_held_by_others) / slots

    def usable(self, upstream: str, now: float) -> bool:
        """Return whether an upstream takes new work."""
        report = self._reports.report(upstream)
        if report is not None and report.leaving:
            return False
        return self.health.usable(upstream, now)

    def _report_weight(self, report: LoadReport, now: float) -> float:
        return 0.5 ** (max(now - report.heard_at, 0) / REPORT_HALF_LIFE_SECONDS)

    def _track_report(self, upstream: str) -> LoadReport | None:
        report = self._reports.report(upstream)
        if report is not None:
            seen = self._held_at_report.get(upstream)
            if seen is None or seen[0] != report.heard_at:
                self._held_at_report[upstream] = (
                    report.heard_at,
                    self.held_slots(upstream),
                )
        return report


class ServiceTimes:
    """Moving averages of the seconds for which calls hold a slot, by class of work.

    At most MAX_WORK_CLASSES averages are kept; the oldest one is dropped first.
    """

    def __init__(self):
        self._means: dict[tuple[str, str], float] = {}

    def record(self, service: str, work_class: str, seconds: float) -> None:
        """Add a finished call to the averages."""
        for key in ((service, work_class), (service, "")):
            mean = self._means.get(key, seconds)
            self._means[key] = mean + MOVING_AVERAGE_WEIGHT * (seconds - mean)
        while len(self._means) > MAX_WORK_CLASSES:
            del self._means[next(iter(self._means))]

    def expected(self, service: str, work_class: str) -> float:
        """Return the expected seconds of a call, with a margin.

        A class without a finished call gets the average of its service, and 0 if the
        service has none either.
        """
        mean = self._means.get((service, work_class))
        if mean is None:
            mean = self._means.get((service, ""), 0.0)
        return SERVICE_TIME_MARGIN * mean
