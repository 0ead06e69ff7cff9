"""Following the store through the coordinator: its client and its server."""

from collections.abc import Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    HistoryLost,
    PlatformUnavailable,
    ProtocolError,
    Reason,
    SassafraskeelError,
    not_run_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import HostInfo
from sassafraskeel.gateways.codec import MAX_MESSAGE_BYTES, decode_field
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.forwarding import refusal_to_message
from sassafraskeel.gateways.messages import FeedChanges, FeedRequest, Refuse
from sassafraskeel.store.feed import ChangeFeed
from sassafraskeel.store.interface import (
    Change,
    ChangeBatch,
    Lease,
    Page,
    Store,
    StoreRevision,
)

# A request without changes is answered after this time, which shows that the feed
# works.
FEED_WAIT_SECONDS = 1.0
FEED_TIMEOUT_SECONDS = 1.8
# The store answers the watch of the coordinator every 1.5 s at the latest. With an
# older answer, the coordinator may have lost the store.
MAX_FEED_AGE_SECONDS = 1.9
# After a failure of the feed, the store is followed directly for this long.
DIRECT_SECONDS = 2.0
# While the store turns the local host away, it is asked again after this time.
RELAYED_SECONDS = 1.0
FIRST_WATCH_SECONDS = 0.1
# Changes in one message; the rest follows with the next request.
MAX_FEED_CHANGES = 256
MAX_FEED_BYTES = 512 * 1024
# All changes of a revision are in one message, as a whole manifest. A message that is
# longer than MAX_MESSAGE_BYTES would end the link.
MAX_REVISION_BYTES = MAX_MESSAGE_BYTES - 64 * 1024
HISTORY_LOST_DETAIL = "history lost"


class FeedStore:
    """Implements Store; watches go through the coordinator while its feed works.

    Each change of the store ends every watch, and each watch is a billed call, so only
    the coordinators watch the store itself. All other calls go to the store.
    `coordinator_link` returns the link to the coordinator, or None if the local host
    coordinates its region or has no link.

    The store may turn some hosts away while it serves others. Then the hosts at the
    ends of `other_links` are asked, and answer if the store answers them.
    """

    def __init__(
        self,
        store: Store,
        coordinator_link: Callable[[], ControlLink | None],
        other_links: Callable[[], list[ControlLink]],
        clock: Clock,
        log: LogSink,
    ):
        self._store = store
        self._coordinator_link = coordinator_link
        self._other_links = other_links
        self._clock = clock
        self._log = log
        self._direct_until = 0.0
        self._relayed_until = 0.0
        self._relaying_host = ""
        self._follows_coordinator = False

    @property
    def follows_coordinator(self) -> bool:
        """Return whether the latest watch went to the coordinator of the region."""
        return self._follows_coordinator

    async def read_page(self, prefix: str, after: str = "") -> Page:
        return await self._store.read_page(prefix, after)

    async def watch(self, after: StoreRevision, seconds: float) -> ChangeBatch:
        link = None
        # The feed has no answer without changes sooner.
        may_wait = seconds >= FEED_WAIT_SECONDS
        if may_wait and self._clock.monotonic() >= self._direct_until:
            link = self._coordinator_link()
        if link is not None:
            try:
                batch = await self._watch_feed(link, after)
            except HistoryLost:
                raise
            except SassafraskeelError as exc:
                self._direct_until = self._clock.monotonic() + DIRECT_SECONDS
                self._log.emit(Event.FEED_LOST, peer=link.peer.name, detail=str(exc))
            else:
                if not self._follows_coordinator:
                    self._log.emit(
                        Event.FEED_USED, peer=link.peer.name, **after.log_fields()
                    )
                self._follows_coordinator = True
                self._relaying_host = ""
                return batch
        self._follows_coordinator = False
        if self._clock.monotonic() < self._relayed_until:
            batch = await self._watch_other_hosts(after)
            if batch is not None:
                return batch
        if self._relayed_until:
            # Its answer shows soon that the store no longer turns this host away.
            seconds = min(seconds, FIRST_WATCH_SECONDS)
        try:
            batch = await self._store.watch(after, seconds)
            self._relayed_until, self._relaying_host = 0.0, ""
            return batch
        except PlatformUnavailable:
            self._relayed_until = self._clock.monotonic() + RELAYED_SECONDS
            batch = await self._watch_other_hosts(after)
            if batch is None:
                raise
            return batch

    async def _watch_other_hosts(self, after: StoreRevision) -> ChangeBatch | None:
        """Return changes from the first host that has them, None if there is none."""
        for link in self._other_links():
            try:
                batch = await self._watch_feed(link, after)
            except SassafraskeelError:
                continue  # The store can't be read as a whole either.
            if link.peer.name != self._relaying_host:
                self._log.emit(
                    Event.FEED_USED, peer=link.peer.name, **after.log_fields()
                )
            self._relaying_host = link.peer.name
            return batch
        return None

    async def put(
        self, key: str, value: bytes, lease: Lease | None = None
    ) -> StoreRevision:
        return await self._store.put(key, value, lease)

    async def remove(self, key: str, revision: StoreRevision) -> None:
        await self._store.remove(key, revision)

    async def grant_lease(self, seconds: float) -> Lease:
        return await self._store.grant_lease(seconds)

    async def renew_lease(self, lease: Lease) -> None:
        await self._store.renew_lease(lease)

    async def _watch_feed(self, link: ControlLink, after: StoreRevision) -> ChangeBatch:
        reply = await link.request(FeedRequest(*after), FEED_TIMEOUT_SECONDS)
        if isinstance(reply, Refuse):
            if reply.detail == HISTORY_LOST_DETAIL:
                raise HistoryLost(*after)
            raise ProtocolError(f"the feed was refused: {reply.detail}")
        if not isinstance(reply, FeedChanges):
            raise ProtocolError("the reply to a feed request is not valid")
        if reply.era != after.era:
            raise ProtocolError(f"the feed is of era {reply.era} of the store")
        if reply.age > MAX_FEED_AGE_SECONDS:
            raise ProtocolError(f"the feed is {reply.age:.1f} s old")
        changes = decode_changes(reply.changes, reply.era)
        revision = StoreRevision(reply.era, reply.revision)
        return ChangeBatch(changes, revision, max(reply.age, 0.0))


class FeedServer:
    """Answers feed requests, unless the local host follows the coordinator.

    An answer has the age of the store's own last answer, so that hosts that follow each
    other do not take old changes for new ones. `store_age` returns that age in seconds,
    None before the first answer.
    """

    def __init__(
        self,
        feed: ChangeFeed,
        store: FeedStore,
        store_age: Callable[[], float | None],
    ):
        self._feed = feed
        self._store = store
        self._store_age = store_age

    async def answer(self, peer: HostInfo, request: FeedRequest):
        """Return FeedChanges, or Refuse if the peer must read the store itself."""
        age = self._store_age()
        if self._store.follows_coordinator or age is None:
            return _refuse("this host does not follow the store")
        if age > MAX_FEED_AGE_SECONDS:
            return _refuse("this host does not reach the store")
        try:
            after = StoreRevision(request.era, request.after)
            batch = await self._feed.wait(after, FEED_WAIT_SECONDS)
        except HistoryLost:
            return _refuse(HISTORY_LOST_DETAIL)
        except PlatformUnavailable as exc:
            return _refuse(str(exc))
        batch = limit_batch(batch)
        if sum(map(_size_of, batch.changes)) > MAX_REVISION_BYTES:
            return _refuse("the changes of a revision are too long for a message")
        rows = [
            [change.key, change.value, change.revision.number]
            for change in batch.changes
        ]
        era, number = batch.revision
        return FeedChanges(era, rows, number, self._store_age() or 0.0)


def limit_batch(batch: ChangeBatch) -> ChangeBatch:
    """Return the part of a batch that fits into a message, with its revision."""
    size = 0
    for count, change in enumerate(batch.changes):
        size += _size_of(change)
        if count and (count >= MAX_FEED_CHANGES or size > MAX_FEED_BYTES):
            # All changes of a revision are in one message.
            last = batch.changes[count - 1].revision
            if change.revision != last:
                return ChangeBatch(batch.changes[:count], last)
    return batch


def decode_changes(rows: list, era: int) -> tuple[Change, ...]:
    """Return the changes of an era in a feed message; raise ProtocolError."""
    changes = []
    for row in rows:
        if not isinstance(row, list) or len(row) != len(Change._fields):
            raise ProtocolError("a change in a feed is malformed")
        key, value, number = row
        if value is not None:
            value = decode_field(value, bytes)
        changes.append(
            Change(
                decode_field(key, str),
                value,
                StoreRevision(era, decode_field(number, int)),
            )
        )
    return tuple(changes)


def _size_of(change: Change) -> int:
    return len(change.key) + len(change.value or b"")


def _refuse(detail: str) -> Refuse:
    return refusal_to_message(not_run_refusal(Reason.NO_UPSTREAM, detail))
