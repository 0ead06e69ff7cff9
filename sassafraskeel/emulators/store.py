"""A stand-in for the platform's metadata store: revisions, watches and leases."""

import base64
import itertools

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply

PAGE_ITEMS = 500
PROTECTED = ("op/", "servers/")
# Where the operator and the replicas of a test write.
OPERATOR_PATH = "/test/key"


class StoreEmulator:
    """Keeps keys with revisions; the operator and the replicas write with `write`.

    `refuse` answers that status to every call, `silent` answers nothing, `lose` of
    the next writes are applied but not answered.
    """

    def __init__(self, clock: Clock, network: Network, address: Address):
        self._clock = clock
        self._server = HttpServer(clock, network, address, self.handle)
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._forgotten = 0
        self._leases: dict[int, float] = {}
        self._numbers = itertools.count(1000)
        self._changed = curio.Event()
        self.revision = 1
        self.refuse = 0
        self.silent = False
        self.lose = 0
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
        """Write a key, or remove it where `value` is None."""
        self.revision += 1
        if value is None:
            if self._items.pop(key, None) is None:
                return
            event = {"key": key, "revision": self.revision, "removed": True}
        else:
            known = self._items.get(key)
            event = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "createdRev": known["createdRev"] if known else self.revision,
                "lease": lease,
            }
            self._items[key] = event
        self._events.append(event)
        await self._changed.set()

    async def compact(self) -> None:
        """Forget the history; watches from before get 410."""
        self._forgotten = self.revision
        self._events.clear()
        await self._changed.set()

    def keys(self) -> set[str]:
        """Return the keys that exist."""
        return set(self._items)

    async def end_leases(self) -> None:
        """End all leases, as an outage may."""
        for lease in list(self._leases):
            await self._end_lease(lease)

    async def handle(self, request: Request) -> Reply:
        """Answer one call."""
        if request.path == OPERATOR_PATH:
            removes = request.method == "DELETE"
            await self.write(request.query["key"], None if removes else request.body)
            return json_reply({"revision": self.revision})
        self.calls.append(f"{request.method} {request.path}")
        await self._expire_leases()
        if self.silent:
            await curio.Event().wait()
        if self.refuse:
            return json_reply({"error": "refused"}, self.refuse)
        if request.path == "/api/kv-range":
            return self._range(request)
        if request.path == "/api/kv-watch":
            return await self._watch(request)
        if request.path == "/api/kv-txn":
            return await self._write_all(request)
        return await self._handle_lease(request)

    def _range(self, request) -> Reply:
        prefix, after = request.query.get("pathPrefix", ""), request.query.get("after")
        keys = sorted(key for key in self._items if key.startswith(prefix))
        keys = [key for key in keys if after is None or key > after]
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return json_reply({"items": items, "hasMore": more, "asOf": self.revision})

    async def _watch(self, request) -> Reply:
        after = int(request.query["after"])
        expires = self._clock.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self._forgotten:
                return json_reply({"error": "compacted"}, 410)
            events = [event for event in self._events if event["revision"] > after]
            left = expires - self._clock.monotonic()
            if events or left <= 0:
                return json_reply({"events": events, "asOf": self.revision})
            self._changed.clear()
            waiter = await curio.spawn(self._wake_after(left), daemon=True)
            try:
                await self._changed.wait()
            finally:
                await waiter.cancel()

    async def _wake_after(self, seconds) -> None:
        await self._clock.sleep(seconds)
        await self._changed.set()

    async def _write_all(self, request) -> Reply:
        content = request.json()
        if any(put["key"].startswith(PROTECTED) for put in content["puts"]):
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
        if self.lose:
            self.lose -= 1
            return Reply(lose=True)
        return json_reply({"revision": self.revision})

    async def _handle_lease(self, request) -> Reply:
        if request.path == "/api/kv-lease":
            lease, ttl_ms = next(self._numbers), request.json()["ttlMs"]
            self._leases[lease] = self._clock.monotonic() + ttl_ms / 1000
            return json_reply({"lease": lease, "ttlMs": ttl_ms})
        lease = int(request.path.rpartition("/")[2])
        if lease not in self._leases:
            return json_reply({"error": "no such lease"}, 404)
        if request.method == "DELETE":
            await self._end_lease(lease)
        else:
            self._leases[lease] = self._clock.monotonic() + 4.0
        return json_reply({})

    async def _expire_leases(self) -> None:
        now = self._clock.monotonic()
        for lease, until in list(self._leases.items()):
            if until <= now:
                await self._end_lease(lease)

    async def _end_lease(self, lease) -> None:
        del self._leases[lease]
        for key, item in list(self._items.items()):
            if item["lease"] == lease:
                await self.write(key, None)
