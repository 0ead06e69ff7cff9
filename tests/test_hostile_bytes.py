"""Replicas and callers that send bytes without end that are no content."""

import itertools
from unittest import TestCase

import h11

from sassafraskeel.calls.event_streams import MAX_EVENT_BYTES
from sassafraskeel.core.errors import AnswerTruncated, ConnectionLost
from sassafraskeel.core.http import (
    MAX_CHUNKS_IN_TURN,
    HttpConnection,
    request_events,
)
from sassafraskeel.core.net import (
    DROP_PAUSE_SECONDS,
    FAST_DROP_BYTES,
    wait_for_close,
)
from sassafraskeel.core.work_limits import ALL_REQUESTS_WORK, FREE_PIECES
from tests.support.clock import run_virtual
from tests.support.network import deliver, stream_pair
from tests.support.raw_server import answer_head
from tests.support.routes import HOST, with_routes
from tests.test_route_faults import KIB, STREAM_HEADERS, chunk, replace_replicas

# Below the limit of a single request.
SHORT_CHUNKS = 4000
MIB = 1024 * KIB
REQUEST_HEAD = (
    f"POST /order/1 HTTP/1.1\r\nHost: {HOST}\r\n"
    "X-Sassafraskeel-Request-Id: endless\r\n"
    "X-Sassafraskeel-Deadline-Ms: 5000\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()


def flood(data):
    """Return an answer with the head of a stream and some bytes without end."""

    async def answer(server, stream, request_id):
        await stream.write(answer_head(request_id, b"200 OK", *STREAM_HEADERS))
        await server.write_forever(stream, data)

    return answer


def flood_events(size):
    """Return a stream of sound events with ids that rise without end."""

    async def answer(server, stream, request_id):
        await stream.write(answer_head(request_id, b"200 OK", *STREAM_HEADERS))
        for first in itertools.count(1, size):
            numbers = range(first, first + size)
            events = b"".join(b"id: %d\ndata: a\n\n" % number for number in numbers)
            await stream.write(chunk(events))
            server.written += len(events)
            await server.sleep(0.001)

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
    async def test_chunk_extensions(self, world):
        """Guards against a replica whose chunk extensions take all of a host's time."""
        data = b"1;" + b"a=b;" * 2000 + b"\r\n\n\r\n"
        await self.check(world, data, 8 * MIB)
        name = world.replicas[0].name
        self.assertTrue(world.hosts[0]._routing_state.health.is_failing(name))

    @with_routes
    async def test_chunks_of_one_byte(self, world):
        """Guards against a replica whose tiny chunks take all of a host's time."""
        await self.check(world, chunk(b":") * KIB, 256 * KIB)
        name = world.replicas[0].name
        self.assertTrue(world.hosts[0]._routing_state.health.is_failing(name))

    @with_routes
    async def test_sound_events_without_end(self, world):
        """Guards against a replica whose short events take all of a host's time."""
        [server] = await replace_replicas(world, 1, flood_events(800))
        with self.assertRaises(AnswerTruncated):
            await world.call("/stream/draft/1", "POST", max_bytes=64 * MIB)
        name = world.replicas[0].name
        self.assertTrue(world.hosts[0]._routing_state.health.is_failing(name))
        self.assertLess(server.written, 2 * MIB)
        while server.open:
            await world.clock.sleep(0.1)

    @with_routes
    async def test_burst_after_a_pause(self, world):
        """Guards against a sound stream that is cut as it goes on after a pause."""
        events = b"".join(b"id: %d\ndata: a\n\n" % number for number in range(1, 8000))

        async def answer(server, stream, request_id):
            head = answer_head(request_id, b"200 OK", *STREAM_HEADERS)
            await stream.write(head + chunk(events[: events.index(b"id: 2\n")]))
            await server.sleep(3.2)
            rest = events[events.index(b"id: 2\n") :]
            parts = rest.split(b"\n\n")[:-1]
            await stream.write(b"".join(chunk(part + b"\n\n") for part in parts))
            await stream.write(b"0\r\n\r\n")

        await replace_replicas(world, 1, answer)
        _, body = await world.call("/stream/draft/1", "POST")
        self.assertEqual(body, events)

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

    @with_routes
    async def test_bodies_of_callers(self, world):
        """Guards against a caller whose body takes all of a host's time."""
        extensions = b"1;" + b"a=b;" * 2000 + b"\r\na\r\n"
        for data in (extensions, chunk(b"a") * KIB):
            stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
            await stream.write(REQUEST_HEAD)
            written = 0
            while not stream.has_ended() and written < 64 * MIB:
                try:
                    await stream.write(data)
                except ConnectionLost:
                    break
                written += len(data)
                await world.clock.sleep(0.001)
            self.assertIn(b"HTTP/1.1 400", await stream.read())
            self.assertLess(written, 16 * MIB)
        head, _ = await world.call("/read/1")
        self.assertEqual(head.status, 200)

    @with_routes
    async def test_short_chunks_of_many_callers(self, world):
        """Guards against bodies that each cause little work, and all of them too much.

        Before, the host parsed all of them: 1,900 such bodies kept it from an ordinary
        order for more than its deadline (issue 51).
        """
        listener = world.hosts[0].cfg.listen.callers
        streams = [await world.network.connect(listener) for _ in range(12)]
        for stream in streams:
            await stream.write(REQUEST_HEAD + chunk(b"a") * SHORT_CHUNKS)
        await world.clock.sleep(0.5)
        refused = [bytes(stream._buffer) for stream in streams if stream._buffer]
        for stream in streams:
            await stream.close()
        for answer in refused:
            self.assertIn(b"HTTP/1.1 503", answer)
        allowed = 2 * ALL_REQUESTS_WORK.burst + FREE_PIECES * len(streams)
        most = allowed / SHORT_CHUNKS
        self.assertLessEqual(len(streams) - len(refused), most)
        self.assertGreater(len(refused), 0)
        # A request with as many chunks as requests have is served beside them.
        stream = await world.network.connect(listener)
        await stream.write(REQUEST_HEAD + chunk(b"a") * FREE_PIECES + b"0\r\n\r\n")
        self.assertIn(b"HTTP/1.1 200", await stream.read())

    @with_routes
    async def test_announced_beyond_the_limit(self, world):
        """Guards against a caller that is told to send a body which is refused."""
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        head = REQUEST_HEAD.replace(
            b"Transfer-Encoding: chunked",
            b"Content-Length: 65537\r\nExpect: 100-continue",
        )
        await stream.write(head)
        answer = await stream.read()
        await stream.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer)

    def test_dropped_bytes(self):
        """Guards against a host that drops bytes without end at full speed."""

        async def main(clock):
            near, far = stream_pair()
            reads = 0
            read = near.read

            async def read_more(max_bytes=64 * KIB):
                nonlocal reads
                reads += 1
                await deliver(far, bytes(max_bytes))
                return await read(max_bytes)

            near.read = read_more
            self.assertFalse(await wait_for_close(near, clock, 1.0))
            pauses = 1.0 / DROP_PAUSE_SECONDS
            self.assertLess(reads, pauses + FAST_DROP_BYTES / (64 * KIB) + 2)

        run_virtual(main)

    def test_tiny_chunks(self):
        """Guards against chunks of one byte that keep a host from its other calls."""

        async def main(clock):
            near, far = stream_pair()
            http = HttpConnection(near, h11.CLIENT, clock)
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
