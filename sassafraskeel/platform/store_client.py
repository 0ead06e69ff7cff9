"""Client of the platform's metadata store: JSON over HTTP/1.1."""

import base64
import binascii
import json
import re
from collections.abc import Callable
from functools import partial
from typing import NamedTuple
from urllib.parse import urlencode

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTooLong,
    CompareFailed,
    HistoryLost,
    LeaseLost,
    PlatformRefused,
    PlatformUnavailable,
    ProtocolError,
    SassafraskeelError,
    TimedOut,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.http_client import ClientConnection, connect
from sassafraskeel.core.log import LogSink, NullLog
from sassafraskeel.core.net import Address, Network
from sassafraskeel.core.types import ResponseHead
from sassafraskeel.platform import wire
from sassafraskeel.platform.item_stream import ItemReader
from sassafraskeel.platform.trimming import trim_change
from sassafraskeel.store.interface import (
    Change,
    ChangeBatch,
    Lease,
    Page,
    StoreRevision,
)

# For answers without a list: an item that a condition failed on may be among them.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_IDLE_CONNECTIONS = 2
# The store answers in a few milliseconds; a distant region adds 160 ms.
CALL_TIMEOUT_SECONDS = 1.5
# A page has over 1 MB, which a busy host or link takes longer for, so that a body may
# take its time as long as it keeps coming at this rate after the first seconds.
SILENCE_SECONDS = 1.5
ANSWER_SECONDS = 5.0
MIN_BYTES_PER_SECOND = 64 * 1024
# What is kept of a watch; the rest of its changes follows with the next one. A page has
# about 1 MB and an item, and the next one is the same after a failure.
MAX_KEPT_BYTES = 2 * 1024 * 1024
MAX_PAGE_BYTES = 8 * 1024 * 1024
# What has arrived of a watch is applied after this time, also if more follows.
WATCH_BODY_SECONDS = 1.0
# The objects of a change, beside its value.
CHANGE_BYTES = 500
# Other documents than the manifest have a few KB, except for tables of crashes.
LOGGED_VALUE_BYTES = 64 * 1024
# A silent connection is detected after the time of the watch plus this time.
WATCH_GRACE_SECONDS = 1.0
ERA_NUMBER = re.compile(r"[0-9]{1,15}")
JSON_HEADERS = ((b"content-type", b"application/json"),)


class _Answer(NamedTuple):
    """The fields of an answer except its list, whose items are the changes.

    `last_key` is that of the last item, whether or not it is used. An answer that is
    not whole has the changes up to the revision that it names.
    """

    era: int
    content: dict
    changes: tuple[Change, ...] = ()
    last_key: str = ""
    is_whole: bool = True

    def revision(self, name: str) -> StoreRevision:
        """Return a revision in the answer."""
        return StoreRevision(self.era, _get_int(self.content, name))


class _ReceivedChanges:
    """The items of a list that have arrived, as changes.

    `complete_revision` is the last revision before that of the last item: further
    items may be of the same revision. It is 0 without one.
    """

    def __init__(self, era: int, max_bytes: int):
        self._era = era
        self._max_bytes = max_bytes
        self._revision = 0
        self._size = 0
        self._is_ordered = True
        self.changes: list[Change] = []
        self.last_key = ""
        self.complete_revision = 0

    def add(self, item) -> Change:
        """Add an item and return it as a change; raise AnswerTooLong."""
        change = _decode_change(item, self._era)
        self.last_key = change.key
        self._add_revision(change.revision.number)
        trimmed = trim_change(change)
        if trimmed is not None:
            if change.key == wire.MANIFEST_KEY:
                self._drop_manifest()
            self.changes.append(trimmed)
            self._size += _kept_bytes(trimmed)
        if self._size > self._max_bytes:
            raise AnswerTooLong("the changes in the answer are too long")
        return change

    def complete_part(self) -> _Answer:
        """Return an answer with the changes up to the complete revision."""
        last = StoreRevision(self._era, self.complete_revision)
        changes = tuple(change for change in self.changes if change.revision <= last)
        fields = {"asOf": self.complete_revision}
        return _Answer(self._era, fields, changes, is_whole=False)

    def _add_revision(self, number: int) -> None:
        if number < self._revision:
            self._is_ordered = False
        if number > self._revision:
            self.complete_revision = self._revision
            self._revision = number
        if not self._is_ordered:
            self.complete_revision = 0

    def _drop_manifest(self) -> None:
        """Drop an earlier manifest, since each replaces the one before."""
        for change in self.changes:
            if change.key == wire.MANIFEST_KEY:
                self._size -= _kept_bytes(change)
                self.changes.remove(change)
                return


class StoreClient:
    """Implements Store; concurrent calls use separate connections.

    An answer without an era counts as of the last era that was named, 0 before the
    first one. Answers of older eras count as lost.
    """

    def __init__(
        self,
        address: Address,
        clock: Clock,
        network: Network,
        log: LogSink | None = None,
    ):
        self._address = address
        self._clock = clock
        self._network = network
        self._log = log or NullLog()
        self._idle_connections: list[ClientConnection] = []
        self._era = 0

    async def read_page(self, prefix: str, after: str = "") -> Page:
        query = {"pathPrefix": prefix} | ({"after": after} if after else {})
        path = f"/api/kv-range?{urlencode(query)}"
        answer = await self._call("GET", path, list_name="items")
        has_more = bool(answer.content.get("hasMore"))
        if has_more and not answer.last_key:
            raise PlatformUnavailable(
                f"GET {path}: a page has no items, but more follow"
            )
        next_after = answer.last_key if has_more else ""
        return Page(answer.changes, answer.revision("asOf"), next_after)

    async def watch(self, after: StoreRevision, seconds: float) -> ChangeBatch:
        wait_ms = int(seconds * 1000)
        query = {"pathPrefix": "", "after": after.number, "waitMs": wait_ms}
        path = f"/api/kv-watch?{urlencode(query)}"
        wait = seconds + WATCH_GRACE_SECONDS
        try:
            answer = await self._call("GET", path, wait=wait, list_name="events")
        except PlatformRefused as exc:
            if exc.status == 410:
                raise HistoryLost(*after) from exc
            raise
        except PlatformUnavailable as exc:
            if isinstance(exc.__cause__, AnswerTooLong):
                # Asked again, the store would send the same changes and more. The pages
                # of its keys are bounded.
                raise HistoryLost(*after) from exc
            raise
        if answer.era != after.era:
            raise HistoryLost(*after)
        return ChangeBatch(answer.changes, answer.revision("asOf"))

    async def put(
        self, key: str, value: bytes, lease: Lease | None = None
    ) -> StoreRevision:
        entry = {"key": key, "value": base64.b64encode(value).decode()}
        body = {"expectedRev": [], "puts": [entry], "remove": []}
        if lease is None:
            answer = await self._call("POST", "/api/kv-txn", body)
        else:
            entry["lease"] = lease.number
            answer = await self._call_lease(lease, "/api/kv-txn", body)
        return answer.revision("revision")

    async def remove(self, key: str, revision: StoreRevision) -> None:
        expected = {"key": key, "revision": revision.number}
        body = {"expectedRev": [expected], "puts": [], "remove": [key]}
        try:
            await self._call("POST", "/api/kv-txn", body)
        except PlatformRefused as exc:
            if exc.status == 412:
                raise CompareFailed(key, revision.number) from exc
            raise

    async def grant_lease(self, seconds: float) -> Lease:
        body = {"ttlMs": int(seconds * 1000)}
        answer = await self._call("POST", "/api/kv-lease", body)
        return Lease(answer.era, _get_int(answer.content, "lease"))

    async def renew_lease(self, lease: Lease) -> None:
        await self._call_lease(lease, f"/api/kv-keep/{lease.number}")

    async def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            await self._idle_connections.pop().close()

    async def _call_lease(self, lease: Lease, path, body=None) -> _Answer:
        """Make a call that uses a lease, unless it is known to be of an older era."""
        if lease.era != self._era:
            raise LeaseLost(f"lease {lease.number} is of era {lease.era}")
        try:
            answer = await self._call("POST", path, body)
        except PlatformRefused as exc:
            if exc.status == 404:
                raise LeaseLost(str(lease.number)) from exc
            raise
        if answer.era != lease.era:
            raise LeaseLost(f"lease {lease.number} is of era {lease.era}")
        return answer

    async def _call(self, method, path, body=None, wait=0.0, list_name="") -> _Answer:
        """Make a call; the items of the list in its answer are decoded one by one."""
        data = b"" if body is None else json.dumps(body).encode()
        try:
            return await self._exchange(method, path, data, wait, list_name)
        except PlatformRefused:
            raise
        except SassafraskeelError as exc:
            raise PlatformUnavailable(f"{method} {path}: {exc}") from exc

    def _check_era(self, head: ResponseHead) -> int:
        """Return the era of an answer; raise ProtocolError."""
        values = {value for name, value in head.headers if name == wire.STORE_ERA}
        if not values:
            return self._era
        text = values.pop().decode("latin-1").strip()
        if values or not ERA_NUMBER.fullmatch(text):
            raise ProtocolError("the era of the store is malformed")
        if int(text) < self._era:
            raise ProtocolError(f"an answer of era {text} came after era {self._era}")
        return int(text)

    async def _exchange(self, method, path, data, wait, list_name) -> _Answer:
        conn = answer = None
        is_complete, content = False, bytearray()
        try:
            async with self._clock.timeout(CALL_TIMEOUT_SECONDS + wait):
                conn = await self._take_connection()
                await conn.send(method, path, JSON_HEADERS if data else (), data)
                head = await conn.receive_head()
            era = self._era = self._check_era(head)
            if head.status == 200 and list_name:
                answer = await self._receive_items(conn, era, list_name)
            else:
                await self._receive_body(conn, partial(_add_content, content))
            is_complete = answer is None or answer.is_whole
        finally:
            if conn is not None:
                await self._give_back(conn, is_complete)
        if era < self._era:
            raise ProtocolError(f"an answer of era {era} came after era {self._era}")
        return answer or _decode_content(era, head.status, path, content)

    async def _take_connection(self) -> ClientConnection:
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if await conn.is_open_and_idle(self._clock):
                return conn
            await conn.close()
        return await connect(self._network, self._address, self._clock)

    async def _give_back(self, conn: ClientConnection, is_complete: bool) -> None:
        if (
            is_complete
            and conn.prepare_for_reuse()
            and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            self._idle_connections.append(conn)
        else:
            await conn.close()

    async def _receive_items(self, conn, era: int, list_name: str) -> _Answer:
        """Receive a list, and keep what is used of each item."""
        is_watch = list_name == "events"
        reader = ItemReader(list_name)
        max_bytes = MAX_KEPT_BYTES if is_watch else MAX_PAGE_BYTES
        received = _ReceivedChanges(era, max_bytes)
        apply_at = self._clock.monotonic() + WATCH_BODY_SECONDS

        def take(data: bytes) -> None:
            items = reader.feed(data)
            for item in items:
                self._log_size(received.add(item))
            is_late = is_watch and self._clock.monotonic() >= apply_at
            if items and is_late and received.complete_revision:
                raise AnswerTooLong("the changes take long to arrive")

        try:
            await self._receive_body(conn, take)
            reader.finish()
        except SassafraskeelError:
            if is_watch and received.complete_revision:
                # The next watch begins after them.
                return received.complete_part()
            raise
        changes = tuple(received.changes)
        return _Answer(era, reader.fields, changes, received.last_key)

    async def _receive_body(self, conn, take: Callable[[bytes], None]) -> None:
        """Pass on the parts of a body; raise TimedOut if it is silent or too slow."""
        started_at = self._clock.monotonic()
        size = 0
        while True:
            longest = ANSWER_SECONDS + size / MIN_BYTES_PER_SECOND
            left = started_at + longest - self._clock.monotonic()
            if left <= 0:
                raise TimedOut(longest)
            async with self._clock.timeout(min(left, SILENCE_SECONDS)):
                data = await conn.receive_data()
            if not data:
                return
            size += len(data)
            take(data)

    def _log_size(self, change: Change) -> None:
        size = len(change.value or b"")
        if size > LOGGED_VALUE_BYTES and change.key != wire.MANIFEST_KEY:
            self._log.emit(
                Event.VALUE_LARGE,
                key=change.key,
                bytes=size,
                **change.revision.log_fields(),
            )


def _kept_bytes(change: Change) -> int:
    return CHANGE_BYTES + len(change.value or b"")


def _add_content(content: bytearray, data: bytes) -> None:
    content += data
    if len(content) > MAX_ANSWER_BYTES:
        raise AnswerTooLong("the answer of the store is too long")


def _decode_content(era: int, status: int, path: str, content: bytearray) -> _Answer:
    """Return an answer without a list; raise PlatformRefused or another error."""
    if status in (429, 500, 502, 503, 504):
        raise PlatformUnavailable(f"status {status}")
    if status != 200:
        raise PlatformRefused(status, path)
    try:
        fields = json.loads(content) if content else {}
    except (ValueError, RecursionError) as exc:
        raise ProtocolError("the answer is not JSON") from exc
    if not isinstance(fields, dict):
        raise ProtocolError("the answer is not an object")
    return _Answer(era, fields)


def _decode_change(item, era: int) -> Change:
    try:
        key, revision = str(item["key"]), StoreRevision(era, int(item["revision"]))
        if item.get("removed"):
            return Change(key, None, revision)
        return Change(key, base64.b64decode(item.get("value") or ""), revision)
    except (KeyError, TypeError, ValueError, AttributeError, binascii.Error) as exc:
        raise PlatformUnavailable(f"an item of the store is malformed: {exc}") from exc


def _get_int(answer, name) -> int:
    value = answer.get(name)
    if not isinstance(value, int) or isinstance(value, bool):
        raise PlatformUnavailable(f"{name} is not a number")
    return value
