"""Which hosts may be listed for callers, and which may get forwarded calls."""

import math
from collections.abc import Callable
from typing import NamedTuple

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.replica_access import ReplicaAccess
from sassafraskeel.decisions.roster import HostState, RosterEntry, RosterUpdate

# Peers ping each other twice a second; after three lost pings a link counts as silent.
LINK_TIMEOUT_SECONDS = 1.6
# The roster of the coordinator is confirmed with each ping.
ROSTER_TTL_SECONDS = 1.6
# Registrations are trusted while the last answer of the store is younger than this.
# Their leases are shorter than the time after which a dead host must not be listed.
STORE_FRESH_SECONDS = 4.0
# A draining host accepts connections from callers for three seconds. Callers use an
# answer of the directory for up to two seconds, but most of them connect at once.
STOPPING_LISTEN_SECONDS = 2.0
# A draining host serves its calls for this long; the platform kills it half a second
# later.
DRAIN_SECONDS = 7.5
# A stopped host is started again within this time.
RESTART_SECONDS = 4.5
# Times of a drain that differ by less are treated as equal.
DRAIN_ERROR_SECONDS = 0.1
# An offer reaches a host of another region up to this much later.
OFFER_SECONDS = 0.2
# Liveness changes over seconds, while each call looks it up several times. Changes of
# registrations, links and rosters end a view at once.
VIEW_TTL_SECONDS = 0.5
# A host that could not be reached gets no forwarded calls for this long.
UNREACHABLE_SECONDS = 2.0
MAX_UNREACHABLE = 256
MAX_DEPARTED = 1024
# Twice and a half the hosts of the plan.
MAX_REGISTERED = 1024
MAX_DRAINING = 2048


class _RosterView(NamedTuple):
    """A coordinator's roster, and when it was last confirmed."""

    confirmed_at: float
    entries: dict[str, RosterEntry]


Ranking = Callable[[str, list[HostInfo]], list[HostInfo]]


class _View(NamedTuple):
    """A snapshot of the other hosts.

    `live` holds the live hosts by region, and `reachable` those that may get forwarded
    calls. `ranked` caches the ranking of the hosts of a region. `region_peers` are the
    names of the live hosts of the local region, and `alive` counts the live hosts of
    all regions. `live_share` is the share of live hosts in those of the local region.
    """

    made_at: float
    changes: int
    live: dict[str, list[HostInfo]]
    reachable: dict[str, list[HostInfo]]
    ranked: dict[str, list[HostInfo]]
    region_peers: set[str]
    alive: int
    live_share: float


class HostTable:
    """Combines the registrations in the store with what links and rosters show.

    A host links only its coordinators, whose rosters tell it of the other hosts. At
    most MAX_REGISTERED registrations and MAX_DRAINING drains of other hosts are kept;
    further ones are ignored.
    `drain_seconds` is how long a host serves its calls after its drain began.
    """

    def __init__(
        self,
        membership: Membership,
        regions: dict[str, str],
        drain_seconds: float = DRAIN_SECONDS,
    ):
        self.membership = membership
        self.access = ReplicaAccess(membership.local_host)
        self._regions = regions
        self._drain_seconds = drain_seconds
        self._registered: dict[str, HostInfo] = {}
        # Whether all registrations in the store have been read.
        self.knows_registered = True
        self._store_answered_at = float("-inf")
        self._first_answered_at = float("inf")
        self._view: _View | None = None
        self._region_peers: set[str] | None = None
        self._region_peers_since = float("-inf")
        self._draining: dict[HostInfo, float] = {}
        self._rosters: dict[str, _RosterView] = {}
        self._unreachable_since: dict[HostInfo, float] = {}
        # Unregistered hosts and when, because a draining host still serves calls.
        self._departed: dict[str, tuple[HostInfo, float]] = {}
        # The last registration of each host that left, until it registers again.
        self._ended: dict[str, HostInfo] = {}
        # Runs of hosts that a later run replaced; a copy of the store may list them.
        self._replaced: dict[HostInfo, None] = {}

    @property
    def local_host(self) -> HostInfo:
        """Return the local host."""
        return self.membership.local_host

    def region_of(self, host: HostInfo) -> str:
        """Return the region of a host."""
        return self._regions.get(host.domain, "")

    def register(self, host: HostInfo, just_written: bool = True) -> HostInfo | None:
        """Store the registration of a host; return the previous one, or None.

        One that is ignored is returned, too. One that was not just written may be from
        a copy of the store. If it had ended, it does not show that the host is alive. A
        run that a later one replaced is ignored.
        """
        if host.name == self.local_host.name or host in self._replaced:
            return host
        known = self._registered.get(host.name)
        if known is None and len(self._registered) >= MAX_REGISTERED:
            return host
        latest = known or self._ended.get(host.name)
        if latest is not None and latest.incarnation != host.incarnation:
            self._replaced[latest] = None
            if len(self._replaced) > MAX_DEPARTED:
                del self._replaced[next(iter(self._replaced))]
        if just_written:
            self._ended.pop(host.name, None)
        if known != host:
            self.invalidate()
        self._registered[host.name] = host
        self._departed.pop(host.name, None)
        return known

    def unregister(self, name: str) -> bool:
        """Remove the registration of a host; return whether there was one."""
        host = self._registered.pop(name, None)
        if host is None:
            return False
        self.invalidate()
        self._departed.pop(name, None)
        self._departed[name] = (host, self._store_answered_at)
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._ended.pop(name, None)
        self._ended[name] = host
        if len(self._ended) > MAX_DEPARTED:
            del self._ended[next(iter(self._ended))]
        return True

    def retain(self, names: set[str]) -> None:
        """Unregister the hosts that a complete list omits."""
        for name in [name for name in self._registered if name not in names]:
            self.unregister(name)

    def store_answered(self, now: float) -> None:
        """Record an answer of the store: the registrations are current."""
        self._first_answered_at = min(self._first_answered_at, now)
        self._store_answered_at = now

    def store_age_ms(self, now: float) -> int | None:
        """Return the age of the store's last answer, None before the first one."""
        age = now - self._store_answered_at
        return round(age * 1000) if math.isfinite(age) else None

    def registered(self) -> list[HostInfo]:
        """Return the registered hosts except the local one, by name."""
        return [self._registered[name] for name in sorted(self._registered)]

    def known(self) -> list[HostInfo]:
        """Return the hosts that are or were just registered or have a link, by name."""
        hosts = {name: host for name, (host, _) in self._departed.items()}
        hosts |= {member.info.name: member.info for member in self.membership.members()}
        hosts |= self._registered
        return [hosts[name] for name in sorted(hosts)]

    def apply_roster(self, region: str, update: RosterUpdate, now: float) -> None:
        """Apply an update from the coordinator of a region; it confirms the roster.

        The roster of the local region's coordinator covers the hosts of all regions.
        """
        known = self._rosters.get(region)
        entries = {} if known is None or update.complete else known.entries
        if update.complete or update.entries:
            entries |= {entry.name: entry for entry in update.entries}
            # Hosts that are gone for good do not make the table grow.
            entries = {
                name: entry
                for name, entry in entries.items()
                if entry.state is not HostState.GONE or name in self._registered
            }
            self.invalidate()
        self._rosters[region] = _RosterView(now, entries)

    def roster_entries(self, now: float) -> list[RosterEntry]:
        """Return the states of the hosts that links or rosters show."""
        return [
            RosterEntry(host.name, host.incarnation, state, self._draining.get(host))
            for host in (*self.known(), self.local_host)
            if (state := self._observed_state(host, now)) is not None
        ]

    def known_in(self, region: str) -> list[HostInfo]:
        """Return the known hosts of a region, with the local host if it is there."""
        hosts = [host for host in self.known() if self.region_of(host) == region]
        if self.region_of(self.local_host) == region:
            hosts.append(self.local_host)
        return hosts

    def is_linked(self, host: HostInfo, now: float, draining: bool = False) -> bool:
        """Return whether a host is heard, and draining or not as `draining` says.

        A host counts as heard for LINK_TIMEOUT_SECONDS after its last answer, or while
        the coordinator's roster lists it.
        """
        state = HostState.DRAINING if draining else HostState.LIVE
        return self._observed_state(host, now) is state

    def is_suspect(self, host: HostInfo, now: float) -> bool:
        """Return whether a host is draining or silent."""
        return self._observed_state(host, now) in (HostState.GONE, HostState.DRAINING)

    def _observed_state(self, host: HostInfo, now: float) -> HostState | None:
        """Return the state that links and rosters show, None if they show nothing."""
        state = self._heard_state(host, now)
        if state is HostState.LIVE and host in self._draining:
            return HostState.DRAINING
        return state

    def _heard_state(self, host: HostInfo, now: float) -> HostState | None:
        if host.name == self.local_host.name:
            return HostState.LIVE
        member = self.membership.member(host.name)
        if member is not None and member.info.incarnation != host.incarnation:
            member = None
        if member is not None and now - member.heard_at < LINK_TIMEOUT_SECONDS:
            return HostState.DRAINING if member.draining else HostState.LIVE
        entry = self._roster_entry(host, now)
        if entry is not None:
            return entry.state
        return None if member is None else HostState.GONE

    def _roster_entry(self, host: HostInfo, now: float) -> RosterEntry | None:
        for region in (self.region_of(self.local_host), self.region_of(host)):
            roster = self._rosters.get(region)
            if roster is None or now - roster.confirmed_at >= ROSTER_TTL_SECONDS:
                continue
            entry = roster.entries.get(host.name)
            if entry is not None and entry.incarnation == host.incarnation:
                return entry
        return None

    def mark_draining(self, host: HostInfo, since: float) -> None:
        """Record that an incarnation of a host drains; it never becomes live again.

        `since` is when its drain began. A host that was started later hears of a drain
        late, so that the time at which it heard says nothing about the end. Messages
        that travel longer make a drain seem younger, so that the earliest time counts.
        """
        if since < self._draining.get(host, math.inf) - DRAIN_ERROR_SECONDS:
            self._note_draining(host, since)
            self.invalidate()

    def _note_draining(self, host: HostInfo, since: float) -> None:
        is_known = host in self._draining or host == self.local_host
        if is_known or len(self._draining) < MAX_DRAINING:
            self._draining[host] = since

    def draining_since(self, host: HostInfo) -> float | None:
        """Return when the drain of a host began, None if it is not known to drain."""
        return self._draining.get(host)

    def mark_unreachable(self, host: HostInfo, now: float) -> None:
        """Record that an incarnation of a host could not be reached with a call."""
        self._unreachable_since.pop(host, None)
        self._unreachable_since[host] = now
        if len(self._unreachable_since) > MAX_UNREACHABLE:
            del self._unreachable_since[next(iter(self._unreachable_since))]
        self.invalidate()

    def reachable(self, region: str, now: float) -> list[HostInfo]:
        """Return the other hosts of a region that may get forwarded calls.

        If all hosts of a region are draining, return those: the replicas of a region
        are reached only through its hosts. They accept the calls that `stays_until`
        allows. Hosts that have lost the replicas of their region get no calls.
        """
        hosts = self._current_view(now).reachable.get(region, [])
        return self.access.only(hosts, now)

    def region_of_name(self, name: str) -> str:
        """Return the region of the known host of a name, "" if there is none."""
        member = self.membership.member(name)
        host = self._registered.get(name) or (member and member.info)
        return self.region_of(host) if host else ""

    def closes_at(self, host: HostInfo) -> float:
        """Return when a host closes, as far as is known; infinity if it is live."""
        return self._draining.get(host, math.inf) + self._drain_seconds

    def stays_until(self, host: HostInfo, time: float) -> bool:
        """Return whether a call that is offered to a host now is over before it closes.

        `time` is when the call is over.
        """
        return time + OFFER_SECONDS < self.closes_at(host)

    def candidates(self, region: str, now: float, rank: Ranking) -> list[HostInfo]:
        """Return the live hosts of a region in the order of `rank`, with the local one.

        Those that reach the replicas of the region come first. The local host is
        included even while it drains, because it still serves calls.
        """
        ranked = self._current_view(now).ranked
        if region not in ranked:
            hosts = list(self._current_view(now).live.get(region, ()))
            if region == self.region_of(self.local_host):
                hosts.append(self.local_host)
            ranked[region] = sorted(
                rank(region, hosts),
                key=lambda host: not self.access.reaches(host, now),
            )
        return ranked[region]

    def others_reach_replicas(self, now: float) -> bool:
        """Return whether a live host of the local region other than this one does."""
        region = self.region_of(self.local_host)
        live = self._current_view(now).live.get(region, [])
        return bool(self.access.only(live, now))

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

    def region_peers_since(self, now: float) -> float:
        """Return when the live hosts of the local region last changed."""
        self._current_view(now)
        return self._region_peers_since

    def live_share(self, now: float) -> float:
        """Return the share of live hosts in the registered ones of the local region."""
        return self._current_view(now).live_share

    def count(self, now: float) -> int:
        """Return the number of live hosts, including the local one."""
        return 1 + self._current_view(now).alive

    def invalidate(self) -> None:
        """Discard the cached view, so that the next lookup sees the current links."""
        self._view = None

    def _current_view(self, now: float) -> _View:
        view = self._view
        if (
            view is None
            or view.changes != self.membership.changes
            or not 0 <= now - view.made_at < VIEW_TTL_SECONDS
        ):
            view = self._view = self._make_view(now)
        return view

    def _make_view(self, now: float) -> _View:
        known = self.known()
        self._track_stopping(known, now)
        live: dict[str, list[HostInfo]] = {}
        reachable: dict[str, list[HostInfo]] = {}
        stopping: dict[str, list[HostInfo]] = {}
        for host in known:
            region = self.region_of(host)
            if self._is_alive(host, now):
                live.setdefault(region, []).append(host)
                if self._is_reachable(host, now):
                    reachable.setdefault(region, []).append(host)
            elif self._is_stopping(host, now):
                stopping.setdefault(region, []).append(host)
        local_region = self.region_of(self.local_host)
        region_peers = {host.name for host in live.get(local_region, ())}
        if region_peers != self._region_peers:
            self._region_peers, self._region_peers_since = region_peers, now
        registered = {
            name
            for name, host in self._registered.items()
            if self.region_of(host) == local_region
        }
        return _View(
            made_at=now,
            changes=self.membership.changes,
            live=live,
            reachable=dict(sorted((stopping | reachable).items())),
            ranked={},
            region_peers=region_peers,
            alive=sum(map(len, live.values())),
            live_share=(1 + len(region_peers)) / (1 + len(region_peers | registered)),
        )

    def _is_reachable(self, host: HostInfo, now: float) -> bool:
        since = self._unreachable_since.get(host, float("-inf"))
        return now - since >= UNREACHABLE_SECONDS

    def _is_stopping(self, host: HostInfo, now: float) -> bool:
        """Return whether a draining host can still finish a short call."""
        return self.is_linked(host, now, draining=True) and self.stays_until(host, now)

    def for_callers(
        self, region: str, home_regions: frozenset[str], draining: bool, now: float
    ) -> list[HostInfo]:
        """Return the hosts that callers of a region should use; may be empty.

        Hosts of the callers' region are preferred, then those of the home regions. If
        all of these are draining, return those that still accept connections, and
        after that none: they come back within seconds, and a region that is no home
        must not get the calls. Return hosts of other regions only if the callers'
        region and the home regions have neither live nor draining hosts. A host that
        was just started does not know whether those that are not registered drain, and
        returns none either. Hosts that have lost the replicas of their region are
        returned only if no other host of these regions reaches any.

        `draining` says whether the local host is draining.
        """
        live = self._current_view(now).live
        if not draining:
            local_region = self.region_of(self.local_host)
            live = live | {local_region: [*live.get(local_region, ()), self.local_host]}
        for regions in ({region}, home_regions):
            chosen = [host for name in sorted(regions) for host in live.get(name, ())]
            if chosen:
                return self.access.prefer(chosen, now)
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
        is_new = now - self._first_answered_at < self._stop_seconds()
        if (
            is_new
            and home_regions
            and not self._has_registered(home_regions | {region})
        ):
            return []
        return self.access.prefer(
            [host for name in sorted(live) for host in live[name]], now
        )

    def _has_registered(self, regions: frozenset[str]) -> bool:
        hosts = self._registered.values()
        return any(self.region_of(host) in regions for host in hosts)

    def _stop_seconds(self) -> float:
        """Return for how long a host is away in a planned stop and restart."""
        return self._drain_seconds + RESTART_SECONDS

    def _track_stopping(self, known: list[HostInfo], now: float) -> None:
        stopped_after = self._stop_seconds()
        for host in known:
            if host not in self._draining and self.is_linked(host, now, draining=True):
                entry = self._roster_entry(host, now)
                since = None if entry is None else entry.draining_since
                self._note_draining(host, now if since is None else since)
        for host, since in list(self._draining.items()):
            if now - since <= stopped_after or host == self.local_host:
                continue
            if not self.is_linked(host, now, draining=True):
                del self._draining[host]
        for name, (_, since) in list(self._departed.items()):
            if now - since > stopped_after:
                del self._departed[name]

    def _is_alive(self, host: HostInfo, now: float) -> bool:
        if self.is_linked(host, now):
            return True
        if host.name not in self._registered or self.is_suspect(host, now):
            return False
        if self._ended.get(host.name) == host:
            return False
        return now - self._store_answered_at < STORE_FRESH_SECONDS
