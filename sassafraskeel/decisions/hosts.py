"""Which hosts of the gateway may be named to callers and may get forwarded calls."""

import math
from typing import NamedTuple

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.membership import Membership

# Peers ping each other twice a second; three lost pings in a row mean trouble.
LINK_TIMEOUT_SECONDS = 1.6
# A store that answered this recently has the registrations of the living hosts: their
# leases are shorter than the time after which a dead host must not be named.
STORE_FRESH_SECONDS = 4.0
# A host that is being stopped listens for three seconds; callers use an answer for two,
# most of them at once.
STOPPING_LISTEN_SECONDS = 2.0
# It takes forwarded calls for 4.5 s, unless it has nothing more to finish.
STOPPING_FORWARD_SECONDS = 4.0
# It ends within a grace of eight seconds and is back some seconds later.
STOP_DURATION_SECONDS = 12.0
# Liveness changes in seconds, and each call asks several times.
VIEW_TTL_SECONDS = 0.1


class _View(NamedTuple):
    """The hosts of each region as of some time."""

    made_at: float
    reachable: dict[str, list[HostInfo]]
    region_peers: set[str]
    alive: int


class HostTable:
    """Registrations of the store and the state of the links, taken together."""

    def __init__(self, membership: Membership, regions: dict[str, str]):
        self.membership = membership
        self._regions = regions
        self._registered: dict[str, HostInfo] = {}
        self._store_answered_at = float("-inf")
        self._view: _View | None = None
        self._draining: dict[HostInfo, float] = {}

    @property
    def own(self) -> HostInfo:
        """Return this host."""
        return self.membership.local_host

    def region_of(self, host: HostInfo) -> str:
        """Return the region of a host."""
        return self._regions.get(host.domain, "")

    def register(self, host: HostInfo) -> HostInfo | None:
        """Take the registration of a host; return the former one."""
        if host.name == self.own.name:
            return host
        known = self._registered.get(host.name)
        self._registered[host.name] = host
        return known

    def unregister(self, name: str) -> bool:
        """Take the end of a registration; return whether it was known."""
        return self._registered.pop(name, None) is not None

    def retain(self, names: set[str]) -> None:
        """Unregister the hosts that a complete list leaves out."""
        for name in [name for name in self._registered if name not in names]:
            self.unregister(name)

    def store_answered(self, now: float) -> None:
        """Note that the registrations are current."""
        self._store_answered_at = now

    def store_age_ms(self, now: float) -> int | None:
        """Return the age of what the store said last, None before its first answer."""
        age = now - self._store_answered_at
        return round(age * 1000) if math.isfinite(age) else None

    def registered(self) -> list[HostInfo]:
        """Return the registered hosts but the own one, by name."""
        return [self._registered[name] for name in sorted(self._registered)]

    def known(self) -> list[HostInfo]:
        """Return the hosts that are registered or were linked lately, by name."""
        hosts = {member.info.name: member.info for member in self.membership.members()}
        hosts |= self._registered
        return [hosts[name] for name in sorted(hosts)]

    def is_linked(self, host: HostInfo, now: float, draining: bool = False) -> bool:
        """Return whether a host answered on its link a moment ago and takes work."""
        member = self.membership.member(host.name)
        if member is None or member.info.incarnation != host.incarnation:
            return False
        return (
            member.draining == draining and now - member.heard_at < LINK_TIMEOUT_SECONDS
        )

    def is_suspect(self, host: HostInfo, now: float) -> bool:
        """Return whether a host drains, or had a link that is silent."""
        member = self.membership.member(host.name)
        if member is None or member.info.incarnation != host.incarnation:
            return False
        return member.draining or now - member.heard_at >= LINK_TIMEOUT_SECONDS

    def reachable(self, region: str, now: float) -> list[HostInfo]:
        """Return the other hosts of a region that may get forwarded calls.

        Where all hosts of a region are being stopped, those are named that still take
        forwarded calls: only hosts of its own region reach the region's replicas.
        """
        return self._current_view(now).reachable.get(region, [])

    def regions(self, now: float) -> list[str]:
        """Return the other regions in which a host can be reached."""
        own = self.region_of(self.own)
        return [region for region in self._current_view(now).reachable if region != own]

    def region_peers(self, now: float) -> set[str]:
        """Return the names of the hosts of the own region that are alive."""
        return self._current_view(now).region_peers

    def count(self, now: float) -> int:
        """Return how many hosts are alive, the own one included."""
        return 1 + self._current_view(now).alive

    def invalidate(self) -> None:
        """Look at the links again before the next answer."""
        self._view = None

    def _current_view(self, now: float) -> _View:
        if self._view is None or not 0 <= now - self._view.made_at < VIEW_TTL_SECONDS:
            self._view = self._make_view(now)
        return self._view

    def _make_view(self, now: float) -> _View:
        own = self.region_of(self.own)
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
                if region == own:
                    region_peers.add(host.name)
        reachable = stopping | reachable
        return _View(now, dict(sorted(reachable.items())), region_peers, alive)

    def _accepts_forwards(self, host: HostInfo, now: float) -> bool:
        self._track_stopping(now)
        since = self._draining.get(host, now)
        linked = self.is_linked(host, now, draining=True)
        return linked and now - since < STOPPING_FORWARD_SECONDS

    def for_callers(
        self, region: str, homes: frozenset[str], draining: bool, now: float
    ) -> list[HostInfo]:
        """Return the hosts that callers of a region should use, or none.

        Hosts of the callers' region come first, then those of the home regions. Where
        all of these are being stopped, those that still listen are named, and after
        that none: the others come back within seconds, and a region that is no home
        must not get the calls. Only without any of them are other regions named.
        """
        self._track_stopping(now, draining)
        hosts = [host for host in self.known() if self._is_alive(host, now)]
        if not draining:
            hosts.append(self.own)
        for regions in ({region}, homes):
            chosen = [host for host in hosts if self.region_of(host) in regions]
            if chosen:
                return chosen
        stopping = [
            (host, since)
            for host, since in self._draining.items()
            if self.region_of(host) in homes | {region}
        ]
        if stopping and homes:
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
            hosts.add(self.own)
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
