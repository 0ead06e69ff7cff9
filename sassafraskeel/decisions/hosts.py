"""Which hosts may be listed for callers, and which may get forwarded calls."""

import math
from typing import NamedTuple

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.membership import Membership

# Peers ping each other twice a second; after three lost pings a link counts as silent.
LINK_TIMEOUT_SECONDS = 1.6
# Registrations are trusted while the last answer of the store is younger than this.
# Their leases are shorter than the time after which a dead host must not be listed.
STORE_FRESH_SECONDS = 4.0
# A draining host accepts connections from callers for three seconds. Callers use an
# answer of the directory for up to two seconds, but most of them connect at once.
STOPPING_LISTEN_SECONDS = 2.0
# A draining host accepts forwarded calls for 4.5 s, or until its calls have finished.
STOPPING_FORWARD_SECONDS = 4.0
# A draining host stops within its grace period of eight seconds and is started again
# some seconds later.
STOP_DURATION_SECONDS = 12.0
# Liveness changes over seconds, while each call looks it up several times.
VIEW_TTL_SECONDS = 0.1


class _View(NamedTuple):
    """A snapshot of the other hosts.

    `reachable` holds the hosts that may get forwarded calls, by region. `region_peers`
    are the names of the live hosts of the local region, and `alive` counts the live
    hosts of all regions.
    """

    made_at: float
    reachable: dict[str, list[HostInfo]]
    region_peers: set[str]
    alive: int


class HostTable:
    """Combines the registrations in the store with the state of the links."""

    def __init__(self, membership: Membership, regions: dict[str, str]):
        self.membership = membership
        self._regions = regions
        self._registered: dict[str, HostInfo] = {}
        self._store_answered_at = float("-inf")
        self._view: _View | None = None
        self._draining: dict[HostInfo, float] = {}

    @property
    def local_host(self) -> HostInfo:
        """Return the local host."""
        return self.membership.local_host

    def region_of(self, host: HostInfo) -> str:
        """Return the region of a host."""
        return self._regions.get(host.domain, "")

    def register(self, host: HostInfo) -> HostInfo | None:
        """Store the registration of a host; return the previous one, or None."""
        if host.name == self.local_host.name:
            return host
        known = self._registered.get(host.name)
        self._registered[host.name] = host
        return known

    def unregister(self, name: str) -> bool:
        """Remove the registration of a host; return whether there was one."""
        return self._registered.pop(name, None) is not None

    def retain(self, names: set[str]) -> None:
        """Unregister the hosts that a complete list omits."""
        for name in [name for name in self._registered if name not in names]:
            self.unregister(name)

    def store_answered(self, now: float) -> None:
        """Record an answer of the store: the registrations are current."""
        self._store_answered_at = now

    def store_age_ms(self, now: float) -> int | None:
        """Return the age of the store's last answer, None before the first one."""
        age = now - self._store_answered_at
        return round(age * 1000) if math.isfinite(age) else None

    def registered(self) -> list[HostInfo]:
        """Return the registered hosts except the local one, by name."""
        return [self._registered[name] for name in sorted(self._registered)]

    def known(self) -> list[HostInfo]:
        """Return the hosts that are registered or recently had a link, by name."""
        hosts = {member.info.name: member.info for member in self.membership.members()}
        hosts |= self._registered
        return [hosts[name] for name in sorted(hosts)]

    def is_linked(self, host: HostInfo, now: float, draining: bool = False) -> bool:
        """Return whether a host is linked, and draining or not as `draining` says.

        A host counts as linked for LINK_TIMEOUT_SECONDS after its last answer.
        """
        member = self.membership.member(host.name)
        if member is None or member.info.incarnation != host.incarnation:
            return False
        return (
            member.draining == draining and now - member.heard_at < LINK_TIMEOUT_SECONDS
        )

    def is_suspect(self, host: HostInfo, now: float) -> bool:
        """Return whether a host is draining or its link is silent."""
        member = self.membership.member(host.name)
        if member is None or member.info.incarnation != host.incarnation:
            return False
        return member.draining or now - member.heard_at >= LINK_TIMEOUT_SECONDS

    def reachable(self, region: str, now: float) -> list[HostInfo]:
        """Return the other hosts of a region that may get forwarded calls.

        If all hosts of a region are draining, return those that still accept forwarded
        calls: the replicas of a region are reached only through its hosts.
        """
        return self._current_view(now).reachable.get(region, [])

    def regions(self, now: float) -> list[str]:
        """Return the other regions with at least one reachable host."""
        local_region = self.region_of(self.local_host)
        return [
            region
            for region in self._current_view(now).reachable
            if region != local_region
        ]

    def region_peers(self, now: float) -> set[str]:
        """Return the names of the other live hosts of the local region."""
        return self._current_view(now).region_peers

    def count(self, now: float) -> int:
        """Return the number of live hosts, including the local one."""
        return 1 + self._current_view(now).alive

    def invalidate(self) -> None:
        """Discard the cached view, so that the next lookup sees the current links."""
        self._view = None

    def _current_view(self, now: float) -> _View:
        if self._view is None or not 0 <= now - self._view.made_at < VIEW_TTL_SECONDS:
            self._view = self._make_view(now)
        return self._view

    def _make_view(self, now: float) -> _View:
        local_region = self.region_of(self.local_host)
        reachable: dict[str, list[HostInfo]] = {}
        stopping: dict[str, list[HostInfo]] = {}
        region_peers, alive = set(), 0
        for host in self.known():
            region = self.region_of(host)
            if self.is_linked(host, now):
                reachable.setdefault(region, []).append(host)
            elif self._accepts_forwards(host, now):
                stopping.setdefault(region, []).append(host)
            if self._is_alive(host, now):
                alive += 1
                if region == local_region:
                    region_peers.add(host.name)
        reachable = stopping | reachable
        return _View(now, dict(sorted(reachable.items())), region_peers, alive)

    def _accepts_forwards(self, host: HostInfo, now: float) -> bool:
        self._track_stopping(now)
        since = self._draining.get(host, now)
        linked = self.is_linked(host, now, draining=True)
        return linked and now - since < STOPPING_FORWARD_SECONDS

    def for_callers(
        self, region: str, home_regions: frozenset[str], draining: bool, now: float
    ) -> list[HostInfo]:
        """Return the hosts that callers of a region should use; may be empty.

        Hosts of the callers' region are preferred, then those of the home regions. If
        all of these are draining, return those that still accept connections, and
        after that none: they come back within seconds, and a region that is no home
        must not get the calls. Return hosts of other regions only if the callers'
        region and the home regions have neither live nor draining hosts.

        `draining` says whether the local host is draining.
        """
        self._track_stopping(now, draining)
        hosts = [host for host in self.known() if self._is_alive(host, now)]
        if not draining:
            hosts.append(self.local_host)
        for regions in ({region}, home_regions):
            chosen = [host for host in hosts if self.region_of(host) in regions]
            if chosen:
                return chosen
        stopping = [
            (host, since)
            for host, since in self._draining.items()
            if self.region_of(host) in home_regions | {region}
        ]
        if stopping and home_regions:
            return [
                host
                for host, since in stopping
                if now - since < STOPPING_LISTEN_SECONDS
            ]
        return hosts

    def _track_stopping(self, now: float, draining: bool = False) -> None:
        members = self.membership.members()
        hosts = {member.info for member in members if member.draining}
        if draining:
            hosts.add(self.local_host)
        for host in hosts - self._draining.keys():
            self._draining[host] = now
        for host, since in list(self._draining.items()):
            if now - since > STOP_DURATION_SECONDS:
                del self._draining[host]

    def _is_alive(self, host: HostInfo, now: float) -> bool:
        if self.is_linked(host, now):
            return True
        if host.name not in self._registered or self.is_suspect(host, now):
            return False
        return now - self._store_answered_at < STORE_FRESH_SECONDS
