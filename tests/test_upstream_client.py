"""Answers of upstreams that are truncated, crossed, stalled or late."""

from unittest import TestCase

import curio

from sassafraskeel.core.errors import (
    AnswerTruncated,
    Outcome,
    Reason,
    Refusal,
    SassafraskeelError,
    UpstreamLost,
    UpstreamStalled,
)
from sassafraskeel.core.types import CallKind
from sassafraskeel.emulators.faults import AnswerFault
from tests.support.upstreams import chat, outcome, with_bed

CROSSED = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"


class CompleteAnswerTest(TestCase):
    @with_bed()
    async def test_truncation_after_every_byte(self, bed):
        """Guards against a truncated answer that passes for a complete one."""
        cases = [
            ("desk-0", CallKind.READ, b"", bed.desk),
            ("desk-0", CallKind.ORDER, b"{}", bed.desk),
            ("engine-0", CallKind.MODEL, chat("hi", 2), bed.engines[0]),
            ("engine-0", CallKind.MODEL, chat("hi", 2, False), bed.engines[0]),
        ]
        for name, kind, body, part in cases:
            upstream, call = bed.upstream(name), bed.call(kind, 1e6)
            complete = await outcome(bed.carrier, upstream, call, body)
            self.assertIsInstance(complete, bytes)
            cuts, results = 0, []
            while not results or results[-1] != complete:
                await bed.pool.drop(upstream.address)
                part.faults.answers.append(AnswerFault(cut_after=cuts))
                results.append(await outcome(bed.carrier, upstream, call, body))
                cuts += 1
            for result in results[:-1]:
                self.assertIsInstance(result, (AnswerTruncated, UpstreamLost))
            # The head alone has more than 40 bytes, so it was truncated, too.
            self.assertGreater(cuts, len(complete) + 40)
        self.assertEqual(bed.carrier.in_flight("desk-0"), 0)

    @with_bed()
    async def test_leftover_bytes(self, bed):
        """Guards against bytes after an answer being read as the next answer."""
        upstream = bed.upstream("desk-0")
        call = bed.call(CallKind.READ)
        complete = await outcome(bed.carrier, upstream, call)
        bed.desk.faults.answers.append(AnswerFault(leftover=CROSSED))
        for _ in range(3):
            self.assertEqual(await outcome(bed.carrier, upstream, call), complete)

    @with_bed()
    async def test_answer_of_another_attempt(self, bed):
        """Guards against relaying the answer to another attempt to the caller."""
        engine, upstream = bed.engines[0], bed.upstream("engine-0")
        handle = engine._server._handler

        async def cross(request):
            reply = await handle(request)
            other = (b"x-attempt-id", b"other-1")
            return reply._replace(headers=(reply.headers[0], other))

        engine._server._handler = cross
        call = bed.call(CallKind.MODEL)
        result = await outcome(bed.carrier, upstream, call, chat("hi"))
        self.assertIsInstance(result, Refusal)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    @with_bed()
    async def test_closed_idle_connection(self, bed):
        """Guards against sending an order twice and failing a read needlessly.

        The upstream closes the connection when it receives the call.
        """
        upstream = bed.upstream("desk-0")
        read, order = bed.call(CallKind.READ), bed.call(CallKind.ORDER)
        await outcome(bed.carrier, upstream, read)
        bed.desk.faults.answers.append(AnswerFault(cut_after=0))
        result = await outcome(bed.carrier, upstream, read)
        self.assertIsInstance(result, bytes)
        bed.desk.faults.answers.append(AnswerFault(cut_after=0))
        result = await outcome(bed.carrier, upstream, order, b"{}")
        self.assertIsInstance(result, UpstreamLost)
        self.assertEqual(dict(bed.desk.ledger), {"order-1": 1})

    @with_bed(restart_after=0.3)
    async def test_crash_is_not_repeated(self, bed):
        """Guards against sending a request again after it crashed an upstream."""
        engine, upstream = bed.engines[0], bed.upstream("engine-0")
        call = bed.call(CallKind.MODEL)
        await outcome(bed.carrier, upstream, call, chat("hi"))
        engine.faults.crash_marker = "poison"
        result = await outcome(bed.carrier, upstream, call, chat("poison"))
        self.assertIsInstance(result, UpstreamLost)
        await bed.clock.sleep(5)
        self.assertEqual(engine.crashes, 1)

    @with_bed()
    async def test_close_cancels_work(self, bed):
        """Guards against an engine that keeps working for a caller that left."""
        upstream, call = bed.upstream("engine-0"), bed.call(CallKind.MODEL)
        answer = await bed.carrier.send(upstream, call, chat("hi", 1000))
        await answer.read()
        await answer.close()
        await bed.clock.sleep(0.1)
        self.assertEqual((bed.engines[0].running, bed.engines[0].cancelled), (0, 1))


class SilentConnectionTest(TestCase):
    @with_bed()
    async def test_silent_connection(self, bed):
        """Guards against a silent connection that blocks its call or another one."""
        upstream, call = bed.upstream("engine-0"), bed.call(CallKind.MODEL)
        bed.engines[0].faults.answers.append(AnswerFault(stall_after=400))
        started = bed.clock.monotonic()
        results = {}

        async def run(name):
            results[name] = await outcome(bed.carrier, upstream, call, chat("hi", 8))
            results[name, "seconds"] = bed.clock.monotonic() - started

        tasks = [await curio.spawn(run, name) for name in ("silent", "other")]
        for task in tasks:
            await task.join()
        self.assertIsInstance(results["silent"], UpstreamStalled)
        stall = bed.cfg.stall_timeout.total_seconds()
        self.assertLess(results["silent", "seconds"], 2 * stall)
        self.assertTrue(results["other"].endswith(b"data: [DONE]\n\n"))
        self.assertLess(results["other", "seconds"], stall / 2)

    @with_bed(token_delay=7.0)
    async def test_slow_replica(self, bed):
        """Guards against giving up on an engine that is slow but working."""
        upstream, call = bed.upstream("engine-0"), bed.call(CallKind.MODEL)
        for stream in (True, False):
            body = chat("hi", 3, stream)
            result = await outcome(bed.carrier, upstream, call, body)
            self.assertIsInstance(result, bytes)

    @with_bed()
    async def test_dead_upstream(self, bed):
        """Guards against waiting until the deadline for an answer that never comes."""
        upstream, call = bed.upstream("desk-0"), bed.call(CallKind.READ)
        bed.desk.faults.answers.append(AnswerFault(stall_after=0))
        result = await outcome(bed.carrier, upstream, call)
        self.assertIsInstance(result, SassafraskeelError)
        self.assertEqual(result.reason, Reason.UPSTREAM_FAILED)
        self.assertLess(call.expires - bed.clock.monotonic(), 60)
        self.assertGreater(call.expires - bed.clock.monotonic(), 40)


class LeavingTest(TestCase):
    @with_bed(engines=3)
    async def test_leaving_under_load(self, bed):
        """Guards against sending calls to an upstream that is leaving or down."""
        stop_at = bed.clock.monotonic() + 5

        async def load(number):
            while bed.clock.monotonic() < stop_at:
                call = bed.call(CallKind.MODEL, number=number)
                upstream = bed.upstream(f"engine-{number % 3}")
                result = await outcome(bed.carrier, upstream, call, chat("hi", 8))
                if isinstance(result, Refusal):
                    self.assertEqual(result.outcome, Outcome.NOT_RUN)
                    self.assertIs(result.reason, Reason.NO_UPSTREAM)
                    await bed.clock.sleep(0.1)

        tasks = [await curio.spawn(load, number) for number in range(6)]
        await bed.clock.sleep(1)
        bed.engines[0].faults.leaving = True
        bed.leaving.add("engine-1")
        await bed.clock.sleep(2)
        done = [engine.completed for engine in bed.engines]
        running = [engine.running for engine in bed.engines]
        for task in tasks:
            await task.join()
        for number in (0, 1):
            left = bed.engines[number].completed - done[number]
            self.assertLessEqual(left, running[number])
        self.assertGreater(bed.engines[2].completed, done[2] + 20)
        await bed.engines[2].close()
        await bed.clock.sleep(2)
        self.assertFalse(bed.reports.takes_work(bed.upstream("engine-2")))
