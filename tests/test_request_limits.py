"""The limits on requests that replicas name in their answers."""

from unittest import TestCase

from sassafraskeel.core.events import Event
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import ResponseHead
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.request_limits import NamedLimit, RequestLimits
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from tests.support.routes import with_routes

NO_LIMIT = NamedLimit(None)


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
