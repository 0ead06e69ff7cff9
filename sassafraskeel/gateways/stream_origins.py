"""Tells other hosts at which software version streams began, and asks them for it."""

import math
from collections import Counter, deque
from collections.abc import Iterable, Iterator
from itertools import chain, islice
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError, TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.stream_origins import (
    CONFLICTING,
    OriginLookup,
    StreamOrigin,
    StreamOrigins,
    choose_partner,
    is_valid_id,
)
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.messages import StreamFound, StreamLookup, StreamsBegan
from sassafraskeel.gateways.stream_lookups import StreamLookups
from sassafraskeel.gateways.stream_rows import (
    MAX_ROWS,
    Scope,
    decode_streams,
    encode_streams,
)

FEATURE = "stream-origins"
# The time between two batches of a host, for each host of its region. Streams wait for
# their batch before their first event is handed on, but in longer batches the names of
# origins are sent less often, and a coordinator gets batches of all hosts.
BATCH_SECONDS_PER_HOST = 0.005
MAX_BATCH_SECONDS = 0.1
# A link that takes no messages holds streams back no longer than this.
FLUSH_TIMEOUT_SECONDS = 0.15
MAX_QUEUED = 4096
# A peer that has stopped answering is replaced within this time, and what was sent to
# it meanwhile may be lost.
RESEND_SECONDS = 3.0
# Links are checked for new ones at this interval while nothing is queued.
LINK_CHECK_SECONDS = 1.0
LOOKUP_TIMEOUT_SECONDS = 0.5
# Time for other regions, so that their answers are in time for the host that asks.
REGIONS_TIMEOUT_SECONDS = 0.4


class _Entry(NamedTuple):
    """A stream to be sent; `source` is the host from which it came."""

    stream_id: str
    scope: Scope
    source: str


class _Target(NamedTuple):
    """A host that gets entries, with the scope that other hosts' entries get.

    `own_scope` is for the entries of the local host. An entry whose scope is below
    `min_scope` is not sent.
    """

    link: ControlLink
    own_scope: Scope
    other_scope: Scope
    min_scope: Scope


class StreamOriginExchange:
    """Spreads the origins of streams over the fleet, and looks them up there.

    A host sends its streams to the coordinator of its region, which sends them to its
    standby and to the coordinator of one other region; that one sends them to its own
    standby. Only streams that a receiver did not know are passed on. A lost message
    costs a refusal.

    At MAX_QUEUED entries to be sent, further ones are recorded only; at MAX_LOOKUPS
    lookups under way, further ones find nothing. A host of an earlier version closes a
    link on which it gets an unknown message, so that only peers that name FEATURE in
    their hello get any.

    One task runs `run`. A host that is coordinator or standby sends the other one all
    it knows when the link between them is new, MAX_ROWS in each batch; other targets
    get what was queued within the last RESEND_SECONDS.
    """

    def __init__(
        self,
        links: LinkManager,
        coordination: Coordination,
        hosts: HostTable,
        clock: Clock,
        log: LogSink,
        group: SupervisedTaskGroup,
    ):
        self.origins = StreamOrigins()
        self._links = links
        self._coordination = coordination
        self._hosts = hosts
        self._clock = clock
        self._log = log
        self._queue: list[_Entry] = []
        self._recent: deque[tuple[float, _Entry]] = deque(maxlen=MAX_QUEUED)
        # Entries for links that were not in use before, by the links' serial numbers.
        self._backlogs: dict[int, Iterator[_Entry]] = {}
        self._filled = curio.Event()
        # Set once what is queued at present has been handed to the links.
        self._flushed = curio.Event()
        self.lookups = StreamLookups(self.origins, clock, group)
        self._counts = Counter()

    async def began(self, stream_id: str, origin: StreamOrigin, expires: float) -> None:
        """Record where a stream of the local host began, and queue it for the others.

        `expires` is when it may be forgotten, in monotonic seconds.
        """
        if origin == CONFLICTING:
            return
        now = self._clock.monotonic()
        if self.origins.record(stream_id, origin, expires, now):
            name = self._hosts.local_host.name
            await self._enqueue(_Entry(stream_id, Scope.STANDBY_AND_REGION, name), now)

    async def take_back(self, stream_id: str, expires: float) -> None:
        """Record that the origin of a stream is not known, and tell the others."""
        now = self._clock.monotonic()
        if self.origins.record(stream_id, CONFLICTING, expires, now):
            name = self._hosts.local_host.name
            await self._enqueue(_Entry(stream_id, Scope.STANDBY_AND_REGION, name), now)

    async def wait_flushed(self) -> None:
        """Wait until the queued streams have been handed to the links.

        Returns after FLUSH_TIMEOUT_SECONDS at the latest.
        """
        if not self._queue:
            return
        flushed = self._flushed
        try:
            async with self._clock.timeout(FLUSH_TIMEOUT_SECONDS):
                await flushed.wait()
        except TimedOut:
            return

    async def find(self, stream_id: str) -> OriginLookup:
        """Return where a stream began, as far as the hosts know that can be asked.

        Returns within LOOKUP_TIMEOUT_SECONDS.
        """
        if not is_valid_id(stream_id):
            return OriginLookup(None)
        now = self._clock.monotonic()
        record = self.origins.get(stream_id, now)
        if record is not None:
            return self._count(OriginLookup(record.origin), "local")
        links, region_links = self._region_links(now), self._other_regions_links(now)
        message = StreamLookup(stream_id, other_regions=True)
        reply = await self.lookups.ask(
            message, links, region_links, LOOKUP_TIMEOUT_SECONDS
        )
        lookup = OriginLookup(reply.record and reply.record.origin, reply.count)
        if lookup.origin in (None, CONFLICTING):
            self._log.emit(
                Event.STREAM_ORIGIN_UNKNOWN,
                stream=stream_id,
                cause="unknown" if lookup.origin is None else "conflicting",
                asked=" ".join(link.peer.name for link in (*links, *region_links)),
            )
        in_region = reply.region == self._local_region()
        return self._count(lookup, "region" if in_region else "other_region")

    def _count(self, lookup: OriginLookup, found_in: str) -> OriginLookup:
        is_known = lookup.origin not in (None, CONFLICTING)
        self._counts[found_in if is_known else "unknown"] += 1
        return lookup

    def gauges(self) -> dict[str, float]:
        """Return the values of the metrics."""
        counts = self._counts
        return {
            "stream_origins": len(self.origins),
            "stream_origins_unsent": counts["unsent"],
            "stream_lookups_local": counts["local"],
            "stream_lookups_region": counts["region"],
            "stream_lookups_other_region": counts["other_region"],
            "stream_lookups_unknown": counts["unknown"],
        }

    async def record_streams(self, peer: HostInfo, message: StreamsBegan) -> None:
        """Record the streams that a peer names, and pass on those that are new."""
        now = self._clock.monotonic()
        scope, rows = decode_streams(message, now)
        if self._hosts.region_of(peer) != self._local_region():
            scope = min(scope, Scope.STANDBY)
        for stream_id, record in rows:
            changed = self.origins.record(stream_id, *record, now)
            if changed and scope is not Scope.RECORD:
                await self._enqueue(_Entry(stream_id, scope, peer.name), now)
        # A peer that sends without a pause would keep all other tasks waiting.
        await curio.sleep(0)

    async def answer(self, peer: HostInfo, message: StreamLookup) -> StreamFound:
        """Return what this host knows of a stream, or what other regions know."""
        now = self._clock.monotonic()
        record, region = self.origins.get(message.stream_id, now), self._local_region()
        if record is None and message.other_regions and is_valid_id(message.stream_id):
            links = self._other_regions_links(now)
            wanted = message._replace(other_regions=False)
            reply = await self.lookups.ask(wanted, [], links, REGIONS_TIMEOUT_SECONDS)
            record, region, now = reply.record, "", self._clock.monotonic()
        if record is None or record.expires <= now:
            return StreamFound(*CONFLICTING, 0, "")
        return StreamFound(*record.origin, math.ceil(record.expires - now), region)

    async def run(self) -> None:
        """Send queued streams in batches; never returns."""
        while True:
            try:
                async with self._clock.timeout(LINK_CHECK_SECONDS):
                    await self._filled.wait()
            except TimedOut:
                pass  # Links may be new.
            self._filled.clear()
            now = self._clock.monotonic()
            await self._flush(self._targets(now), now)
            await self._clock.sleep(self._batch_seconds(now))

    def _batch_seconds(self, now: float) -> float:
        hosts = len(self._hosts.region_peers(now)) + 1
        return min(BATCH_SECONDS_PER_HOST * hosts, MAX_BATCH_SECONDS)

    async def _enqueue(self, entry: _Entry, now: float) -> None:
        if len(self._queue) >= MAX_QUEUED:
            self._counts["unsent"] += 1
            return
        self._queue.append(entry)
        self._recent.append((now, entry))
        await self._filled.set()

    async def _flush(self, targets: list[_Target], now: float) -> None:
        self._add_backlogs(targets, now)
        queue, self._queue = self._queue, []
        flushed, self._flushed = self._flushed, curio.Event()
        for target in targets:
            backlog = list(islice(self._backlogs[target.link.serial], MAX_ROWS))
            if len(backlog) == MAX_ROWS:
                await self._filled.set()
            for message in self._messages(target, backlog + queue, now):
                try:
                    await target.link.notify(message)
                except SassafraskeelError:
                    break  # The link manager logs the loss; a new link gets a backlog.
                # To encode a message of MAX_ROWS takes about a millisecond.
                await curio.sleep(0)
        await flushed.set()

    def _messages(
        self, target: _Target, entries: list[_Entry], now: float
    ) -> Iterable[StreamsBegan]:
        local, receiver = self._hosts.local_host.name, target.link.peer.name
        ids: dict[Scope, dict[str, None]] = {}
        for entry in entries:
            if entry.scope >= target.min_scope and entry.source != receiver:
                own = entry.source == local
                scope = target.own_scope if own else target.other_scope
                ids.setdefault(scope, {})[entry.stream_id] = None
        for scope, names in ids.items():
            remaining = iter(names)
            while batch := list(islice(remaining, MAX_ROWS)):
                records = {name: self.origins.get(name, now) for name in batch}
                message = encode_streams(scope, records, now)
                if message.groups:
                    yield message

    def _add_backlogs(self, targets: list[_Target], now: float) -> None:
        backlogs = {}
        for target in targets:
            serial = target.link.serial
            known = self._backlogs.get(serial)
            backlogs[serial] = known or self._new_backlog(target, now)
        self._backlogs = backlogs

    def _new_backlog(self, target: _Target, now: float) -> Iterator[_Entry]:
        """Return what a host that has just become a target may lack."""
        queued = set(self._queue)
        recent = [
            entry
            for queued_at, entry in self._recent
            if now - queued_at <= RESEND_SECONDS and entry not in queued
        ]
        candidates = self._coordination.candidates(self._local_region(), now)
        pair = {self._hosts.local_host.name, target.link.peer.name}
        if not pair <= {host.name for host in candidates}:
            return iter(recent)
        ids = self.origins.ids()
        return chain(recent, (_Entry(stream_id, Scope.RECORD, "") for stream_id in ids))

    def _targets(self, now: float) -> list[_Target]:
        """Return the coordinator, or the hosts to which this coordinator sends."""
        record, relay = Scope.RECORD, Scope.STANDBY_AND_REGION
        upstream = self._upstream(now)
        if upstream is not None:
            return [_Target(upstream, relay, record, record)]
        targets = [
            _Target(link, record, record, record) for link in self._region_links(now)
        ]
        others = self._other_regions_links(now)
        by_region = {self._hosts.region_of(link.peer): link for link in others}
        if by_region:
            partner = by_region[choose_partner(self._local_region(), list(by_region))]
            targets.append(_Target(partner, Scope.STANDBY, Scope.STANDBY, relay))
        return targets

    def _upstream(self, now: float) -> ControlLink | None:
        """Return the link to the coordinator, or to its standby without one.

        It is None if the local host coordinates, or has to because it reaches neither.
        While it drains, the other hosts of the region use the next coordinator.
        """
        local_host = self._hosts.local_host
        first = self._coordination.candidates(self._local_region(), now)[0]
        drains = self._hosts.draining_since(local_host) is not None
        links = self._region_links(now)
        if not links or (first.name == local_host.name and not drains):
            return None
        return links[0]

    def _region_links(self, now: float) -> list[ControlLink]:
        """Return the links to the coordinator and to its standby, in this order."""
        return self._usable(self._coordination.candidates(self._local_region(), now))

    def _other_regions_links(self, now: float) -> list[ControlLink]:
        """Return the links to coordinators of other regions; only one has any."""
        coordinators = [
            self._coordination.candidates(region, now)[:1]
            for region in self._hosts.regions(now)
        ]
        return self._usable([host for hosts in coordinators for host in hosts])

    def _usable(self, hosts: list[HostInfo]) -> list[ControlLink]:
        return [
            link
            for host in hosts
            if (link := self._links.link(host.name)) is not None
            and link.peer.incarnation == host.incarnation
            and FEATURE in link.features
        ]

    def _local_region(self) -> str:
        return self._hosts.region_of(self._hosts.local_host)
