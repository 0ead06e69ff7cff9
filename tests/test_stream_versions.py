"""Streams of services whose replicas have several software versions (issue 42)."""

import json
from unittest import TestCase

import curio

from sassafraskeel.core.events import Event
from sassafraskeel.platform.documents import decode_replica
from tests.support.routes import with_routes
from tests.support.version_streams import (
    STREAM_COUNT,
    WHOLE_REST,
    StreamCallers,
    prepare_replicas,
    whole,
)
from tests.test_leaving_replicas import RecordingLog
from tests.test_route_host import drain_stream

HOST_ZONES = ("north-a", "north-a", "north-a", "south-a", "south-a")
REPLICA_ZONES = ("north-a",) * 4 + ("south-a",)
# Two replicas of each version serve in the north, and one in the south.
TWO_VERSIONS = {
    "world_options": {
        "replica_zones": REPLICA_ZONES,
        "zones": HOST_ZONES,
        "versions": ("v1", "v1", "v2", "v2", "v1"),
    }
}
ONE_VERSION = {
    "world_options": {"replica_zones": REPLICA_ZONES, "zones": HOST_ZONES},
}
NO_VERSION = {
    "world_options": {
        "replica_zones": ("north-a",) * 6,
        "zones": HOST_ZONES,
        "versions": ("v1", "v1", None, None, 7, 7),
    }
}
NORTH = (0, 1, 2)
# Of 24 streams, a few may be lost with a host that is closed.
MIN_GONE_ON = 20
# Refused at once, so that callers can try another host before they give up.
MAX_REFUSAL_SECONDS = 0.7
# Between streams that begin at the coordinator, which tells others in batches.
COORDINATED_INTERVAL_SECONDS = 0.05
# Longer than any stream of the routes in tests may last.
LONG_SECONDS = 150.0


class StreamVersionTestCase(TestCase):
    """Checks of what became of streams that callers took up."""

    async def begin(self, world, *hosts, **options):
        """Return callers whose streams have begun, at several versions."""
        await prepare_replicas(world)
        callers = StreamCallers(world)
        await callers.begin(*hosts, **options)
        self.assertFalse([n for n, v in callers.began_at.items() if len(v) != 1])
        self.assertGreater(len(set.union(*callers.began_at.values())), 1)
        return callers

    def check_gone_on(self, callers, attempts, least=MIN_GONE_ON, prefix="t"):
        """Check that streams went on at the versions at which they began."""
        self.assertEqual(callers.mixed(prefix), [])
        self.assertGreaterEqual(len(whole(attempts)), least)

    def check_refused(self, callers, attempts, prefix="t"):
        """Check that attempts were refused at once, and that no replica ran them."""
        ran = set(callers.versions(prefix))
        self.assertEqual(ran & {int(a.call_id.split("-")[1]) for a in attempts}, set())
        self.assertEqual({attempt.status for attempt in attempts}, {503})
        slowest = max(attempt.seconds for attempt in attempts)
        self.assertLess(slowest, MAX_REFUSAL_SECONDS)


class TakenUpTest(StreamVersionTestCase):
    """Streams that callers take up while two replicas of their version serve."""

    @with_routes(**TWO_VERSIONS)
    async def test_same_host(self, world):
        """Guards against another version at the host where a stream began."""
        callers = await self.begin(world, *NORTH)
        self.check_gone_on(callers, await callers.take_up(*NORTH))

    @with_routes(**TWO_VERSIONS)
    async def test_other_host(self, world):
        """Guards against another version at another host of the region."""
        callers = await self.begin(world, *NORTH)
        self.check_gone_on(callers, await callers.take_up(1, 2, 0))

    @with_routes(**TWO_VERSIONS)
    async def test_first_host_closes(self, world):
        """Guards against streams whose version is lost with their first host."""
        await self.check_closed_host(world, coordinates=False)

    @with_routes(**TWO_VERSIONS)
    async def test_coordinator_closes(self, world):
        """Guards against streams whose version is lost with the coordinator."""
        await self.check_closed_host(world, coordinates=True)

    async def check_closed_host(self, world, coordinates):
        """Check streams whose first host is closed right after their first event."""
        coordinator = world.hosts.index(world.coordinator())
        others = [n for n in NORTH if n != coordinator]
        first = coordinator if coordinates else others[0]
        left = [n for n in NORTH if n != first]
        interval = COORDINATED_INTERVAL_SECONDS if coordinates else 0.0
        callers = await self.begin(world, first, interval=interval)
        await world.hosts[first].close()
        attempts = await callers.take_up(*left)
        self.check_gone_on(callers, attempts)

    @with_routes(**TWO_VERSIONS)
    async def test_other_region(self, world):
        """Guards against another version at a host of another region."""
        callers = await self.begin(world, *NORTH)
        self.check_gone_on(callers, await callers.take_up(3, 4))

    @with_routes(**TWO_VERSIONS)
    async def test_taken_up_twice(self, world):
        """Guards against a second take-up that is bound to nothing, since no host began
        a stream under the id of the first one.
        """
        callers = await self.begin(world, *NORTH)
        first = await callers.take_up(1, 2, 0, count=1)
        self.assertGreaterEqual(len([a for a in first if a.events == [2]]), MIN_GONE_ON)
        second = await callers.take_up(2, 0, 1, prefix="u", after=2)
        self.assertEqual(callers.mixed("t", "u"), [])
        rest = [a for a in second if a.ended and a.events == WHOLE_REST[1:]]
        self.assertGreaterEqual(len(rest), MIN_GONE_ON)

    @with_routes(**TWO_VERSIONS)
    async def test_crash_within_one_answer(self, world):
        """Guards against a host that resumes a stream at another version."""
        await prepare_replicas(world)
        for replica in (world.replicas[0], world.replicas[2]):
            replica.crash_after = 2
        callers = StreamCallers(world)
        await callers.begin(*NORTH)
        self.assertTrue(world.replicas[0].runs and world.replicas[2].runs)
        self.check_gone_on(callers, await callers.read_on(), prefix="c")

    @with_routes(**TWO_VERSIONS)
    async def test_started_host(self, world):
        """Guards against a host that guesses because it has just started."""
        callers = await self.begin(world, *NORTH)
        world.hosts.append(world.build_host(5, "north-a"))
        await world.hosts[-1].start()
        early = callers.numbers[:8]
        await callers.take_up(5, numbers=early)
        await world.clock.sleep(2.0)
        attempts = await callers.take_up(5, numbers=callers.numbers[8:])
        self.check_gone_on(callers, attempts, least=14)

    @with_routes(**TWO_VERSIONS)
    async def test_restarted_replica(self, world):
        """Guards against streams that go on at their replica after an upgrade of it."""
        callers = await self.begin(world, *NORTH)
        await callers.leave()
        world.replicas[0].version = "v2"
        await world.register_replica(world.replicas[0], born=2)
        await world.clock.sleep(0.5)
        self.check_gone_on(callers, await callers.take_up(*NORTH))

    @with_routes(**TWO_VERSIONS)
    async def test_share_of_new_streams(self, world):
        """Guards against fewer taken-up streams that go on than new ones that begin."""
        callers = await self.begin(world, *NORTH)
        new = StreamCallers(world)
        new.numbers = range(100, 100 + STREAM_COUNT)
        beginning = await curio.spawn(new.begin, *NORTH)
        attempts = await callers.take_up(1, 2, 0)
        await beginning.join()
        await new.leave()
        began = sum(len(v) == 1 for v in new.began_at.values())
        self.check_gone_on(callers, attempts, least=began)


class UnknownVersionTest(StreamVersionTestCase):
    """Streams whose version nobody serves, or nobody knows."""

    @with_routes(**TWO_VERSIONS)
    async def test_version_without_replica(self, world):
        """Guards against streams that go on elsewhere once their version is gone."""
        callers = await self.begin(world, *NORTH)
        await remove_replicas(world, "v2")
        await world.clock.sleep(3.0)
        gone, left = callers.numbers_at("v2"), callers.numbers_at("v1")
        self.assertTrue(gone)
        self.check_refused(callers, await callers.take_up(*NORTH, numbers=gone))
        attempts = await callers.take_up(*NORTH, numbers=left)
        self.check_gone_on(callers, attempts, least=len(left) - 2)

    @with_routes(**TWO_VERSIONS)
    async def test_version_gone_within_one_answer(self, world):
        """Guards against a host that resumes a stream whose version is gone."""
        callers = await self.begin(world, *NORTH)
        gone = {f"c-{number}" for number in callers.numbers_at("v2")}
        self.assertTrue(gone)
        await remove_replicas(world, "v2")
        attempts = await callers.read_on()
        went_on = {attempt.call_id for attempt in whole(attempts)}
        self.assertEqual(went_on & gone, set())
        self.check_gone_on(callers, attempts, STREAM_COUNT - len(gone), prefix="c")

    @with_routes(**TWO_VERSIONS)
    async def test_unknown_attempt(self, world):
        """Guards against a guess for a stream that no host knows."""
        callers = await self.begin(world, *NORTH)
        attempts = await callers.take_up(*NORTH, 3, resumes="unknown-")
        self.check_refused(callers, attempts)

    @with_routes(**TWO_VERSIONS)
    async def test_attempt_not_named(self, world):
        """Guards against a guess for a stream whose first attempt is not named."""
        callers = await self.begin(world, *NORTH)
        self.check_refused(callers, await callers.take_up(*NORTH, 3, resumes=None))

    @with_routes(**NO_VERSION)
    async def test_entry_without_version(self, world):
        """Guards against entries without a usable version that count as one version."""
        callers = await self.begin(world, *NORTH)
        self.assertGreater(len(set.union(*callers.began_at.values())), 2)
        attempts = await callers.take_up(1, 2, 0)
        self.assertEqual(callers.mixed("t"), [])
        known = [f"t-{number}" for number in callers.numbers_at("v1")]
        went_on = [a.call_id for a in whole(attempts)]
        self.assertEqual(set(known) - set(went_on), set())
        # The run of a replica has the same version as itself.
        self.assertGreaterEqual(len(went_on), MIN_GONE_ON)

    @with_routes(**TWO_VERSIONS)
    async def test_cut_off_host(self, world):
        """Guards against a guess by a host that reaches replicas, but nobody to ask."""
        callers = await self.begin(world, 0)
        cut_off(world, 1)
        early = await callers.take_up(1, numbers=callers.numbers[:12])
        await world.clock.sleep(5.0)
        late = await callers.take_up(1, numbers=callers.numbers[12:])
        self.assertEqual(callers.mixed("t"), [])
        self.assertEqual({a.status for a in early + late} - {200, 503}, set())

    @with_routes(**ONE_VERSION)
    async def test_cut_off_from_new_version(self, world):
        """Guards against a host that is cut off and trusts that a service has a single
        version, because it has not heard of another one.
        """
        await prepare_replicas(world)
        await world.clock.sleep(LONG_SECONDS)
        cut_off(world, 1)
        for replica in world.replicas[2:4]:
            replica.version = "v2"
            await world.register_replica(replica, born=2)
        await world.clock.sleep(1.0)
        callers = StreamCallers(world)
        await callers.begin(0)
        self.assertTrue(callers.numbers_at("v2"))
        await callers.take_up(1)
        self.assertEqual(callers.mixed("t"), [])

    @with_routes(**ONE_VERSION)
    async def test_single_version(self, world):
        """Guards against refusals while a service has had a single version for long."""
        await prepare_replicas(world)
        await world.clock.sleep(LONG_SECONDS)
        callers = StreamCallers(world)
        attempts = await callers.take_up(0, 1, 2, 3, resumes="unknown-")
        attempts += await callers.take_up(3, 0, 1, 2, prefix="u", resumes=None)
        self.assertEqual(len(whole(attempts)), 2 * STREAM_COUNT)


async def remove_replicas(world, version):
    """End all replicas of a version, with their entries in the store."""
    for replica in world.replicas:
        if replica.version == version:
            await world.store.write(f"servers/{replica.name}", None)
            await replica.close()


def cut_off(world, number):
    """Cut a host off from the store and all other hosts, but not from replicas."""
    others = {f"host-{n}" for n in range(len(world.hosts))} - {f"host-{number}"}
    world.network.faults.cut({f"host-{number}"}, {"store", *others})


class LogTest(TestCase):
    @with_routes(
        world_options={"replica_zones": ("north-a",) * 2, "zones": ("north-a",)}
    )
    async def test_sends(self, world):
        """Guards against logs that don't tell which version a stream was sent to."""
        log = RecordingLog()
        await world.hosts.pop().close()
        for number, zone in enumerate(("north-a", "south-a")):
            world.hosts.append(world.build_host(number, zone, log))
            await world.hosts[-1].start()
        await world.clock.sleep(2)
        await world.call("/stream/chat/1", "POST", call_id="c-1")
        world.replicas[0].crash_after = 2
        world.replicas[1].crash_after = 2
        headers = ((b"resumes", b"c-1"), (b"last-event-id", b"1"))
        conn = await world.open_call("/stream/chat/1", call_id="c-2", headers=headers)
        await world.clock.sleep(0.05)
        world.replicas[0].crash_after = world.replicas[1].crash_after = None
        await drain_stream(conn)
        sent = [
            (line["call"], line["resumes"], line["version"])
            for line in log.all(Event.CALL_SENT)
        ]
        self.assertEqual(
            sent, [("c-1", "", "v1"), ("c-2", "c-1", "v1"), ("c-2", "c-1", "v1")]
        )
        [line] = log.all(Event.STREAM_RESUMED)
        self.assertEqual((line["resumes"], line["version"]), ("c-1", "v1"))
        await world.call("/stream/chat/1", "POST", host=1, call_id="c-3")
        [forwarded] = [
            line for line in log.all(Event.CALL_SENT) if line["to"] == "host-0"
        ]
        self.assertEqual((forwarded["call"], forwarded["version"]), ("c-3", ""))

    @with_routes
    async def test_entry_without_version(self, world):
        """Guards against control characters in the versions that logs name."""
        entry = world.replicas[0].store_entry("desk", version=None)
        replica = decode_replica("r-0", json.dumps(entry).encode(), 0.0)
        self.assertEqual(replica.logged_version, "unversioned:r-0/1")
