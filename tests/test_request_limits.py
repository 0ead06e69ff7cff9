"""The limits on requests that replicas name in their answers."""

from collections import Counter
from unittest import TestCase

from sassafraskeel.core.events import Event
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import ResponseHead
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.request_limits import NamedLimit, RequestLimits
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from tests.support.routes import with_routes

NO_LIMIT = NamedLimit(None)
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
    address = Address("10.0.0.1", 80)
    return Replica(name, started_at_ms, "desk", "north-a", address, 8, False)


class StatementTest(TestCase):
    def setUp(self):
        self.limits = RequestLimits()

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
        self.limits.retain({"r-1"})
        self.assertIsNone(self.limits.rate(replica()))


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


async def send_reads(world, seconds: float, hosts=range(4), per_second=25):
    """Send reads to some hosts in turn; return the number of each status."""
    statuses = Counter()
    for number in range(int(seconds * per_second)):
        started = world.clock.monotonic()
        host = hosts[number % len(hosts)]
        head, _ = await world.call("/read/1", host=host, call_id=f"n-{number}")
        statuses[head.status] += 1
        rest = started + 1 / per_second - world.clock.monotonic()
        await world.clock.sleep(max(rest, 0))
    return statuses


class RateTest(TestCase):
    @with_routes(world_options=FLEET)
    async def test_replica_gets_more_than_its_limit(self, world):
        """Guards against hosts that together exceed the limit that a replica named."""
        limited = world.replicas[0]
        limited.limit = "2"
        start = world.clock.monotonic() + LEARN_SECONDS
        statuses = await send_reads(world, 12)
        self.assertEqual(statuses, {200: 300})
        count = busiest_window(limited.arrival_times, start)
        self.assertLessEqual(count, allowed(2))
        # The limit is used, since the other replicas have less to do then.
        self.assertGreaterEqual(count, 2 * WINDOW_SECONDS - 1)


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
        [host] = world.hosts
        host.log = host.dispatcher._log = log
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
