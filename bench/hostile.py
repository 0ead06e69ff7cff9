"""Measures how hostile bytes of one peer delay the other calls of a gateway.

Run `python -m bench.hostile`. Calls to a sound upstream arrive at a fixed rate, first
alone, then beside a caller or an upstream that sends bytes without end, for each of
some patterns. Quantiles are comparable within one run only.
"""

import json
import sys
import time
from typing import NamedTuple

import curio

from bench.processes import (
    SHEET,
    Processes,
    is_listening,
    processor_seconds,
    run_client,
    wait_until,
)
from bench.upstream import LOAD_BODY, json_answer
from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.errors import ConnectionLost
from sassafraskeel.core.http_client import request_once
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.turns import TurnTimer

CALLS_PER_SECOND = 50.0
MEASURE_SECONDS = 10.0
FLOOD_BYTES_PER_SECOND = 2_800_000
FLOOD_WRITE_SECONDS = 0.01
# A caller and an upstream that were cut off begin again after this time.
RETRY_SECONDS = 0.05
SOUND_PATH = "/w/shop/chat/v1/chat/completions"
HOSTILE_PATH = "/w/shop/flood/v1/chat/completions"
HOSTILE_ROWS = """service,flood,,,,model,here,,
upstream,flood-1,here-a,{flood},flood,,,,256
"""
EVENTS = b"".join(b'data: {"token_index": %d}\n\n' % number for number in range(50))
PATTERNS = {
    "one-byte chunks": b"1\r\n:\r\n" * 200,
    "chunk extensions": b"1;" + b"a=b;" * 1000 + b"\r\n:\r\n",
    "line ends": b"1000\r\n" + b"\n" * 4096 + b"\r\n",
    "short events": f"{len(EVENTS):x}\r\n".encode() + EVENTS + b"\r\n",
}
REQUEST_HEAD = (
    f"POST {SOUND_PATH} HTTP/1.1\r\nHost: bench\r\nTransfer-Encoding: chunked\r\n\r\n"
).encode()
ANSWER_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class Delays(NamedTuple):
    """Quantiles of latencies in ms, failed calls, and the gateway's processor share."""

    median: float
    p99: float
    failed: int
    processor: float


async def flood(stream, pattern: str) -> None:
    """Write a pattern at a fixed rate until the peer closes; raise ConnectionLost."""
    data, debt = PATTERNS[pattern], 0.0
    while True:
        debt += FLOOD_BYTES_PER_SECOND * FLOOD_WRITE_SECONDS
        count = int(debt / len(data))
        debt -= count * len(data)
        await stream.write(data * count)
        await curio.sleep(FLOOD_WRITE_SECONDS)


async def send_requests(address: str, pattern: str) -> None:
    """Send requests without end, one after the other."""
    while True:
        try:
            stream = await TcpNetwork().connect(parse_address(address))
            await stream.write(REQUEST_HEAD)
            await flood(stream, pattern)
        except ConnectionLost:
            await stream.close()
            await curio.sleep(RETRY_SECONDS)


async def serve_floods(listen: str, pattern: str) -> None:
    """Answer calls without end, and load reports."""
    listener = await TcpNetwork().listen(parse_address(listen))

    async def handle(stream):
        try:
            while head := await stream.read():
                if head.startswith(b"GET /load"):
                    await stream.write(json_answer(LOAD_BODY))
                else:
                    await stream.write(ANSWER_HEAD)
                    await flood(stream, pattern)
        except ConnectionLost:
            pass  # The gateway closed its connection.
        finally:
            await stream.close()

    while True:
        await curio.spawn(handle, await listener.accept(), daemon=True)


async def ask_for_floods(address: str) -> None:
    """Call the upstream that floods, again and again."""
    clock = SystemClock()
    while True:
        try:
            await call(clock, TcpNetwork(), address, HOSTILE_PATH)
        except ConnectionLost:
            pass
        await clock.sleep(RETRY_SECONDS)


async def call(clock, network, address: str, path: str) -> int:
    """Make one call and return the status of its answer."""
    content = {"messages": [{"role": "user", "content": "x" * 200}], "stream": True}
    if path == SOUND_PATH:
        del content["stream"]
    body = json.dumps(content).encode()
    head, _ = await request_once(
        network, clock, parse_address(address), "POST", path, (), body, 1 << 30
    )
    return head.status


async def send_calls(turns: TurnTimer, address: str) -> None:
    """Send calls at a fixed rate; print latencies in ms and failures as JSON."""
    clock, network = SystemClock(), TcpNetwork(turns=turns)
    latencies, failures = [], []

    async def send():
        started_at = time.monotonic()
        status = await call(clock, network, address, SOUND_PATH)
        latencies.append(1000 * (time.monotonic() - started_at))
        if status != 200:
            failures.append(status)

    started_at = time.monotonic()
    tasks = []
    for number in range(int(CALLS_PER_SECOND * MEASURE_SECONDS)):
        due = started_at + number / CALLS_PER_SECOND
        await curio.sleep(max(due - time.monotonic(), 0))
        tasks.append(await curio.spawn(send))
    for task in tasks:
        await task.join()
    print(json.dumps({"latencies": latencies, "failed": len(failures)}))


def measure(peer: str, pattern: str) -> Delays:
    """Measure calls beside a hostile peer: none, a caller or an upstream."""
    with Processes() as processes:
        upstream, hostile = processes.address(), processes.address()
        processes.start("bench.upstream", upstream, "1")
        wait_until(lambda: is_listening(upstream))
        if peer == "upstream":
            processes.start("bench.hostile", "serve", hostile, pattern)
            wait_until(lambda: is_listening(hostile))
        rows = HOSTILE_ROWS.format(flood=hostile) if peer == "upstream" else ""
        gateway, callers = processes.start_gateway(upstream, SHEET + rows)
        if peer == "upstream":
            processes.start("bench.hostile", "ask", callers)
        elif peer == "caller":
            processes.start("bench.hostile", "send", callers, pattern)
        time.sleep(1.0)
        before = processor_seconds(gateway)
        totals = json.loads(run_client("bench.hostile", "calls", callers))
        processor = (processor_seconds(gateway) - before) / MEASURE_SECONDS
    latencies = sorted(totals["latencies"])
    p99 = latencies[int(0.99 * len(latencies))]
    return Delays(latencies[len(latencies) // 2], p99, totals["failed"], processor)


def main() -> None:
    """Print the table."""
    columns = ("p50 ms", "p99 ms", "ratio", "failed", "cores")
    print(f"{'peer':<9} {'pattern':<17}", *(f"{name:>7}" for name in columns))
    usual = None
    cases = [("none", "-")]
    cases += [(peer, name) for peer in ("caller", "upstream") for name in PATTERNS]
    for peer, pattern in cases:
        delays = measure(peer, pattern)
        usual = usual or delays
        ratio = delays.p99 / usual.p99
        print(
            f"{peer:<9} {pattern:<17} {delays.median:>7.1f} {delays.p99:>7.1f}"
            f" {ratio:>7.2f} {delays.failed:>7} {delays.processor:>7.2f}",
            flush=True,
        )


if __name__ == "__main__":
    command, *arguments = sys.argv[1:] or ["table"]
    if command == "calls":
        turns = TurnTimer(SystemClock(), NullLog())
        curio.run(send_calls, turns, *arguments, activations=[turns])
    elif command == "send":
        curio.run(send_requests, *arguments)
    elif command == "serve":
        curio.run(serve_floods, *arguments)
    elif command == "ask":
        curio.run(ask_for_floods, *arguments)
    else:
        main()
