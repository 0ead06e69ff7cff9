"""The limits on requests that replicas name in their answers."""

from collections import Counter
from functools import partial
from unittest import TestCase

import curio
from hypothesis import given, strategies

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import HostInfo, ResponseHead
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.replica_statements import (
    BURST,
    MIN_RATE,
    NamedLimit,
    ReplicaStatements,
    Statement,
)
from sassafraskeel.gateways.statement_relay import MAX_ROWS, StatementRelay
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from tests.support.clock import VirtualClock
from tests.support.routes import manifest, with_routes

NO_LIMIT = NamedLimit(None)
ADDRESS = Address("10.0.0.1", 80)
PEER = HostInfo("host-1", "north-a", "1", ADDRESS, ADDRESS)
FLEET = {
    "zones": ("north-a",) * 4 + ("south-a",),
    "replica_zones": ("north-a", "north-a", "south-a"),
}
# A replica that names a limit of n requests a second gets at most 1.5 n of them a
# second in four seconds, and five more.
WINDOW_SECONDS = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5
# Hosts hear a limit with an answer, and tell each other within half a second.
LEARN_SECONDS = 1.0


def replica(name="r-0", started_at_ms=1) -> Replica:
    """Return a run of a replica."""
    return Replica(name, started_at_ms, "desk", "north-a", ADDRESS, 8, False)


class StatementTest(TestCase):
    def setUp(self):
        self.limits = ReplicaStatements()

    def test_late_answer(self):
        """Guards against a limit that an older answer without one ends."""
        self.limits.answered(replica(), NamedLimit(2.0), sent_at=10.0, now=10.4)
        self.assertFalse(self.limits.answered(replica(), NO_LIMIT, 10.2, 10.6))
        self.assertEqual(self.limits.rate(replica()), 2.0)
        self.assertTrue(self.limits.answered(replica(), NO_LIMIT, 10.5, 10.7))
        self.assertIsNone(self.limits.rate(replica()))

    def test_named_again(self):
        """Guards against a limit that is ignored because an earlier one has ended."""
        self.limits.answered(replica(), NamedLimit(2.0), 10.0, 10.1)
        self.limits.answered(replica(), NO_LIMIT, 10.2, 10.3)
        self.assertTrue(self.limits.answered(replica(), NamedLimit(3.0), 10.4, 10.5))
        self.assertEqual(self.limits.rate(replica()), 3.0)

    def test_new_run(self):
        """Guards against a limit that outlives the run of the replica that named it."""
        self.limits.answered(replica(), NamedLimit(2.0), 10.0, 10.1)
        self.assertIsNone(self.limits.rate(replica(started_at_ms=2)))
        self.limits.retain({"r-1": 1})
        self.assertIsNone(self.limits.rate(replica()))

    def test_relayed_again(self):
        """Guards against statements that seem newer each time they are told."""
        self.limits.answered(replica(), NamedLimit(2.0), 10.0, 10.1)
        self.assertFalse(self.limits.relayed("r-0", Statement(1, 3.0, 10.15), 10.5))
        self.assertTrue(self.limits.relayed("r-0", Statement(1, None, 10.3), 10.5))
        # A host that has not heard of the end tells the old limit.
        self.assertFalse(self.limits.relayed("r-0", Statement(1, 2.0, 10.15), 10.9))
        self.assertIsNone(self.limits.rate(replica()))

    def test_bounded(self):
        """Guards against a table that grows with replicas that come and go."""
        for number in range(10_000):
            self.limits.answered(replica(f"r-{number}"), NamedLimit(1.0), 0.0, 0.0)
        self.assertLessEqual(len(self.limits.statements(0.0)), 8192)
        self.assertTrue(self.limits.may_send(replica("r-9999"), 1.0, 9.0))


class PaceTest(TestCase):
    @given(
        rates=strategies.lists(strategies.floats(0, 50), min_size=1, max_size=4),
        share=strategies.sampled_from((1.0, 0.5, 0.25)),
        pauses=strategies.lists(strategies.floats(0.0, 3.0), max_size=40),
    )
    def test_rate(self, rates, share, pauses):
        """Guards against more requests in any time than the limits in force allow."""
        limits, now, times = ReplicaStatements(), 0.0, []
        for number, pause in enumerate([0.0, *pauses]):
            limit = rates[number % len(rates)]
            limits.answered(replica(), NamedLimit(limit), now, now)
            while limits.may_send(replica(), share, now):
                limits.sent(replica(), share, now)
                times.append(now)
                self.assertLess(len(times), 10_000)
            now += pause
        most = max(*rates, MIN_RATE) * share
        for index, start in enumerate(times):
            for later, end in enumerate(times[index:], 1):
                self.assertLessEqual(later, most * (end - start) + BURST + 1e-6)

    def test_lower_limit_ends(self):
        """Guards against a wait that was computed with a limit that has changed."""
        limits = ReplicaStatements()
        limits.answered(replica(), NamedLimit(0.0), 0.0, 0.0)
        limits.sent(replica(), 1.0, 20.0)
        limits.answered(replica(), NamedLimit(10.0), 20.0, 20.0)
        self.assertLessEqual(limits.wait_seconds(replica(), 1.0, 20.0), 0.1)


class RelayTest(TestCase):
    def test_many_limits(self):
        """Guards against limits that are never told because there are too many."""
        clock = VirtualClock()
        limits, told = ReplicaStatements(), ReplicaStatements()
        for number in range(3 * MAX_ROWS):
            limits.answered(replica(f"r-{number}"), NamedLimit(1.0), 0.0, 0.0)
        relay = StatementRelay(limits, clock, NullLog())
        other = StatementRelay(told, clock, NullLog())
        for _ in range(3):
            other.record(PEER, relay.rows(PEER))
        self.assertEqual(len(told.statements(0.0)), 3 * MAX_ROWS)

    def test_malformed(self):
        """Guards against rows that end a link's task with an unexpected error."""
        relay = StatementRelay(ReplicaStatements(), VirtualClock(), NullLog())
        for row in ([], ["r-0", 1, 1.0], ["r-0", 1, float("nan"), 0.0], [1, 1, 1.0, 0]):
            with self.assertRaises(ProtocolError):
                relay.record(PEER, [row])


class HeaderTest(TestCase):
    def read(self, *values):
        """Return the limit in a health check's answer with these headers."""
        headers = tuple((b"server-limit", value) for value in values)
        head = ResponseHead(200, headers)
        return PlatformReplicaInterface().read_health(head).limit

    def test_limits(self):
        self.assertEqual(self.read(), NO_LIMIT)
        for value, rate in ((b"2", 2.0), (b" 2.50 ", 2.5), (b"0", 0.0)):
            self.assertEqual(self.read(value), NamedLimit(rate))
        self.assertEqual(self.read(b"2", b"2"), NamedLimit(2.0))

    def test_many_decimals(self):
        """Guards against a limit that is ignored because it has many decimals."""
        for value in (b"3.3333333333333335", b"3.333333333333333333333333333"):
            self.assertEqual(self.read(value), NamedLimit(float(value)))

    def test_malformed(self):
        """Guards against numbers that end a host, or that no request can satisfy."""
        for value in (
            *(b"-1", b"+1", b"nan", b"inf", b"1e9", b"1e-9", b".5", b"2.", b"1,5"),
            *(
                b"",
                b"2 3",
                b"0x2",
                b"1_0",
                "٢".encode(),
                b"9" * 400,
                b"0." + b"1" * 400,
            ),
        ):
            self.assertIsNone(self.read(value), value)
        self.assertIsNone(self.read(b"2", b"3"))


def busiest_window(times: list[float], start: float) -> int:
    """Return the most requests that arrived in four seconds after a start."""
    times = [time for time in times if time >= start]
    return max(
        (sum(time <= other < time + WINDOW_SECONDS for other in times))
        for time in [start, *times]
    )


def allowed(rate: float) -> float:
    """Return how many requests may arrive in four seconds."""
    return EXCESS_FACTOR * rate * WINDOW_SECONDS + EXCESS_REQUESTS


async def send_reads(world, seconds: float, hosts=range(4), per_second=25) -> Counter:
    """Send reads to some hosts in turn; return the number of each status."""
    tasks = []
    for number in range(int(seconds * per_second)):
        host, call_id = hosts[number % len(hosts)], f"n-{number}"
        call = partial(world.call, "/read/1", host=host, call_id=call_id)
        tasks.append(await curio.spawn(call))
        await world.clock.sleep(1 / per_second)
    answers = [await task.join() for task in tasks]
    return Counter(head.status for head, _ in answers)


def numbers_of_others(world) -> list[int]:
    """Return the numbers of the northern hosts that do not coordinate the region."""
    coordinator = world.coordinator()
    return [n for n, host in enumerate(world.hosts[:4]) if host is not coordinator]


class RateTest(TestCase):
    def assert_limit_kept(self, replica, rate, start):
        """Check that a replica got no more than it allowed, but about what it took."""
        count = busiest_window(replica.arrival_times, start)
        self.assertLessEqual(count, allowed(rate))
        # The limit is used, since the other replicas have less to do then.
        self.assertGreaterEqual(count, rate * WINDOW_SECONDS - 1)

    @with_routes(world_options=FLEET)
    async def test_replica_gets_more_than_its_limit(self, world):
        """Guards against hosts that together exceed the limit that a replica named."""
        limited = world.replicas[0]
        limited.limit = "2"
        start = world.clock.monotonic() + LEARN_SECONDS
        self.assertEqual(await send_reads(world, 12), {200: 300})
        self.assert_limit_kept(limited, 2, start)

    @with_routes(world_options=FLEET)
    async def test_new_coordinator_exceeds_limit(self, world):
        """Guards against a new coordinator that does not know the limits."""
        limited = world.replicas[0]
        limited.limit = "2"
        start = world.clock.monotonic() + LEARN_SECONDS
        numbers = numbers_of_others(world)
        # Only one host hears the limit, and it is not the one that coordinates next.
        await send_reads(world, 4, hosts=numbers[:1])
        coordinator = world.coordinator()
        await coordinator.close()
        statuses = await send_reads(world, 10, hosts=numbers)
        self.assertEqual(statuses, {200: 250})
        self.assert_limit_kept(limited, 2, start)

    @with_routes(world_options=FLEET)
    async def test_hosts_without_coordinator_exceed_limit(self, world):
        """Guards against hosts that each use the limit while no one coordinates."""
        limited = world.replicas[0]
        limited.limit = "2"
        start = world.clock.monotonic() + LEARN_SECONDS
        numbers = numbers_of_others(world)
        await send_reads(world, 4, hosts=numbers)
        name = world.coordinator().membership.local_host.name
        world.network.faults.freeze(name)
        await send_reads(world, 8, hosts=numbers)
        self.assert_limit_kept(limited, 2, start)
        await world.network.faults.thaw(name)

    @with_routes(world_options=FLEET, document=manifest(coldStartS=3.0, coldPerS=2.0))
    async def test_limit_in_health_check(self, world):
        """Guards against limits that are overlooked in the answer to a health check."""
        limited = world.replicas[0]
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(1)
        limited.limit = "2"
        # The replicas may be cold now, so that they are probed.
        await world.store.write("op/evacuate/north-a", None)
        await world.clock.sleep(1)
        self.assertEqual((limited.probes, limited.arrivals), (1, 0))
        for host in world.hosts[:4]:
            replica = host.fleet.get(limited.name)
            self.assertEqual(host._routing_state.statements.rate(replica), 2.0)

    @with_routes(world_options=FLEET)
    async def test_limit_heard_before_the_store_is_read(self, world):
        """Guards against a limit that a starting host hears and drops again.

        soak --first 606: a host that was started again heard a limit from its peer,
        got the manifest of the peer before the replicas of the store, took the replica
        for gone, and as coordinator sent it eleven requests in 0.3 s.
        """
        host = world.build_host(6, "north-a")
        world.hosts.append(host)
        await host.start()
        limited = world.hosts[0].fleet.get(world.replicas[0].name)
        statement = Statement(limited.started_at_ms, 2.0, world.clock.monotonic())
        statements = host._routing_state.statements
        self.assertIsNone(host.fleet.get(limited.name))
        statements.relayed(limited.name, statement, world.clock.monotonic())
        while host.fleet.get(limited.name) is None:
            await world.clock.sleep(0.01)
        self.assertEqual(statements.rate(limited), 2.0)

    @with_routes(world_options=FLEET)
    async def test_limit_of_another_replica(self, world):
        """Guards against a limit or a load of whoever answers at a used address."""
        host, other = world.hosts[0], world.replicas[0]
        replica = host.fleet.get(other.name)
        other.name, other.limit = "r-other", "1"
        await send_reads(world, 2)
        self.assertGreater(other.arrivals, 0)
        self.assertIsNone(host._routing_state.statements.rate(replica))

    @with_routes(world_options=FLEET)
    async def test_shares_exceed_limit(self, world):
        """Guards against shares that exceed one and a half times the rate together."""
        await world.clock.sleep(2)
        now = world.clock.monotonic()
        for name in ("r-0", "r-1", "r-2"):
            shares = [h.coordination.rate_share(name, now) for h in world.hosts[:4]]
            self.assertEqual(sorted(shares), [0.0, 0.0, 0.5, 1.0])

    @with_routes(world_options=FLEET)
    async def test_both_sides_of_a_cut_use_limit(self, world):
        """Guards against two coordinators that each use the whole limit."""
        limited = world.replicas[0]
        limited.limit = "3"
        start = world.clock.monotonic() + LEARN_SECONDS
        await send_reads(world, 3)
        world.network.faults.cut(["host-0", "host-1"], ["host-2", "host-3"])
        await send_reads(world, 10)
        self.assert_limit_kept(limited, 3, start)
        world.network.faults.heal()
        await send_reads(world, 8)
        self.assert_limit_kept(limited, 3, start)

    @with_routes(world_options=FLEET)
    async def test_limit_outlives_its_end(self, world):
        """Guards against hosts that keep a limit that is no longer named."""
        limited = world.replicas[0]
        limited.limit = "1"
        await send_reads(world, 4, hosts=[0])
        replica = world.hosts[0].fleet.get(limited.name)
        rates = [
            host._routing_state.statements.rate(replica) for host in world.hosts[:4]
        ]
        self.assertEqual(rates, [1.0] * 4)
        limited.limit = ""
        # A request a second is sent, and its answer is told to the others.
        await send_reads(world, 4, hosts=[0])
        rates = [
            host._routing_state.statements.rate(replica) for host in world.hosts[:4]
        ]
        self.assertEqual(rates, [None] * 4)
        ended_at = world.clock.monotonic()
        await send_reads(world, 4)
        self.assertGreater(busiest_window(limited.arrival_times, ended_at), 30)

    @with_routes(world_options=FLEET | {"replica_zones": ("north-a", "south-a")})
    async def test_zero_limit_lasts_forever(self, world):
        """Guards against a replica that is never asked again whether it has a limit."""
        limited = world.replicas[0]
        limited.limit = "0"
        await send_reads(world, 1)
        limited.limit = ""
        await send_reads(world, 12)
        started = world.clock.monotonic()
        await send_reads(world, 2)
        self.assertGreater(busiest_window(limited.arrival_times, started), 30)


class LimitLog:
    """Records the events about limits."""

    def __init__(self):
        self.events = []

    def emit(self, event, **fields):
        if event in (Event.LIMIT_CHANGED, Event.LIMIT_MALFORMED, Event.CALL_SENT):
            self.events.append((event, fields))

    def changes(self):
        """Return the rates in the events that tell of a change."""
        return [f["rate"] for event, f in self.events if event is Event.LIMIT_CHANGED]


class LogTest(TestCase):
    @with_routes(world_options={"replica_zones": ("north-a",), "zones": ("north-a",)})
    async def test_changes_are_logged(self, world):
        """Guards against limits of which no line of a host tells."""
        log = LimitLog()
        await world.hosts.pop().close()
        world.hosts.append(world.build_host(0, "north-a", log))
        await world.hosts[0].start()
        await world.clock.sleep(2)
        [limited] = world.replicas
        for limit in ("2.5", "2.5", "x", ""):
            limited.limit = limit
            await world.call("/read/1")
            await world.clock.sleep(1)
        self.assertEqual(log.changes(), [2.5, None])
        self.assertEqual(
            [f["limit"] for event, f in log.events if event is Event.CALL_SENT],
            [None, 2.5, 2.5, 2.5],
        )
        malformed = [event for event, _ in log.events if event is Event.LIMIT_MALFORMED]
        self.assertEqual(len(malformed), 1)
