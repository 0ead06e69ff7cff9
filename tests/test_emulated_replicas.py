"""Tests of the faults that emulated replicas inject."""

import json
from unittest import TestCase

from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import connect, request_once
from sassafraskeel.emulators.replica import (
    BOOT_PATH,
    BOOT_SECONDS,
    LEDGER_PATH,
    REFUSALS_PATH,
    Boot,
    RandomRefusals,
    ReplicaEmulator,
)
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.routes import ANY_PORT

ID = b"x-sassafraskeel-request-id"
EXPECTED = b"x-sassafraskeel-expect-instance"


def with_replica(test):
    """Run an async test with a started replica in virtual time."""

    def run(self):
        async def main(clock):
            network = MemoryNetwork()
            replica = ReplicaEmulator(clock, network, ANY_PORT, "r-0", "z-0")
            await replica.start()
            try:
                await test(self, Client(clock, network, replica), replica)
            finally:
                await replica.close()

        run_virtual(main)

    return run


class Client:
    """Sends requests to a replica over one connection."""

    def __init__(self, clock, network, replica):
        self.clock, self.network, self.replica = clock, network, replica
        self.conn = None

    async def send(self, request_id, expected="r-0", path="/order/1"):
        if self.conn is None:
            self.conn = await connect(self.network, self.replica.address, self.clock)
        headers = ((b"host", b"r"), (ID, request_id), (EXPECTED, expected.encode()))
        await self.conn.send("POST", path, headers, b"")
        return await self.receive()

    async def receive(self):
        """Return the status and the request id of the next answer."""
        head = await self.conn.receive_head()
        while await self.conn.receive_data():
            pass
        self.conn.prepare_for_reuse()
        return head.status, find_header(head.headers, ID)

    async def ask(self, method, path, content=None):
        """Return the decoded answer to a request of a test."""
        body = json.dumps(content).encode()
        address = self.replica.address
        _, answer = await request_once(
            self.network, self.clock, address, method, path, body=body
        )
        return json.loads(answer)


class CopiedRefusalTest(TestCase):
    """Guards against replicas in tests that never send the copy of a refusal."""

    @with_replica
    async def test_copy_before_next_answer(self, client, replica):
        replica.refuse = replica.copy_refusals = 1
        self.assertEqual(await client.send(b"c-1"), (503, "c-1"))
        self.assertEqual(await client.send(b"c-1"), (503, "c-1"))
        self.assertEqual(replica.ledger["c-1"], 1)

    @with_replica
    async def test_copy_of_misdirected_request(self, client, replica):
        replica.copy_refusals = 1
        self.assertEqual(await client.send(b"c-1", "r-9"), (421, "c-1"))
        self.assertEqual(await client.send(b"c-2"), (421, "c-1"))
        self.assertEqual(replica.ledger["c-2"], 1)

    @with_replica
    async def test_copy_without_id(self, client, replica):
        replica.refuse = replica.copy_refusals = 1
        replica.copies_have_id = False
        await client.send(b"c-1")
        self.assertEqual(await client.send(b"c-2"), (503, ""))
        self.assertEqual(replica.ledger["c-2"], 1)

    @with_replica
    async def test_no_copy_for_late_request(self, client, replica):
        replica.refuse = replica.copy_refusals = 1
        await client.send(b"c-1")
        await client.clock.sleep(1.1)
        self.assertEqual(await client.send(b"c-2"), (200, "c-2"))

    @with_replica
    async def test_random_refusals(self, client, replica):
        await client.ask("PUT", REFUSALS_PATH, RandomRefusals(1.0, 1.0, 0.0))
        self.assertEqual(await client.send(b"c-1"), (503, "c-1"))
        await client.ask("PUT", REFUSALS_PATH, RandomRefusals())
        self.assertEqual(await client.send(b"c-2"), (503, "c-1"))
        self.assertEqual(replica.ledger, {"c-2": 1})


class BootTest(TestCase):
    @with_replica
    async def test_other_replica_at_address(self, client, replica):
        """Guards against a ledger that doesn't tell which boot ran a request."""
        await client.send(b"c-1")
        await client.ask("PUT", BOOT_PATH, Boot("r-1", "v2", 2))
        await client.clock.sleep(2 * BOOT_SECONDS)
        client.conn = None
        self.assertEqual(await client.send(b"c-2"), (421, "c-2"))
        self.assertEqual(await client.send(b"c-2", "r-1"), (200, "c-2"))
        log = (await client.ask("GET", LEDGER_PATH))["log"]
        boots = [(run["request_id"], Boot(*run["boot"])) for run in log]
        expected = [("c-1", Boot("r-0")), ("c-2", Boot("r-1", "v2", 2))]
        self.assertEqual(boots, expected)
