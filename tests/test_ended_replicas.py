"""Replicas that end while they send an answer without a length (review/6)."""

from unittest import TestCase

from tests.support.raw_server import RawServer, answer_head
from tests.support.routes import ANY_PORT, with_routes
from tests.test_route_host import drain_stream, events

# The second host is in another region than the replicas.
HOSTS = (0, 2)
WORLD = {"world_options": {"replica_zones": ("north-a", "north-a")}}
PART = b'{"stock": '
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: a\n\n"
STREAM_TYPE = b"content-type: text/event-stream"


class EndedReplicaTest(TestCase):
    async def replace(self, world, seconds=0.05, listens=False, **entry):
        """Let a server that ends in the middle of an answer stand for a replica.

        Its connection ends cleanly, as those of a killed process do. With `listens`, it
        goes on. `entry` holds fields of its entry, written when an answer begins.
        """
        replica = world.replicas[0]

        async def answer(server, stream, request_id):
            is_stream = server.path.startswith("/stream")
            kind = (STREAM_TYPE,) if is_stream else ()
            head = answer_head(request_id, b"200 OK", *kind)
            await stream.write(head + (EVENTS if is_stream else PART))
            if entry:
                await world.register_replica(replica, address=address, **entry)
            await server.sleep(seconds)
            if not listens:
                await server.listener.close()
            await stream.close()

        network = world.network.for_node("raw")
        server = RawServer(world.clock, network, ANY_PORT, answer)
        await server.start()
        address = str(server.address)
        await world.register_replica(replica, address=address)
        return server

    async def only(self, world):
        """Leave one replica, and wait until hosts know it."""
        await world.store.write("servers/r-1", None)
        await world.clock.sleep(1)

    async def check_order(self, world, host, status, **options):
        server = await self.replace(world, **options)
        await self.only(world)
        head, body = await world.call("/order/1", "POST", host=host)
        self.assertEqual(head.status, status)
        if status == 200:
            self.assertEqual(body, PART)
        await server.close()

    @with_routes(**WORLD)
    async def test_order(self, world):
        """Guards against a part of an answer that passes for whole."""
        await self.check_order(world, 0, 502)

    @with_routes(**WORLD)
    async def test_order_of_another_region(self, world):
        """Guards against the same through another host."""
        await self.check_order(world, 2, 502)

    @with_routes(**WORLD)
    async def test_whole_answer(self, world):
        """Guards against a whole answer that is refused, while its replica goes on."""
        await self.check_order(world, 0, 200, listens=True)

    @with_routes(**WORLD)
    async def test_leaving_replica(self, world):
        """Guards against the last answer of a leaving replica, refused as a part."""
        options = {"state": "draining", "seconds": 1.0}
        await self.check_order(world, 0, 200, **options)

    @with_routes(**WORLD)
    async def test_reclaimed_replica(self, world):
        """Guards against a part of an answer of a replica whose time has run out."""
        options = {"state": "draining", "remainingMs": 1000, "seconds": 1.0}
        await self.check_order(world, 0, 502, **options)

    @with_routes(**WORLD)
    async def test_read(self, world):
        """Guards against a read that is not sent to another replica."""
        for host in HOSTS:
            await self.replace(world)
            await world.clock.sleep(1)
            for number in range(6):
                call_id = f"r-{host}-{number}"
                head, body = await world.call("/read/1", host=host, call_id=call_id)
                self.assertEqual(head.status, 200)
                self.assertNotEqual(body, PART)

    @with_routes(**WORLD)
    async def test_resumable_stream(self, world):
        """Guards against a stream that ends before its last event."""
        for seconds in (0.05, 0.5):
            server = await self.replace(world, seconds)
            await world.clock.sleep(30)
            for number in range(4):
                call_id = f"s-{seconds}-{number}"
                conn = await world.open_call("/stream/chat/1", call_id=call_id)
                body, ended = await drain_stream(conn)
                self.assertEqual((events(body), ended), ([1, 2, 3, 4, 5], True))
            await server.close()

    @with_routes(**WORLD)
    async def test_other_stream(self, world):
        """Guards against a cut stream that looks complete."""
        for host in HOSTS:
            server = await self.replace(world, 0.5)
            await self.only(world)
            await world.clock.sleep(30)
            call_id = f"d-{host}"
            conn = await world.open_call("/stream/draft/1", host=host, call_id=call_id)
            body, ended = await drain_stream(conn)
            self.assertEqual((events(body), ended), ([1, 2], False), host)
            await server.close()
