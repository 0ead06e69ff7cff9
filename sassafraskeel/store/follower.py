"""Follows the store and updates the fleet and the host table of a host."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    HistoryLost,
    MalformedDocument,
    PlatformRefused,
    PlatformUnavailable,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.decisions.crash_evidence import CrashEvidence
from sassafraskeel.decisions.fleet import LAPSE_GRACE_SECONDS, Fleet
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.routes import Manifest
from sassafraskeel.decisions.version_history import VersionHistory
from sassafraskeel.store.feed import ChangeFeed
from sassafraskeel.store.interface import (
    NO_ERA,
    UNREAD,
    Change,
    Store,
    StoreRevision,
)
from sassafraskeel.store.reading import StoreReading
from sassafraskeel.store.updates import (
    CrashTableListed,
    CrashTableRemoved,
    DocumentCodec,
    HostListed,
    HostRemoved,
    ManifestAccepted,
    ManifestSource,
    ReplicaListed,
    ReplicaRemoved,
    StoreUpdate,
    VersionsRecorded,
    ZoneEvacuationChanged,
)

# A silent watch is detected after this time plus the grace time of the client (1 s).
# Hosts that follow a coordinator then notice that it is behind, so that a change can
# still be in force within the bound of four seconds.
WATCH_SECONDS = 1.5
# Each watch is a billed call. Waiting after a batch lets the next watch return several
# changes at once.
COALESCE_SECONDS = 0.3
# Between the pages of a long reading changes are read at least this often, within a
# fraction of the bounds for them (4 s).
MAX_UNWATCHED_SECONDS = 1.0
WATCH_WHILE_READING_SECONDS = 0.0
# Hosts that start together register within this time, and would end each other's
# watches.
START_SECONDS = 0.7
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0

OnChange = Callable[[], Awaitable[None]]


class Listed(NamedTuple):
    """The names of what the store has listed since the first page of a reading."""

    replicas: set[str]
    hosts: set[str]
    zones: set[str]
    crash_tables: set[str]

    @classmethod
    def nothing(cls) -> "Listed":
        """Return empty sets."""
        return cls(set(), set(), set(), set())

    def add(self, update: StoreUpdate | None) -> None:
        """Record an update; one that removes something takes effect by itself."""
        if isinstance(update, ReplicaListed):
            self.replicas.add(update.replica.name)
        elif isinstance(update, HostListed):
            self.hosts.add(update.host.name)
        elif isinstance(update, ZoneEvacuationChanged):
            self.zones.add(update.zone)
        elif isinstance(update, CrashTableListed):
            self.crash_tables.add(update.host)


class StoreFollower:
    """Reads the store page by page, then watches it; one watch covers all documents.

    What was read is applied at once. Only what a complete list omits is dropped.
    """

    def __init__(
        self,
        store: Store,
        codec: DocumentCodec,
        fleet: Fleet,
        hosts: HostTable,
        crashes: CrashEvidence,
        versions: VersionHistory,
        clock: Clock,
        log: LogSink,
        on_change: OnChange,
        manifests: ManifestSource,
        on_restore: OnChange,
    ):
        self._store = store
        self._codec = codec
        self._fleet = fleet
        self._hosts = hosts
        self._crashes = crashes
        self._versions = versions
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._manifests = manifests
        self._on_restore = on_restore
        self.manifest_document = b""
        self._revision = UNREAD
        # What is left to be read of the store, None once all of it has been.
        self._reading: StoreReading | None = StoreReading(store, codec.prefixes)
        self._listed = Listed.nothing()
        self._read_at = self._watched_at = float("-inf")
        # Whether what this host needs to serve has been applied, and the manifest that
        # was read before that.
        self._is_usable = False
        self._read_manifest: tuple[Manifest, bytes, StoreRevision] | None = None
        # Whether all that the store listed at the first read has been applied.
        self.has_read_all = False
        self._unlisted_hosts: set[str] = set()
        self._hosts_kept_until = float("-inf")
        self._unavailable = False
        self._hosts.knows_registered = False
        self.feed = ChangeFeed(clock)
        # Up to when the changes have been applied; a page tells nothing of them.
        self.answered_at: float | None = None

    @property
    def era(self) -> int:
        """Return the era of the store's last answer."""
        return self._revision.era

    async def run(self) -> None:
        """Follow the store forever."""
        backoff = RETRY_MIN_SECONDS
        while True:
            try:
                if self._reading is None:
                    await self._watch(WATCH_SECONDS)
                elif self._is_watch_due():
                    self._watched_at = self._clock.monotonic()
                    self._reading.forget_early_pages()
                    await self._watch(WATCH_WHILE_READING_SECONDS)
                else:
                    await self._read_page(self._reading)
                backoff = RETRY_MIN_SECONDS
            except HistoryLost:
                self._log.emit(Event.HISTORY_LOST, **self._revision.log_fields())
                self._reading = StoreReading(self._store, self._codec.prefixes)
                self._listed = Listed.nothing()
            except (PlatformUnavailable, PlatformRefused) as exc:
                self._mark_unavailable(exc)
                await self._clock.sleep(backoff)
                backoff = min(2 * backoff, RETRY_MAX_SECONDS)

    def _is_watch_due(self) -> bool:
        """Return whether changes are to be read before the next page.

        Pages that take long would else delay changes, and outlast the history that the
        store keeps after the first one.
        """
        watched_at = max(self._read_at, self._watched_at)
        now = self._clock.monotonic()
        return self._reading.pages > 0 and now - watched_at >= MAX_UNWATCHED_SECONDS

    async def _read_page(self, reading: StoreReading) -> None:
        started_at = self._clock.monotonic()
        try:
            page = await reading.read_page()
        except (PlatformUnavailable, PlatformRefused):
            self._log_reading(reading)
            raise
        if reading.pages == 1:
            await self._begin_reading(reading.revision, started_at)
            self.answered_at = started_at
        self._record_answer()
        now = self._clock.monotonic()
        for change in page.changes:
            self._listed.add(self._apply(change, now, just_written=False))
        if reading.has_read_hosts:
            self._hosts.knows_registered = True
        has_installed = await self._install_read(reading)
        if reading.is_complete:
            self._finish_reading(page.revision, now)
            self._log_reading(reading)
        if page.changes or has_installed:
            await self._on_change()
        if reading.is_complete:
            await self._clock.sleep(START_SECONDS)

    async def _begin_reading(self, revision: StoreRevision, started_at: float) -> None:
        self._read_at = started_at
        if UNREAD.era < self._revision.era < revision.era:
            await self._handle_restore(revision)
        self._revision = revision
        self._versions.begin_reading(self._clock.monotonic())
        await self.feed.reset(revision)

    async def _install_read(self, reading: StoreReading) -> bool:
        """Install the manifest once a host that starts may serve; return if it did."""
        if self._is_usable or not reading.is_usable:
            return False
        self._is_usable = True
        has_installed = False
        if reading.revision.era != NO_ERA:
            # The store may have been restored to an older manifest than peers have.
            document = await self._manifests.ask(self._hosts.registered())
            has_installed = self._install_document(document)
        if self._read_manifest is not None:
            has_installed |= self._install(*self._read_manifest)
            self._read_manifest = None
        return has_installed

    def _finish_reading(self, revision: StoreRevision, now: float) -> None:
        """Drop what the store does not list."""
        listed = self._listed
        for name in self._fleet.retain(listed.replicas, now):
            self._record_gone(name, revision, now)
        self._fleet.retain_evacuated(listed.zones, now)
        registered = {host.name for host in self._hosts.registered()}
        self._unlisted_hosts = registered - listed.hosts
        self._expire(revision, now)
        if self._hosts.local_host.name not in listed.crash_tables:
            self._crashes.table_removed(self._hosts.local_host.name)
        self._versions.finish_reading(now)
        self._reading, self._listed = None, Listed.nothing()
        self.has_read_all = True

    def _log_reading(self, reading: StoreReading) -> None:
        self._log.emit(
            Event.STORE_READ,
            complete=reading.is_complete,
            usable=self._is_usable,
            pages=reading.pages,
            items=reading.items,
            failures=reading.failures,
            seconds=round(self._clock.monotonic() - self._read_at, 3),
            **reading.revision.log_fields(),
        )

    async def _watch(self, seconds: float) -> None:
        batch = await self._store.watch(self._revision, seconds)
        self.answered_at = self._clock.monotonic() - batch.age
        self._record_answer()
        now = self._clock.monotonic()
        for change in batch.changes:
            update = self._apply(change, now)
            if self._reading is not None:
                self._listed.add(update)
        self._versions.answered(now - batch.age)
        self._expire(batch.revision, now)
        self._revision = max(batch.revision, self._revision)
        await self.feed.add(batch)
        if batch.changes:
            await self._on_change()
            if self._reading is None:
                await self._clock.sleep(COALESCE_SECONDS)

    def _expire(self, revision: StoreRevision, now: float) -> None:
        """Drop what a restored or recovered store has not listed again in time."""
        for name in self._fleet.expire(now):
            self._record_gone(name, revision, now)
        for zone in self._fleet.ended_evacuations(now):
            self._apply_evacuation(ZoneEvacuationChanged(zone, False), revision, now)
        if now >= self._hosts_kept_until:
            for name in self._unlisted_hosts:
                self._unregister(name, revision)
            self._unlisted_hosts.clear()

    def _apply(self, change: Change, now: float, just_written: bool = True):
        """Apply one change; a malformed document leaves the last valid one in force."""
        try:
            update = self._codec.decode(change, now)
        except MalformedDocument as exc:
            self._log.emit(
                Event.DOCUMENT_REJECTED,
                key=change.key,
                detail=str(exc),
                **change.revision.log_fields(),
            )
            return None
        if isinstance(update, ManifestAccepted):
            self._accept_manifest(update, change.revision)
        elif isinstance(update, ZoneEvacuationChanged):
            self._apply_evacuation(update, change.revision, now)
        elif isinstance(update, ReplicaListed | ReplicaRemoved):
            self._apply_replica(update, change.revision, now)
        elif isinstance(update, CrashTableListed):
            self._crashes.merge(update.host, update.table, now)
        elif isinstance(update, CrashTableRemoved):
            self._crashes.table_removed(update.host)
        elif isinstance(update, HostListed):
            self._unlisted_hosts.discard(update.host.name)
            previous = self._hosts.register(update.host, just_written)
            if previous != update.host:
                host = update.host
                self._log_host(host.name, host.incarnation, change.revision)
        elif isinstance(update, HostRemoved):
            self._unregister(update.name, change.revision)
        elif isinstance(update, VersionsRecorded):
            is_valid = update.era == change.revision.era
            self._versions.recorded(update.services if is_valid else {})
        return update

    def _accept_manifest(self, update: ManifestAccepted, revision) -> None:
        """Install a manifest, or keep it until all that it needs has been read."""
        if self._is_usable:
            self._install(update.manifest, update.document, revision)
        else:
            self._read_manifest = (update.manifest, update.document, revision)

    async def apply_document(self, document: bytes, peer: str = "") -> None:
        """Apply the manifest of another host, unless it is older or malformed.

        Without the evacuations and replicas of the store, a host with a manifest must
        not or could not serve.
        """
        if self._is_usable and self._install_document(document, peer):
            await self._on_change()

    def _install_document(self, document: bytes, peer: str = "") -> bool:
        """Return whether the manifest of another host is now in force."""
        if not document:
            return False
        try:
            manifest = self._codec.decode_manifest(document)
        except MalformedDocument as exc:
            self._log.emit(Event.DOCUMENT_REJECTED, peer=peer, detail=str(exc))
            return False
        return self._install(manifest, document, self._revision, source="peer")

    def _install(self, manifest, document, revision, source="store") -> bool:
        if not self._fleet.accept(manifest, self._clock.monotonic()):
            return False
        self.manifest_document = document
        self._log.emit(
            Event.MANIFEST_INSTALLED,
            version=manifest.version,
            routes=len(manifest.routes),
            source=source,
            **revision.log_fields(),
        )
        return True

    def _apply_evacuation(self, update: ZoneEvacuationChanged, revision, now) -> None:
        if self._fleet.set_evacuated(update.zone, update.evacuated, now):
            self._log.emit(
                Event.ZONE_EVACUATION,
                zone=update.zone,
                evacuated=update.evacuated,
                **revision.log_fields(),
            )

    def _apply_replica(self, update: ReplicaListed | ReplicaRemoved, revision, now):
        if isinstance(update, ReplicaRemoved):
            if self._fleet.get(update.name) is None:
                # It was listed and removed again between two answers.
                self._versions.gap(now)
            elif self._fleet.remove(update.name, now):
                self._record_gone(update.name, revision, now)
            return
        replica = update.replica
        if self._fleet.is_outdated(replica):
            self._log.emit(
                Event.REPLICA_OUTDATED,
                replica=replica.name,
                draining=replica.draining,
                sequence=replica.sequence,
                **revision.log_fields(),
            )
            return
        previous = self._fleet.update(replica)
        self._versions.listed(replica, now)
        if previous is None or (previous.started_at_ms, previous.draining) != (
            replica.started_at_ms,
            replica.draining,
        ):
            self._log.emit(
                Event.REPLICA_LISTED,
                replica=replica.name,
                service=replica.service,
                zone=replica.zone,
                draining=replica.draining,
                sequence=replica.sequence,
                cold=replica.cold_until > now,
                **revision.log_fields(),
            )

    def _record_gone(self, name: str, revision: StoreRevision, now: float) -> None:
        self._versions.dropped(name, now)
        self._log.emit(Event.REPLICA_GONE, replica=name, **revision.log_fields())

    def _unregister(self, name: str, revision: StoreRevision) -> None:
        if self._hosts.unregister(name):
            self._log_host(name, "", revision)

    def _log_host(self, name, incarnation, revision) -> None:
        self._log.emit(
            Event.HOST_LISTED,
            name=name,
            incarnation=incarnation,
            **revision.log_fields(),
        )

    async def _handle_restore(self, revision: StoreRevision) -> None:
        """Keep what the copy lacks until it was written again."""
        now = self._clock.monotonic()
        self._fleet.store_restored(now)
        self._hosts_kept_until = now + LAPSE_GRACE_SECONDS
        self._log.emit(
            Event.STORE_RESTORED,
            previous_era=self._revision.era,
            previous_revision=self._revision.number,
            **revision.log_fields(),
        )
        await self._on_restore()

    def _record_answer(self) -> None:
        """Record an answer of the store, which other hosts may have passed on."""
        now = self._clock.monotonic()
        self._fleet.store_answered(now)
        self._hosts.store_answered(now)
        if self._unavailable:
            self._unavailable = False
            self._log.emit(Event.PLATFORM_UP, **self._revision.log_fields())

    def _mark_unavailable(self, exc) -> None:
        self._fleet.store_unreachable(self._clock.monotonic())
        if not self._unavailable:
            self._unavailable = True
            self._log.emit(
                Event.PLATFORM_DOWN,
                detail=str(exc),
                **self._revision.log_fields(),
            )
