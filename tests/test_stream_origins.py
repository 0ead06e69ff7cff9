"""Which host knows at which software version a stream began."""

from unittest import TestCase

import curio
from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.events import Event
from sassafraskeel.decisions.stream_origins import (
    CONFLICTING,
    MAX_ID_LENGTH,
    MAX_LIFETIME_SECONDS,
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
    choose_partner,
)
from sassafraskeel.gateways.codec import decode, encode
from sassafraskeel.gateways.messages import StreamFound, StreamLookup, StreamsBegan
from sassafraskeel.gateways.stream_origins import (
    LOOKUP_TIMEOUT_SECONDS,
    MAX_QUEUED,
)
from sassafraskeel.gateways.stream_rows import (
    MAX_ROWS,
    Scope,
    decode_streams,
    encode_streams,
)
from tests.support.routes import with_routes
from tests.test_log import ListLog

OLD, NEW = StreamOrigin("desk", "v1.1"), StreamOrigin("desk", "v1.2")
STREAM = "f4f0a9fcd18118ee"
FLEET = {"zones": ("north-a",) * 4 + ("south-a",) * 2}
# Time in which a batch reaches the coordinator, its standby and another region.
SPREAD_SECONDS = 0.5
# Time in which a silent coordinator is replaced, and its links are new.
REPLACE_SECONDS = 5.0


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


class StreamRowsTest(TestCase):
    def test_round_trip(self):
        """Guards against ids that change on their way to another host."""
        ids = [STREAM, STREAM.upper(), "c-1", "abc", "ab cd", "\u00e9", "0" * 200]
        records = {name: StreamRecord(OLD, 60.0) for name in ids}
        records["d"] = StreamRecord(CONFLICTING, 31.5)
        records["forgotten"] = None
        message = decode(encode(encode_streams(Scope.STANDBY, records, 50.0)))
        scope, rows = decode_streams(message, 80.0)
        self.assertIs(scope, Scope.STANDBY)
        del records["forgotten"]
        self.assertEqual([name for name, _ in rows], list(records))
        self.assertEqual(rows[0][1], StreamRecord(OLD, 90.0))
        self.assertEqual(rows[-1][1].origin, CONFLICTING)

    def test_malformed_messages(self):
        """Guards against messages of peers that end in an unexpected error."""
        for scope, groups in (
            (3, []),
            (-1, []),
            (0, [1]),
            (0, [["desk", "v1", 5]]),
            (0, [["desk", "v1", 5.0, []]]),
            (0, [["desk", 1, 5, []]]),
            (0, [["desk", "v1", True, []]]),
            (0, [["desk", "v1", 5, [1]]]),
            (0, [["desk", "v1", 5, [b"i" * 101]]]),
            (0, [["desk", "v1", 5, ["i"] * (MAX_ROWS + 1)]]),
            (0, [["desk", "v1", 5, ["i"] * MAX_ROWS]] * 2),
            (0, [["desk", "v1", 5, []]] * (MAX_ROWS + 1)),
        ):
            with self.assertRaises(ProtocolError, msg=(scope, groups)):
                decode_streams(decode(encode(StreamsBegan(scope, groups))), 0.0)

    @settings(max_examples=300, derandomize=True)
    @given(
        st.integers(),
        st.recursive(
            st.none() | st.integers() | st.text() | st.binary() | st.just(1e300),
            lambda inner: st.lists(inner, max_size=5),
        ),
    )
    def test_any_message(self, scope, groups):
        """Guards against messages of peers that end in an unexpected error."""
        groups = groups if isinstance(groups, list) else [["desk", "v1", groups, []]]
        try:
            _, rows = decode_streams(StreamsBegan(scope, groups), 0.0)
        except ProtocolError:
            return
        origins = StreamOrigins()
        for stream_id, record in rows:
            origins.record(stream_id, *record, 0.0)


class ExchangeTest(TestCase):
    def roles(self, world):
        """Return coordinator, standby and the two other hosts of the north."""
        now = world.clock.monotonic()
        by_name = {host.membership.local_host.name: host for host in world.hosts}
        names = [
            host.name for host in world.hosts[0].coordination.candidates("north", now)
        ]
        chosen = [by_name[name] for name in names]
        return chosen + [host for host in world.hosts[:4] if host not in chosen]

    async def begin(self, world, host, origin=OLD, stream_id=STREAM, seconds=60.0):
        expires = world.clock.monotonic() + seconds
        await host.stream_origins.began(stream_id, origin, expires)

    async def assert_found(self, *hosts, origin=OLD):
        for host in hosts:
            found = await host.stream_origins.find(STREAM)
            self.assertEqual(found.origin, origin)

    @with_routes(world_options=FLEET)
    async def test_all_hosts(self, world):
        """Guards against streams that only the host that began them knows."""
        began = self.roles(world)[2]
        await self.begin(world, began)
        await self.assert_found(began)
        await world.clock.sleep(SPREAD_SECONDS)
        await self.assert_found(*world.hosts)

    @with_routes(world_options=FLEET)
    async def test_host_closes(self, world):
        """Guards against streams that are unknown once their host has died."""
        *_, began, other = self.roles(world)
        await self.begin(world, began)
        # An idle host sends at once, so that a batch's time is enough.
        await world.clock.sleep(0.01)
        await began.close()
        await self.assert_found(other)

    @with_routes(world_options=FLEET)
    async def test_coordinator_closes(self, world):
        """Guards against a coordinator whose knowledge ends with it."""
        coordinator, _, began, other = self.roles(world)
        await self.begin(world, began)
        await world.clock.sleep(SPREAD_SECONDS)
        await began.close()
        await coordinator.close()
        await self.assert_found(other)

    @with_routes(world_options=FLEET)
    async def test_coordinators_close_in_turn(self, world):
        """Guards against a new standby that does not know earlier streams."""
        coordinator, standby, began, other = self.roles(world)
        for host in world.hosts[4:]:
            await host.close()
        await self.begin(world, began)
        await world.clock.sleep(SPREAD_SECONDS)
        for host in (began, coordinator, standby):
            await host.close()
            await world.clock.sleep(REPLACE_SECONDS)
        await self.assert_found(other)

    @with_routes(world_options=FLEET)
    async def test_draining_coordinator(self, world):
        """Guards against streams that only a draining coordinator and one host know."""
        coordinator, standby, other, last = self.roles(world)
        for host in world.hosts[4:]:
            await host.close()
        drain = await curio.spawn(coordinator.drain)
        await world.clock.sleep(1)
        await self.begin(world, coordinator)
        await drain.join()
        await standby.close()
        await self.assert_found(other, last)

    @with_routes(world_options=FLEET)
    async def test_coordinator_freezes(self, world):
        """Guards against streams lost with messages to a frozen coordinator."""
        coordinator, _, began, other = self.roles(world)
        name = coordinator.membership.local_host.name
        world.network.faults.freeze(name)
        await self.begin(world, began)
        await world.clock.sleep(REPLACE_SECONDS)
        await began.close()
        await self.assert_found(other)
        await world.network.faults.thaw(name)

    @with_routes(world_options=FLEET)
    async def test_region_closes(self, world):
        """Guards against streams that end with all hosts of their region."""
        await self.begin(world, self.roles(world)[2])
        await world.clock.sleep(SPREAD_SECONDS)
        coordinator = world.coordinator("south")
        for host in (*world.hosts[:4], coordinator):
            await host.close()
        [last] = [host for host in world.hosts[4:] if host is not coordinator]
        self.assertEqual(last.stream_origins.origins.ids(), [STREAM])
        await self.assert_found(last)

    @with_routes(world_options=FLEET)
    async def test_other_region_is_asked(self, world):
        """Guards against streams that callers cannot take up in another region."""
        now = world.clock.monotonic()
        coordinator = self.roles(world)[0]
        # Only one host has the stream, as after lost messages.
        coordinator.stream_origins.origins.record(STREAM, OLD, now + 60, now)
        southern = world.coordinator("south")
        [other] = [host for host in world.hosts[4:] if host is not southern]
        await self.assert_found(other)
        gauges = other.stream_origins.gauges()
        self.assertEqual(gauges["stream_lookups_other_region"], 1)
        await self.assert_found(southern, other)
        self.assertEqual(other.stream_origins.gauges()["stream_lookups_local"], 1)

    @with_routes(world_options=FLEET)
    async def test_host_starts(self, world):
        """Guards against a host that knows no stream that began before its start."""
        *_, began, other = self.roles(world)
        await self.begin(world, began)
        number = world.hosts.index(other)
        await other.close()
        await world.clock.sleep(2)
        world.hosts[number] = world.build_host(number, "north-a", seed=99)
        await world.hosts[number].start()
        await world.clock.sleep(2)
        await self.assert_found(world.hosts[number])

    @with_routes(world_options=FLEET)
    async def test_unknown_stream(self, world):
        """Guards against lookups that outlast the patience of callers."""
        coordinator, standby, other, _ = self.roles(world)
        log = other.stream_origins._log = ListLog()
        await self.assert_found(other, origin=None)
        asked = [host.membership.local_host.name for host in (coordinator, standby)]
        fields = {"stream": STREAM, "cause": "unknown", "asked": " ".join(asked)}
        self.assertEqual(log.events, [(Event.STREAM_ORIGIN_UNKNOWN, fields)])
        for name in asked:
            world.network.faults.freeze(name)
        started_at = world.clock.monotonic()
        await self.assert_found(other, origin=None)
        waited = world.clock.monotonic() - started_at
        self.assertAlmostEqual(waited, LOOKUP_TIMEOUT_SECONDS)
        for name in asked:
            await world.network.faults.thaw(name)

    @with_routes(world_options=FLEET)
    async def test_silent_region(self, world):
        """Guards against a coordinator that answers too late, for a silent region."""
        _, _, other, _ = self.roles(world)
        south = world.coordinator("south").membership.local_host.name
        world.network.faults.freeze(south)
        started_at = world.clock.monotonic()
        await self.assert_found(other, origin=None)
        waited = world.clock.monotonic() - started_at
        self.assertLess(waited, LOOKUP_TIMEOUT_SECONDS)
        await world.network.faults.thaw(south)

    @with_routes(world_options={"zones": ("north-a",)})
    async def test_host_alone(self, world):
        """Guards against a caller that waits though there is nobody to ask."""
        started_at = world.clock.monotonic()
        await self.assert_found(world.hosts[0], origin=None)
        self.assertEqual(world.clock.monotonic(), started_at)

    @with_routes(world_options=FLEET)
    async def test_conflicting_origins(self, world):
        """Guards against a host that chooses one of two versions of a stream."""
        *_, one, two = self.roles(world)
        await self.begin(world, one, OLD)
        await self.begin(world, two, NEW)
        await world.clock.sleep(SPREAD_SECONDS)
        others = [host for host in world.hosts if host not in (one, two)]
        await self.assert_found(*others, origin=CONFLICTING)

    @with_routes(world_options=FLEET)
    async def test_lookups_share_requests(self, world):
        """Guards against a request for each of many callers of the same stream."""
        coordinator, _, other, _ = self.roles(world)
        asked = []

        async def answer(peer, message):
            asked.append(message)
            await world.clock.sleep(0.1)
            return StreamFound(*OLD, 60, "north")

        coordinator._links.on_request(StreamLookup, answer, waits=True)
        finds = [await curio.spawn(other.stream_origins.find, STREAM) for _ in range(9)]
        finds[0].allow_cancel = True
        await world.clock.sleep(0.05)
        await finds[0].cancel()
        found = [(await task.join()).origin for task in finds[1:]]
        self.assertEqual(found, [OLD] * 8)
        self.assertEqual(len(asked), 1)
        self.assertEqual(len(other.stream_origins.lookups), 0)

    @with_routes(world_options=FLEET)
    async def test_full_queue(self, world):
        """Guards against a queue that grows while links are slow."""
        host = self.roles(world)[2]
        for number in range(MAX_QUEUED + 7):
            await self.begin(world, host, stream_id=f"s-{number}")
        self.assertEqual(len(host.stream_origins._queue), MAX_QUEUED)
        self.assertEqual(host.stream_origins.gauges()["stream_origins_unsent"], 7)
        found = await host.stream_origins.find(f"s-{MAX_QUEUED + 6}")
        self.assertEqual(found.origin, OLD)

    @with_routes(world_options=FLEET)
    async def test_malformed_message_of_peer(self, world):
        """Guards against a malformed message that harms its receiver."""
        coordinator, _, sender, other = self.roles(world)
        name = coordinator.membership.local_host.name
        rows = [["desk", "v1.2", 60, [STREAM]], ["desk", "v1.2", 60, [1]]]
        await sender._links.link(name).notify(StreamsBegan(Scope.RECORD, rows))
        await world.clock.sleep(2)
        self.assertIsNotNone(sender._links.link(name))
        await self.assert_found(other, origin=None)
        await self.begin(world, sender)
        await world.clock.sleep(SPREAD_SECONDS)
        await self.assert_found(other)

    @with_routes(world_options=FLEET)
    async def test_earlier_version(self, world):
        """Guards against links that hosts of an earlier version close."""
        coordinator, standby, began, other = self.roles(world)
        name = coordinator.membership.local_host.name
        server = coordinator._gateway_server
        server._components = server._components._replace(features="")
        for message_type in (StreamsBegan, StreamLookup):
            del coordinator._links._handlers[message_type]
        for host in (standby, began, other):
            await host._links.link(name).close()
        await world.clock.sleep(3)
        serials = [host._links.link(name).serial for host in (standby, began, other)]
        await self.begin(world, began)
        await world.clock.sleep(SPREAD_SECONDS)
        await self.assert_found(other)
        links = [host._links.link(name) for host in (standby, began, other)]
        self.assertEqual([link.serial for link in links], serials)

    @with_routes(world_options=FLEET)
    async def test_repeated_streams(self, world):
        """Guards against streams that are passed on each time they are sent."""
        coordinator, standby, sender, _ = self.roles(world)
        received = []

        async def record(peer, message):
            received.append(message)

        standby._links.on_request(StreamsBegan, record)
        link = sender._links.link(coordinator.membership.local_host.name)
        message = StreamsBegan(
            Scope.STANDBY_AND_REGION, [["desk", "v1.1", 60, [STREAM]]]
        )
        for _ in range(3):
            await link.notify(message)
            await world.clock.sleep(SPREAD_SECONDS)
        self.assertEqual(len(received), 1)

    @with_routes(world_options=FLEET)
    async def test_messages_end(self, world):
        """Guards against streams that hosts send to each other again and again."""
        await self.begin(world, self.roles(world)[2])
        await world.clock.sleep(REPLACE_SECONDS)
        received = []
        for host in world.hosts:

            async def record(peer, message):
                received.append(message)

            host._links.on_request(StreamsBegan, record)
        await world.clock.sleep(REPLACE_SECONDS)
        self.assertEqual(received, [])
