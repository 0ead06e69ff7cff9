"""Replicas send bytes that are no answer, without end (CONFIG)."""

import os
import socket
import sys
import time
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins_2 import (
    HOST_NAME,
    Deployment,
    Record,
    free_port,
    main,
    manifest,
    run_all,
    trouble,
)

ZONE = "fes-a"
TIMEOUT_SECONDS = 2.0
ROUTE = {
    "name": "drafts",
    "pathPrefix": "/draft/",
    "kind": "streaming",
    "service": "model",
    "attempts": 1,
    "timeoutMs": int(TIMEOUT_SECONDS * 1000),
    "targetLatencyMs": 800,
    "gapAimMs": 400,
}
# Clients abandon a stream after a gap of two seconds, four times the objective or eight
# times the pause, whichever is longest. PATIENCE sets another time, to try by hand.
PATIENCE_SECONDS = float(os.environ.get("PATIENCE", "3.2"))
# The rule: no final answer half a second after the time of the route.
LATE_SECONDS = 0.5
STREAMS = 32
# Half of the replicas are faulty.
FAULTY = ("r1", "r2")
READ_BYTES = 65536


def play(record: Record) -> list[str]:
    """Play the case and return how the rule was broken."""
    with Deployment(record, (ZONE,)) as deployment:
        deployment.store.put_json(
            "op/config", manifest(1, [ROUTE], [{"name": "model"}])
        )
        for name in ("r1", "r2", "r3", "r4"):
            deployment.start_replica(
                name,
                port=free_port(),
                service="model",
                zone=ZONE,
                pieces=80,
                gap=0.1,
                junk=int(trouble() and name in FAULTY),
            )
        for name in ("host-1", "host-2"):
            deployment.start_host(name, ZONE)
        deployment.wait_ready()
        time.sleep(7.0)
        ended = {}

        def send(number):
            front = deployment.hosts[f"host-{1 + number % 2}"]["front"]
            ended[number] = read_answer(record, front, f"draft-{number}")

        run_all([partial(send, number) for number in range(STREAMS)])
        time.sleep(0.5)
        late = [s for s in ended.values() if s > TIMEOUT_SECONDS + LATE_SECONDS]
        record.add(f"{len(late)} of {len(ended)} streams had no end in time")
        if len(late) >= 8 and len(late) > len(ended) / 4:
            return [
                f"{len(late)} of {len(ended)} streams had no end "
                f"{TIMEOUT_SECONDS + LATE_SECONDS:g} s after they were sent"
            ]
        return []


def read_answer(record: Record, address: str, request_id: str) -> float:
    """Return after how many seconds an answer ended, or its client lost patience."""
    ip, _, port = address.rpartition(":")
    lines = [
        "POST /draft/x HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"X-Sassafraskeel-Request-Id: {request_id}",
        "X-Sassafraskeel-Deadline-Ms: 15000",
        "Content-Length: 0",
    ]
    record.add(f"client sends {request_id}")
    size, started_at = 0, time.monotonic()
    with socket.create_connection((ip, int(port)), timeout=1.0) as sock:
        sock.sendall("".join(f"{line}\r\n" for line in [*lines, ""]).encode())
        sock.settimeout(PATIENCE_SECONDS)
        shown = "the client loses patience"
        while time.monotonic() - started_at < PATIENCE_SECONDS:
            try:
                data = sock.recv(READ_BYTES)
            except OSError as exc:
                data, shown = b"", f"{type(exc).__name__}"
            if not data or data.endswith(b"0\r\n\r\n"):
                shown = "the answer ends"
                break
            size += len(data)
        seconds = time.monotonic() - started_at
    record.add(f"client has {request_id}: {size} bytes, {shown} after {seconds:.2f} s")
    return seconds


if __name__ == "__main__":
    main(play, Path(__file__).resolve().parent / "record.txt")
