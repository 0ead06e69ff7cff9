"""Replicas in trouble: a status that is none, and answers before the end of an upload
(issue 48, MIXED)."""

from unittest import TestCase

from sassafraskeel.core.errors import ProtocolError, Refusal, SassafraskeelError
from sassafraskeel.core.http import find_header
from sassafraskeel.core.http_client import connect, request_once
from sassafraskeel.core.types import CallKind
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork
from tests.support.raw_server import RawServer, answer_head
from tests.support.routes import ANY_PORT, HOST, with_routes
from tests.support.upstreams import answer_or_error, with_upstreams
from tests.test_route_faults import KIB, replace_replicas

SIGNATURE = b"x-sassafraskeel-response-stamp"
# A status code is a number from 100 to 599 (RFC 9110, section 15).
WRONG_STATUSES = (b"000", b"042", b"099", b"600", b"777", b"999")
BODY = b'{"stock": 12}'
LENGTH = b"content-length: %d" % len(BODY)
# The second one is in another region.
HOSTS = (0, 2)
WORLD = {"world_options": {"replica_zones": ("north-a", "north-a")}}
UPLOAD_BYTES = 300 * KIB
WINDOW_BYTES = 64 * KIB


class StatusTest(TestCase):
    @with_routes(**WORLD)
    async def test_order(self, world):
        """Guards against a status that is none and is passed on as an answer."""
        for host in HOSTS:
            for status in (*WRONG_STATUSES, b"599"):
                await self.check_order(world, host, status)

    async def check_order(self, world, host, status):
        """Check the answer to an order that a replica answers with a status."""
        call_ids = []

        async def answer(server, stream, request_id):
            call_ids.append(request_id)
            await stream.write(answer_head(request_id, status, LENGTH) + BODY)

        servers = await replace_replicas(world, 1, answer)
        # A replica that failed is used again after some seconds.
        await world.clock.sleep(30)
        head, _ = await world.call("/order/1", "POST", host=host)
        expected = 599 if status == b"599" else 502
        self.assertEqual(head.status, expected, (host, status))
        is_signed = bool(find_header(head.headers, SIGNATURE))
        self.assertEqual(is_signed, expected == 599, (host, status))
        self.assertEqual(call_ids, [b"c-1"])
        for server in servers:
            await server.close()

    @with_routes(**WORLD)
    async def test_read(self, world):
        """Guards against a read that is not sent to another replica after that."""
        replica = world.replicas[1]

        async def answer(server, stream, request_id):
            await stream.write(answer_head(request_id, b"999", LENGTH) + BODY)

        await replace_replicas(world, 1, answer)
        await world.register_replica(replica)
        await world.clock.sleep(1)
        for number in range(8):
            call_id = f"r-{number}"
            head, _ = await world.call("/read/1", call_id=call_id)
            self.assertEqual(head.status, 200)
            self.assertEqual(replica.ledger[call_id], 1)

    @with_upstreams()
    async def test_sheet_interface(self, fixture):
        """Guards against such a status of an upstream of the sheet interface."""
        handle = fixture.desk.handle

        async def answer(request):
            reply = await handle(request)
            return reply if request.path == "/load" else reply._replace(status=999)

        fixture.desk._server._handler = answer
        for kind in (CallKind.READ, CallKind.ORDER):
            upstream, call = fixture.upstream("desk-0"), fixture.call(kind)
            result = await answer_or_error(fixture.client, upstream, call)
            self.assertIsInstance(result, Refusal)

    def test_other_servers(self):
        """Guards against such a status of the store or in a health check."""

        async def main(clock):
            network = MemoryNetwork()

            async def answer(server, stream, request_id):
                await stream.write(answer_head(b"", b"999", LENGTH) + BODY)

            server = RawServer(clock, network, ANY_PORT, answer)
            await server.start()
            with self.assertRaises(ProtocolError):
                await request_once(network, clock, server.address, "GET", "/")
            await server.close()

        run_virtual(main)


class UploadTest(TestCase):
    """An upload is under way when its replica answers with a part and resets."""

    @with_routes(**WORLD)
    async def test_reset(self, world):
        """Guards against a part of an answer that passes for whole, since the reset is
        seen by the upload and not by the reading.
        """
        for host in HOSTS:
            for path in ("/order/1", "/stream/draft/1"):
                for delay in (0.0, 0.05, 0.4):
                    await self.check(world, host, path, delay)

    async def check(self, world, host, path, delay):
        async def answer(server, stream, request_id):
            if delay:
                await server.sleep(delay)
            content = b"text/event-stream" if "stream" in path else b"application/json"
            head = answer_head(request_id, b"200 OK", b"content-type: " + content)
            await stream.write(head + b"id: 1\ndata: a part\n\n")
            await stream.reset()

        servers = await replace_replicas(world, 1, answer)
        await world.clock.sleep(30)
        world.network.faults.window = WINDOW_BYTES
        conn = await connect(
            world.network, world.hosts[host].cfg.listen.callers, world.clock
        )
        fields = (
            (b"host", HOST.encode()),
            (b"x-sassafraskeel-request-id", b"c-1"),
            (b"x-sassafraskeel-deadline-ms", b"5000"),
        )
        await conn.send("POST", path, fields, bytes(UPLOAD_BYTES))
        is_whole = True
        try:
            head = await conn.receive_head()
            is_whole = head.status < 300
            while await conn.receive_data():
                pass
        except SassafraskeelError:
            is_whole = False
        self.assertFalse(is_whole, (host, path, delay))
        await conn.close()
        world.network.faults.window = float("inf")
        for server in servers:
            await server.close()
