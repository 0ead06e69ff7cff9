"""Compares the gateway with a bare relay, for plain and streamed answers.

Run `python -m bench.overhead`. Both forward to the same upstream under the same
closed-loop load. Rates are comparable within one run only.
"""

import json
import sys
from typing import NamedTuple

from bench.processes import (
    Processes,
    is_listening,
    processor_seconds,
    run_client,
    wait_until,
)
from bench.upstream import EVENTS_IN_STREAM

MEASURE_SECONDS = 4.0
CONNECTION_COUNTS = (1, 8, 32)
EVENTS_PER_WRITE = (1, 4, 16)
CALL_PATH = "/w/shop/chat/v1/chat/completions"


class Measurement(NamedTuple):
    """Calls per second, and processor microseconds per call of the relaying process."""

    rate: float
    cpu_us: float


def measure(process, address, path, kind, connections) -> Measurement:
    """Send load to a process and return its rate and processor time."""
    before = processor_seconds(process)
    output = run_client(
        "bench.client", address, path, kind, str(connections), str(MEASURE_SECONDS)
    )
    totals = json.loads(output)
    if totals["errors"]:
        sys.exit(f"{totals['errors']} calls failed")
    used = processor_seconds(process) - before
    return Measurement(totals["calls"] / MEASURE_SECONDS, 1e6 * used / totals["calls"])


def compare(kind: str, connections: int, events_per_write: int) -> None:
    """Measure the relay and the gateway and print one row for both."""
    with Processes() as processes:
        upstream, listen = processes.address(), processes.address()
        processes.start("bench.upstream", upstream, str(events_per_write))
        wait_until(lambda: is_listening(upstream))
        relay = processes.start("bench.relay", listen, upstream)
        wait_until(lambda: is_listening(listen))
        gateway, callers = processes.start_gateway(upstream)
        relay_result = measure(relay, listen, "/v1/chat/completions", kind, connections)
        gateway_result = measure(gateway, callers, CALL_PATH, kind, connections)
    scale = EVENTS_IN_STREAM if kind == "stream" else 1
    print(
        f"{kind:<7} {connections:>5} {events_per_write:>6}"
        f" {relay_result.rate * scale:>10.0f} {gateway_result.rate * scale:>10.0f}"
        f" {gateway_result.rate / relay_result.rate:>6.2f}"
        f" {relay_result.cpu_us / scale:>10.1f} {gateway_result.cpu_us / scale:>10.1f}",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    print("rates and processor time are per call, or per event of a stream")
    print(
        f"{'kind':<7} {'width':>5} {'events':>6} {'relay/s':>10} {'gateway/s':>10}"
        f" {'ratio':>6} {'relay us':>10} {'gw us':>10}"
    )
    for connections in CONNECTION_COUNTS:
        compare("whole", connections, 1)
    for events_per_write in EVENTS_PER_WRITE:
        compare("stream", 16, events_per_write)


if __name__ == "__main__":
    main()
