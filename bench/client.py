"""A closed-loop client that counts its calls in a given time."""

import json
import sys
import time

import curio
import h11

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.http import HttpConnection, request_events
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import TcpNetwork, parse_address
from sassafraskeel.core.turns import TurnTimer
from tools.cluster import new_order_id


async def main(
    turns: TurnTimer,
    address: str,
    path: str,
    kind: str,
    connections: str,
    seconds: str,
) -> None:
    """Send calls on `connections` connections for `seconds` and print totals as JSON.

    The totals are the calls, the bytes of their bodies and the error statuses.
    """
    clock, network = SystemClock(), TcpNetwork(turns=turns)
    content = {"messages": [{"role": "user", "content": "x" * 200}]}
    if kind == "stream":
        content["stream"] = True
    body = json.dumps(content).encode()
    host_header = (b"host", address.encode())

    def request():
        if kind != "order":
            return request_events("POST", path, (host_header,), body)
        key = (b"idempotency-key", new_order_id().encode())
        return request_events("POST", path, (host_header, key), b"{}")

    totals = {"calls": 0, "bytes": 0, "errors": 0}
    expires = time.monotonic() + float(seconds)

    async def run_connection():
        stream = await network.connect(parse_address(address))
        http = HttpConnection(stream, h11.CLIENT, clock)
        while time.monotonic() < expires:
            await http.send(*request())
            response = await http.next_event()
            totals["errors"] += response.status_code >= 300
            while data := await http.read_data():
                totals["bytes"] += len(data)
            totals["calls"] += 1
            http.h11.start_next_cycle()

    tasks = [await curio.spawn(run_connection) for _ in range(int(connections))]
    for task in tasks:
        await task.join()
    print(json.dumps(totals))


if __name__ == "__main__":
    turns = TurnTimer(SystemClock(), NullLog())
    curio.run(main, turns, *sys.argv[1:], activations=[turns])
