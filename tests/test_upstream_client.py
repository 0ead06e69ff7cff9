"""Answers of upstreams that are truncated, misattributed, stalled or late."""

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
from tests.support.upstreams import answer_or_error, chat, with_upstreams

CROSSED = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong"


class CompleteAnswerTest(TestCase):
    @with_upstreams()
    async def test_truncation_after_every_byte(self, fixture):
        """Guards against a truncated answer that passes for a complete one."""
        cases = [
            ("desk-0", CallKind.READ, b"", fixture.desk),
            ("desk-0", CallKind.ORDER, b"{}", fixture.desk),
            ("engine-0", CallKind.MODEL, chat("hi", 2), fixture.engines[0]),
            ("engine-0", CallKind.MODEL, chat("hi", 2, False), fixture.engines[0]),
        ]
        for name, kind, body, part in cases:
            upstream, call = fixture.upstream(name), fixture.call(kind, 1e6)
            complete = await answer_or_error(fixture.client, upstream, call, body)
            self.assertIsInstance(complete, bytes)
            cuts, results = 0, []
            while not results or results[-1] != complete:
                await fixture.pool.drop(upstream.address)
                part.faults.answers.append(AnswerFault(cut_after=cuts))
                results.append(
                    await answer_or_error(fixture.client, upstream, call, body)
                )
                cuts += 1
            for result in results[:-1]:
                self.assertIsInstance(result, (AnswerTruncated, UpstreamLost))
            # The head alone has more than 40 bytes, so it was truncated, too.
            self.assertGreater(cuts, len(complete) + 40)
        self.assertEqual(fixture.client.in_flight("desk-0"), 0)

    @with_upstreams()
    async def test_leftover_bytes(self, fixture):
        """Guards against bytes after an answer being read as the next answer."""
        upstream = fixture.upstream("desk-0")
        call = fixture.call(CallKind.READ)
        complete = await answer_or_error(fixture.client, upstream, call)
        fixture.desk.faults.answers.append(AnswerFault(leftover=CROSSED))
        for _ in range(3):
            self.assertEqual(
                await answer_or_error(fixture.client, upstream, call), complete
            )

    @with_upstreams()
    async def test_answer_of_another_attempt(self, fixture):
        """Guards against relaying the answer to another attempt to the caller."""
        engine, upstream = fixture.engines[0], fixture.upstream("engine-0")
        handle = engine._server._handler

        async def cross(request):
            reply = await handle(request)
            other = (b"x-attempt-id", b"other-1")
            return reply._replace(headers=(reply.headers[0], other))

        engine._server._handler = cross
        call = fixture.call(CallKind.MODEL)
        result = await answer_or_error(fixture.client, upstream, call, chat("hi"))
        self.assertIsInstance(result, Refusal)
        self.assertEqual(result.outcome, Outcome.UNKNOWN)

    @with_upstreams()
    async def test_closed_idle_connection(self, fixture):
        """Guards against sending an order twice and failing a read needlessly.

        The upstream closes the connection when it receives the call.
        """
        upstream = fixture.upstream("desk-0")
        read, order = fixture.call(CallKind.READ), fixture.call(CallKind.ORDER)
        await answer_or_error(fixture.client, upstream, read)
        fixture.desk.faults.answers.append(AnswerFault(cut_after=0))
        result = await answer_or_error(fixture.client, upstream, read)
        self.assertIsInstance(result, bytes)
        fixture.desk.faults.answers.append(AnswerFault(cut_after=0))
        result = await answer_or_error(fixture.client, upstream, order, b"{}")
        self.assertIsInstance(result, UpstreamLost)
        self.assertEqual(dict(fixture.desk.ledger), {"order-1": 1})

    @with_upstreams(restart_after=0.3)
    async def test_crash_is_not_repeated(self, fixture):
        """Guards against sending a request again after it crashed an upstream."""
        engine, upstream = fixture.engines[0], fixture.upstream("engine-0")
        call = fixture.call(CallKind.MODEL)
        await answer_or_error(fixture.client, upstream, call, chat("hi"))
        engine.faults.crash_marker = "poison"
        result = await answer_or_error(fixture.client, upstream, call, chat("poison"))
        self.assertIsInstance(result, UpstreamLost)
        await fixture.clock.sleep(5)
        self.assertEqual(engine.crashes, 1)

    @with_upstreams()
    async def test_close_cancels_work(self, fixture):
        """Guards against an engine that keeps working for a caller that left."""
        upstream, call = fixture.upstream("engine-0"), fixture.call(CallKind.MODEL)
        answer = await fixture.client.send(upstream, call, chat("hi", 1000))
        await answer.read()
        await answer.close()
        await fixture.clock.sleep(0.1)
        self.assertEqual(
            (fixture.engines[0].running, fixture.engines[0].cancelled), (0, 1)
        )


class SilentConnectionTest(TestCase):
    @with_upstreams()
    async def test_silent_connection(self, fixture):
        """Guards against a silent connection that blocks its call or another one."""
        upstream, call = fixture.upstream("engine-0"), fixture.call(CallKind.MODEL)
        fixture.engines[0].faults.answers.append(AnswerFault(stall_after=400))
        started = fixture.clock.monotonic()
        results = {}

        async def run(name):
            results[name] = await answer_or_error(
                fixture.client, upstream, call, chat("hi", 8)
            )
            results[name, "seconds"] = fixture.clock.monotonic() - started

        tasks = [await curio.spawn(run, name) for name in ("silent", "other")]
        for task in tasks:
            await task.join()
        self.assertIsInstance(results["silent"], UpstreamStalled)
        stall = fixture.cfg.stall_timeout.total_seconds()
        self.assertLess(results["silent", "seconds"], 2 * stall)
        self.assertTrue(results["other"].endswith(b"data: [DONE]\n\n"))
        self.assertLess(results["other", "seconds"], stall / 2)

    @with_upstreams(token_delay=7.0)
    async def test_slow_replica(self, fixture):
        """Guards against giving up on an engine that is slow but working."""
        upstream, call = fixture.upstream("engine-0"), fixture.call(CallKind.MODEL)
        for stream in (True, False):
            body = chat("hi", 3, stream)
            result = await answer_or_error(fixture.client, upstream, call, body)
            self.assertIsInstance(result, bytes)

    @with_upstreams()
    async def test_dead_upstream(self, fixture):
        """Guards against waiting until the deadline for an answer that never comes."""
        upstream, call = fixture.upstream("desk-0"), fixture.call(CallKind.READ)
        fixture.desk.faults.answers.append(AnswerFault(stall_after=0))
        result = await answer_or_error(fixture.client, upstream, call)
        self.assertIsInstance(result, SassafraskeelError)
        self.assertEqual(result.reason, Reason.UPSTREAM_FAILED)
        self.assertLess(call.expires - fixture.clock.monotonic(), 60)
        self.assertGreater(call.expires - fixture.clock.monotonic(), 40)


class LeavingTest(TestCase):
    @with_upstreams(engines=3)
    async def test_leaving_under_load(self, fixture):
        """Guards against sending calls to an upstream that is leaving or down."""
        stop_at = fixture.clock.monotonic() + 5

        async def load(number):
            while fixture.clock.monotonic() < stop_at:
                call = fixture.call(CallKind.MODEL, number=number)
                upstream = fixture.upstream(f"engine-{number % 3}")
                result = await answer_or_error(
                    fixture.client, upstream, call, chat("hi", 8)
                )
                if isinstance(result, Refusal):
                    self.assertEqual(result.outcome, Outcome.NOT_RUN)
                    self.assertIs(result.reason, Reason.NO_UPSTREAM)
                    await fixture.clock.sleep(0.1)

        tasks = [await curio.spawn(load, number) for number in range(6)]
        await fixture.clock.sleep(1)
        fixture.engines[0].faults.leaving = True
        fixture.leaving.add("engine-1")
        await fixture.clock.sleep(2)
        done = [engine.completed for engine in fixture.engines]
        running = [engine.running for engine in fixture.engines]
        for task in tasks:
            await task.join()
        for number in (0, 1):
            left = fixture.engines[number].completed - done[number]
            self.assertLessEqual(left, running[number])
        self.assertGreater(fixture.engines[2].completed, done[2] + 20)
        await fixture.engines[2].close()
        await fixture.clock.sleep(2)
        self.assertFalse(fixture.reports.accepts_work(fixture.upstream("engine-2")))
