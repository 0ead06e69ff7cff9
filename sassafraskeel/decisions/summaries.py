"""Load and hosts of each failure domain, relayed from host to host."""

import hashlib
from typing import NamedTuple

from sassafraskeel.core.types import HostInfo

MAX_DOMAINS = 512
# Regions may be cut off from each other for an hour; their hosts have to be known
# afterwards.
RETENTION_SECONDS = 7200.0
# An unchanged load is sent again after this time, so that its age shows whether the
# domain is reachable.
REPEAT_SECONDS = 10.0
# A domain whose load is older than this counts as unreachable.
UNREACHABLE_SECONDS = 30.0
# The weight of reported spare slots halves in this time.
HALF_LIFE_SECONDS = 10.0
# A change of the spare slots by less than this share of a service's slots is not sent:
# with 70 domains, every message is relayed to all hosts.
CHANGE_SHARE = 0.2
# Inside a domain, a load is relayed by the host that received it from outside. A load
# that was not replaced for this time, longer than REPEAT_SECONDS, is relayed once by
# every host.
RELAY_AFTER_SECONDS = 12.0


class DomainLoad(NamedTuple):
    """The load of a domain, with its spare slots by service key.

    `age` is the age in seconds at the time of sending.
    """

    domain: str
    sequence: int
    age: float
    sheet_version: int
    in_flight: int
    spare_slots: dict[int, int]


class Roster(NamedTuple):
    """The hosts of a domain that take new work."""

    domain: str
    sequence: int
    hosts: tuple[HostInfo, ...]


class HeldSummary(NamedTuple):
    """A summary and the monotonic times of its measurement and its arrival.

    `from_local_domain` is true if another host of the local domain sent it.
    """

    item: DomainLoad | Roster
    measured_at: float
    received_at: float
    from_local_domain: bool = False


class SummaryDelta(NamedTuple):
    """Summaries that a peer does not hold."""

    loads: tuple[DomainLoad, ...]
    rosters: tuple[Roster, ...]


def service_key(service: str) -> int:
    """Return a hash of a service name as a number of three bytes."""
    digest = hashlib.blake2b(service.encode(), digest_size=3).digest()
    return int.from_bytes(digest)


class SummaryTable:
    """The newest summary of each domain, by sequence number.

    The live host of a domain with the lowest name writes the summaries of the domain. A
    writer that sees a higher sequence number, from an earlier writer of its domain,
    continues from that number.
    """

    def __init__(self, local_domain: str):
        self._local_domain = local_domain
        self._loads: dict[str, HeldSummary] = {}
        self._rosters: dict[str, HeldSummary] = {}

    def update_local_load(
        self,
        slot_usage: dict[str, tuple[float, float]],
        sheet_version: int,
        now: float,
    ) -> None:
        """Write the load of the local domain if it has changed enough or is old.

        `slot_usage` holds the total and the used slots of each service.
        """
        total_slots = {
            service_key(name): total for name, (total, _) in slot_usage.items()
        }
        spare_slots = {
            service_key(name): round(max(total - used, 0.0))
            for name, (total, used) in slot_usage.items()
        }
        held = self._loads.get(self._local_domain)
        if (
            held is not None
            and now - held.measured_at < REPEAT_SECONDS
            and not _is_material(held.item, spare_slots, total_slots, sheet_version)
        ):
            return
        in_flight = round(sum(used for _, used in slot_usage.values()))
        sequence = held.item.sequence + 1 if held else 1
        item = DomainLoad(
            self._local_domain, sequence, 0.0, sheet_version, in_flight, spare_slots
        )
        self._loads[self._local_domain] = HeldSummary(item, now, now)

    def update_local_roster(self, hosts: tuple[HostInfo, ...], now: float) -> None:
        """Write the roster of the local domain if it has changed."""
        held = self._rosters.get(self._local_domain)
        if held is None or held.item.hosts != hosts:
            sequence = held.item.sequence + 1 if held else 1
            item = Roster(self._local_domain, sequence, hosts)
            self._rosters[self._local_domain] = HeldSummary(item, now, now)

    def merge(self, delta: SummaryDelta, from_local_domain: bool, now: float) -> None:
        """Store the summaries that are newer than the known ones.

        `from_local_domain` is true if a host of the local domain sent them.
        """
        for load in delta.loads:
            self._store_if_newer(
                self._loads, HeldSummary(load, now - load.age, now, from_local_domain)
            )
        for roster in delta.rosters:
            self._store_if_newer(
                self._rosters, HeldSummary(roster, now, now, from_local_domain)
            )

    def delta_for(
        self, known: dict[tuple[str, bool], int], to_local_domain: bool, now: float
    ) -> SummaryDelta:
        """Return the summaries that are newer than those of a peer.

        `known` maps a domain, and whether the summary is a load, to the sequence number
        that the peer holds. Loads that another host relays to the peer are left out.
        """
        loads = [
            held.item._replace(age=max(now - held.measured_at, 0.0))
            for held in self._loads.values()
            if known.get((held.item.domain, True), 0) < held.item.sequence
            and not (to_local_domain and _is_relayed_by_sender(held, now))
        ]
        rosters = [
            held.item
            for held in self._rosters.values()
            if known.get((held.item.domain, False), 0) < held.item.sequence
        ]
        return SummaryDelta(tuple(loads), tuple(rosters))

    def drop_expired(self, now: float) -> None:
        """Drop the domains whose load is older than RETENTION_SECONDS."""
        for domain, held in list(self._loads.items()):
            if now - held.measured_at > RETENTION_SECONDS:
                del self._loads[domain]
                self._rosters.pop(domain, None)

    def rosters(self) -> dict[str, tuple[HostInfo, ...]]:
        """Return the hosts of each known domain."""
        return {name: held.item.hosts for name, held in self._rosters.items()}

    def reachable_hosts(self, domain: str, now: float) -> tuple[HostInfo, ...]:
        """Return the hosts of a domain, none if its load is too old."""
        held = self._loads.get(domain)
        roster = self._rosters.get(domain)
        if roster is None or (held and now - held.measured_at > UNREACHABLE_SECONDS):
            return ()
        return roster.item.hosts

    def spare_slots(self, domain: str, service: str, prior: float, now: float) -> float:
        """Return the estimated spare slots, which decay to `prior` with age."""
        held = self._loads.get(domain)
        if held is None or service_key(service) not in held.item.spare_slots:
            return prior
        weight = 0.5 ** (max(now - held.measured_at, 0.0) / HALF_LIFE_SECONDS)
        return (
            weight * held.item.spare_slots[service_key(service)] + (1 - weight) * prior
        )

    def _store_if_newer(self, table, held: HeldSummary) -> None:
        domain = held.item.domain
        known = table.get(domain)
        if known is not None and known.item.sequence >= held.item.sequence:
            return
        if known is not None or len(table) < MAX_DOMAINS:
            table[domain] = held


def _is_relayed_by_sender(held: HeldSummary, now: float) -> bool:
    return held.from_local_domain and now - held.received_at < RELAY_AFTER_SECONDS


def _is_material(
    item: DomainLoad, spare_slots, total_slots, sheet_version: int
) -> bool:
    if (
        item.sheet_version != sheet_version
        or item.spare_slots.keys() != spare_slots.keys()
    ):
        return True
    return any(
        abs(spare_slots[key] - item.spare_slots[key])
        >= max(CHANGE_SHARE * total_slots[key], 1.0)
        or (spare_slots[key] == 0) != (item.spare_slots[key] == 0)
        for key in spare_slots
    )


def mark_known(known: dict[tuple[str, bool], int], delta: SummaryDelta) -> None:
    """Record in `known` that the peer holds the summaries of a delta."""
    for is_load, items in ((True, delta.loads), (False, delta.rosters)):
        for item in items:
            key = (item.domain, is_load)
            known[key] = max(known.get(key, 0), item.sequence)
