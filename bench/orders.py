"""Measures the memory, hashing time and processor time of at-most-once orders.

Run `python -m bench.orders`.
"""

import json
import time
import tracemalloc
from datetime import UTC, datetime

from bench.processes import processor_seconds, run_client
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.decisions.ledger import Ledger, StoredAnswer
from sassafraskeel.decisions.ownership import owner_and_witness
from tests.support.orders import order_id
from tools.cluster import Cluster
from tools.deployments import COOPERATIVA, ReplicaGroup

RECORD_COUNTS = (2000, 8000, 32000)
MEMBER_COUNTS = (2, 3, 6, 12)
HOST_COUNTS = (1, 2, 3, 6)
HASH_COUNT = 20000
MEASURE_SECONDS = 5.0
CONNECTIONS = 8
ANSWER = b'{"order": "0190c1e3-0000-7000-8000-000000000001", "accepted": true}'


def measure_records(count: int) -> None:
    """Print the memory of a ledger with a number of records."""
    now = datetime.now(UTC)
    tracemalloc.start()
    ledger = Ledger(OrderSection())
    for number in range(count):
        record = ledger.begin_attempt(order_id(now, number), bytes(32), 1, 0.0)
        ledger.close_attempt(record, StoredAnswer(201, (), bytes(bytearray(ANSWER))))
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    print(f"{count:>7} records {used / 2**20:>8.2f} MB {used / count:>7.0f} bytes each")


def measure_hash(members: int) -> None:
    """Print the processor time to find an id's owner and witness in a view."""
    names = tuple(f"{number:032x}" for number in range(members))
    text = order_id(datetime.now(UTC), 1)
    started = time.process_time()
    for _ in range(HASH_COUNT):
        owner_and_witness(text, names)
    used = time.process_time() - started
    print(f"{members:>7} members {1e6 * used / HASH_COUNT:>8.1f} us per id")


def measure_orders(hosts: int) -> None:
    """Print the processor time of an order in a failure domain, over all hosts."""
    deployment = COOPERATIVA._replace(
        regions={"serra-a": "serra"},
        hosts={"serra-a": hosts},
        replicas=(ReplicaGroup(COOPERATIVA.plain_service, "serra-a", 1),),
        workspaces={"press-serra": "serra-a"},
    )
    with Cluster(deployment) as cluster:
        cluster.accept_sheet()
        cluster.wait_for(lambda: cluster.can_place_order("press-serra"))
        processes = [cluster.processes[gw.name] for gw in cluster.gateways]
        before = sum(map(processor_seconds, processes))
        address = cluster.gateways[0].callers
        path = f"/w/press-serra/{COOPERATIVA.plain_service}/orders"
        output = run_client(
            "bench.client",
            address,
            path,
            "order",
            str(CONNECTIONS),
            str(MEASURE_SECONDS),
        )
        used = sum(map(processor_seconds, processes)) - before
    totals = json.loads(output)
    calls = totals["calls"]
    print(
        f"{hosts:>7} hosts {calls / MEASURE_SECONDS:>8.0f} orders/s"
        f" {1e6 * used / calls:>8.0f} us per order on all hosts together"
        f" {totals['errors']:>5} refused",
        flush=True,
    )


def main() -> None:
    """Run all measurements."""
    for count in RECORD_COUNTS:
        measure_records(count)
    for members in MEMBER_COUNTS:
        measure_hash(members)
    for hosts in HOST_COUNTS:
        measure_orders(hosts)


if __name__ == "__main__":
    main()
