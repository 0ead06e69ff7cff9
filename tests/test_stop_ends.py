"""The last steps of a drain, each without the others, and what the log says of it."""

from unittest import TestCase

import curio

from sassafraskeel.calls.route_calls import RouteSenders
from sassafraskeel.core.events import Event
from sassafraskeel.gateways.messages import (
    Accept,
    AnswerData,
    AnswerEnd,
    Refuse,
    RouteAnswerHead,
)
from tests.support.network import deliver
from tests.support.offers import dial_host, send_offer
from tests.support.routes import with_routes
from tests.test_planned_stops import REQUEST, read_for


class RecordingLog:
    """A sink that keeps the records of calls (event 207)."""

    def __init__(self):
        self.calls = []

    def emit(self, event, **fields):
        if event is Event.CALL_ANSWERED:
            self.calls.append(fields)


async def start_logged_host(world):
    """Add a host of the north to a world; return it and its log."""
    log = RecordingLog()
    host = world.build_host(3, "north-a", log=log)
    world.hosts.append(host)
    await host.start()
    await world.clock.sleep(2)
    return host, log


class DrainStepTest(TestCase):
    @with_routes
    async def test_request_after_the_last_accept(self, world):
        """Guards against a last connection that is closed before its request arrives.

        It was opened while the host still listened, 0.15 s before the request.
        """
        task = await curio.spawn(world.hosts[0].drain)
        await world.clock.sleep(2.95)
        stream = await world.network.connect(world.hosts[0].cfg.listen.callers)
        await world.clock.sleep(0.15)
        request = REQUEST.replace("5000", "2000").format(call_id="last")
        await stream.write(request.encode())
        answer = await read_for(world.clock, stream, 3.0)
        self.assertIn(b"HTTP/1.1 200", answer)
        await task.join()

    @with_routes
    async def test_requests_that_arrive_with_the_last_close(self, world):
        """Guards against requests that have arrived but are not in flight yet.

        Nothing else is in flight when idle connections are closed the second time.
        """
        host = world.hosts[0]
        close_idle, streams, closes = host._caller_server.close_idle, [], []

        async def deliver_and_close_idle():
            closes.append(world.clock.monotonic())
            if len(closes) == 2:
                for number, stream in enumerate(streams):
                    request = REQUEST.replace("5000", "2000")
                    request = request.format(call_id=f"last-{number}")
                    await deliver(stream, request.encode())
            await close_idle()

        host._caller_server.close_idle = deliver_and_close_idle
        task = await curio.spawn(host.drain)
        await world.clock.sleep(2.95)
        for _ in range(8):
            streams.append(await world.network.connect(host.cfg.listen.callers))
        for stream in streams:
            answer = await read_for(world.clock, stream, 3.0)
            self.assertIn(b"HTTP/1.1 200", answer)
        self.assertEqual(len(closes), 2)
        await task.join()

    async def drain_with_offer(self, world, after_offer):
        """Drain a host that takes an offer right after its last call has finished."""
        host = world.hosts[0]
        for replica in world.replicas:
            replica.delay = 0.5
        channels = [await dial_host(world, host) for _ in range(2)]
        finish_calls = host._finish_calls

        async def finish_and_take_offer():
            await finish_calls()
            await send_offer(world, channels[0], "last")
            await world.clock.sleep(0.1)

        host._finish_calls = finish_and_take_offer
        task = await curio.spawn(host.drain)
        await world.clock.sleep(3.5)
        await after_offer(*channels)
        await task.join()

    @with_routes
    async def test_offer_after_the_last_call(self, world):
        """Guards against a forwarded call that is cut as its host closes early.

        It was accepted after the last call had finished, before offers were refused.
        """

        async def check(channel, other):
            messages = [type(await channel.receive()) for _ in range(4)]
            self.assertEqual(messages, [Accept, RouteAnswerHead, AnswerData, AnswerEnd])

        await self.drain_with_offer(world, check)

    @with_routes
    async def test_offers_are_refused_at_the_end(self, world):
        """Guards against a host that goes on taking offers while its last call runs."""

        async def check(channel, other):
            self.assertIsInstance(await channel.receive(), Accept)
            await send_offer(world, other, "late")
            self.assertIsInstance(await other.receive(), Refuse)
            while not isinstance(await channel.receive(), AnswerEnd):
                pass

        await self.drain_with_offer(world, check)
        self.assertEqual(world.runs("late"), 0)

    @with_routes(world_options={"replica_zones": ("north-a",)})
    async def test_host_that_closes_sends_nothing(self, world):
        """Guards against a call that a closing host sends to a replica and then cuts.

        The calls that end with the host free the slots for which others wait.
        """
        host, sent = world.hosts[0], []
        senders = host.dispatcher._senders

        class ClosingSender:
            has_ended = senders.replicas.has_ended

            async def send(self, replica, call, body, check, head_timeout):
                since = world.clock.monotonic() - 7.5
                host.hosts.mark_draining(host.membership.local_host, since)
                check()
                sent.append(call.call_id)
                return await senders.replicas.send(
                    replica, call, body, check, head_timeout
                )

        host.dispatcher._senders = RouteSenders(ClosingSender(), senders.hosts)
        head, _ = await world.call("/order/1", "POST")
        self.assertEqual(head.status, 503)
        self.assertEqual(sent, [])


class ReasonTest(TestCase):
    """The reasons in event 207; without them, lost calls of all causes look alike."""

    def check_record(self, log, call_id, **expected):
        [fields] = [fields for fields in log.calls if fields["call"] == call_id]
        self.assertEqual({name: fields[name] for name in expected}, expected)

    @with_routes
    async def test_caller_left(self, world):
        """Guards against a caller that leaves and is recorded without a reason."""
        host, log = await start_logged_host(world)
        for replica in world.replicas:
            replica.hang = 1
        conn = await world.open_call("/stream/draft/1", host=3, call_id="left")
        await world.clock.sleep(0.5)
        await conn.close()
        await world.clock.sleep(0.5)
        self.check_record(log, "left", source="caller", reason="caller_left")

    @with_routes
    async def test_waiting_call(self, world):
        """Guards against a call that is answered by a refusal and recorded otherwise.

        The caller is told that the host is being stopped.
        """
        host, log = await start_logged_host(world)
        for replica in world.replicas:
            replica.hang = 1
        conn = await world.open_call("/stream/draft/1", host=3, call_id="waiting")
        await world.clock.sleep(0.5)
        await host.close()
        self.assertEqual((await conn.receive_head()).status, 502)
        self.check_record(
            log, "waiting", source="caller", outcome="unknown", reason="draining"
        )

    @with_routes
    async def test_answer_that_is_cut(self, world):
        """Guards against an answer that a host cuts and records as a refusal.

        docs/events.md, 105: calls that were cut off have the reason `cancelled`.
        """
        host, log = await start_logged_host(world)
        for replica in world.replicas:
            replica.delay = 0.5
        conn = await world.open_call("/stream/draft/1", host=3, call_id="cut")
        self.assertEqual((await conn.receive_head()).status, 200)
        await world.clock.sleep(0.7)
        await host.close()
        self.check_record(
            log, "cut", source="caller", outcome="unknown", reason="cancelled"
        )

    @with_routes
    async def test_forwarding_host_left(self, world):
        """Guards against a forwarding host that leaves and is not recorded."""
        host, log = await start_logged_host(world)
        for replica in world.replicas:
            replica.hang = 1
        channel = await dial_host(world, host)
        await send_offer(world, channel, "left", path="/read/stock")
        await world.clock.sleep(0.3)
        await channel.close()
        await world.clock.sleep(0.3)
        self.check_record(log, "left", source="peer", reason="caller_left")

    @with_routes
    async def test_host_of_forwarded_call_closes(self, world):
        """Guards against a forwarded call that its host ends without a reason."""
        host, log = await start_logged_host(world)
        for replica in world.replicas:
            replica.hang = 1
        channel = await dial_host(world, host)
        await send_offer(world, channel, "ended", path="/read/stock")
        await world.clock.sleep(0.3)
        await host.close()
        self.check_record(log, "ended", source="peer", reason="cancelled")
