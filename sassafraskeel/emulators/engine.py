"""Emulated model engine with continuous batching."""

import hashlib
import heapq
import itertools
import json
import re
from collections import OrderedDict, deque

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.faults import Faults
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply

EVENT_STREAM = (b"content-type", b"text/event-stream")
CACHED_PREFIX_CHARACTERS = 64
MAX_CACHE_EVENTS = 1024
MAX_LOAD_SNAPSHOTS = 4096
NOT_RUN_HEADERS = ((b"x-not-run", b"1"),)
PRIORITY_PATTERN = re.compile(r"\bu=([0-7])")


class EngineEmulator:
    """Generates deterministic tokens from the prompt.

    At most `slots` requests run; further requests wait in order of priority. The
    prefill takes `prefill` seconds, or a tenth if the prompt prefix is cached. Each
    token takes `token_delay` seconds, up to twice as long when all slots are in use.
    Load reports are `report_lag` seconds old, cache events are listed `event_lag`
    seconds late, and every `event_gap`th cache event is never listed. At most
    `cache_size` prefixes are cached. Loading a model takes `load_seconds`, and a
    restart after a crash takes `restart_after` seconds.
    """

    def __init__(
        self,
        clock: Clock,
        network: Network,
        address: Address,
        slots: int = 8,
        prefill: float = 0.05,
        token_delay: float = 0.005,
        cache_size: int = 64,
        model: str = "",
        fencing: bool = False,
        load_seconds: float = 3.0,
        restart_after: float = 2.0,
    ):
        self._clock = clock
        self.faults = Faults()
        self._server = HttpServer(clock, network, address, self.handle, self.faults)
        self._slots = slots
        self._prefill = prefill
        self._token_delay = token_delay
        self._restart_after = restart_after
        self._prefix_cache: OrderedDict[str, None] = OrderedDict()
        self._cache_size = cache_size
        self._cache_events = deque(maxlen=MAX_CACHE_EVENTS)
        self._cache_event_numbers = itertools.count(1)
        self._arrival_numbers = itertools.count(1)
        self._waiting: list = []
        self._load_snapshots = deque(maxlen=MAX_LOAD_SNAPSHOTS)
        self._sent_bytes: dict[str, int] = {}
        self.control = ControlState(clock, model, fencing, load_seconds)
        self.report_lag = 0.0
        self.event_lag = 0.2
        self.event_gap = 0
        self.running = 0
        self.completed = 0
        self.cancelled = 0
        self.crashes = 0

    @property
    def address(self) -> Address:
        """Return the address of the engine."""
        return self._server.address

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    async def crash(self) -> None:
        """Drop all connections and cached prefixes, and restart after a delay."""
        self.crashes += 1
        self._prefix_cache.clear()
        self._load_snapshots.clear()
        await curio.spawn(self._server.crash, self._restart_after, daemon=True)

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == "/load":
            return json_reply(self._load_report())
        if request.path == "/cache-events":
            return self._list_cache_events(int(request.query.get("after", "0")))
        if request.path == "/progress":
            attempt = request.query.get("attempt", "")
            running = attempt in self._sent_bytes
            sent = self._sent_bytes.get(attempt, 0)
            return json_reply({"running": running, "sent": sent})
        if request.path == "/control":
            return await self.control.handle(request)
        if request.path == "/faults":
            self._set_faults(request.json())
            return json_reply({})
        if request.path != "/v1/chat/completions":
            return json_reply({"error": "no such path"}, 404)
        if self.faults.consume("refuse") or not self.control.ready:
            return json_reply({"error": "not ready"}, 503, NOT_RUN_HEADERS)
        return await self._complete(request)

    async def _complete(self, request: Request) -> Reply:
        content = request.json()
        prompt = "".join(message["content"] for message in content["messages"])
        marker = self.faults.crash_marker
        if marker and marker in prompt:
            await self.crash()
            await curio.Event().wait()
        attempt = request.header(b"x-attempt-id")
        echo = ((b"x-attempt-id", attempt.encode()),) if attempt else ()
        match = PRIORITY_PATTERN.search(request.header(b"priority"))
        tokens = self._generate(
            prompt,
            range(content.get("resume_from", 0), int(content.get("max_tokens", 16))),
            int(match[1]) if match else 3,
            attempt,
        )
        if content.get("stream"):
            body = self._stream(tokens, attempt)
            return Reply(200, body, (EVENT_STREAM, *echo))
        words = [token async for _, token in tokens]
        message = {"role": "assistant", "content": " ".join(words)}
        answer = {"choices": [{"index": 0, "message": message}]}
        return json_reply(answer, headers=echo)

    async def _stream(self, tokens, attempt):
        try:
            async for index, token in tokens:
                delta = {"choices": [{"index": 0, "delta": {"content": token}}]}
                event = f"data: {json.dumps({**delta, 'token_index': index})}\n\n"
                if attempt:
                    self._sent_bytes[attempt] += len(event)
                yield event.encode()
            yield b"data: [DONE]\n\n"
        finally:
            await tokens.aclose()

    async def _generate(self, prompt, indexes, priority, attempt):
        if attempt:
            self._sent_bytes[attempt] = 0
        finished = False
        try:
            await self._take_slot(priority)
            try:
                await self._clock.sleep(self._prefill_time(prompt))
                for index in indexes:
                    slowdown = 1.0 + self.running / self._slots
                    await self._clock.sleep(self._token_delay * slowdown)
                    yield index, token_at(prompt, index)
                finished = True
            finally:
                await self._free_slot()
        finally:
            self._sent_bytes.pop(attempt, None)
            self.completed += finished
            self.cancelled += not finished

    async def _take_slot(self, priority):
        if self.running < self._slots:
            self.running += 1
            self._record_load()
            return
        entry = (priority, next(self._arrival_numbers), curio.Event())
        heapq.heappush(self._waiting, entry)
        self._record_load()
        try:
            await entry[2].wait()
        except curio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            else:
                await self._free_slot()
            raise

    async def _free_slot(self):
        if self._waiting:  # The slot passes to the next waiting request.
            await heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1
        self._record_load()

    def _prefill_time(self, prompt) -> float:
        prefix = prefix_hash(prompt)
        cached = prefix in self._prefix_cache
        self._prefix_cache[prefix] = None
        self._prefix_cache.move_to_end(prefix)
        if not cached:
            self._record_cache_event("stored", prefix)
        while len(self._prefix_cache) > self._cache_size:
            self._record_cache_event(
                "removed", self._prefix_cache.popitem(last=False)[0]
            )
        return self._prefill * (0.1 if cached else 1.0)

    def _record_cache_event(self, kind, prefix):
        number = next(self._cache_event_numbers)
        if not self.event_gap or number % self.event_gap:
            self._cache_events.append((self._clock.monotonic(), number, kind, prefix))

    def _list_cache_events(self, after) -> Reply:
        newest = self._clock.monotonic() - self.event_lag
        return json_reply(
            {
                "events": [
                    {"number": number, "kind": kind, "prefix": prefix}
                    for recorded_at, number, kind, prefix in self._cache_events
                    if number > after and recorded_at <= newest
                ]
            }
        )

    def _record_load(self):
        load = {"running": self.running, "queued": len(self._waiting)}
        self._load_snapshots.append((self._clock.monotonic(), load))

    def _load_report(self) -> dict:
        newest = self._clock.monotonic() - self.report_lag
        load = {"running": 0, "queued": 0}
        for recorded_at, snapshot in self._load_snapshots:
            if recorded_at > newest:
                break
            load = snapshot
        return {
            **load,
            "slots": self._slots,
            "leaving": self.faults.leaving,
            "ready": self.control.ready,
            "model": self.control.model,
            "instance": f"run-{self.crashes}",
        }

    def _set_faults(self, settings):
        self.faults.update(settings)
        self.report_lag = settings.get("report_lag", self.report_lag)
        self.event_lag = settings.get("event_lag", self.event_lag)
        self.event_gap = settings.get("event_gap", self.event_gap)
        self._token_delay = settings.get("token_delay", self._token_delay)


class ControlState:
    """The model, adapters and role of an engine, and the commands that set them.

    A control command states the complete desired state. With `fencing`, a command
    is refused if its fencing number is lower than the highest one accepted.
    """

    def __init__(self, clock: Clock, model: str, fencing: bool, load_seconds: float):
        self._clock = clock
        self._fencing = fencing
        self._load_seconds = load_seconds
        self.model = model
        self.adapters: list[str] = []
        self.role = "serve"
        self.fence = 0
        self.ready = True
        self.commands: list[tuple[int, str]] = []
        self.loads_in_progress = 0
        self.max_loads_in_progress = 0

    async def handle(self, request: Request) -> Reply:
        """Answer `/control`: GET returns the state, POST applies a control command."""
        if request.method == "POST":
            command = request.json()
            if self._fencing and command["fence"] < self.fence:
                return json_reply({"error": "old fencing number"}, 409)
            self.fence = max(self.fence, command["fence"])
            await self._apply_command(command)
        return json_reply(
            {
                "model": self.model,
                "adapters": self.adapters,
                "role": self.role,
                "fence": self.fence,
                "ready": self.ready,
            }
        )

    async def _apply_command(self, command):
        self.commands.append((command["fence"], command["model"]))
        self.adapters = command.get("adapters", self.adapters)
        self.role = command.get("role", self.role)
        if command["model"] == self.model:
            return
        self.loads_in_progress += 1
        self.max_loads_in_progress = max(
            self.max_loads_in_progress, self.loads_in_progress
        )
        self.ready = False
        self.model = ""
        await curio.spawn(self._load_model, command["model"], daemon=True)

    async def _load_model(self, model):
        await self._clock.sleep(self._load_seconds)
        self.loads_in_progress -= 1
        self.model = model
        self.ready = not self.loads_in_progress


def prefix_hash(prompt: str) -> str:
    """Return the hash that identifies the prefix of a prompt in cache events."""
    prefix = prompt[:CACHED_PREFIX_CHARACTERS]
    return hashlib.sha256(prefix.encode()).hexdigest()[:16]


def token_at(prompt: str, index: int) -> str:
    """Return the token that every engine generates for a prompt at an index."""
    return hashlib.sha256(f"{prompt}/{index}".encode()).hexdigest()[:8]
