"""Which hosts reach the replicas of their region."""

import random
from typing import NamedTuple

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.fleet import Replica

# One replica that takes no connection may have ended.
MIN_PROBED = 2
# All of these have ended at once only if most replicas of the region have.
MAX_PROBED = 6
# Hosts report with each heartbeat.
REPORT_TTL_SECONDS = 1.6
MAX_HOSTS = 4096


class HostRun(NamedTuple):
    """An incarnation of a host."""

    name: str
    incarnation: str


class _Report(NamedTuple):
    heard_at: float
    run: HostRun
    lost: bool


class _List(NamedTuple):
    heard_at: float
    region: str
    runs: frozenset[HostRun]


class ReplicaAccess:
    """Tracks whether the local host and others reach the replicas of their regions.

    A host has lost its replicas if none of several takes a connection. What failed
    attempts show then concerns the host, as long as others of its region reach them.
    Each host reports for itself; hosts pass on what was reported to them, and what
    hosts of other regions passed on to them to those of their own region only.
    """

    def __init__(self, local_host: HostInfo):
        self._local_run = run_of(local_host)
        self._lost = False
        self._others_lost = False
        self._reports: dict[str, _Report] = {}
        self._lists: dict[str, _List] = {}

    @property
    def is_lost(self) -> bool:
        """Return whether the local host has lost the replicas of its region."""
        return self._lost

    def probed(self, count: int, reached: bool) -> bool:
        """Record a check of `count` replicas; return whether the state changed.

        `reached` says whether one of them took a connection.
        """
        lost = not reached and count >= MIN_PROBED
        changed = self._lost is not lost
        self._lost = lost
        if changed and self._lost:
            self._others_lost = False
        return changed

    def others_lost(self) -> None:
        """Record that no other host of the region reaches replicas at present."""
        self._others_lost = True

    def may_have_restarted(self) -> bool:
        """Return whether the replicas were out of reach of the whole region.

        It holds for the time since the local host last lost them.
        """
        return self._others_lost

    def reported(self, host: HostInfo, lost: bool, now: float) -> bool:
        """Record what a host says of itself; return whether that is new."""
        known = self._reports.get(host.name)
        self._reports[host.name] = _Report(now, run_of(host), lost)
        if len(self._reports) > MAX_HOSTS:
            del self._reports[next(iter(self._reports))]
        was_lost = known is not None and known.run == run_of(host) and known.lost
        return was_lost is not lost

    def listed(
        self, source: HostInfo, region: str, runs: frozenset[HostRun], now: float
    ) -> bool:
        """Record the hosts that another one lists as without replicas.

        `region` is that of the other host. Returns whether the list is new.
        """
        known = self._lists.pop(source.name, None)
        if not runs:
            return known is not None
        self._lists[source.name] = _List(now, region, runs)
        if len(self._lists) > MAX_HOSTS:
            del self._lists[next(iter(self._lists))]
        return known is None or known.runs != runs

    def reaches(self, host: HostInfo, now: float) -> bool:
        """Return whether a host reaches replicas, as far as is known."""
        run = run_of(host)
        if run == self._local_run:
            return not self._lost
        report = self._reports.get(host.name)
        if report is not None and _is_fresh(report, now):
            return report.run != run or not report.lost
        return not any(
            run in listed.runs and _is_fresh(listed, now)
            for listed in self._lists.values()
        )

    def prefer(self, hosts: list[HostInfo], now: float) -> list[HostInfo]:
        """Return the hosts that reach replicas, or all if none does."""
        return self.only(hosts, now) or hosts

    def only(self, hosts: list[HostInfo], now: float) -> list[HostInfo]:
        """Return the hosts that reach replicas."""
        if not (self._lost or self._reports or self._lists):
            return hosts
        return [host for host in hosts if self.reaches(host, now)]

    def rows(self, local_region: str, region: str, now: float) -> set[HostRun]:
        """Return the hosts without replicas that a host of a region is told of."""
        runs = {
            report.run
            for report in self._reports.values()
            if report.lost and _is_fresh(report, now)
        }
        if self._lost:
            runs.add(self._local_run)
        if region == local_region:
            for listed in self._lists.values():
                if listed.region != local_region and _is_fresh(listed, now):
                    runs |= listed.runs
        return runs


def run_of(host: HostInfo) -> HostRun:
    """Return the incarnation of a host."""
    return HostRun(host.name, host.incarnation)


def choose_probed(replicas: list[Replica], rng: random.Random) -> list[Replica]:
    """Return the replicas of a region to which a check connects."""
    return rng.sample(replicas, min(len(replicas), MAX_PROBED))


def _is_fresh(heard: _Report | _List, now: float) -> bool:
    return now - heard.heard_at < REPORT_TTL_SECONDS
