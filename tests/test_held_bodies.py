"""The memory for the bodies of requests that a host holds at once (issue 48)."""

import contextlib
import re
import socket
from pathlib import Path
from unittest import TestCase

from sassafraskeel.core.errors import Refusal
from sassafraskeel.core.held_memory import FREE_BYTES, MemoryBudget
from sassafraskeel.core.net import parse_address
from tests.support.routes import HOST, with_routes
from tests.test_route_faults import chunk
from tools.route_cluster import RouteCluster, call

LONG_BODY = 60_000
HEAD = (
    "POST /order/1 HTTP/1.1\r\nHost: {host}\r\nX-Sassafraskeel-Request-Id: {id}\r\n"
    "X-Sassafraskeel-Deadline-Ms: 5000\r\n{framing}\r\n\r\n"
)
# What a host of the smallest machines may take.
MAX_MEMORY_BYTES = 200_000_000
UPLOADS = 100
UPLOAD_BYTES = 2_000_000


async def begin_upload(world, number, framing, body, host=0):
    """Begin a request whose body is not complete."""
    stream = await world.network.connect(world.hosts[host].cfg.listen.callers)
    head = HEAD.format(host=HOST, id=f"u-{number}", framing=framing)
    await stream.write(head.encode() + body)
    return stream


class BudgetTest(TestCase):
    def test_given_back(self):
        """Guards against room that is lost with each body, however it ends."""
        budget = MemoryBudget(100_000)
        for _ in range(3):
            with (
                self.assertRaises(Refusal),
                budget.hold() as first,
                budget.hold() as held,
            ):
                first.add(2 * FREE_BYTES)
                for _ in range(10):
                    held.add(FREE_BYTES)
            with budget.hold() as held:
                held.add(50_000)
                self.assertEqual(budget.used, 50_000 - FREE_BYTES)
            self.assertEqual(budget.used, 0)

    def test_short_bodies(self):
        """Guards against short requests that are refused beside long ones."""
        budget = MemoryBudget(50_000)
        with budget.hold() as held:
            held.add(50_000 + FREE_BYTES)
            for size in (0, 1, FREE_BYTES):
                budget.hold().check(size)
                budget.hold().add(size)
            with self.assertRaises(Refusal):
                budget.hold().check(FREE_BYTES + 1)

    def test_longer_than_the_budget(self):
        """Guards against a body that is allowed, and refused for ever."""
        budget = MemoryBudget(50_000)
        with budget.hold() as held:
            held.check(200_000)
            held.add(200_000)
            held.add(1)


class HostTest(TestCase):
    def set_budget(self, world, max_bytes):
        for host in world.hosts:
            host._memory.max_bytes = max_bytes

    @with_routes
    async def test_uploads(self, world):
        """Guards against uploads that together take more memory than a host has."""
        self.set_budget(world, 100_000)
        length = f"Content-Length: {LONG_BODY}"
        for framing, body in (
            (length, bytes(LONG_BODY - 1)),
            ("Transfer-Encoding: chunked", chunk(bytes(LONG_BODY))),
        ):
            streams = []
            for number in range(4):
                stream = await begin_upload(world, number, framing, body)
                await world.clock.sleep(0.1)
                streams.append(stream)
            answers = [bytes(stream._buffer[:12]) for stream in streams]
            self.assertEqual(answers, [b"", b"", *[b"HTTP/1.1 503"] * 2])
            self.assertEqual((await world.call("/read/1"))[0].status, 200)
            for stream in streams:
                await stream.close()
            await world.clock.sleep(5)
            self.assertEqual(world.hosts[0]._memory.used, 0)
        head, _ = await world.call("/order/1", "POST", call_id="after")
        self.assertEqual(head.status, 200)
        self.assertEqual([world.runs(f"u-{number}") for number in range(4)], [0] * 4)

    @with_routes
    async def test_stalled_uploads(self, world):
        """Guards against uploads that stop short of their end and keep others out."""
        self.set_budget(world, 100_000)
        framing = f"Content-Length: {LONG_BODY}"
        stalled = [
            await begin_upload(world, number, framing, bytes(LONG_BODY - 1))
            for number in range(2)
        ]
        await world.clock.sleep(2)
        stream = await begin_upload(world, 2, framing, bytes(LONG_BODY))
        answer = await stream.read()
        refused = [bytes(stream._buffer[:12]) for stream in stalled]
        for other in (*stalled, stream):
            await other.close()
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        self.assertEqual(refused, [b"HTTP/1.1 503", b""])
        self.assertEqual([world.runs(f"u-{number}") for number in range(3)], [0, 0, 1])

    @with_routes(world_options={"replica_zones": ("north-a", "north-a")})
    async def test_forwarded(self, world):
        """Guards against a host that takes any body from another one, and against
        connections that are lost as it refuses one.
        """
        self.set_budget(world, 10_000)
        world.hosts[2]._memory.max_bytes = 10_000_000
        for host in world.hosts[:2]:
            host._memory.hold().add(FREE_BYTES + 1)
        framing = f"Content-Length: {LONG_BODY}"
        for _ in range(3):
            stream = await begin_upload(world, 1, framing, bytes(LONG_BODY), host=2)
            await world.clock.sleep(1)
            answer = await stream.read()
            self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertEqual(world.runs("u-1"), 0)
        self.set_budget(world, 10_000_000)
        for host in world.hosts[:2]:
            host._memory.used = 0
        stream = await begin_upload(world, 2, framing, bytes(LONG_BODY), host=2)
        self.assertTrue((await stream.read()).startswith(b"HTTP/1.1 200"))
        await world.clock.sleep(1)
        self.assertEqual([host._memory.used for host in world.hosts], [0, 0, 0])


class ProcessTest(TestCase):
    def test_memory(self):
        """Guards against a host that is killed for its memory beside long uploads.

        100 of 2 MB took 262 MB; the smallest machines have 200 MB.
        """
        with (
            RouteCluster({"north-a": (1, 1)}) as cluster,
            contextlib.ExitStack() as open_,
        ):
            [host] = cluster.hosts
            address = parse_address(host.listen["callers"])
            for number in range(UPLOADS):
                sock = open_.enter_context(socket.create_connection(address, 10))
                framing = f"Content-Length: {UPLOAD_BYTES}"
                head = HEAD.format(host=HOST, id=f"u-{number}", framing=framing)
                with contextlib.suppress(ConnectionError):
                    sock.sendall(head.encode() + bytes(UPLOAD_BYTES - 1))
            self.assertEqual(call(host, "/read/1").status, 200)
            process = cluster.processes[host.name]
            self.assertIsNone(process.poll())
            status = Path(f"/proc/{process.pid}/status").read_text(encoding="ascii")
            peak = int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024
            self.assertLess(peak, MAX_MEMORY_BYTES)
