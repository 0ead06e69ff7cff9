"""Resumed streams at hosts that stop or come back (docs/incidents, LOST)."""

from unittest import TestCase

import curio

from sassafraskeel.calls.request_tracker import draining_refusal
from sassafraskeel.core.errors import Reason
from tests.support.routes import ROUTES, manifest, with_routes
from tests.test_resumed_streams import DEADLINE_MS, FAR_REPLICAS, ONE_FAR_HOST
from tests.test_route_host import drain_stream, events

THREE_RUNS = {
    "world_options": ONE_FAR_HOST["world_options"],
    "document": manifest(
        routes=[dict(r, attempts=3, timeoutMs=30_000) for r in ROUTES]
    ),
}


async def start_far_host(world, number, seed=None):
    """Start a further host in the region of the replicas."""
    host = world.build_host(number, "north-a", seed=seed)
    world.hosts.append(host)
    await host.start()
    return host


class CloseTest(TestCase):
    """A host that closes while it resumes a stream."""

    @with_routes(**THREE_RUNS)
    async def test_close_during_second_resume(self, world):
        """Guards against a host that closes late because a stream that was resumed
        before is resumed again after its task was cancelled.
        """
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=1, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(1.0)
        second = await start_far_host(world, 2)
        await world.clock.sleep(1.5)
        await world.hosts[0].close()
        await world.clock.sleep(3.0)
        self.assertEqual(world.runs("c-1"), 2)
        await second.close()
        await world.clock.sleep(0.3)
        started_at = world.clock.monotonic()
        await world.hosts[1].close()
        self.assertLess(world.clock.monotonic() - started_at, 0.1)
        self.assertEqual(world.runs("c-1"), 2)
        await conn.close()


class UnreachableHostTest(TestCase):
    """A host that was unreachable and is started again."""

    @with_routes(**ONE_FAR_HOST)
    async def test_host_that_was_unreachable(self, world):
        """Guards against a restarted host that gets no calls for two seconds because
        its last incarnation could not be reached.
        """
        for replica in world.replicas:
            replica.delay = 2.0
        conn = await world.open_call("/stream/chat/1", host=1, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(2.3)
        reader = await curio.spawn(drain_stream, conn)
        await world.hosts[0].close()
        await world.clock.sleep(0.4)
        self.assertTrue(world.hosts[1].hosts._unreachable_since)
        await start_far_host(world, 0, seed=99)
        await world.clock.sleep(1.2)
        self.assertEqual(world.runs("c-1"), 2)
        _, ended = await reader.join()
        self.assertTrue(ended)


TWO_ROUTES = {
    "document": manifest(
        routes=[
            dict(r, timeoutMs=30_000, targetLatencyMs=8_000)
            | ({"homeRegions": ["north"]} if r["name"] == "chats" else {})
            for r in ROUTES
        ]
    )
}


class ExpectedTimeTest(TestCase):
    """How long streams are expected to last before they are forwarded."""

    @with_routes(**TWO_ROUTES)
    async def test_time_of_another_route(self, world):
        """Guards against long streams that are forwarded to a host that stays only
        for the short streams of another route.
        """
        await world.call("/stream/draft/1", "POST", host=2, call_id="draft")
        for replica in world.replicas:
            replica.delay = 1.5
        conn = await world.open_call(
            "/stream/chat/1", host=2, call_id="first", deadline_ms=DEADLINE_MS
        )
        body, _ = await drain_stream(conn)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(2.0)
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        await drain_stream(conn)
        self.assertEqual(world.replicas[2].ledger["draft"], 1)
        self.assertEqual(world.runs("c-1"), 0)
        for task in drains:
            await task.join()

    @with_routes(**FAR_REPLICAS)
    async def test_time_of_forwarded_streams(self, world):
        """Guards against refusals while a region restarts, by hosts that forward all
        calls of a route and so know no time of them.
        """
        await world.call("/stream/chat/1", "POST", host=2, call_id="first")
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(2.0)
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        body, _ = await drain_stream(conn)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        for task in drains:
            await task.join()


class ClosingHostTest(TestCase):
    """Forwarded calls that a closing host has to refuse."""

    @with_routes(**FAR_REPLICAS)
    async def test_refusal_after_the_wait_for_a_slot(self, world):
        """Guards against a call that is kept by a closing host, which tries it on each
        replica and then waits for another one.
        """
        for host in world.hosts:
            host._routing_state.service_times.record("desk", "model", 1.5)
        for replica in world.replicas:
            replica.hang = 1
            await world.register_replica(replica, slots=1)
        await world.clock.sleep(1.0)
        busy = [
            await world.open_call("/order/1", call_id=name, deadline_ms=DEADLINE_MS)
            for name in ("busy-0", "busy-1")
        ]
        drains = [await curio.spawn(world.hosts[n].drain) for n in (0, 1)]
        await world.clock.sleep(5.0)
        refusals = []
        record_refusal = world.hosts[2].dispatcher._record_refusal

        async def record(target, call, refusal, history):
            refusals.append((refusal.reason, world.clock.monotonic()))
            await record_refusal(target, call, refusal, history)

        world.hosts[2].dispatcher._record_refusal = record
        conn = await world.open_call("/stream/chat/1", host=2, deadline_ms=DEADLINE_MS)
        await world.clock.sleep(1.2)
        freed_at = world.clock.monotonic()
        for other in busy:
            await other.close()
        await drain_stream(conn)
        [(reason, refused_at)] = refusals
        self.assertIs(reason, Reason.DRAINING)
        self.assertLess(refused_at - freed_at, 0.2)
        for task in drains:
            await task.join()

    @with_routes(**FAR_REPLICAS)
    async def test_refusal_after_a_rejection(self, world):
        """Guards against a retry that is taken back from the retry budget although a
        replica got and rejected the request.
        """
        for replica in world.replicas:
            replica.refuse = 1
        for host in world.hosts[:2]:
            send, attempts = host.dispatcher._senders.replicas.send, []

            async def send_once(*args, send=send, attempts=attempts):
                attempts.append(args)
                if len(attempts) > 1:
                    raise draining_refusal()
                return await send(*args)

            host.dispatcher._senders.replicas.send = send_once
        refusals = []
        record_refusal = world.hosts[2].dispatcher._record_refusal

        async def record(target, call, refusal, history):
            refusals.append(refusal.reason)
            await record_refusal(target, call, refusal, history)

        world.hosts[2].dispatcher._record_refusal = record
        await world.call("/stream/chat/1", "POST", host=2)
        self.assertGreaterEqual(sum(r.arrivals for r in world.replicas), 1)
        self.assertIs(refusals[0], Reason.UPSTREAM_REFUSED)


class BudgetTest(TestCase):
    """Streams that are resumed while the retry budget is used up."""

    @with_routes
    async def test_slots_without_budget(self, world):
        """Guards against a stream that takes slots and limits from other calls while it
        may not be sent.
        """
        for replica in world.replicas:
            replica.crash_after = 2
        dispatcher = world.hosts[0].dispatcher
        conn = await world.open_call("/stream/chat/1")
        await world.clock.sleep(0.03)
        dispatcher._budget.allows = lambda *args: False
        targets, find_target = [], dispatcher._placement.find_target

        async def find(call, history):
            targets.append(await find_target(call, history))
            return targets[-1]

        dispatcher._placement.find_target = find
        _, ended = await drain_stream(conn)
        self.assertFalse(ended)
        self.assertEqual(targets, [])
