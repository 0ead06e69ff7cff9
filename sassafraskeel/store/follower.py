"""The task that follows the store and keeps a host's beliefs current."""

from collections.abc import Awaitable, Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    HistoryLost,
    MalformedDocument,
    PlatformRefused,
    PlatformUnavailable,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.decisions.fleet import Fleet
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.store.client import Change, Page, Store
from sassafraskeel.store.facts import (
    Decoder,
    HostListed,
    HostRemoved,
    ManifestAccepted,
    ReplicaListed,
    ReplicaRemoved,
    ZoneEvacuated,
)

# A watch that went silent is noticed after this and the client's grace, which leaves
# time for a change to be in force within the bound of four seconds.
WATCH_SECONDS = 2.5
# Each change wakes the watch of each host, and a watch is a priced call; changes
# that come together are taken by the next watch together.
COALESCE_SECONDS = 0.3
RETRY_MIN_SECONDS = 0.1
RETRY_MAX_SECONDS = 1.0

OnChange = Callable[[], Awaitable[None]]


class StoreFollower:
    """Reads the store whole, then watches it; one watch serves all documents."""

    def __init__(
        self,
        store: Store,
        decoder: Decoder,
        fleet: Fleet,
        hosts: HostTable,
        clock: Clock,
        log: LogSink,
        on_change: OnChange,
    ):
        self._store = store
        self._decoder = decoder
        self._fleet = fleet
        self._hosts = hosts
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._as_of = 0
        self._silent = False
        self.answered_at: float | None = None

    async def run(self) -> None:
        """Follow the store; never returns."""
        backoff = RETRY_MIN_SECONDS
        whole = True
        while True:
            try:
                if whole:
                    await self._read_all()
                    whole = False
                else:
                    await self._watch()
                backoff = RETRY_MIN_SECONDS
            except HistoryLost:
                self._log.emit(Event.HISTORY_LOST, revision=self._as_of)
                whole = True
            except (PlatformUnavailable, PlatformRefused) as exc:
                self._note_silence(exc)
                await self._clock.sleep(backoff)
                backoff = min(2 * backoff, RETRY_MAX_SECONDS)

    async def _read_all(self) -> None:
        page = await self._store.read_all()
        self._note_answer()
        now = self._clock.monotonic()
        replicas, hosts, zones = set(), set(), set()
        for change in page.changes:
            fact = self._apply(change, now)
            if isinstance(fact, ReplicaListed):
                replicas.add(fact.replica.name)
            elif isinstance(fact, HostListed):
                hosts.add(fact.host.name)
            elif isinstance(fact, ZoneEvacuated):
                zones.add(fact.zone)
        for name in self._fleet.retain(replicas, now):
            self._log.emit(Event.REPLICA_GONE, replica=name, revision=page.as_of)
        for zone in self._fleet.evacuated - zones:
            self._apply_evacuation(ZoneEvacuated(zone, False), page.as_of, now)
        self._hosts.retain(hosts)
        await self._finish(page)

    async def _watch(self) -> None:
        page = await self._store.watch(self._as_of, WATCH_SECONDS)
        self._note_answer()
        now = self._clock.monotonic()
        for change in page.changes:
            self._apply(change, now)
        for name in self._fleet.expire(now):
            self._log.emit(Event.REPLICA_GONE, replica=name, revision=page.as_of)
        await self._finish(page)
        if page.changes:
            await self._clock.sleep(COALESCE_SECONDS)

    async def _finish(self, page: Page) -> None:
        self._as_of = max(page.as_of, self._as_of)
        if page.changes:
            await self._on_change()

    def _apply(self, change: Change, now: float):
        """Take one change over; a malformed one leaves the last good state."""
        try:
            fact = self._decoder.decode(change, now)
        except MalformedDocument as exc:
            self._log.emit(
                Event.DOCUMENT_REJECTED,
                key=change.key,
                revision=change.revision,
                detail=str(exc),
            )
            return None
        if isinstance(fact, ManifestAccepted):
            if self._fleet.accept(fact.manifest):
                self._log.emit(
                    Event.MANIFEST_INSTALLED,
                    version=fact.manifest.version,
                    revision=change.revision,
                    routes=len(fact.manifest.routes),
                )
        elif isinstance(fact, ZoneEvacuated):
            self._apply_evacuation(fact, change.revision, now)
        elif isinstance(fact, ReplicaListed | ReplicaRemoved):
            self._apply_replica(fact, change.revision, now)
        elif isinstance(fact, HostListed):
            known = self._hosts.register(fact.host)
            if known != fact.host:
                self._log_host(fact.host.name, fact.host.incarnation, change)
        elif isinstance(fact, HostRemoved) and self._hosts.unregister(fact.name):
            self._log_host(fact.name, "", change)
        return fact

    def _apply_evacuation(self, fact: ZoneEvacuated, revision, now) -> None:
        if self._fleet.set_evacuated(fact.zone, fact.evacuated, now):
            self._log.emit(
                Event.ZONE_EVACUATION,
                zone=fact.zone,
                evacuated=fact.evacuated,
                revision=revision,
            )

    def _apply_replica(self, fact: ReplicaListed | ReplicaRemoved, revision, now):
        if isinstance(fact, ReplicaRemoved):
            if self._fleet.remove(fact.name, now):
                self._log.emit(Event.REPLICA_GONE, replica=fact.name, revision=revision)
            return
        replica = fact.replica
        known = self._fleet.update(replica)
        if known is None or (known.started_at_ms, known.draining) != (
            replica.started_at_ms,
            replica.draining,
        ):
            self._log.emit(
                Event.REPLICA_LISTED,
                replica=replica.name,
                service=replica.service,
                zone=replica.zone,
                draining=replica.draining,
                cold=replica.cold_until > now,
                revision=revision,
            )

    def _log_host(self, name, incarnation, change) -> None:
        self._log.emit(
            Event.HOST_LISTED,
            name=name,
            incarnation=incarnation,
            revision=change.revision,
        )

    def _note_answer(self) -> None:
        now = self._clock.monotonic()
        self.answered_at = now
        self._fleet.store_answered(now)
        self._hosts.store_answered(now)
        if self._silent:
            self._silent = False
            self._log.emit(Event.PLATFORM_UP, revision=self._as_of)

    def _note_silence(self, exc) -> None:
        self._fleet.store_unreachable(self._clock.monotonic())
        if not self._silent:
            self._silent = True
            self._log.emit(Event.PLATFORM_DOWN, detail=str(exc), revision=self._as_of)
