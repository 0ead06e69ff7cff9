"""Emulated key-value service, host list and directory of the platform."""

from collections import Counter
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply

MAX_VALUE_BYTES = 1_000_000
WATCH_POLL_SECONDS = 0.05
MAX_WEIGHT_LOADS = 1000
EPOCH_HEADER = b"store-epoch"


class StoreCopy(NamedTuple):
    """The contents of the service at some time."""

    values: dict[str, tuple[object, int]]
    leases: dict[str, tuple[str, int, float]]
    hosts: dict[str, str]
    directory: dict[str, dict]


class PlatformEmulator:
    """In-memory key-value service with compare-and-swap, leases and watches.

    Faults: `down` answers every request with 503, `delay` is a time in seconds
    before each answer, and `lose_answers` counts the next writes that take effect
    without an answer. `restore` brings an earlier copy back. `weight_interval` is the
    minimum time in seconds between two loads of model weights.

    A header of each answer names the epoch, which rises by one with each restore. A
    conditional write that names another epoch fails like one that names another
    revision, and a watch that names another epoch ends at once.
    """

    def __init__(self, clock: Clock, network: Network, address: Address):
        self._clock = clock
        self._server = HttpServer(clock, network, address, self.handle)
        self.values: dict[str, tuple[object, int]] = {}
        self.leases: dict[str, tuple[str, int, float]] = {}
        self.directory: dict[str, dict] = {}
        self.hosts: dict[str, str] = {}
        self.calls = Counter()
        self.epoch = 1
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.weight_interval = 2.0
        self.weight_loads: list[tuple[float, str]] = []

    @property
    def address(self) -> Address:
        """Return the address of the service."""
        return self._server.address

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    def copy(self) -> StoreCopy:
        """Return a copy of the contents for a later `restore`."""
        return StoreCopy(
            dict(self.values),
            dict(self.leases),
            dict(self.hosts),
            dict(self.directory),
        )

    def restore(self, copy: StoreCopy) -> None:
        """Replace the contents by those of a copy and begin a new epoch.

        Revisions and fencing numbers continue from those of the copy.
        """
        self.values, self.leases, self.hosts, self.directory = map(dict, copy)
        self.epoch += 1

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/faults":
            return self._set_faults(request)
        self.calls[request.method] += 1
        if self.delay:
            await self._clock.sleep(self.delay)
        if self.down:
            return json_reply({"error": "down"}, 503)
        reply = await self._route(request)
        if request.method != "GET" and self.lose_answers > 0:
            self.lose_answers -= 1
            return Reply(close_unanswered=True)
        epoch = (EPOCH_HEADER, str(self.epoch).encode())
        return reply._replace(headers=(*reply.headers, epoch))

    async def _route(self, request: Request) -> Reply:
        _, resource, *rest = request.path.split("/", 2)
        name = rest[0] if rest else ""
        if resource == "kv" and request.method == "GET":
            return await self._get(name, request)
        if resource == "kv" and request.method == "PUT":
            return self._put(name, request)
        if resource == "leases" and request.method == "POST":
            return self._acquire_lease(name, request.json())
        if resource == "weights" and request.method == "POST":
            return self._load_weights(name)
        if resource == "hosts":
            return json_reply(self.hosts)
        if resource == "directory" and request.method == "PUT":
            self._update_directory(name, request.json())
            return json_reply({})
        if resource == "directory":
            return json_reply(self.directory)
        if resource == "calls":
            return json_reply(dict(self.calls))
        return json_reply({"error": "no such path"}, 404)

    async def _get(self, key, request) -> Reply:
        after = int(request.query.get("after", "-1"))
        expires = self._clock.monotonic() + float(request.query.get("wait", "0"))
        while True:
            value, revision = self.values.get(key, (None, 0))
            over = revision > after or self._clock.monotonic() >= expires
            if over or not self._is_epoch_of(request):
                return json_reply({"value": value, "revision": revision})
            await self._clock.sleep(WATCH_POLL_SECONDS)

    def _put(self, key, request) -> Reply:
        revision = self.values.get(key, (None, 0))[1]
        if len(request.body) > MAX_VALUE_BYTES:
            return json_reply({"error": "value too large"}, 413)
        is_same = revision == int(request.query["revision"])
        if not is_same or not self._is_epoch_of(request):
            return json_reply({"revision": revision}, 409)
        self.values[key] = (request.json(), revision + 1)
        return json_reply({"revision": revision + 1})

    def _is_epoch_of(self, request) -> bool:
        """Return whether a request names the current epoch or none."""
        return int(request.query.get("epoch", self.epoch)) == self.epoch

    def _acquire_lease(self, name, claim) -> Reply:
        holder, fence, expires = self.leases.get(name, ("", 0, 0.0))
        now = self._clock.monotonic()
        if holder != claim["holder"]:
            if now < expires:
                return json_reply({"holder": holder}, 423)
            fence += 1
        elif now >= expires:
            fence += 1
        self.leases[name] = (claim["holder"], fence, now + claim["seconds"])
        return json_reply({"fence": fence})

    def _load_weights(self, model) -> Reply:
        now = self._clock.monotonic()
        last = (
            self.weight_loads[-1][0]
            if self.weight_loads
            else now - self.weight_interval
        )
        wait = last + self.weight_interval - now
        if wait > 0:
            return json_reply({"retry_after_s": wait}, 429)
        self.weight_loads = [*self.weight_loads[-MAX_WEIGHT_LOADS:], (now, model)]
        return json_reply({})

    def _update_directory(self, name, entry):
        if entry is None:
            self.directory.pop(name, None)
        else:
            self.directory[name] = entry

    def _set_faults(self, request) -> Reply:
        settings = request.json()
        self.down = settings.get("down", self.down)
        self.delay = settings.get("delay", self.delay)
        self.lose_answers = settings.get("lose_answers", self.lose_answers)
        return json_reply({})


async def serve_forever() -> None:
    """Wait until the task is cancelled."""
    await curio.Event().wait()
