"""Replicas that say in their answers that they leave get no new work."""

from unittest import TestCase

import curio

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import HostInfo, ResponseHead
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.replica_statements import (
    LEAVING_TTL_SECONDS,
    MAX_NAMES,
    NamedLimit,
    ReplicaStatements,
)
from sassafraskeel.gateways.statement_relay import StatementRelay
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from tests.support.clock import VirtualClock
from tests.support.routes import manifest, with_routes
from tests.test_request_limits import numbers_of_others, send_reads

ADDRESS = Address("10.0.0.1", 80)
PEER = HostInfo("host-1", "north-a", "1", ADDRESS, ADDRESS)
FLEET = {
    "zones": ("north-a",) * 4 + ("south-a",),
    "replica_zones": ("north-a", "north-a", "south-a"),
}
# Hosts hear of a leaving with an answer, and tell each other within half a second.
LEARN_SECONDS = 1.0


def replica(name="r-0", started_at_ms=1) -> Replica:
    """Return a run of a replica."""
    return Replica(name, started_at_ms, "desk", "north-a", ADDRESS, 8, False)


class StatementTest(TestCase):
    def setUp(self):
        self.statements = ReplicaStatements()

    def test_new_run(self):
        """Guards against a new run of a replica that gets no work."""
        self.assertTrue(self.statements.heard_leaving(replica(), 1.0))
        self.assertFalse(self.statements.heard_leaving(replica(), 2.0))
        self.assertTrue(self.statements.is_leaving(replica()))
        self.assertFalse(self.statements.is_leaving(replica(started_at_ms=2)))

    def test_late_answer_of_earlier_run(self):
        """Guards against an answer of an earlier run that takes out the new one."""
        new = replica(started_at_ms=2)
        self.statements.answered(new, NamedLimit(3.0), 1.0, 1.0)
        self.statements.heard_leaving(replica(), 2.0)
        self.assertFalse(self.statements.is_leaving(new))
        self.assertEqual(self.statements.rate(new), 3.0)

    def test_answer_without_leaving(self):
        """Guards against an answer sent before the leaving that takes it back."""
        self.statements.heard_leaving(replica(), 1.0)
        self.statements.answered(replica(), NamedLimit(2.0), 2.0, 2.0)
        self.statements.answered(replica(), NamedLimit(None), 3.0, 3.0)
        self.assertTrue(self.statements.is_leaving(replica()))

    def test_entry_returns(self):
        """Guards against a leaving that ends because the entry lapsed and came back."""
        self.statements.heard_leaving(replica(), 1.0)
        self.statements.retain({})
        self.assertTrue(self.statements.is_leaving(replica()))
        self.statements.statements(1.0 + LEAVING_TTL_SECONDS)
        self.assertFalse(self.statements.is_leaving(replica()))

    def test_bounded(self):
        """Guards against a table that grows with replicas that come and go."""
        for number in range(MAX_NAMES + 100):
            self.statements.heard_leaving(replica(f"r-{number}"), 0.0)
        self.assertLessEqual(len(self.statements.statements(0.0)), MAX_NAMES)
        self.assertTrue(self.statements.is_leaving(replica(f"r-{MAX_NAMES}")))


class RelayTest(TestCase):
    def test_told(self):
        """Guards against hosts that are not told of a leaving, or of too much."""
        clock = VirtualClock()
        heard, told = ReplicaStatements(), ReplicaStatements()
        heard.heard_leaving(replica(), clock.monotonic())
        relay = StatementRelay(heard, clock, NullLog())
        StatementRelay(told, clock, NullLog()).record(PEER, relay.rows(PEER))
        self.assertTrue(told.is_leaving(replica()))
        self.assertFalse(told.is_leaving(replica(started_at_ms=2)))
        self.assertIsNone(told.rate(replica()))
        self.assertTrue(told.is_empty())

    def test_told_with_limit(self):
        """Guards against a newer limit that takes back a leaving, or the reverse."""
        clock = VirtualClock()
        heard, told = ReplicaStatements(), ReplicaStatements()
        now = clock.monotonic()
        told.heard_leaving(replica(), now - 1)
        heard.answered(replica(), NamedLimit(2.0), now, now)
        relay = StatementRelay(heard, clock, NullLog())
        other = StatementRelay(told, clock, NullLog())
        other.record(PEER, relay.rows(PEER))
        self.assertEqual((told.is_leaving(replica()), told.rate(replica())), (True, 2))
        relay.record(PEER, other.rows(PEER))
        self.assertTrue(heard.is_leaving(replica()))

    def test_malformed(self):
        """Guards against rows that end a link's task with an unexpected error."""
        relay = StatementRelay(ReplicaStatements(), VirtualClock(), NullLog())
        for row in (
            ["r-0", 1, 1.0, 0.0],
            ["r-0", 1, 1.0, 0.0, 1],
            ["r-0", 1, 1, 0, ""],
        ):
            with self.assertRaises(ProtocolError):
                relay.record(PEER, [row])


class HeaderTest(TestCase):
    def test_values(self):
        """Guards against other values that take a replica out of use."""
        for values, leaving in (
            ((), False),
            ((b"1",), True),
            ((b" 1 ",), True),
            ((b"1", b"1"), True),
            *(((value,), None) for value in (b"", b"0", b"2", b"true", b"1,1")),
            ((b"1", b"0"), None),
        ):
            headers = tuple((b"server-leaving", value) for value in values)
            head = ResponseHead(503, headers)
            health = PlatformReplicaInterface().read_health(head)
            self.assertIs(health.leaving, leaving, values)


class LeavingTest(TestCase):
    def assert_no_arrivals(self, replica, start):
        """Check that a replica got no call after a time."""
        late = [time - start for time in replica.arrival_times if time > start]
        self.assertEqual(late, [])

    @with_routes(world_options=FLEET)
    async def test_all_hosts_stop(self, world):
        """Guards against calls to a replica that has said that it leaves."""
        leaving = world.replicas[0]
        await send_reads(world, 1)
        self.assertGreater(leaving.arrivals, 0)
        leaving.leaving = "1"
        # Only one host hears of it.
        await send_reads(world, 1, hosts=numbers_of_others(world)[:1])
        start = world.clock.monotonic()
        self.assertEqual(await send_reads(world, 4), {200: 100})
        self.assert_no_arrivals(leaving, start)

    @with_routes(world_options=FLEET)
    async def test_rejection_tells(self, world):
        """Guards against a leaving that is overlooked in a rejection."""
        leaving = world.replicas[0]
        leaving.leaving, leaving.refuse = "1", 10_000
        await send_reads(world, 1)
        start = world.clock.monotonic()
        self.assertEqual(await send_reads(world, 3), {200: 75})
        self.assert_no_arrivals(leaving, start)

    @with_routes(world_options=FLEET)
    async def test_new_run_is_used(self, world):
        """Guards against a replica that is not used after it started again."""
        leaving = world.replicas[0]
        leaving.leaving = "1"
        await send_reads(world, 1)
        leaving.leaving = ""
        await send_reads(world, 1)
        arrivals = leaving.arrivals
        # Another write of the same run changes nothing, nor does its return.
        await world.register_replica(leaving)
        await world.store.write(f"servers/{leaving.name}", None)
        await world.clock.sleep(1)
        await world.register_replica(leaving)
        await send_reads(world, 2)
        self.assertEqual(leaving.arrivals, arrivals)
        await world.register_replica(leaving, born=2, seqNo=1)
        await world.clock.sleep(1)
        await send_reads(world, 1)
        self.assertGreater(leaving.arrivals, arrivals)

    @with_routes(world_options=FLEET)
    async def test_grant_is_not_used(self, world):
        """Guards against a grant for a replica that the local host knows to leave."""
        leaving, coordinator = world.replicas[0], world.coordinator()
        coordinator._routing_state.statements.relayed = lambda *statement: False
        [number, *_] = numbers_of_others(world)
        leaving.leaving = "1"
        await send_reads(world, 1, hosts=[number])
        start = world.clock.monotonic()
        self.assertEqual(await send_reads(world, 2, hosts=[number]), {200: 50})
        self.assert_no_arrivals(leaving, start)

    @with_routes(world_options=FLEET)
    async def test_slot_is_not_used(self, world):
        """Guards against calls sent after their replica said that it leaves."""
        host, leaving = world.hosts[0], world.replicas[0]
        take = host._pool.take

        async def take_late(*args):
            await world.clock.sleep(0.3)
            return await take(*args)

        host._pool.take = take_late
        calls = [
            await curio.spawn(world.call, "/read/1", "GET", 0, f"n-{number}")
            for number in range(8)
        ]
        await world.clock.sleep(0.1)
        now = world.clock.monotonic()
        self.assertGreater(host.loads.total(leaving.name, now).running, 0)
        listed = host.fleet.get(leaving.name)
        host._routing_state.statements.heard_leaving(listed, now)
        statuses = [(await call.join())[0].status for call in calls]
        self.assertEqual(statuses, [200] * 8)
        self.assert_no_arrivals(leaving, now)

    @with_routes(world_options=FLEET)
    async def test_streams_go_on(self, world):
        """Guards against streams that are cut or resumed at a replica that leaves."""
        first, second, _ = world.replicas
        for each in (first, second):
            each.leaving, each.delay = "1", 0.3
        conn = await world.open_call("/stream/chat/1", call_id="s-1")
        await world.clock.sleep(LEARN_SECONDS)
        first.leaving = second.leaving = ""
        [runner] = [each for each in (first, second) if each.ledger["s-1"]]
        [other] = [each for each in (first, second) if each is not runner]
        await conn.receive_head()
        start = world.clock.monotonic()
        self.assertEqual(await send_reads(world, 2), {200: 50})
        self.assert_no_arrivals(runner, start)
        self.assertGreater(other.arrivals, 25)
        content = b""
        while data := await conn.receive_data():
            content += data
        self.assertIn(b"id: 5", content)
        self.assertEqual(world.runs("s-1"), 1)

    @with_routes(world_options=FLEET)
    async def test_resumed_elsewhere(self, world):
        """Guards against a stream that continues at a replica that leaves."""
        first, second, _ = world.replicas
        first.leaving = "1"
        await send_reads(world, 1)
        start = world.clock.monotonic()
        second.crash_after = 2
        await world.call("/stream/chat/1", "POST", call_id="s-1")
        self.assert_no_arrivals(first, start)

    @with_routes(world_options=FLEET, document=manifest(coldStartS=3.0, coldPerS=2.0))
    async def test_health_check_tells(self, world):
        """Guards against a leaving that is overlooked in an answer to a probe."""
        leaving = world.replicas[0]
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(1)
        leaving.leaving = "1"
        await world.store.write("op/evacuate/north-a", None)
        await world.clock.sleep(1)
        self.assertEqual((leaving.probes, leaving.arrivals), (1, 0))
        await send_reads(world, 2, per_second=2)
        self.assertEqual(leaving.arrivals, 0)

    @with_routes(world_options=FLEET)
    async def test_another_replica_answers(self, world):
        """Guards against the leaving of whoever answers at a used address."""
        host, other = world.hosts[0], world.replicas[0]
        listed = host.fleet.get(other.name)
        other.name, other.leaving = "r-other", "1"
        await send_reads(world, 1)
        self.assertGreater(other.arrivals, 0)
        self.assertFalse(host._routing_state.statements.is_leaving(listed))


class RecordingLog:
    """Records the events about leaving replicas and calls."""

    def __init__(self):
        self.events = []

    def emit(self, event, **fields):
        self.events.append((event, fields))

    def all(self, event):
        """Return the fields of all lines of an event."""
        return [fields for other, fields in self.events if other is event]


class LogTest(TestCase):
    @with_routes(
        world_options={"replica_zones": ("north-a",) * 2, "zones": ("north-a",)}
    )
    async def test_passed_over(self, world):
        """Guards against calls of which no line says why a replica was left out."""
        log = RecordingLog()
        await world.hosts.pop().close()
        world.hosts.append(world.build_host(0, "north-a", log))
        await world.hosts[0].start()
        await world.clock.sleep(2)
        leaving = world.replicas[0]
        leaving.leaving = "x"
        await send_reads(world, 1, hosts=[0])
        self.assertGreater(len(log.all(Event.LEAVING_MALFORMED)), 0)
        self.assertEqual(log.all(Event.REPLICA_LEAVING), [])
        leaving.leaving = "1"
        await send_reads(world, 1, hosts=[0])
        [line] = log.all(Event.REPLICA_LEAVING)
        self.assertEqual(line, {"replica": "r-0", "started_at_ms": 1, "source": ""})
        await world.call("/read/1", call_id="last")
        [sent] = [f for f in log.all(Event.CALL_SENT) if f["call"] == "last"]
        self.assertEqual(sent["passed_over"], ["r-0 leaving"])
