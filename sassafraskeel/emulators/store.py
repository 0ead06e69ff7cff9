"""Emulated metadata store of the platform, with revisions, watches and leases."""

import base64
import bisect
import collections
import itertools
import json
from collections.abc import AsyncIterator
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
# A slow answer is sent in parts of this many seconds.
PART_SECONDS = 0.1
# Keys that the gateway may not write.
PROTECTED_PREFIXES = ("op/", "servers/")
# Path at which tests write as the operator or a replica; faults do not apply to it.
OPERATOR_PATH = "/test/key"
# PUT keeps a copy of the store, POST restores it.
COPY_PATH = "/test/copy"
ERA_HEADER = b"Store-Era"
FIRST_LEASE = 1000
READ_PATHS = ("/api/kv-range", "/api/kv-watch")


class StoreEvent(NamedTuple):
    """The write of a key, or its removal if `value_bytes` is None.

    `encoded` is the event as JSON, so that a value is encoded only once.
    """

    key: str
    revision: int
    created: int
    lease: int
    value_bytes: int | None
    encoded: bytes


class StoreCopy(NamedTuple):
    """A copy from which the store can be restored."""

    items: dict[str, StoreEvent]
    events: list[StoreEvent]
    lease_seconds: dict[int, float]
    next_lease: int
    revision: int


class StoreEmulator:
    """Keeps keys with revisions; tests write as operator or replica with `write`.

    `era` is sent with every answer, unless it is None; `restore` raises it.

    Faults: `error_status`, if not 0, is the status of every answer; `silent` leaves
    every call without an answer, and slow answers without their rest; `lose_answers`
    counts the next writes that are applied but not answered. If they are not 0, answers
    to reads arrive with `bytes_per_second`, each `cut_every`-th page of a range ends in
    the middle, and reads beyond `reads_per_second` are answered with 429.

    A page of a range ends with the item that takes its values to `page_bytes`.
    """

    def __init__(self, clock: Clock, network: Network, address: Address):
        self._clock = clock
        self._server = HttpServer(clock, network, address, self.handle)
        self._items: dict[str, StoreEvent] = {}
        self._events: list[StoreEvent] = []
        # None after a key was added or removed.
        self._sorted_keys: list[str] | None = None
        self._compacted_revision = 0
        self._leases: dict[int, float] = {}
        self._lease_seconds: dict[int, float] = {}
        self._next_lease = FIRST_LEASE
        self._changed = curio.Event()
        self._kept_copy: StoreCopy | None = None
        self.era: int | None = 1
        self.revision = 1
        self.error_status = 0
        self.silent = False
        self.lose_answers = 0
        self.page_bytes = PAGE_BYTES
        self.bytes_per_second = 0.0
        self.cut_every = 0
        self.reads_per_second = 0
        self._pages = 0
        self._read_times: collections.deque[float] = collections.deque()
        self.calls: list[str] = []

    @property
    def address(self) -> Address:
        """Return the address of the store."""
        return self._server.address

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    async def write(self, key: str, value: bytes | None, lease: int = 0) -> None:
        """Write a key, or remove it if `value` is None."""
        self.revision += 1
        if value is None:
            if self._items.pop(key, None) is None:
                return
            self._sorted_keys = None
            content = {"key": key, "revision": self.revision, "removed": True}
            event = StoreEvent(key, self.revision, 0, 0, None, _encode(content))
        else:
            previous = self._items.get(key)
            if previous is None:
                self._sorted_keys = None
            created = previous.created if previous else self.revision
            content = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createdRev": created,
                "lease": lease,
            }
            event = StoreEvent(
                key, self.revision, created, lease, len(value), _encode(content)
            )
            self._items[key] = event
        self._events.append(event)
        await self._changed.set()

    async def compact(self) -> None:
        """Drop the history; watches from an earlier revision are answered with 410."""
        self._compacted_revision = self.revision
        self._events.clear()
        await self._changed.set()

    def copy(self) -> StoreCopy:
        """Return a copy of the current state."""
        return StoreCopy(
            dict(self._items),
            list(self._events),
            {lease: self._lease_seconds[lease] for lease in self._leases},
            self._next_lease,
            self.revision,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Lose all that was written since a copy was made.

        Revisions and lease ids are given out again; the leases in the copy start anew.
        """
        now = self._clock.monotonic()
        self._items, self._events = dict(copy.items), list(copy.events)
        self._sorted_keys = None
        self._lease_seconds = dict(copy.lease_seconds)
        self._leases = {
            lease: now + seconds for lease, seconds in copy.lease_seconds.items()
        }
        self._next_lease, self.revision = copy.next_lease, copy.revision
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        if self.era is not None:
            self.era += 1
        await self._changed.set()

    def keys(self) -> set[str]:
        """Return the keys that exist."""
        return set(self._items)

    async def revoke_leases(self) -> None:
        """Revoke all leases, as an outage of the store may."""
        for lease in list(self._leases):
            await self._revoke_lease(lease)

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        reply = await self._answer(request)
        if self.era is None:
            return reply
        era = (ERA_HEADER, str(self.era).encode())
        return reply._replace(headers=(*reply.headers, era))

    async def _answer(self, request: Request) -> Reply:
        if request.path == OPERATOR_PATH:
            removes = request.method == "DELETE"
            await self.write(request.query["key"], None if removes else request.body)
            return json_reply({"revision": self.revision})
        if request.path == COPY_PATH:
            return await self._handle_copy(request.method)
        self.calls.append(f"{request.method} {request.path}")
        await self._expire_leases()
        if self.silent:
            await curio.Event().wait()
        if self.error_status:
            return json_reply({"error": "refused"}, self.error_status)
        if request.path in READ_PATHS:
            return await self._read(request)
        if request.path == "/api/kv-txn":
            return await self._apply_transaction(request)
        return await self._handle_lease(request)

    async def _handle_copy(self, method: str) -> Reply:
        if method == "PUT":
            self._kept_copy = self.copy()
        elif self._kept_copy is None:
            return json_reply({"error": "no copy"}, 404)
        else:
            await self.restore(self._kept_copy)
        return json_reply({"revision": self.revision})

    async def _read(self, request) -> Reply:
        if self._is_over_limit():
            return json_reply({"error": "too many reads"}, 429)
        if request.path == "/api/kv-watch":
            return self._limit_speed(await self._watch(request))
        reply = self._range(request)
        self._pages += 1
        if self.cut_every and self._pages % self.cut_every == 0:
            return reply._replace(body=self._send_parts(reply.body, is_cut=True))
        return self._limit_speed(reply)

    def _is_over_limit(self) -> bool:
        """Count a read, unless the limit of reads in one second is reached."""
        if not self.reads_per_second:
            return False
        now = self._clock.monotonic()
        while self._read_times and self._read_times[0] <= now - 1.0:
            self._read_times.popleft()
        if len(self._read_times) >= self.reads_per_second:
            return True
        self._read_times.append(now)
        return False

    def _limit_speed(self, reply: Reply) -> Reply:
        if not self.bytes_per_second:
            return reply
        return reply._replace(body=self._send_parts(reply.body, is_cut=False))

    async def _send_parts(self, body: bytes, is_cut: bool) -> AsyncIterator[bytes]:
        size = int(self.bytes_per_second * PART_SECONDS) or len(body)
        end = len(body) // 2 if is_cut else len(body)
        for start in range(0, end, size):
            if self.silent:
                await curio.Event().wait()
            part = body[start : min(start + size, end)]
            if self.bytes_per_second:
                await self._clock.sleep(len(part) / self.bytes_per_second)
            yield part
        if is_cut:
            raise ConnectionLost("connection cut by an injected fault")

    def _range(self, request) -> Reply:
        prefix, after = request.query.get("pathPrefix", ""), request.query.get("after")
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self._items)
        keys = self._sorted_keys
        first = bisect.bisect_left(keys, prefix)
        if after is not None:
            first = max(first, bisect.bisect_right(keys, after))
        page, size, has_more = [], 0, False
        for key in itertools.islice(keys, first, None):
            if not key.startswith(prefix):
                break
            if len(page) >= PAGE_ITEMS or size >= self.page_bytes:
                has_more = True
                break
            page.append(self._items[key])
            size += page[-1].value_bytes
        return _events_reply(
            "items", page, {"hasMore": has_more, "asOf": self.revision}
        )

    async def _watch(self, request) -> Reply:
        prefix, after = request.query.get("pathPrefix", ""), int(request.query["after"])
        expires = self._clock.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return json_reply({"error": "compacted"}, 410)
            first = bisect.bisect_right(self._events, after, key=_revision_of)
            events = [
                event
                for event in itertools.islice(self._events, first, None)
                if event.key.startswith(prefix)
            ]
            remaining = expires - self._clock.monotonic()
            if events or remaining <= 0:
                return _events_reply("events", events, {"asOf": self.revision})
            self._changed.clear()
            timer = await curio.spawn(self._wake_after(remaining), daemon=True)
            try:
                await self._changed.wait()
            finally:
                await timer.cancel()

    async def _wake_after(self, seconds) -> None:
        await self._clock.sleep(seconds)
        await self._changed.set()

    async def _apply_transaction(self, request) -> Reply:
        content = request.json()
        if any(put["key"].startswith(PROTECTED_PREFIXES) for put in content["puts"]):
            return json_reply({"error": "forbidden"}, 403)
        for row in content["expectedRev"]:
            item = self._items.get(row["key"])
            if row["revision"] != (item.revision if item else 0):
                return _events_reply("items", [item] if item else [], {}, 412)
        for put in content["puts"]:
            lease = put.get("lease", 0)
            if lease and lease not in self._leases:
                return json_reply({"error": "no such lease"}, 404)
            await self.write(put["key"], base64.b64decode(put["value"]), lease)
        for key in content["remove"]:
            await self.write(key, None)
        if self.lose_answers:
            self.lose_answers -= 1
            return Reply(close_unanswered=True)
        return json_reply({"revision": self.revision})

    async def _handle_lease(self, request) -> Reply:
        if request.path == "/api/kv-lease":
            lease, ttl_ms = self._next_lease, request.json()["ttlMs"]
            self._next_lease += 1
            self._lease_seconds[lease] = ttl_ms / 1000
            self._leases[lease] = self._clock.monotonic() + ttl_ms / 1000
            return json_reply({"lease": lease, "ttlMs": ttl_ms})
        lease = int(request.path.rpartition("/")[2])
        if lease not in self._leases:
            return json_reply({"error": "no such lease"}, 404)
        if request.method == "DELETE":
            await self._revoke_lease(lease)
        else:
            now = self._clock.monotonic()
            self._leases[lease] = now + self._lease_seconds[lease]
        return json_reply({})

    async def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        for lease, expires_at in list(self._leases.items()):
            if expires_at <= now:
                await self._revoke_lease(lease)

    async def _revoke_lease(self, lease) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item.lease == lease:
                await self.write(key, None)


def _encode(content: dict) -> bytes:
    return json.dumps(content).encode()


def _revision_of(event: StoreEvent) -> int:
    return event.revision


def _events_reply(name: str, events, fields: dict, status: int = 200) -> Reply:
    """Return an answer with a list of events and further fields."""
    rest = "".join(f", {json.dumps(key)}: {json.dumps(fields[key])}" for key in fields)
    rows = b", ".join(event.encoded for event in events)
    return Reply(status, f'{{"{name}": ['.encode() + rows + f"]{rest}}}".encode())
