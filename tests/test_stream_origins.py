"""Which host knows at which software version a stream began."""

from unittest import TestCase

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraskeel.decisions.stream_origins import (
    CONFLICTING,
    MAX_ID_LENGTH,
    MAX_LIFETIME_SECONDS,
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
    choose_partner,
)

OLD, NEW = StreamOrigin("desk", "v1.1"), StreamOrigin("desk", "v1.2")


class StreamOriginsTest(TestCase):
    def setUp(self):
        self.origins = StreamOrigins(max_streams=3)

    def record(self, stream_id, origin=OLD, expires=100.0, now=10.0):
        return self.origins.record(stream_id, origin, expires, now)

    def test_bound(self):
        """Guards against a table that grows with the number of streams."""
        for number in range(5):
            self.record(f"s-{number}", expires=100.0 - number)
        found = [self.origins.find(f"s-{number}", 10.0) for number in range(5)]
        self.assertEqual(found, [None, None, OLD, OLD, OLD])
        self.assertEqual(len(self.origins), 3)

    def test_conflict(self):
        """Guards against a host that chooses one of two versions of a stream."""
        self.assertTrue(self.record("s"))
        self.assertFalse(self.record("s"))
        self.assertTrue(self.record("s", NEW))
        self.assertIsNone(self.origins.find("s", 11.0))
        self.record("s", OLD, 200.0)
        self.assertIsNone(self.origins.find("s", 150.0))

    def test_prolonged(self):
        """Guards against resumed streams that are forgotten while they run."""
        self.record("s", expires=20.0)
        self.assertTrue(self.record("s", expires=40.0))
        self.assertFalse(self.record("s", expires=30.0))
        self.assertEqual(self.origins.find("s", 39.9), OLD)
        self.assertIsNone(self.origins.find("s", 40.0))

    def test_expired(self):
        """Guards against an expired origin that conflicts with a later one."""
        self.record("s", OLD, expires=10.5, now=10.0)
        self.assertTrue(self.record("s", NEW, expires=20.0, now=10.5))
        self.assertEqual(self.origins.find("s", 11.0), NEW)

    def test_unusable_entries(self):
        """Guards against ids and names of peers that take up unbounded memory."""
        self.assertTrue(self.record("i" * MAX_ID_LENGTH))
        for stream_id in ("i" * (MAX_ID_LENGTH + 1), "", "a\nb", "\udc80"):
            self.assertFalse(self.record(stream_id))
        for origin in (("desk", ""), ("", "v1"), ("desk", "v" * 201), ("d\n", "v1")):
            self.assertFalse(self.record("s", StreamOrigin(*origin)))
        self.assertFalse(self.record("s", expires=10.0))
        self.assertEqual(len(self.origins), 1)

    def test_lifetime(self):
        """Guards against a peer whose entries never expire."""
        self.record("s", expires=1e18)
        self.assertEqual(self.origins.find("s", 9 + MAX_LIFETIME_SECONDS), OLD)
        self.assertIsNone(self.origins.find("s", 10 + MAX_LIFETIME_SECONDS))


class PartnerTest(TestCase):
    def test_even_shares(self):
        """Guards against a region that records the streams of many others."""
        regions = [f"region-{number}" for number in range(23)]
        partners = {
            region: choose_partner(region, [r for r in regions if r != region])
            for region in regions
        }
        self.assertEqual(sorted(partners.values()), sorted(regions))
        lost = regions.pop(7)
        moved = [
            region
            for region in regions
            if choose_partner(region, [r for r in regions if r != region])
            != partners[region]
        ]
        self.assertEqual([partners[region] for region in moved], [lost])


class OriginsMachine(RuleBasedStateMachine):
    """Compares the table with a dictionary that is searched completely."""

    MAX_STREAMS = 4

    def __init__(self):
        super().__init__()
        self.origins = StreamOrigins(self.MAX_STREAMS)
        self.expected: dict[str, StreamRecord] = {}
        self.now = 5.0

    @rule(seconds=st.sampled_from((0.25, 1.0, 3.0, 5000.0)))
    def wait(self, seconds):
        self.now += seconds

    @rule(
        stream_id=st.sampled_from("abcdef"),
        origin=st.sampled_from((OLD, NEW)),
        seconds=st.sampled_from((-1.0, 0.5, 1.0, 2.5, 9.0)),
    )
    def record(self, stream_id, origin, seconds):
        expires = self.now + seconds
        self.origins.record(stream_id, origin, expires, self.now)
        if seconds <= 0:
            return
        known = self.expected.get(stream_id)
        if known is None or known.expires <= self.now:
            self.expected.pop(stream_id, None)
            self.drop_swept()
            if len(self.expected) >= self.MAX_STREAMS:
                del self.expected[next(iter(self.expected))]
            self.expected[stream_id] = StreamRecord(origin, expires)
            return
        same = known.origin == origin
        self.expected[stream_id] = StreamRecord(
            origin if same else CONFLICTING, max(known.expires, expires)
        )

    def drop_swept(self):
        """Forget what has expired by the start of the current second."""
        self.expected = {
            stream_id: record
            for stream_id, record in self.expected.items()
            if record.expires > self.now // 1
        }

    @invariant()
    def same_answers(self):
        """Guards against lost, surviving and misplaced entries."""
        for stream_id in "abcdef":
            record = self.expected.get(stream_id)
            valid = record is not None and record.expires > self.now
            expected = record.origin if valid else None
            if expected == CONFLICTING:
                expected = None
            assert self.origins.find(stream_id, self.now) == expected
        self.drop_swept()
        assert self.origins.ids() == list(self.expected)
        scheduled = sorted(i for ids in self.origins._expiring.values() for i in ids)
        assert scheduled == sorted(self.expected)


OriginsMachineTest = OriginsMachine.TestCase
OriginsMachineTest.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
