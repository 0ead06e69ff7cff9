"""Emulated metadata store of the platform, with revisions, watches and leases."""

import base64
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply

PAGE_ITEMS = 500
# Keys that the gateway may not write.
PROTECTED_PREFIXES = ("op/", "servers/")
# Path at which tests write as the operator or a replica; faults do not apply to it.
OPERATOR_PATH = "/test/key"
# PUT keeps a copy of the store, POST restores it.
COPY_PATH = "/test/copy"
ERA_HEADER = b"Store-Era"
FIRST_LEASE = 1000


class StoreCopy(NamedTuple):
    """A copy from which the store can be restored."""

    items: dict[str, dict]
    events: list[dict]
    lease_seconds: dict[int, float]
    next_lease: int
    revision: int


class StoreEmulator:
    """Keeps keys with revisions; tests write as operator or replica with `write`.

    `era` is sent with every answer, unless it is None; `restore` raises it.

    Faults: `error_status`, if not 0, is the status of every answer; `silent` leaves
    every call without an answer; `lose_answers` counts the next writes that are
    applied but not answered.
    """

    def __init__(self, clock: Clock, network: Network, address: Address):
        self._clock = clock
        self._server = HttpServer(clock, network, address, self.handle)
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
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
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            previous = self._items.get(key)
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createdRev": previous["createdRev"] if previous else self.revision,
                "lease": lease,
            }
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
        if request.path == "/api/kv-range":
            return self._range(request)
        if request.path == "/api/kv-watch":
            return await self._watch(request)
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

    def _range(self, request) -> Reply:
        prefix, after = request.query.get("pathPrefix", ""), request.query.get("after")
        keys = sorted(key for key in self._items if key.startswith(prefix))
        keys = [key for key in keys if after is None or key > after]
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        has_more = len(keys) > PAGE_ITEMS
        return json_reply({"items": items, "hasMore": has_more, "asOf": self.revision})

    async def _watch(self, request) -> Reply:
        after = int(request.query["after"])
        expires = self._clock.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if not self._compacted_revision <= after <= self.revision:
                return json_reply({"error": "compacted"}, 410)
            events = [event for event in self._events if event["revision"] > after]
            remaining = expires - self._clock.monotonic()
            if events or remaining <= 0:
                return json_reply({"events": events, "asOf": self.revision})
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
            if row["revision"] != (item["revision"] if item else 0):
                return json_reply({"items": [item] if item else []}, 412)
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
            if item["lease"] == lease:
                await self.write(key, None)
