"""Replicas that send line ends, tiny events or tiny chunks without end."""

from unittest import TestCase

import h11

from sassafraskeel.calls.event_streams import MAX_EVENT_BYTES
from sassafraskeel.core.http import (
    MAX_CHUNKS_IN_TURN,
    HttpConnection,
    request_events,
)
from tests.support.clock import run_virtual
from tests.support.network import stream_pair
from tests.support.raw_server import answer_head
from tests.support.routes import with_routes
from tests.test_route_faults import KIB, STREAM_HEADERS, chunk, replace_replicas


def flood(data):
    """Return an answer with the head of a stream and some bytes without end."""

    async def answer(server, stream, request_id):
        await stream.write(answer_head(request_id, b"200 OK", *STREAM_HEADERS))
        await server.write_forever(stream, data)

    return answer


class FloodTest(TestCase):
    async def check(self, world, data, max_bytes):
        """Send a stream to a replica that floods its callers."""
        [server] = await replace_replicas(world, 1, flood(data))
        head, _ = await world.call("/stream/draft/1", "POST")
        self.assertEqual(head.status, 502)
        self.assertLess(server.written, max_bytes)
        while server.open:
            await world.clock.sleep(0.1)

    @with_routes
    async def test_empty_lines(self, world):
        """Guards against empty lines that count as events, progress and answers."""
        await self.check(world, chunk(b"\n" * 16 * KIB), 2 * MAX_EVENT_BYTES)
        name = world.replicas[0].name
        self.assertTrue(world.hosts[0]._routing_state.health.is_failing(name))

    @with_routes
    async def test_tiny_events(self, world):
        """Guards against a host that checks tiny events for all of its time."""
        await self.check(world, chunk(b"a\n\n" * 20 * KIB), 512 * KIB)

    @with_routes
    async def test_empty_lines_after_the_last_event(self, world):
        """Guards against a stream that loses the empty lines at its end."""
        whole = b"\n\nid: 1\ndata: a\n\n\n\r\n\n"

        async def answer(server, stream, request_id):
            head = answer_head(request_id, b"200 OK", *STREAM_HEADERS)
            await stream.write(head + chunk(whole) + b"0\r\n\r\n")

        await replace_replicas(world, 1, answer)
        _, body = await world.call("/stream/draft/1", "POST")
        self.assertEqual(body, whole)

    def test_tiny_chunks(self):
        """Guards against chunks of one byte that keep a host from its other calls."""

        async def main(clock):
            near, far = stream_pair()
            http = HttpConnection(near, h11.CLIENT)
            await http.send(*request_events("GET", "/", ((b"host", b"a"),), b""))
            data = answer_head(b"r", b"200 OK", *STREAM_HEADERS) + chunk(b":") * 8 * KIB
            await far.write(data + b"0\r\n\r\n")
            await http.next_event()
            sizes = []
            while part := await http.read_data():
                sizes.append(len(part))
            self.assertEqual(sum(sizes), 8 * KIB)
            self.assertLessEqual(max(sizes), MAX_CHUNKS_IN_TURN)

        run_virtual(main)
