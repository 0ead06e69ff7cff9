"""State from the platform's store: manifest, replicas and evacuated zones."""

from typing import NamedTuple

from sassafraskeel.core.net import Address
from sassafraskeel.decisions.routes import Manifest, RouteTable, ServiceSpec

# Live replicas restore entries that lapsed during an outage of the store within two
# seconds of its recovery. A replica whose entry is missing for longer is gone.
LAPSE_GRACE_SECONDS = 2.2
# A shorter gap between two answers of the store lets no entry lapse: replicas write
# their entries about every second, and an entry lapses after three missed intervals.
OUTAGE_SECONDS = 1.0
# More than twice the replicas of the plan.
MAX_REPLICAS = 4096
# Replicas that left, remembered so that a copy of the store does not bring them back.
MAX_DEPARTED = 1024
# Evacuated zones that are not in the settings of the host.
MAX_UNKNOWN_ZONES = 256
UNKNOWN_SEQUENCE = -1
# Begins the versions that stand for entries without a usable one.
UNVERSIONED_PREFIX = "\0"


class Replica(NamedTuple):
    """The entry of a replica in the store, for one run of the replica.

    `started_at_ms` is the start of the run in Unix milliseconds, and `sequence` rises
    with each entry of a run; 0 and UNKNOWN_SEQUENCE stand for unknown. `cold_until` and
    `terminates_at` are in monotonic seconds; `terminates_at` is set when the platform
    reclaims the replica at short notice. `software_version` equals no other one if the
    entry names none.
    """

    name: str
    started_at_ms: int
    service: str
    zone: str
    address: Address
    slots: int
    draining: bool
    cold_until: float = 0.0
    terminates_at: float | None = None
    sequence: int = UNKNOWN_SEQUENCE
    software_version: str = ""

    @property
    def logged_version(self) -> str:
        """Return the software version as it is logged."""
        return printable_version(self.software_version)


def printable_version(version: str) -> str:
    """Return a software version without characters that logs have to escape."""
    if version.startswith(UNVERSIONED_PREFIX):
        return version.replace(UNVERSIONED_PREFIX, "unversioned:", 1)
    return version


class VersionChange(NamedTuple):
    """The entry of a replica's former run, and when one with other software started.

    `started_at_ms` is in Unix milliseconds, 0 if it is not known.
    """

    former: Replica
    started_at_ms: int


class Fleet:
    """The manifest in force, the replicas and the evacuated zones.

    A replica whose entry lapsed during an outage of the store, or is missing after the
    store was restored from a copy, stays in use for LAPSE_GRACE_SECONDS. So does an
    evacuation that is missing after a restore. At most MAX_REPLICAS replicas are kept,
    and the evacuations of MAX_UNKNOWN_ZONES zones that are in no region; further ones
    are ignored.
    """

    def __init__(self, regions: dict[str, str]):
        self._regions = regions
        self._replicas: dict[str, Replica] = {}
        self._evacuated: set[str] = set()
        self._evacuated_until: dict[str, float] = {}
        self._missing_until: dict[str, float] = {}
        self._departed: dict[str, Replica] = {}
        self._suspected_cold_until: dict[str, float] = {}
        self._unreachable_since: float | None = None
        self._recovered_at: float | None = None
        self._restored_at: float | None = None
        self.table: RouteTable | None = None
        self._version_changes: list[VersionChange] = []
        # Incremented when the set of replicas that take new work may have changed.
        self.changes = 0

    @property
    def version(self) -> int:
        """Return the version of the manifest in force, or 0 before the first one."""
        return self.table.manifest.version if self.table else 0

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the zones that get no new work."""
        return frozenset(self._evacuated)

    def region_of(self, zone: str) -> str:
        """Return the region of a zone, or "" for an unknown zone."""
        return self._regions.get(zone, "")

    def service(self, name: str) -> ServiceSpec | None:
        """Return the service's entry in the manifest, or None."""
        return self.table.manifest.services.get(name) if self.table else None

    def kv_cache_tokens(self, name: str) -> int:
        """Return the size of a replica's KV cache in tokens, 0 if it has none."""
        replica = self._replicas.get(name)
        spec = self.service(replica.service) if replica else None
        return spec.engine.kv_cache_tokens if spec and spec.engine else 0

    def accept(self, manifest: Manifest, now: float) -> bool:
        """Install a manifest; return False if it is not newer than the one in force."""
        if manifest.version <= self.version:
            return False
        self.table = RouteTable(manifest, self.table, now)
        self.changes += 1
        return True

    def set_evacuated(self, zone: str, evacuated: bool, now: float) -> bool:
        """Start or end the evacuation of a zone; return whether that changed anything.

        When the evacuation ends, the replicas of the zone may have become cold.
        """
        self.changes += 1
        self._evacuated_until.pop(zone, None)
        if evacuated:
            if zone in self._evacuated or not self._has_room(zone):
                return False
            self._evacuated.add(zone)
            return True
        if zone not in self._evacuated:
            return False
        self._evacuated.discard(zone)
        for replica in self._replicas.values():
            if replica.zone == zone:
                self.mark_cold(replica.name, now)
        return True

    def _has_room(self, zone: str) -> bool:
        """Return whether the evacuation of a zone can be kept."""
        if zone in self._regions:
            return True
        unknown = self._evacuated - self._regions.keys()
        return len(unknown) < MAX_UNKNOWN_ZONES

    def retain_evacuated(self, zones: set[str], now: float) -> None:
        """Let the evacuations end that a complete list omits; see `ended_evacuations`.

        After a restore they last until operators have had time to write them again.
        """
        end = now
        if self._restored_at is not None:
            end = self._restored_at + LAPSE_GRACE_SECONDS
        for zone in self._evacuated - zones:
            self._evacuated_until[zone] = end

    def ended_evacuations(self, now: float) -> list[str]:
        """Return the evacuated zones whose evacuation was not written again in time."""
        return [zone for zone, until in self._evacuated_until.items() if now >= until]

    def is_outdated(self, replica: Replica) -> bool:
        """Return whether an entry is older than the latest one of a replica or its run.

        A store that was restored from a copy lists such entries.
        """
        known = self._replicas.get(replica.name)
        latest = known or self._departed.get(replica.name)
        if latest is None or not replica.started_at_ms:
            return False
        if replica.started_at_ms != latest.started_at_ms:
            return replica.started_at_ms < latest.started_at_ms
        if replica.sequence == UNKNOWN_SEQUENCE:
            return False
        if known is None:
            return replica.sequence <= latest.sequence
        return replica.sequence < latest.sequence

    def update(self, replica: Replica) -> Replica | None:
        """Store the entry of a replica; return the previous one, or None."""
        known = self._replicas.get(replica.name)
        if known is None and len(self._replicas) >= MAX_REPLICAS:
            return None
        self._missing_until.pop(replica.name, None)
        self._departed.pop(replica.name, None)
        self.changes += 1
        if known is not None and known.started_at_ms != replica.started_at_ms:
            self._suspected_cold_until.pop(replica.name, None)
            if known.software_version != replica.software_version:
                change = VersionChange(known, replica.started_at_ms)
                self._version_changes.append(change)
                del self._version_changes[:-MAX_REPLICAS]
        self._replicas[replica.name] = replica
        return known

    def take_version_changes(self) -> list[VersionChange]:
        """Return the replicas that started again with other software since the last
        call, at most MAX_REPLICAS.
        """
        changes, self._version_changes = self._version_changes, []
        return changes

    def remove(self, name: str, now: float) -> bool:
        """Handle the removal of an entry; return whether the replica was dropped.

        During the grace period after an outage, the replica is kept for the rest of
        the period.
        """
        if name not in self._replicas:
            return False
        grace_end = self._grace_end()
        if grace_end is not None and now < grace_end:
            self._missing_until[name] = grace_end
            self.changes += 1
            return False
        self._departed.pop(name, None)
        self._departed[name] = self._replicas[name]
        if len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]
        self._drop(name)
        return True

    def retain(self, names: set[str], now: float) -> list[str]:
        """Remove the replicas that a complete list omits; return the names dropped."""
        return [
            name
            for name in list(self._replicas)
            if name not in names and self.remove(name, now)
        ]

    def expire(self, now: float) -> list[str]:
        """Drop replicas whose entries were not restored in time; return their names."""
        gone = [name for name, until in self._missing_until.items() if now >= until]
        for name in gone:
            self._drop(name)
        return gone

    def store_unreachable(self, now: float) -> None:
        """Record that the store does not answer."""
        if self._unreachable_since is None:
            self._unreachable_since = now

    def store_answered(self, now: float) -> None:
        """Record an answer of the store."""
        if self._unreachable_since is None:
            return
        if now - self._unreachable_since >= OUTAGE_SECONDS:
            self._recovered_at = now
        self._unreachable_since = None

    def store_restored(self, now: float) -> None:
        """Record that the store was restored, with or without a noticed outage."""
        self._recovered_at = self._restored_at = now

    def mark_cold(self, name: str, now: float) -> None:
        """Treat a replica as cold from now on, because it may have restarted."""
        replica = self._replicas.get(name)
        spec = self.service(replica.service) if replica else None
        if spec is not None and spec.cold_rate:
            self._suspected_cold_until[name] = now + spec.cold_seconds

    def is_cold(self, replica: Replica, now: float) -> bool:
        """Return whether a replica is limited to the cold rate of its service."""
        spec = self.service(replica.service)
        if spec is None or not spec.cold_rate:
            return False
        return now < max(
            replica.cold_until, self._suspected_cold_until.get(replica.name, 0.0)
        )

    def reports_cold(self, replica: Replica, now: float) -> bool:
        """Return whether a replica reported that it is cold."""
        return now < replica.cold_until

    def suspected_cold(self, now: float) -> list[Replica]:
        """Return the replicas that may be cold but have not reported it."""
        return [
            replica
            for name, until in self._suspected_cold_until.items()
            if now < until and (replica := self._replicas.get(name)) is not None
        ]

    def mark_warm(self, name: str) -> None:
        """Record that a replica reported that it is not cold."""
        self._suspected_cold_until.pop(name, None)

    def get(self, name: str) -> Replica | None:
        """Return a replica by name, whether or not it takes new work."""
        return self._replicas.get(name)

    def accepts_work(self, replica: Replica, now: float) -> bool:
        """Return whether a replica takes new work, according to the store."""
        known = self._replicas.get(replica.name)
        if known is None or known.started_at_ms != replica.started_at_ms:
            return False
        if known.software_version != replica.software_version:
            # Entries that do not name the start of their run are of several runs.
            return False
        if known.draining or known.zone in self._evacuated:
            return False
        return now < self._missing_until.get(replica.name, now + 1)

    def replicas(self, service: str, now: float) -> list[Replica]:
        """Return the replicas of a service that take new work."""
        return [
            replica
            for replica in self._replicas.values()
            if replica.service == service and self.accepts_work(replica, now)
        ]

    def by_region(self, service: str, now: float) -> dict[str, list[Replica]]:
        """Return the replicas of a service that take new work, by region."""
        regions: dict[str, list[Replica]] = {}
        for replica in self.replicas(service, now):
            regions.setdefault(self.region_of(replica.zone), []).append(replica)
        return regions

    def names(self) -> set[str]:
        """Return the names of all known replicas."""
        return set(self._replicas)

    def _grace_end(self) -> float | None:
        if self._recovered_at is None:
            return None
        return self._recovered_at + LAPSE_GRACE_SECONDS

    def _drop(self, name: str) -> None:
        self.changes += 1
        self._replicas.pop(name, None)
        self._missing_until.pop(name, None)
        self._suspected_cold_until.pop(name, None)
