"""What a host believes about the load, speed and health of its own upstreams."""

import math

from sassafraskeel.core.settings import LimitSection
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.reports import LoadReport, LoadReports
from sassafraskeel.sheets.model import Upstream

HALF_LIFE_SECONDS = 2.0
MEAN_WEIGHT = 0.1
# Half of the calls take longer than the mean; a call that starts in time by the mean
# alone often ends after its deadline and wastes its slot.
MARGIN = 1.25
MAX_WORK_CLASSES = 4096
# Whole slots are taken from a limit with a fraction. Rounding it down on every host
# leaves slots idle; steps of the golden ratio round up as often as the fraction says.
DITHER_STEP = 0.6180339887


class NoReports:
    """Implements LoadReports for a host whose upstreams report nothing."""

    def report(self, upstream: str) -> LoadReport | None:
        return None


class Estimates:
    """Load and health of the upstreams of the own failure domain.

    Entries are kept for the upstreams of the sheet only; `retain` drops others.
    """

    def __init__(self, cfg: LimitSection, reports: LoadReports):
        self.health = Health(cfg.ramp.total_seconds())
        self._reports = reports
        self._own: dict[str, int] = {}
        self._dither = 0.5
        self._own_at_report: dict[str, tuple[float, int]] = {}

    def own(self, upstream: str) -> int:
        """Return how many slots of an upstream this host holds."""
        return self._own.get(upstream, 0)

    def started(self, upstream: str) -> None:
        """Record that this host takes a slot."""
        self._observe(upstream)
        self._own[upstream] = self.own(upstream) + 1
        self._dither = (self._dither + DITHER_STEP) % 1

    def finished(self, upstream: str) -> None:
        """Record that this host gives a slot back."""
        self._observe(upstream)
        self._own[upstream] = max(self.own(upstream) - 1, 0)

    def retain(self, upstreams) -> None:
        """Forget the upstreams that are not listed and have no call in flight."""
        self.health.retain(upstreams)
        for name in [name for name in self._own if name not in upstreams]:
            if not self._own[name]:
                del self._own[name]
                self._own_at_report.pop(name, None)

    def others(self, upstream: Upstream, hosts: int, now: float) -> float:
        """Return the slots that other hosts are believed to use.

        The reported figure decays to the prior, an even division of all slots
        between the hosts of the failure domain, as the report ages.
        """
        prior = upstream.slots * (hosts - 1) / hosts
        report = self._observe(upstream.name)
        if report is None:
            return prior
        own_then = self._own_at_report[upstream.name][1]
        reported = max(report.running + report.queued - own_then, 0)
        trust = self._trust(report, now)
        return trust * reported + (1 - trust) * prior

    def limit(self, upstream: Upstream, hosts: int, now: float) -> float:
        """Return how many slots of an upstream this host may hold.

        It is at least this host's even share, so that no host is starved. Above it,
        a host takes its part of the slots that the last report showed free: if each
        host took all of them, late reports would fill a replica several times over.
        """
        if not self.usable(upstream.name, now):
            return 0.0
        if self.health.is_failing(upstream.name):
            return 1.0  # One call at a time finds out whether it is back.
        share = max(upstream.slots / hosts, 1.0)
        report = self._observe(upstream.name)
        if report is not None:
            free = max(upstream.slots - report.running - report.queued, 0)
            fair = self._own_at_report[upstream.name][1] + free / hosts
            share = max(share, share + self._trust(report, now) * (fair - share))
        limit = max(share * self.health.ramp(upstream.name, now), 1.0)
        return max(math.floor(limit + self._dither), 1)

    def load(self, upstream: Upstream, hosts: int, now: float) -> float:
        """Return the believed use of an upstream, as a share of its slots."""
        others = self.others(upstream, hosts, now)
        slots = upstream.slots * self.health.ramp(upstream.name, now)
        return (self.own(upstream.name) + others) / slots

    def usable(self, upstream: str, now: float) -> bool:
        """Return whether an upstream may get new work."""
        report = self._reports.report(upstream)
        if report is not None and report.leaving:
            return False
        return self.health.usable(upstream, now)

    def _trust(self, report: LoadReport, now: float) -> float:
        return 0.5 ** (max(now - report.heard_at, 0) / HALF_LIFE_SECONDS)

    def _observe(self, upstream: str) -> LoadReport | None:
        report = self._reports.report(upstream)
        if report is not None:
            seen = self._own_at_report.get(upstream)
            if seen is None or seen[0] != report.heard_at:
                self._own_at_report[upstream] = (report.heard_at, self.own(upstream))
        return report


class ServiceTimes:
    """Moving averages of the time that a call holds a slot, by class of work.

    At most MAX_WORK_CLASSES classes are kept; the oldest one is dropped first.
    """

    def __init__(self):
        self._means: dict[tuple[str, str], float] = {}

    def record(self, service: str, work: str, seconds: float) -> None:
        """Take one finished call into account."""
        for key in ((service, work), (service, "")):
            mean = self._means.get(key, seconds)
            self._means[key] = mean + MEAN_WEIGHT * (seconds - mean)
        while len(self._means) > MAX_WORK_CLASSES:
            del self._means[next(iter(self._means))]

    def expected(self, service: str, work: str) -> float:
        """Return the expected time of a call, 0 while nothing is known."""
        mean = self._means.get((service, work))
        if mean is None:
            mean = self._means.get((service, ""), 0.0)
        return MARGIN * mean
