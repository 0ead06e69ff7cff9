"""Replicas that crash on a part of a prompt, and the callers around them."""

import asyncio
import json
import random
import time

from manifests import LIMITS
from standins import LOOPBACK, STAMP, Client, Deployment, Host, Replica, call_headers

HOST_NAME = "growers.example"
ASK_PATH = "/summary/"
STABLE_WINDOW_SECONDS = 6.0
# The sheet: summaries have a latency target of 800 ms, pauses of 300 ms and 6 s.
TARGET_MS, PAUSE_MS, ASK_MS = 800, 300, 6000
# The parts of the prompts that sound requests share, and the one that crashes replicas.
SHARED_PARTS = ("5c1e07a2:2520", "91bd3f06:3780")
DEADLY_PART = "dead00aa:50"
EVENTS, EVENT_SECONDS, PREFILL_SECONDS = 8, 0.03, 0.02
RESTART_SECONDS, ENTRY_EXPIRY_SECONDS = 3.0, 3.6
# The rule speaks of the fifth crash, and of requests sent this long after it.
COUNTED_CRASHES = 5
EXCUSED_SECONDS = 2 * STABLE_WINDOW_SECONDS
MIN_REQUESTS = 20


class Trouble:
    """What the replicas saw: crashes, and the requests that they began to answer.

    With `has_event`, a replica writes its first event before it crashes.
    """

    def __init__(self, has_event: bool):
        self.has_event = has_event
        self.crashes: list[float] = []
        self.deadly_arrivals: list[float] = []
        self.begun: set[str] = set()
        self.whole: set[str] = set()

    def fifth_crash(self) -> float:
        """Return when the fifth crash was, or the last if there are fewer."""
        return self.crashes[:COUNTED_CRASHES][-1] if self.crashes else 0.0


class ModelReplica(Replica):
    """Streams events; it crashes when it begins to answer a deadly prompt."""

    def __init__(self, name, zone, deployment: Deployment, trouble: Trouble):
        super().__init__(name, "model", zone, 64, deployment.record)
        self._store, self._trouble = deployment.store, trouble
        self._boots = 0
        self._restarting = None

    async def run(self, request, writer, headers) -> bool:
        trouble = self._trouble
        parts = request.headers.get("x-sassafraskeel-prompt-prefix", "")
        deadly = DEADLY_PART in parts
        if deadly:
            trouble.deadly_arrivals.append(time.monotonic())
        await asyncio.sleep(PREFILL_SECONDS)
        if deadly and not trouble.has_event:
            return await self._crash()
        request_id = headers["X-Sassafraskeel-Request-Id"]
        trouble.begun.add(request_id)
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            if deadly:
                await asyncio.sleep(0.005)
                return await self._crash()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        trouble.whole.add(request_id)
        return True

    async def _crash(self) -> bool:
        if self._restarting is None:
            self._trouble.crashes.append(time.monotonic())
            self.record.write(f"{self.name} crashes")
            self._restarting = asyncio.create_task(self._restart())
        await asyncio.sleep(RESTART_SECONDS)
        return False

    async def _restart(self) -> None:
        """End all connections, and come back under a new id after some seconds."""
        old_key = f"servers/{self.name}"
        for writer in list(self._writers):
            writer.transport.abort()
        await self.close()
        await asyncio.sleep(RESTART_SECONDS)
        self._boots += 1
        self.restarted(f"{self.name.partition('+')[0]}+{self._boots}")
        await self.start()
        self._store.write(f"servers/{self.name}", self.entry())
        self.record.write(f"{self.name} is up")
        self._restarting = None
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS - RESTART_SECONDS)
        self._store.write(old_key, None)


class Callers:
    """Sends sound and deadly requests to hosts.

    `statuses` holds the status of each answer by request id, 0 without a whole one.
    """

    def __init__(self, deployment: Deployment, trouble: Trouble):
        self._deployment = deployment
        self._trouble = trouble
        self._rng = random.Random(6)
        self._number = 0
        self._tasks: list[asyncio.Task] = []
        self.statuses: dict[str, int] = {}

    async def send_all(self, rate: float, seconds: float, deadly: bool, results):
        """Send requests to all hosts for some seconds, at a rate for each host.

        Each entry of `results` is when a request was sent and whether it began.
        """
        sending = (
            self._send(host, rate, seconds, deadly, results)
            for host in self._deployment.hosts
        )
        await asyncio.gather(*sending)

    async def join(self) -> None:
        """Wait for the answers."""
        await asyncio.gather(*self._tasks)

    async def _send(self, host: Host, rate, seconds, deadly, results) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            call = self._ask(host, deadly, results)
            self._tasks.append(asyncio.create_task(call))
            await asyncio.sleep((0.8 + 0.4 * self._rng.random()) / rate)

    async def _ask(self, host: Host, deadly: bool, results: list) -> None:
        self._number += 1
        request_id = f"{'dead' if deadly else 'fine'}{self._number:012x}"
        headers = call_headers(HOST_NAME, request_id, ASK_MS)
        headers["X-Sassafraskeel-Token-Count"] = "9190,40"
        headers["X-Sassafraskeel-Model"] = "m"
        parts = [*SHARED_PARTS, *([DEADLY_PART] if deadly else ())]
        prompt = ",".join((*parts, f"{request_id}:2840"))
        headers["X-Sassafraskeel-Prompt-Prefix"] = prompt
        body = f"summary {request_id}".encode()
        sent_at = time.monotonic()
        client = Client(LOOPBACK, host.ports["front"])
        try:
            answer = await client.call("POST", ASK_PATH + "q", headers, body, 6.0)
            status, detail = answer.status, answer.body.decode()[:120]
            if status == 200:
                detail = "whole" if answer.complete else "cut off"
                if not answer.complete or STAMP.lower() not in answer.headers:
                    status = 0
        except (OSError, EOFError):
            status, detail = 0, "no answer"
        client.close()
        self.statuses[request_id] = status
        results.append((sent_at, request_id in self._trouble.begun))
        self._deployment.record.write(f"caller: {request_id} got {status} {detail}")


def share_of_begun(results: list[tuple[float, bool]]) -> float:
    """Return the share of requests that a replica began to answer."""
    return sum(began for _, began in results) / len(results)


def manifest() -> bytes:
    """Return a manifest with a route for summaries."""
    route = {
        "name": "r-summaries",
        "host": HOST_NAME,
        "pathPrefix": ASK_PATH,
        "kind": "streaming",
        "timeoutMs": ASK_MS,
        "targetLatencyMs": TARGET_MS,
        "gapAimMs": PAUSE_MS,
        "priority": 1,
        "service": "model",
        "attempts": 1,
        "sticky": True,
        "canResume": False,
        "homeRegions": [],
    }
    service = {"name": "model", "healthPath": "/healthz", "maxConnections": 360}
    content = {
        "version": 3,
        "routes": [route],
        "services": [service],
        "limits": LIMITS,
    }
    return json.dumps(content).encode()


async def start_deployment(deployment: Deployment, trouble: Trouble) -> None:
    """Start three hosts and five replicas in three regions, as on the sheet."""
    deployment.regions = {
        "serra-a": "serra",
        "campos-a": "campos",
        "planalto-a": "planalto",
    }
    for zone, count in (("serra-a", 2), ("campos-a", 2), ("planalto-a", 1)):
        for number in range(count):
            name = f"i-{zone}-{number}"
            replica = ModelReplica(name, zone, deployment, trouble)
            deployment.replicas.append(replica)
        host = Host(f"front-{zone}-1", zone, deployment.store.address)
        deployment.hosts.append(host)
    await deployment.start(manifest())
    await asyncio.sleep(STABLE_WINDOW_SECONDS + 1.0)
