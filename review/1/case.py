"""Manifests come in quick succession, and each host keeps all of them in memory."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from manifests import ORDER_PATH, app_manifest
from standins import (
    LOOPBACK,
    STAMP,
    Client,
    Deployment,
    Host,
    Replica,
    call_headers,
    run_case,
    trouble_enabled,
    write_answer,
)

HOST_NAME = "desk.example"
STABLE_WINDOW_SECONDS = 6.0
# The sheet: memory of a machine; a process over it is killed.
MEMORY_BYTES = 300 * 1024 * 1024
# Five entries of `big_config` with 350 routes each, as in the site file.
ADDED_ROUTES = 5 * 350
# Entries of `config_storm` for 1.5 s, as in a standard day, where a change comes each
# 0.06 s.
STORM_SECONDS, STORM_GAP_SECONDS, STORM_PAUSE_SECONDS = 1.5, 0.1, 0.1
MAX_STORM_SECONDS = 90.0
# The sheet: the work of an order takes 220 ms at most.
WORK_SECONDS = 0.2
CALLERS_PER_HOST = 4
# More than three requests on kept channels break the rule.
MAX_CUT = 3


class OrderReplica(Replica):
    """Runs orders and counts those whose channel was closed meanwhile."""

    def __init__(self, *args):
        super().__init__(*args)
        self.ran = set()

    async def run(self, request, writer, headers) -> bool:
        self.ran.add(headers["X-Sassafraskeel-Request-Id"])
        await asyncio.sleep(WORK_SECONDS)
        await write_answer(writer, "200 OK", headers, b"x" * 800)
        return True


class Crowd:
    """Callers that place one order after another on kept channels."""

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self.ended = False
        self.placed = self.served = 0
        # Orders that were sent on a kept channel that ended without an answer.
        self.cut: list[str] = []

    async def place_orders(self, host: Host, caller: int) -> None:
        """Place orders at a host until the host or the run ends."""
        client = Client(LOOPBACK, host.ports["front"])
        kept = False
        while not self.ended:
            self.placed += 1
            request_id = f"{host.zone[:2]}{caller:02d}{self.placed:012x}"
            headers = call_headers(HOST_NAME, request_id, 8000)
            try:
                answer = await client.call(
                    "POST", ORDER_PATH + "x", headers, b"order", 8.0
                )
            except (OSError, EOFError) as exc:
                self._deployment.record.write(
                    f"caller: {request_id} at {host.name}: the channel ended without "
                    f"an answer ({type(exc).__name__})"
                )
                client.close()
                if kept:
                    self.cut.append(request_id)
                return
            self.served += answer.status == 200 and STAMP.lower() in answer.headers
            kept = answer.complete
            if answer.status != 200:
                self._deployment.record.write(f"{request_id} got {answer.status}")
        client.close()


async def watch_memory(deployment: Deployment, killed: list[str]) -> None:
    """End processes over the memory of their machine, as the platform does."""
    record, last = deployment.record, 0.0
    while True:
        for host in deployment.hosts:
            used = host.memory_bytes()
            if used > MEMORY_BYTES:
                record.write(f"{host.name} has {used / 2**20:.0f} MiB and is killed")
                host.process.kill()
                host.process.wait()
                killed.append(host.name)
        if record.now() - last > 2.0:
            last = record.now()
            sizes = [
                f"{h.name} {h.memory_bytes() / 2**20:.0f}" for h in deployment.hosts
            ]
            record.write(f"memory in MiB: {', '.join(sizes)}")
        await asyncio.sleep(0.05)


async def write_storms(deployment: Deployment, killed: list[str]) -> int:
    """Write manifests in storms until a host was killed; return how many."""
    version, number = 10, 0
    # Two documents that differ by a route take turns, under new versions.
    marker = b'"version":0'
    documents = [app_manifest(HOST_NAME, 0, ADDED_ROUTES + n) for n in (0, 1)]
    until = time.monotonic() + MAX_STORM_SECONDS
    while time.monotonic() < until:
        for _ in range(round(STORM_SECONDS / STORM_GAP_SECONDS)):
            if len(killed) == len(deployment.hosts):
                return version - 10
            version += 1
            text = f'"version":{version}'.encode()
            document = documents[version % 2].replace(marker, text, 1)
            deployment.store.write("op/config", document)
            await asyncio.sleep(STORM_GAP_SECONDS)
        number += 1
        deployment.record.write(f"storm {number}: version {version}")
        await asyncio.sleep(STORM_PAUSE_SECONDS)
    return version - 10


async def case(deployment: Deployment) -> bool:
    """Return whether at most three orders on kept channels got no answer."""
    record = deployment.record
    deployment.regions = {"serra-a": "serra", "campos-a": "campos"}
    for zone in deployment.regions:
        deployment.replicas.append(OrderReplica(f"i-{zone}", "app", zone, 6, record))
        host = Host(f"front-{zone}-1", zone, deployment.store.address)
        deployment.hosts.append(host)
    first = app_manifest(HOST_NAME, 3, ADDED_ROUTES)
    record.write(f"the manifest has {len(first)} bytes and {ADDED_ROUTES + 2} routes")
    await deployment.start(first)
    await asyncio.sleep(STABLE_WINDOW_SECONDS + 1.0)
    crowd, killed = Crowd(deployment), []
    memory = asyncio.create_task(watch_memory(deployment, killed))
    callers = [
        asyncio.create_task(crowd.place_orders(host, number))
        for host in deployment.hosts
        for number in range(CALLERS_PER_HOST)
    ]
    written = 0
    if trouble_enabled():
        written = await write_storms(deployment, killed)
    else:
        await asyncio.sleep(20.0)
    await asyncio.sleep(1.0)
    crowd.ended = True
    await asyncio.gather(*callers)
    memory.cancel()
    ran = set().union(*(replica.ran for replica in deployment.replicas))
    lost = [request_id for request_id in crowd.cut if request_id in ran]
    record.write(f"{written} manifests were written after the first")
    record.write(f"{crowd.placed} orders were placed, {crowd.served} served")
    record.write(f"{len(killed)} of {len(deployment.hosts)} hosts ended: {killed}")
    record.write(f"{len(lost)} orders were passed on and got no answer: {lost}")
    if not crowd.served:
        raise RuntimeError("no order was served")
    return len(lost) <= MAX_CUT


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent / "record.txt")
