"""The heartbeat between hosts that serve routes: loads, rosters and region loads."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import Load, ReplicaLoads
from sassafraskeel.decisions.membership import Member
from sassafraskeel.decisions.region_loads import RegionLoads, ServiceLoad
from sassafraskeel.decisions.roster import (
    HostState,
    Roster,
    RosterEntry,
    RosterUpdate,
)
from sassafraskeel.gateways.codec import compute_host_checksum, decode_field
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.messages import (
    NOT_DRAINING,
    RouteHeartbeat,
    RouteHeartbeatReply,
)
from sassafraskeel.gateways.statement_relay import StatementRelay

MAX_ROWS = 8192
# Loads of other regions that a coordinator passes on to the hosts of its region; more
# would take up too much of the bandwidth of the links.
MAX_RELAYED_ROWS = 64
# The roster and the loads of services are computed at most this often.
REFRESH_SECONDS = 0.25
MAX_KNOWN_ROSTERS = 64


class HeartbeatState(NamedTuple):
    """What heartbeats report and what they update.

    `announced_loads` returns the loads that the coordinator of a name has not granted.
    """

    hosts: HostTable
    coordination: Coordination
    loads: ReplicaLoads
    region_loads: RegionLoads
    announced_loads: Callable[[str], dict[str, Load]]
    service_loads: Callable[[float], dict[str, ServiceLoad]]
    manifest_version: Callable[[], int]


class RouteHeartbeats:
    """Builds and processes the heartbeats of hosts that serve routes.

    Hosts announce to the coordinators of their region the loads that these have not
    granted, and get the roster and the loads of other regions. Both tell each other
    what replicas said of themselves. Coordinators of different regions tell each other
    the loads and the rosters of their regions. `on_new_host` is called after the first
    message of an incarnation of a host, and `report_access` after each reply.
    """

    def __init__(
        self,
        state: HeartbeatState,
        statement_relay: StatementRelay,
        clock: Clock,
        on_new_host: Callable[[], Awaitable[None]],
        report_access: Callable[[ControlLink], Awaitable[None]],
    ):
        self._report_access = report_access
        self._state = state
        self._statement_relay = statement_relay
        self._clock = clock
        self._on_new_host = on_new_host
        self._roster = Roster()
        self._refreshed_at = float("-inf")
        self._services: list = []
        self._known_rosters: dict[str, tuple[str, int]] = {}

    def next_message(self, peer: HostInfo) -> RouteHeartbeat:
        """Return the next heartbeat message to a host."""
        state, now = self._state, self._clock.monotonic()
        loads, statements = [], []
        if self._is_in_region(peer):
            loads = [
                [name, *load] for name, load in state.announced_loads(peer.name).items()
            ]
            statements = self._statement_relay.rows(peer)
        incarnation, version = self._known_rosters.get(peer.name, ("", 0))
        coordinates = state.coordination.is_coordinator(now)
        return RouteHeartbeat(
            state.manifest_version(),
            self._draining_seconds(state.hosts.local_host, now),
            compute_host_checksum(state.hosts.local_host),
            loads,
            statements,
            version if incarnation == peer.incarnation else 0,
            coordinates,
            self._own_services(now) if coordinates else [],
        )

    async def handle_reply(self, link: ControlLink, reply) -> None:
        """Process the reply; raise ProtocolError if it is not valid."""
        if not isinstance(reply, RouteHeartbeatReply):
            raise ProtocolError("the reply to a heartbeat has an unexpected type")
        await self._record_reply(link, reply)
        await self._report_access(link)

    async def _record_reply(self, link: ControlLink, reply: RouteHeartbeatReply):
        if reply.host_checksum != compute_host_checksum(link.peer):
            raise ProtocolError(
                "the host information of the peer differs from its hello"
            )
        peer, now = link.peer, self._clock.monotonic()
        await self._update_member(peer, reply, now)
        if self._is_in_region(peer):
            self._statement_relay.record(peer, reply.statements)
        if not reply.coordinates:
            return
        state = self._state
        source = state.hosts.region_of(peer)
        update = RosterUpdate(
            reply.roster_version,
            reply.roster_complete,
            decode_roster(reply.roster, now),
        )
        state.hosts.apply_roster(source, update, now)
        if len(self._known_rosters) >= MAX_KNOWN_ROSTERS:
            self._known_rosters.clear()
        self._known_rosters[peer.name] = (peer.incarnation, reply.roster_version)
        if not self._is_in_region(peer):
            self._update_region(source, decode_services(reply.services), now)
            return
        for row in reply.regions[:MAX_ROWS]:
            region, age, services = decode_region(row)
            self._update_region(region, services, now - age)

    async def answer(
        self, peer: HostInfo, heartbeat: RouteHeartbeat
    ) -> RouteHeartbeatReply:
        """Process the heartbeat of a peer and return the reply."""
        now = self._clock.monotonic()
        await self._update_member(peer, heartbeat, now)
        if self._is_in_region(peer):
            loads = decode_loads(heartbeat.loads)
            self._state.loads.update_announced(peer.name, loads, now)
            self._statement_relay.record(peer, heartbeat.statements)
        elif heartbeat.coordinates:
            services = decode_services(heartbeat.services)
            self._update_region(self._state.hosts.region_of(peer), services, now)
        return self.reply(peer, heartbeat.roster_version)

    def reply(self, peer: HostInfo, roster_version: int) -> RouteHeartbeatReply:
        """Return the reply to a peer that has a version of the local roster."""
        state, now = self._state, self._clock.monotonic()
        coordinates = state.coordination.is_coordinator(now)
        update = RosterUpdate(0, True, ())
        if coordinates:
            update = self._roster_update(peer, roster_version, now)
        return RouteHeartbeatReply(
            state.manifest_version(),
            self._draining_seconds(state.hosts.local_host, now),
            compute_host_checksum(state.hosts.local_host),
            coordinates,
            self._statement_relay.rows(peer) if self._is_in_region(peer) else [],
            self._own_services(now) if coordinates else [],
            self._regions(now) if coordinates and self._is_in_region(peer) else [],
            update.version,
            update.complete,
            [self._encode_entry(entry, now) for entry in update.entries],
        )

    def _draining_seconds(self, host: HostInfo, now: float) -> float:
        since = self._state.hosts.draining_since(host)
        return NOT_DRAINING if since is None else max(now - since, 0.0)

    def _encode_entry(self, entry: RosterEntry, now: float) -> list:
        since = entry.draining_since
        seconds = NOT_DRAINING if since is None else max(now - since, 0.0)
        return [entry.name, entry.incarnation, int(entry.state), seconds]

    def _roster_update(self, peer, version: int, now: float) -> RosterUpdate:
        self._refresh(now)
        if self._is_in_region(peer):
            return self._roster.update_since(version)
        hosts = self._state.hosts
        local_region = hosts.region_of(hosts.local_host)
        names = {host.name for host in hosts.known_in(local_region)}
        return self._roster.update_since(version, names)

    def _own_services(self, now: float) -> list:
        self._refresh(now)
        return self._services

    def _refresh(self, now: float) -> None:
        if 0 <= now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        hosts = self._state.hosts
        self._roster.refresh(hosts.roster_entries(now))
        self._roster.retain({host.name for host in hosts.known()})
        self._services = [
            [name, *load] for name, load in self._state.service_loads(now).items()
        ]

    def _regions(self, now: float) -> list:
        region_loads = self._state.region_loads
        rows, count = [], 0
        for region in region_loads.regions(now):
            services = [[n, *load] for n, load in region_loads.services(region).items()]
            count += len(services)
            if count > MAX_RELAYED_ROWS:
                break
            rows.append([region, now - region_loads.heard_at(region), services])
        return rows

    def _update_region(self, region: str, services, heard_at: float) -> None:
        hosts = self._state.hosts
        if region and region != hosts.region_of(hosts.local_host):
            self._state.region_loads.update(region, services, heard_at)

    def _is_in_region(self, peer: HostInfo) -> bool:
        hosts = self._state.hosts
        return hosts.region_of(peer) == hosts.region_of(hosts.local_host)

    async def _update_member(self, peer: HostInfo, message, now: float) -> None:
        membership = self._state.hosts.membership
        known = membership.member(peer.name)
        draining = message.draining_seconds >= 0
        if draining:
            self._state.hosts.mark_draining(peer, now - message.draining_seconds)
        membership.update(Member(peer, now, message.version, draining))
        if known is None or (known.info, known.draining) != (peer, draining):
            await self._on_new_host()


def decode_loads(rows: list) -> dict[str, Load]:
    """Return the loads in a heartbeat; raise ProtocolError if they are malformed."""
    loads = {}
    for row in rows[:MAX_ROWS]:
        name, running, pending_tokens = _decode_row(row, (str, int, int))
        loads[name] = Load(running, pending_tokens)
    return loads


def decode_services(rows: list) -> dict[str, ServiceLoad]:
    """Return the loads of services; raise ProtocolError if they are malformed."""
    services = {}
    for row in rows[:MAX_ROWS]:
        name, *fields = _decode_row(row, (str, int, int, float))
        services[name] = ServiceLoad(*fields)
    return services


def decode_region(row) -> tuple[str, float, dict[str, ServiceLoad]]:
    """Return name, age in seconds and loads of a region; raise ProtocolError."""
    region, age, services = _decode_row(row, (str, float, list))
    return region, max(age, 0.0), decode_services(services)


def decode_roster(rows: list, now: float) -> tuple[RosterEntry, ...]:
    """Return the entries of a roster; raise ProtocolError if they are malformed."""
    entries = []
    for row in rows[:MAX_ROWS]:
        name, incarnation, state, seconds = _decode_row(row, (str, str, int, float))
        if state not in set(HostState):
            raise ProtocolError("the state of a host in a roster is unknown")
        since = now - seconds if seconds >= 0 else None
        entries.append(RosterEntry(name, incarnation, HostState(state), since))
    return tuple(entries)


def _decode_row(row, types: tuple) -> list:
    if not isinstance(row, list) or len(row) != len(types):
        raise ProtocolError("a row of a heartbeat is malformed")
    return [decode_field(value, kind) for value, kind in zip(row, types, strict=True)]
