"""Answers that go on beyond the time of their call, as replicas or readers let them."""

import itertools
from unittest import TestCase

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.http_client import connect
from tests.support.clock import run_virtual
from tests.support.raw_server import RawServer, answer_head
from tests.support.routes import with_routes
from tests.test_host import ANY_PORT, World
from tests.test_route_faults import KIB, STREAM_HEADERS, chunk, replace_replicas

CALL_SECONDS = 2.0
CALL_MS = 2000
# An answer is late half a second after the time of its route.
LATE_SECONDS = 0.5
# What a connection holds unread. A peer that sends faster than its reader reads thus
# always has data ready for it.
WINDOW_BYTES = 64 * KIB
# A caller that reads this slowly keeps its host waiting in writes only.
READ_PAUSE_SECONDS = 0.05
ONE_REPLICA = {"world_options": {"replica_zones": ("north-a",)}}
# The second host is in another region than all replicas.
TWO_HOSTS = {
    "world_options": {"replica_zones": ("north-a",), "zones": ("north-a", "south-a")}
}
CHAT_PATH = "/v1/chat/completions"
JUNK = b"\x01" * (6 * KIB) + b"\n\n"
COMMENTS = b": " + b"c" * KIB + b"\n\n"


def number_events(size):
    """Return a function that returns sound events with ids that rise."""
    numbers = iter(range(1, 1_000_000))
    return lambda: b"id: %d\ndata: %s\n\n" % (next(numbers), b"d" * size)


def flood(next_data, *headers):
    """Return an answer without end, sent as fast as it is read."""

    async def answer(server, stream, request_id):
        await stream.write(answer_head(request_id, b"200 OK", *headers))
        while True:
            await stream.write(chunk(next_data()))

    return answer


async def read_until_end(clock, conn, pause=READ_PAUSE_SECONDS):
    """Read a connection slowly; return whether it ended as complete.

    Each read takes all that has arrived, so that the time of the rest in the window
    does not count.
    """
    conn._http.read_bytes = WINDOW_BYTES
    try:
        await conn.receive_head()
        while await conn.receive_data():
            await clock.sleep(pause)
    except SassafraskeelError:
        return False
    return True


class StreamTest(TestCase):
    """Streams whose replica always has data ready, and whose caller reads slowly."""

    async def check(self, world, next_data, path="/stream/draft/1", host=0):
        """Check that an endless stream ends in time, at its replica too."""
        [server] = await replace_replicas(world, 1, flood(next_data, *STREAM_HEADERS))
        world.network.faults.window = WINDOW_BYTES
        started_at = world.clock.monotonic()
        conn = await world.open_call(path, host=host, deadline_ms=CALL_MS)
        async with world.clock.timeout(10 * CALL_SECONDS):
            self.assertFalse(await read_until_end(world.clock, conn))
            while server.open or self.running(world):
                await world.clock.sleep(0.01)
        seconds = world.clock.monotonic() - started_at
        self.assertLess(seconds, CALL_SECONDS + LATE_SECONDS)
        self.assertGreater(seconds, CALL_SECONDS - 0.1)

    def running(self, world):
        """Return how many calls the hosts count at replicas."""
        now = world.clock.monotonic()
        return sum(
            host.loads.total(replica.name, now).running
            for host in world.hosts
            for replica in world.replicas
        )

    @with_routes(**ONE_REPLICA)
    async def test_bytes_with_blank_lines(self, world):
        """Guards against bytes that are no answer and pass for events (review/9)."""
        await self.check(world, lambda: JUNK)

    @with_routes(**ONE_REPLICA)
    async def test_sound_events(self, world):
        """Guards against a sound stream without end."""
        await self.check(world, number_events(2 * KIB))

    @with_routes(**ONE_REPLICA)
    async def test_stream_that_may_be_resumed(self, world):
        """Guards against a stream that is resumed after its time."""
        await self.check(world, number_events(2 * KIB), "/stream/chat/1")

    @with_routes(**ONE_REPLICA)
    async def test_comments(self, world):
        """Guards against comments that keep a stream without an event."""
        await self.check(world, lambda: COMMENTS)

    @with_routes(**TWO_HOSTS)
    async def test_other_region(self, world):
        """Guards against a host that forwards data beyond the time of a call."""
        await self.check(world, number_events(2 * KIB), host=1)


class UnreadTest(TestCase):
    """Answers that their caller, or the host that forwarded the call, doesn't read."""

    async def check(self, world, path, next_data, *headers, host=0, frozen=None):
        """Check that replica and host are free in time while nobody reads."""
        [server] = await replace_replicas(world, 1, flood(next_data, *headers))
        world.network.faults.window = WINDOW_BYTES
        started_at = world.clock.monotonic()
        method = "GET" if path.startswith("/read") else "POST"
        conn = await world.open_call(path, method, host=host, deadline_ms=CALL_MS)
        if frozen is not None:
            await world.clock.sleep(0.5)
            world.network.faults.freeze(frozen)
        async with world.clock.timeout(10 * CALL_SECONDS):
            while not server.open:
                await world.clock.sleep(0.01)
            while server.open or world.hosts[0].request_tracker.in_flight:
                await world.clock.sleep(0.01)
        self.assertLess(
            world.clock.monotonic() - started_at, CALL_SECONDS + LATE_SECONDS
        )
        if frozen is not None:
            await world.network.faults.thaw(frozen)
        await conn.close()

    @with_routes(**ONE_REPLICA)
    async def test_caller(self, world):
        """Guards against a caller that reads nothing and keeps a slot of a replica."""
        await self.check(
            world, "/stream/draft/1", number_events(20 * KIB), *STREAM_HEADERS
        )

    @with_routes(**TWO_HOSTS)
    async def test_caller_of_another_region(self, world):
        """Guards against a host that waits for the host of such a caller."""
        await self.check(
            world, "/stream/draft/1", number_events(20 * KIB), *STREAM_HEADERS, host=1
        )

    @with_routes(**TWO_HOSTS)
    async def test_suspended_host(self, world):
        """Guards against a host that waits for a suspended one."""
        await self.check(
            world,
            "/stream/draft/1",
            number_events(20 * KIB),
            *STREAM_HEADERS,
            host=1,
            frozen="host-1",
        )

    @with_routes(**ONE_REPLICA)
    async def test_plain_answer(self, world):
        """Guards against a long answer that its caller doesn't read."""

        async def answer(server, stream, request_id):
            head = answer_head(request_id, b"200 OK", b"content-length: 1000000")
            await stream.write(head + bytes(1_000_000))

        await replace_replicas(world, 1, answer)
        world.network.faults.window = WINDOW_BYTES
        started_at = world.clock.monotonic()
        conn = await world.open_call("/read/1", "GET", deadline_ms=CALL_MS)
        await world.clock.sleep(1.0)
        self.assertEqual(world.hosts[0].request_tracker.in_flight, 1)
        async with world.clock.timeout(10 * CALL_SECONDS):
            while world.hosts[0].request_tracker.in_flight:
                await world.clock.sleep(0.01)
        self.assertLess(
            world.clock.monotonic() - started_at, CALL_SECONDS + LATE_SECONDS
        )
        await conn.close()

    @with_routes(**ONE_REPLICA)
    async def test_whole_answer_at_the_deadline(self, world):
        """Guards against a whole answer that is cut because it comes at the last
        moment.
        """

        async def answer(server, stream, request_id):
            await server.sleep(CALL_SECONDS - 0.01)
            head = answer_head(request_id, b"200 OK", b"content-length: 300000")
            await stream.write(head + bytes(300_000))

        await replace_replicas(world, 1, answer)
        world.network.faults.window = WINDOW_BYTES
        conn = await world.open_call("/read/1", "GET", deadline_ms=CALL_MS)
        conn._http.read_bytes = WINDOW_BYTES
        await conn.receive_head()
        size = 0
        while data := await conn.receive_data():
            size += len(data)
            await world.clock.sleep(0.01)
        self.assertEqual(size, 300_000)


class FloodedWorld(World):
    """Hosts of the sheet interface whose only engine sends a stream without end."""

    def __init__(self, clock):
        super().__init__(clock)
        self.engine = RawServer(clock, self.network, ANY_PORT, self.answer)
        tokens = itertools.count()
        self._flood = flood(
            lambda: (
                b'data: {"token_index": %d, "x": "%s"}\n\n' % (next(tokens), b"x" * KIB)
            ),
            *STREAM_HEADERS,
        )

    async def answer(self, server, stream, request_id):
        if server.path == CHAT_PATH:
            self.network.faults.window = WINDOW_BYTES
            await self._flood(server, stream, request_id)
        body = b'{"running": 0, "queued": 0, "slots": 8}'
        length = b"content-length: %d" % len(body)
        await stream.write(answer_head(b"", b"200 OK", length) + body)


class SheetInterfaceTest(TestCase):
    """The interface to the services of a sheet."""

    def check(self, host, *headers):
        """Return after how many seconds an endless stream ends at its engine."""

        async def main(clock):
            world = FloodedWorld(clock)
            await world.start()
            try:
                return await self.read(world, host, headers)
            finally:
                await world.close()

        return run_virtual(main)

    async def read(self, world, host, headers):
        started_at = world.clock.monotonic()
        conn = await connect(
            world.network, world.hosts[host].callers_address, world.clock
        )
        body = b'{"messages": [], "stream": true}'
        await conn.send("POST", "/w/shop/chat" + CHAT_PATH, headers, body)
        async with world.clock.timeout(1000):
            self.assertFalse(await read_until_end(world.clock, conn, 0.2))
            while any(h.request_tracker.in_flight for h in world.hosts):
                await world.clock.sleep(0.01)
        return world.clock.monotonic() - started_at

    def test_named_deadline(self):
        """Guards against a stream that goes on after the time that its caller named,
        directly and through the host of another domain.
        """
        for host in (2, 0):
            seconds = self.check(host, (b"x-deadline-ms", b"%d" % CALL_MS))
            self.assertLess(seconds, CALL_SECONDS + LATE_SECONDS, host)

    def test_no_deadline(self):
        """Guards against a long stream that is cut by the default for its begin, and
        against one without end.
        """
        seconds = self.check(2)
        self.assertGreater(seconds, 590)
        self.assertLess(seconds, 600 + LATE_SECONDS)
