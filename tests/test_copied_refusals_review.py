"""Calls of a region whose replicas send copies of any of their answers, at any time."""

import json
import random
from typing import NamedTuple
from unittest import TestCase

import curio

from sassafraskeel.core.errors import ConnectionLost, SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import CallKind
from tests.support.copying_replica import (
    EMPTY,
    NOT_EXECUTED,
    STREAM_TYPE,
    CopyingReplica,
)
from tests.support.raw_server import RawServer, answer_head
from tests.support.routes import ANY_PORT, with_routes
from tests.support.scripted_replicas import NORTH_MANIFEST
from tests.support.upstreams import answer_or_error, with_upstreams

SEEDS = range(12)
CALLERS = 5
CALLS = 16
MAX_LATE_SECONDS = 1.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
EVENT_COUNT = 5
EVENT_SECONDS = 0.06
# Rule TWICE: a stream may overlap with its former run for this long.
OVERLAP_SECONDS = 0.4
WORLD = {"replica_zones": ("north-a", "north-a", "north-a", "north-a")}


class GarbledRun(NamedTuple):
    """A run of a call in monotonic seconds; `stamp` is in the body of its answer."""

    call_id: str
    stamp: str
    began_at: float
    ended_at: float


class GarblingReplica:
    """Refuses, fails and answers calls by chance, and sends copies of these answers.

    A copy comes at once, before the answer that is due next, or up to a second later;
    it never interrupts another answer.
    """

    def __init__(self, world, number, rng, runs):
        self.name = world.replicas[number].name
        self._world = world
        self._replica = world.replicas[number]
        self._rng = rng
        self._runs = runs
        self.copies = 0
        self._due = {}
        self._locks = {}
        self._tasks = SupervisedTaskGroup(lambda exc: None)
        network = world.network.for_node(f"raw-{self.name}")
        self._server = RawServer(world.clock, network, ANY_PORT, self._answer)

    async def start(self):
        await self._server.start()
        entry = self._replica.store_entry("desk", address=str(self._server.address))
        for name in (self.name, f"former-{self.name}"):
            await self._world.store.write(f"servers/{name}", json.dumps(entry).encode())

    async def close(self):
        await self._tasks.close()
        await self._server.close()

    async def _answer(self, server, stream, request_id):
        lock = self._locks.setdefault(stream, curio.Lock())
        if self._due.get(stream):
            async with lock:
                await stream.write(self._due.pop(stream))
        path, expected = server.path, server.expected
        resumed_after = server.resumed_after
        if not request_id:
            name = b"x-sassafraskeel-instance-id: " + self.name.encode()
            await self._send(stream, lock, answer_head(b"", b"200 OK", name, EMPTY))
        elif expected != self.name:
            head = answer_head(
                request_id, b"421 Misdirected Request", NOT_EXECUTED, EMPTY
            )
            await self._send(stream, lock, head)
        elif self._rng.random() < 0.3:
            status = self._rng.choice((b"503 Busy", b"429 Busy"))
            data = answer_head(request_id, status, NOT_EXECUTED, b"content-length: 2")
            await self._send(stream, lock, data + b"no")
        elif path.startswith("/stream/"):
            await self._stream(stream, lock, request_id, resumed_after)
        else:
            await self._run(stream, lock, request_id)

    async def _run(self, stream, lock, request_id):
        began_at = self._world.clock.monotonic()
        await self._world.clock.sleep(self._rng.uniform(0.01, 0.3))
        stamp = self._record(request_id, began_at)
        if self._rng.random() < 0.1:
            await self._send(stream, lock, answer_head(request_id, b"500 Oh", EMPTY))
            return
        length = f"content-length: {len(stamp)}".encode()
        data = answer_head(request_id, b"200 OK", length) + stamp.encode()
        if self._rng.random() < 0.1:
            data = b"HTTP/1.1 102 Processing\r\n\r\n" + data
        await self._send(stream, lock, data)

    async def _stream(self, stream, lock, request_id, resumed_after):
        began_at = self._world.clock.monotonic()
        cut_after = self._rng.choice((None, None, 1, 3))
        chunked = b"transfer-encoding: chunked"
        try:
            async with lock:
                await stream.write(
                    answer_head(request_id, b"200 OK", STREAM_TYPE, chunked)
                )
                for number in range(resumed_after + 1, EVENT_COUNT + 1):
                    if number == cut_after:
                        await stream.reset()
                        raise ConnectionLost("cut")
                    await self._world.clock.sleep(EVENT_SECONDS)
                    if stream.has_ended():
                        raise ConnectionLost("closed")
                    event = f"id: {number}\ndata: x\n\n".encode()
                    await stream.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await stream.write(b"0\r\n\r\n")
        finally:
            self._record(request_id, began_at)
        await self._copy(
            stream, lock, answer_head(request_id, b"200 OK", STREAM_TYPE, EMPTY)
        )

    def _record(self, request_id, began_at):
        stamp = f"{self.name}/{len(self._runs)}"
        now = self._world.clock.monotonic()
        self._runs.append(GarbledRun(request_id.decode(), stamp, began_at, now))
        return stamp

    async def _send(self, stream, lock, data):
        async with lock:
            await stream.write(data)
        await self._copy(stream, lock, data)

    async def _copy(self, stream, lock, data):
        chance = self._rng.random()
        self.copies += chance < 0.75
        if chance < 0.15:
            async with lock:
                await stream.write(data)
        elif chance < 0.45:
            self._due[stream] = self._due.get(stream, b"") + data
        elif chance < 0.75:
            seconds = self._rng.uniform(0, MAX_LATE_SECONDS)
            await self._tasks.spawn(self._send_late, stream, lock, data, seconds)

    async def _send_late(self, stream, lock, data, seconds):
        await self._world.clock.sleep(seconds)
        try:
            async with lock:
                await stream.write(data)
        except ConnectionLost:
            return


class AnyCopyTest(TestCase):
    def test_any_copy(self):
        """Guards against calls that run twice, or have run though refused as not run.

        Callers use the id of a refused call again, at the same host or another one.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self._play(seed)

    def _play(self, seed):
        rng = random.Random(seed)
        case = self

        @with_routes(world_options=WORLD, document=NORTH_MANIFEST)
        async def play(self, world):
            runs, answers = [], {}
            replicas = [GarblingReplica(world, n, rng, runs) for n in range(4)]
            for replica in replicas:
                await replica.start()
            await world.clock.sleep(1)
            tasks = [
                await curio.spawn(send_calls, world, rng, number, answers)
                for number in range(CALLERS)
            ]
            for task in tasks:
                await task.join()
            await world.clock.sleep(3)
            for replica in replicas:
                await replica.close()
                case.assertGreater(replica.copies, 0)
            case.check(runs, answers)

        play(self)

    def check(self, runs, answers):
        by_call = {}
        for run in sorted(runs, key=lambda run: run.began_at):
            by_call.setdefault(run.call_id, []).append(run)
        twice, refused, mixed, overlaps = [], [], [], []
        for (kind, call_id), (status, body) in answers.items():
            call_runs = by_call.get(call_id, [])
            if kind in ("order", "draft") and len(call_runs) > 1:
                twice.append(call_id)
            if kind in ("order", "draft") and status in NOT_RUN_STATUSES and call_runs:
                refused.append(call_id)
            stamps = [run.stamp.encode() for run in call_runs]
            if status == 200 and kind in ("order", "read") and body not in stamps:
                mixed.append(call_id)
            if kind == "chat":
                for first, second in zip(call_runs, call_runs[1:], strict=False):
                    if second.began_at < first.ended_at - OVERLAP_SECONDS:
                        overlaps.append(call_id)
        self.assertEqual((twice, refused, mixed, overlaps), ([], [], [], []))


async def send_calls(world, rng, caller, answers):
    paths = {
        "order": "/order/",
        "read": "/read/",
        "chat": "/stream/chat/",
        "draft": "/stream/draft/",
    }
    for number in range(CALLS):
        kind = rng.choice(("order", "order", *paths))
        call_id = f"{kind}-{caller}-{number}"
        for _ in range(3):
            method = "GET" if kind == "read" else "POST"
            try:
                head, body = await world.call(
                    paths[kind] + str(number), method, rng.randrange(3), call_id
                )
                answers[kind, call_id] = head.status, body
            except SassafraskeelError as exc:
                answers[kind, call_id] = type(exc).__name__, b""
            if answers[kind, call_id][0] != 503:
                break
            await world.clock.sleep(rng.choice((0, 0.1, 0.5)))


class OtherCallTest(TestCase):
    @with_routes(world_options=WORLD)
    async def test_copy_of_another_id(self, world):
        """Guards against an order that ran and is answered with an unknown outcome.

        The copy of the refusal of another order arrives where its answer is due, and
        the id tells that it is not the answer.
        """
        runs, statuses = [], {}
        replicas = [CopyingReplica(world, number, runs) for number in range(4)]
        for number, replica in enumerate(replicas):
            await replica.start()
            await replica.register(f"former-{number}")
        await world.clock.sleep(1.5)
        for number in range(CALLS):
            head, _ = await world.call(f"/order/{number}", "POST", 0, f"c-{number}")
            statuses[f"c-{number}"] = head.status
        for replica in replicas:
            await replica.close()
        ran = {run.call_id for run in runs}
        failed = [name for name in ran if statuses[name] != 200]
        self.assertEqual(sorted(failed), [])


class CallerLeavesTest(TestCase):
    @with_routes(world_options=WORLD, document=NORTH_MANIFEST)
    async def test_caller_leaves_during_rejection(self, world):
        """Guards against connections that stay open after their caller has left.

        The body of a rejection does not arrive before the caller closes.
        """
        opened = []

        async def refuse(server, stream, request_id):
            if not request_id:
                name = b"x-sassafraskeel-instance-id: " + server.expected.encode()
                await stream.write(answer_head(b"", b"200 OK", name, EMPTY))
                return
            opened.append(stream)
            length = b"content-length: 9"
            head = answer_head(request_id, b"503 Busy", NOT_EXECUTED, length)
            await stream.write(head)

        network = world.network.for_node("raw")
        server = RawServer(world.clock, network, ANY_PORT, refuse)
        await server.start()
        for replica in world.replicas:
            entry = replica.store_entry("desk", address=str(server.address))
            value = json.dumps(entry).encode()
            await world.store.write(f"servers/{replica.name}", value)
        await world.clock.sleep(1)
        conn = await world.open_call("/read/1", "GET")
        while not opened:
            await world.clock.sleep(0.01)
        await world.clock.sleep(0.05)
        await conn.close()
        await world.clock.sleep(2)
        self.assertTrue(opened[0].has_ended())
        await server.close()


class SheetAnswerTest(TestCase):
    @with_upstreams()
    async def test_copy_of_poll_answer(self, fixture):
        """Guards against an order that is answered with the answer to its poll.

        A late copy of that answer arrives where the answer to the order is due.
        """
        report = b'{"running": 0, "leaving": false}'
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"

        async def answer(server, stream, request_id):
            data = head % len(report) + report
            if server.path == "/load":
                await stream.write(data)
            else:
                await stream.write(data + head % 4 + b"done")

        server = RawServer(fixture.clock, fixture.network, ANY_PORT, answer)
        await server.start()
        upstream = fixture.upstream("desk-0")._replace(address=server.address)
        fixture.sheet.upstreams["desk-0"] = upstream
        call = fixture.call(CallKind.ORDER)
        result = await answer_or_error(fixture.client, upstream, call)
        await server.close()
        self.assertNotEqual(result, report)

    @with_upstreams()
    async def test_copy_of_earlier_answer(self, fixture):
        """Guards against a read that is answered with the answer to an earlier read."""

        async def answer(server, stream, request_id):
            body = b"copy" if server.path == "/load" else server.path.encode()
            data = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
            await stream.write(copies.pop(stream, b"") + data + body)
            copies[stream] = data + body

        copies = {}
        server = RawServer(fixture.clock, fixture.network, ANY_PORT, answer)
        await server.start()
        upstream = fixture.upstream("desk-0")._replace(address=server.address)
        fixture.sheet.upstreams["desk-0"] = upstream
        results = []
        for number in range(2):
            call = fixture.call(CallKind.READ, number=number)
            call = call._replace(path=f"/stock/{number}")
            results.append(await answer_or_error(fixture.client, upstream, call))
        await server.close()
        self.assertEqual(results[0], b"/stock/0")
        self.assertNotEqual(results[1], b"/stock/0")
