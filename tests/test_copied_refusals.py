"""Calls whose answer may be the copy of a refusal that came before."""

from collections import Counter
from unittest import TestCase

from sassafraskeel.core.errors import Outcome, Refusal
from sassafraskeel.core.types import CallKind
from sassafraskeel.emulators.http_server import json_reply
from tests.support.copying_replica import CopyingReplica
from tests.support.routes import with_routes
from tests.support.scripted_replicas import NORTH_MANIFEST
from tests.support.upstreams import answer_or_error, with_upstreams
from tests.test_route_host import drain_stream

CALLS = 24
ZONES = ("north-a", "north-a", "north-a", "south-a")
WORLD = {"replica_zones": ZONES}


async def start_replicas(world, **options):
    """Replace the replicas of the north; return them and their common list of runs."""
    runs = []
    replicas = [CopyingReplica(world, number, runs, **options) for number in range(3)]
    for replica in replicas:
        await replica.start()
    await world.clock.sleep(1)
    return replicas, runs


async def close_all(replicas):
    for replica in replicas:
        await replica.close()


class OrderTest(TestCase):
    async def check(self, world, replicas, runs):
        """Send orders one after another; each may run once."""
        try:
            for number in range(CALLS):
                path, call_id = f"/order/{number}", f"c-{number}"
                await world.call(path, "POST", number % 2, call_id)
            # Calls that went on elsewhere may still be on their way.
            await world.clock.sleep(2)
        finally:
            await close_all(replicas)
        counts = Counter(run.call_id for run in runs)
        self.assertEqual([call for call, count in counts.items() if count > 1], [])
        return counts

    @with_routes(world_options=WORLD)
    async def test_former_name(self, world):
        """Guards against an order that a replica refused under its former name.

        The address of a replica that is gone belongs to the next one, and the entry of
        the former is still listed.
        """
        replicas, runs = await start_replicas(world)
        for number, replica in enumerate(replicas):
            await replica.register(f"former-{number}")
        await world.clock.sleep(0.5)
        counts = await self.check(world, replicas, runs)
        self.assertEqual(len(counts), CALLS)

    @with_routes(world_options=WORLD)
    async def test_refusal_without_id(self, world):
        """Guards against a refusal without an id on a connection in use before."""
        replicas, runs = await start_replicas(world, anonymous=True)
        await self.check(world, replicas, runs)


class StreamTest(TestCase):
    @with_routes(world_options=WORLD, document=NORTH_MANIFEST)
    async def test_refused_again(self, world):
        """Guards against a stream that goes twice over one connection.

        A late copy of the first refusal would be read as the answer to the second.
        """
        replicas, _ = await start_replicas(world)
        conn = await world.open_call("/stream/chat/1", call_id="c-1")
        try:
            await drain_stream(conn)
        finally:
            await close_all(replicas)
        sends = Counter(send for replica in replicas for send in replica.sends)
        self.assertGreater(len(sends), 2)
        self.assertEqual([count for count in sends.values() if count > 1], [])


class SheetTest(TestCase):
    @with_upstreams()
    async def test_refused_poll(self, fixture):
        """Guards against an order that follows a refused poll on its connection.

        A copy of that refusal would be read as the answer to the order.
        """
        handle = fixture.desk._server._handler

        async def refuse_poll(request):
            if request.path != "/load":
                await handle(request)
            return json_reply({}, 429)

        fixture.desk._server._handler = refuse_poll
        call = fixture.call(CallKind.ORDER)
        upstream = fixture.upstream("desk-0")
        result = await answer_or_error(fixture.client, upstream, call, b"{}")
        self.assertIsInstance(result, Refusal)
        self.assertEqual(result.outcome, Outcome.NOT_RUN)
        self.assertEqual(dict(fixture.desk.ledger), {})
