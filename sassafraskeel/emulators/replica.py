"""Emulated replica on the users' platform, with a ledger of its runs."""

import random
from collections import Counter
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.net import Address, Network
from sassafraskeel.emulators.faults import Faults
from sassafraskeel.emulators.http_server import HttpServer, Reply, Request, json_reply

RESPONSE_STAMP = (b"x-sassafraskeel-response-stamp", b"1.1")
LIMIT_HEADER = b"server-limit"
LEAVING_HEADER = b"server-leaving"
BRITTLE_HEADER = b"server-brittle"
NOT_EXECUTED = (b"x-sassafraskeel-not-executed", b"1")

# Path at which tests read the ledger of a replica.
LEDGER_PATH = "/test/ledger"
# Path at which tests set the limit that a replica names, as the body of the request.
LIMIT_PATH = "/test/limit"
# Path at which tests set what a replica says of its leaving, as the body.
LEAVING_PATH = "/test/leaving"
# Path at which tests set the `Brittleness` of a replica, or null, as the body.
BRITTLE_PATH = "/test/brittle"
# Path at which tests set `RandomRefusals`, as the body.
REFUSALS_PATH = "/test/refusals"
# Path at which tests start a replica again, with its `Boot` as the body.
BOOT_PATH = "/test/boot"

# Time between a part of an answer and the crash of a replica.
CRASH_DELAY_SECONDS = 0.005
BOOT_SECONDS = 0.2
REJECTION_WINDOW_SECONDS = 1.0
SLOT_POLL_SECONDS = 0.002
# The answers below these paths are long.
LONG_PATH = "/read/long"
LONG_STREAM_PATH = "/stream/draft/long"
LONG_EVENT_BYTES = 1000


class Boot(NamedTuple):
    """What a replica is from one start to the next.

    `version` is that of its software, "" if its entry names none. `born` is when it
    started, in milliseconds.
    """

    name: str
    version: str = "v1"
    born: int = 1

    @property
    def software(self) -> str:
        """Return the version, or one that equals no other if the entry names none."""
        return self.version or f"{self.name}/{self.born}"


class Run(NamedTuple):
    """A request that the replica began to execute, until `ended_at`, if it ended."""

    request_id: str
    path: str
    last_event_id: str
    started_at: float
    boot: Boot
    ended_at: float | None = None


class Brittleness(NamedTuple):
    """How a brittle replica differs from a sound one.

    It crashes when it rejects more than `max_rejections` requests within a second for
    want of room. From `shrinks_after` seconds on, `queue_length` requests may wait.
    """

    max_rejections: int
    shrinks_after: float = 2.0
    queue_length: int = 0


class RandomRefusals(NamedTuple):
    """The shares of requests that are refused, of refusals that are copied and of
    copies that lack the request id, each from 0 to 1.
    """

    refused: float = 0.0
    copied: float = 0.0
    without_id: float = 0.0


class ReplicaEmulator:
    """Runs plain requests, and streams `event_count` events below /stream/.

    Each event tells the replica that wrote it, and its software version.

    `refuse`, `hang` and `fail` count the next requests that are refused unexecuted,
    never answered, and answered with 500. `crash_after` cuts each stream after that
    many events. When it would begin to answer a request to `crash_path`, or a prompt
    with the part `crash_part`, it crashes: all its connections end, a stream after its
    head and `crash_events` events, and it is back after `restart_seconds`. With
    `crash_events`, a plain answer has its head and a part of its body before. Unless
    `limit` is empty, answers and health checks name it as the requests per second that
    the replica takes. Unless `leaving` is empty, they have it as the value that says
    whether the replica leaves. Unless `retry_after` is empty, refusals have it as their
    Retry-After, and health checks are refused too while `refuse` is not 0.
    `copy_refusals` counts the next refusals of which a copy comes where the next answer
    on their connection is due, without the request id if `copies_have_id` is False.
    `random_refusals` adds refusals and copies at random. Plain answers below LONG_PATH
    have `answer_bytes` more than others, and streams below LONG_STREAM_PATH have as
    many in events of LONG_EVENT_BYTES. Unless `queue_length` is None, requests and
    health checks beyond `slots` wait, at most that many, and further ones are rejected.
    `name` is the instance id of the replica; requests that expect another instance are
    answered with 421. `version` is the version of its software in its entry.
    """

    def __init__(
        self, clock: Clock, network: Network, address: Address, name: str, zone: str
    ):
        self._clock = clock
        self.faults = Faults()
        self._server = HttpServer(clock, network, address, self.handle, self.faults)
        self.name = name
        self.zone = zone
        self.slots = 8
        self.version = "v1"
        self.born = 1
        self.delay = 0.02
        self.event_count = 5
        self.refuse = 0
        self.fail = 0
        self.hang = 0
        self.crash_after: int | None = None
        self.crash_part = ""
        self.crash_path = ""
        self.crash_events = 0
        self.restart_seconds = 3.0
        self.crashes: list[float] = []
        self.cold_ms = 0
        self.sequence = 0
        self.limit = ""
        self.leaving = ""
        self.retry_after = ""
        self.copy_refusals = 0
        self.copies_have_id = True
        self.random_refusals = RandomRefusals()
        self.answer_bytes = 0
        self.queue_length: int | None = None
        self.waiting = 0
        self.rejection_times: list[float] = []
        self._brittleness: Brittleness | None = None
        self._brittle_since = 0.0
        self._rng = random.Random(name)
        self.arrivals = 0
        self.arrival_times: list[float] = []
        self.probes = 0
        self.running = 0
        self.runs: list[Run] = []
        self.headers: list[dict[bytes, bytes]] = []

    @property
    def address(self) -> Address:
        """Return the address of the replica."""
        return self._server.address

    @property
    def boot(self) -> Boot:
        """Return what the replica is since its last start."""
        return Boot(self.name, self.version, self.born)

    @property
    def ledger(self) -> Counter:
        """Return the number of runs by request id."""
        return Counter(run.request_id for run in self.runs)

    def set_brittle(self, brittleness: Brittleness | None) -> None:
        """Let a replica be brittle from now on, or no longer."""
        self._brittleness = brittleness
        self._brittle_since = self._clock.monotonic()

    async def start(self) -> None:
        """Start serving."""
        await self._server.start()

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close()

    def store_entry(self, service: str, **fields) -> dict:
        """Return the next entry that the replica writes to the store."""
        self.sequence += 1
        version = {"version": self.version} if self.version else {}
        return {
            "service": service,
            "address": str(self.address),
            "zone": self.zone,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": self.cold_ms,
            "seqNo": self.sequence,
            "born": self.born,
            **version,
        } | fields

    async def handle(self, request: Request) -> Reply:
        """Answer one request."""
        if request.path == LEDGER_PATH:
            content = {
                "runs": self.ledger,
                "arrivals": self.arrivals,
                "arrival_times": self.arrival_times,
                "log": [run._asdict() for run in self.runs],
            }
            return json_reply(content)
        if request.path == LIMIT_PATH:
            self.limit = request.body.decode()
            return json_reply({})
        if request.path == LEAVING_PATH:
            self.leaving = request.body.decode()
            return json_reply({})
        if request.path == BRITTLE_PATH:
            values = request.json()
            self.set_brittle(None if values is None else Brittleness(*values))
            return json_reply({})
        if request.path == REFUSALS_PATH:
            self.random_refusals = RandomRefusals(*request.json())
            return json_reply({})
        if request.path == BOOT_PATH:
            await curio.spawn(self._restart, Boot(*request.json()), daemon=True)
            return json_reply({})
        if request.path == "/healthz":
            self.probes += 1
            if not await self._take_slot():
                return await self._reject(request)
            headers = [(b"x-sassafraskeel-instance-id", self.name.encode())]
            if self.cold_ms:
                cold = str(self.cold_ms).encode()
                headers.append((b"x-sassafraskeel-cold-ms", cold))
            if self.refuse and self.retry_after:
                headers.append((b"retry-after", self.retry_after.encode()))
                return Reply(503, b"{}", (*headers, *self._state_headers()))
            return Reply(200, b"{}", (*headers, *self._state_headers()))
        return await self._handle_call(request)

    async def _handle_call(self, request: Request) -> Reply:
        self.arrivals += 1
        self.arrival_times.append(self._clock.monotonic())
        self.headers.append(dict(request.headers))
        request_id = request.header(b"x-sassafraskeel-request-id")
        echo = (b"x-sassafraskeel-request-id", request_id.encode())
        if request.header(b"x-sassafraskeel-expect-instance") != self.name:
            return self._refuse(request_id, 421)
        if self.refuse or self._rng.random() < self.random_refusals.refused:
            self.refuse = max(self.refuse - 1, 0)
            retry_after = self.retry_after.encode()
            rejection = ((b"retry-after", retry_after),) if retry_after else ()
            return self._refuse(request_id, 503, NOT_EXECUTED, *rejection)
        if not await self._take_slot():
            return await self._reject(request)
        return await self._execute(request, request_id, echo)

    async def _take_slot(self) -> bool:
        """Wait for a slot; return False if there is no room to wait."""
        max_waiting = self._max_waiting()
        if max_waiting is None:
            return True
        if self.running + self.waiting >= self.slots + max_waiting:
            return False
        self.waiting += 1
        try:
            while self.running >= self.slots:
                await self._clock.sleep(SLOT_POLL_SECONDS)
        finally:
            self.waiting -= 1
        return True

    def _max_waiting(self) -> int | None:
        brittleness = self._brittleness
        if brittleness is not None:
            brittle_for = self._clock.monotonic() - self._brittle_since
            if brittle_for >= brittleness.shrinks_after:
                return brittleness.queue_length
        return self.queue_length

    async def _reject(self, request: Request) -> Reply:
        """Return the rejection of a request for want of room, or crash."""
        now = self._clock.monotonic()
        self.rejection_times.append(now)
        if self._brittleness is not None:
            since = now - REJECTION_WINDOW_SECONDS
            recent = sum(time > since for time in self.rejection_times)
            if recent > self._brittleness.max_rejections:
                self.rejection_times.clear()
                await self._crash()
        request_id = request.header(b"x-sassafraskeel-request-id")
        return self._refuse(request_id, 503, NOT_EXECUTED, self._load_header())

    def _load_header(self) -> tuple[bytes, bytes]:
        load = f"{self.running},{self.waiting},{self.slots}".encode()
        return b"x-sassafraskeel-server-load", load

    def _refuse(self, request_id: str, status: int, *headers) -> Reply:
        """Return a refusal, at times with a copy of it as an answer too many."""
        headers += self._state_headers()
        echo = (b"x-sassafraskeel-request-id", request_id.encode())
        reply = json_reply({}, status, (echo, *headers))
        is_copied = self._rng.random() < self.random_refusals.copied
        if not self.copy_refusals and not is_copied:
            return reply
        self.copy_refusals = max(self.copy_refusals - 1, 0)
        has_id = self._rng.random() >= self.random_refusals.without_id
        if has_id and self.copies_have_id:
            return reply._replace(extra=reply)
        return reply._replace(extra=json_reply({}, status, headers))

    async def _execute(self, request, request_id, echo) -> Reply:
        last_event_id = request.header(b"last-event-id")
        now = self._clock.monotonic()
        number = len(self.runs)
        run = Run(request_id, request.path, last_event_id, now, self.boot)
        self.runs.append(run)
        self.running += 1
        try:
            if self.hang:
                self.hang -= 1
                await curio.Event().wait()
            await self._clock.sleep(self.delay)
        finally:
            self.running -= 1
            self._end_run(number)
        crashes = self._crashes_on(request)
        is_stream = request.path.startswith("/stream/")
        if crashes and not is_stream and not self.crash_events:
            await self._crash()
        headers = (echo, RESPONSE_STAMP, self._load_header(), *self._state_headers())
        if self.fail:
            self.fail -= 1
            return json_reply({"error": "failed"}, 500, headers)
        if crashes and not is_stream:
            return Reply(200, self._broken_body(), headers)
        if not is_stream:
            content = {"path": request.path}
            if request.path.startswith(LONG_PATH):
                content["filler"] = "f" * self.answer_bytes
            return json_reply(content, 200, headers)
        content_type = (b"content-type", b"text/event-stream")
        stream = self._stream(number, int(last_event_id or 0), crashes)
        return Reply(200, stream, (*headers, content_type))

    def _state_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers in which the replica speaks of itself."""
        brittle = ""
        if self._brittleness is not None:
            brittle = str(self._brittleness.max_rejections)
        values = (
            (LIMIT_HEADER, self.limit),
            (LEAVING_HEADER, self.leaving),
            (BRITTLE_HEADER, brittle),
        )
        return tuple((name, value.encode()) for name, value in values if value)

    def _crashes_on(self, request: Request) -> bool:
        if request.path == self.crash_path:
            return True
        parts = request.header(b"x-sassafraskeel-prompt-prefix").split(",")[:-1]
        names = [part.partition(":")[0] for part in parts]
        return bool(self.crash_part) and self.crash_part in names

    async def _crash(self) -> None:
        """End all connections, including that of the calling task."""
        self.crashes.append(self._clock.monotonic())
        await curio.spawn(self._server.crash, self.restart_seconds, daemon=True)
        await curio.Event().wait()

    async def _restart(self, boot: Boot) -> None:
        """End all connections and go on as another boot, with the same ledger."""
        if boot == self.boot:
            return  # The answer was lost, and the request was sent again.
        await self._clock.sleep(CRASH_DELAY_SECONDS)
        self.name, self.version, self.born = boot
        await self._server.crash(BOOT_SECONDS)

    async def _broken_body(self):
        yield b"{"
        await self._clock.sleep(CRASH_DELAY_SECONDS)
        await self._crash()

    def _end_run(self, number: int) -> None:
        now = self._clock.monotonic()
        self.runs[number] = self.runs[number]._replace(ended_at=now)

    async def _stream(self, run_number: int, last_event_id: int, crashes: bool):
        self.running += 1
        writer = f"{self.name} {self.boot.software}"
        event_count = self.event_count
        if self.runs[run_number].path.startswith(LONG_STREAM_PATH):
            event_count = self.answer_bytes // LONG_EVENT_BYTES
            writer = writer.ljust(LONG_EVENT_BYTES)
        try:
            if crashes and not self.crash_events:
                await self._crash()
            for number in range(last_event_id + 1, event_count + 1):
                if crashes and number > last_event_id + self.crash_events:
                    await self._crash()
                if self.crash_after is not None and number > self.crash_after:
                    raise ConnectionLost("replica crashed during a stream")
                await self._clock.sleep(self.delay)
                yield f"id: {number}\ndata: piece {number} of {writer}\n\n".encode()
        finally:
            self.running -= 1
            self._end_run(run_number)
