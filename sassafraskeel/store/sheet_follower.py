"""Follows the sheet in the key-value service."""

import random
from collections.abc import Awaitable, Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    InvalidInput,
    ProtocolError,
    SassafraskeelError,
    SheetConflict,
    SheetTextMissing,
    TimedOut,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.settings import PlatformSection
from sassafraskeel.decisions.membership import Liveness, Membership
from sassafraskeel.decisions.precedence import (
    HeadAction,
    count_domain_hosts,
    decide_head_action,
    is_store_watcher,
    merge_lineages,
)
from sassafraskeel.sheets.installed import NO_STAMP, InstalledSheet
from sassafraskeel.sheets.parse import parse_sheet
from sassafraskeel.sheets.plan import find_moved_homes
from sassafraskeel.store.key_value import KeyValueStore
from sassafraskeel.store.sheet_store import (
    HEAD_KEY,
    Publication,
    SheetHead,
    apply_head_delta,
    publish_sheet,
    read_head,
    read_text,
)

# Multiplied by the number of hosts in the failure domain, so that the rate of calls
# to the store grows with the number of domains and not with the number of hosts.
FALLBACK_READ_SECONDS = 30.0
WATCH_GRACE_SECONDS = 0.5
# A host that starts waits this long for the sheet of a peer before it uses that of the
# store, which may just have been restored to an older one.
PEER_SHEET_WAIT_SECONDS = 1.0
PEER_SHEET_POLL_SECONDS = 0.05
# Upper bound of a random delay before a write, since several domains may notice a
# restored store at the same time.
PUBLISH_SPREAD_SECONDS = 0.5


class SheetFollower:
    """Installs the sheet that the head names, in one task.

    One host of a failure domain watches the head, and the others read it rarely.
    """

    def __init__(
        self,
        cfg: PlatformSection,
        store: KeyValueStore,
        installed: InstalledSheet,
        membership: Membership,
        clock: Clock,
        rng: random.Random,
        log: LogSink,
        announce: Callable[[], Awaitable[None]],
    ):
        self._cfg = cfg
        self._store = store
        self._installed = installed
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._log = log
        self._announce = announce
        self._available = True
        self._unreadable_stamp = NO_STAMP

    async def run(self) -> None:
        """Follow the head forever."""
        await self._wait_for_peer_sheet()
        while True:
            try:
                head = await read_head(self._store)
                await self._reconcile(head)
                self._mark_available()
                if self._is_watcher():
                    await self._watch(head)
                else:
                    await self._wait_for_fallback_read()
            except SassafraskeelError as exc:
                self._mark_unavailable(exc)
                await self._clock.sleep(self._interval)

    async def _wait_for_peer_sheet(self) -> None:
        expires = self._clock.monotonic() + PEER_SHEET_WAIT_SECONDS
        while not self._installed.version and self._clock.monotonic() < expires:
            await self._clock.sleep(PEER_SHEET_POLL_SECONDS)

    @property
    def _interval(self) -> float:
        return self._cfg.poll_interval.total_seconds()

    def _live_hosts(self):
        now = self._clock.monotonic()
        return [
            member.info
            for member in self._membership.members()
            if self._membership.liveness(member.info.name, now) is Liveness.LIVE
        ]

    def _is_watcher(self) -> bool:
        return is_store_watcher(self._membership.local_host, self._live_hosts())

    async def _watch(self, head: SheetHead) -> None:
        """Wait for a change, at most until the next read of the head is due.

        The caller reads the head after each watch, because a watch can stay silent
        and because the revision of a restored store is lower than the watched one.
        """
        started = self._clock.monotonic()
        try:
            async with self._clock.timeout(self._interval + WATCH_GRACE_SECONDS):
                entry = await self._store.watch(HEAD_KEY, head.revision, self._interval)
        except TimedOut:
            self._log.emit(Event.PLATFORM_WATCH_SILENT, key=HEAD_KEY)
            return
        if entry.revision == head.revision:
            remaining = self._interval - (self._clock.monotonic() - started)
            await self._clock.sleep(remaining)

    async def _wait_for_fallback_read(self) -> None:
        """Wait until the next fallback read, or until the local host has to watch."""
        started = self._clock.monotonic()
        while not self._is_watcher():
            count = count_domain_hosts(self._membership.local_host, self._live_hosts())
            if self._clock.monotonic() - started >= FALLBACK_READ_SECONDS * count:
                return
            await self._clock.sleep(self._interval)

    async def _reconcile(self, head: SheetHead) -> None:
        action = self._decide_action(head)
        if action is HeadAction.INSTALL:
            await self._install(head)
        elif action is not HeadAction.KEEP:
            await self._clock.sleep(PUBLISH_SPREAD_SECONDS * self._rng.random())
            head = await read_head(self._store)
            action = self._decide_action(head)
            if action in (HeadAction.REPUBLISH, HeadAction.RENUMBER):
                await self._republish(head, action)

    def _decide_action(self, head: SheetHead) -> HeadAction:
        head_stamp = head.stamp if head.version else None
        return decide_head_action(self._installed.lineage, head_stamp, head.again)

    async def _install(self, head: SheetHead) -> None:
        if not self._installed.should_install(*head.stamp):
            return
        try:
            text = await self._fetch_text(head)
        except SheetTextMissing as exc:
            if self._unreadable_stamp != head.stamp:
                self._unreadable_stamp = head.stamp
                self._log.emit(Event.SHEET_TEXT_MISSING, detail=str(exc))
            return
        if self._installed.install(head.version, text, "platform", head.lineage):
            await self._announce()

    async def _fetch_text(self, head: SheetHead) -> str:
        base = self._installed.text_of(head.base) if head.base else None
        if base is not None:
            try:
                return apply_head_delta(head, base)
            except ProtocolError as exc:
                self._log.emit(Event.SHEET_DELTA_FAILED, detail=str(exc))
        return await read_text(self._store, head)

    async def _republish(self, head: SheetHead, action: HeadAction) -> None:
        current = self._installed.current
        lineage = merge_lineages(head.lineage, self._installed.lineage)
        text, version = current.text, current.version
        event = Event.SHEET_PUBLISHED_AGAIN
        if action is HeadAction.RENUMBER:
            version = current.version + 1
            accepted = await self._fetch_acceptable_text(head)
            if accepted is not None:
                text, event = accepted, Event.SHEET_RENUMBERED
        try:
            written = await publish_sheet(
                self._store, head, version, Publication(text, lineage)
            )
        except SheetConflict:
            return  # Another host or an operator wrote first; the next read returns it.
        self._log.emit(event, found=head.version, version=written.version)
        if self._installed.install(written.version, text, "platform", lineage):
            await self._announce()

    async def _fetch_acceptable_text(self, head: SheetHead) -> str | None:
        """Return the text accepted after a restore, or None if it cannot be used."""
        try:
            text = await read_text(self._store, head)
            sheet = parse_sheet(text, f"version {head.version}")
        except (SheetTextMissing, InvalidInput) as exc:
            self._log.emit(Event.SHEET_TEXT_MISSING, detail=str(exc))
            return None
        moves = find_moved_homes(self._installed.current, sheet)
        if moves:
            # With two owners, an order could run twice.
            self._log.emit(Event.SHEET_MOVES_HOME, detail="; ".join(moves[:3]))
            return None
        return text

    def _mark_available(self) -> None:
        if not self._available:
            self._log.emit(Event.PLATFORM_UP)
        self._available = True

    def _mark_unavailable(self, exc: SassafraskeelError) -> None:
        if self._available:
            self._log.emit(Event.PLATFORM_DOWN, detail=str(exc))
        self._available = False
