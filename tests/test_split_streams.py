"""Streams that are taken up after a manifest has changed the split of their route."""

import json
from unittest import TestCase

import curio

from sassafraskeel.core.events import Event
from tests.support.routes import ROUTES, manifest, with_routes
from tests.support.version_streams import (
    EVENT_COUNT,
    EVENT_SECONDS,
    SLOTS,
    STREAM_COUNT,
    StreamCallers,
    whole,
)
from tests.test_leaving_replicas import RecordingLog

WORLD = {
    "replica_zones": ("north-a",) * 4 + ("south-a",),
    "zones": ("north-a", "north-a", "north-a", "south-a"),
    "versions": ("d1", "d1", "l1", "l1", "d1"),
}
SERVICES = ("desk", "desk", "lab", "lab", "desk")
NORTH = (0, 1, 2)
MIN_GONE_ON = 20
# Longer than streams of the routes in tests may be taken up.
LIFETIME_SECONDS = 20.0


def split(version, *shares):
    """Return a manifest whose streams go to services by their weights, as JSON."""
    routes = []
    for route in ROUTES:
        if route["kind"] == "streaming":
            weights = [{"service": name, "weight": weight} for name, weight in shares]
            route = route | {"trafficSplit": weights}
        routes.append(route)
    content = json.loads(manifest(version, routes))
    content["services"] += [entry | {"name": "lab"} for entry in content["services"]]
    return json.dumps(content).encode()


async def prepare(world):
    """Register replicas of two services, whose streams last for a while."""
    for replica, service in zip(world.replicas, SERVICES, strict=True):
        replica.event_count = EVENT_COUNT
        replica.delay = EVENT_SECONDS
        await world.register_replica(replica, service=service, slots=SLOTS)
    await world.clock.sleep(1.0)


async def install(world, version, *shares):
    """Write a manifest, and wait until it is in force."""
    await world.store.write("op/config", split(version, *shares))
    await world.clock.sleep(1.0)


class SplitTestCase(TestCase):
    async def begin(self, world, *shares, hosts=NORTH):
        """Return callers whose streams have begun by the weights of a split."""
        await prepare(world)
        await install(world, 2, *shares)
        callers = StreamCallers(world)
        await callers.begin(*hosts)
        return callers

    def check_gone_on(self, callers, attempts, least=MIN_GONE_ON, prefix="t"):
        """Check that streams went on at the services at which they began."""
        self.assertEqual(callers.mixed(prefix), [])
        self.assertGreaterEqual(len(whole(attempts)), least)

    def check_refused(self, callers, attempts, prefix="t"):
        """Check that attempts were refused and not run."""
        self.assertEqual(callers.versions(prefix), {})
        self.assertEqual({attempt.status for attempt in attempts}, {503})


class KnownOriginTest(SplitTestCase):
    """Streams of which hosts know where they began."""

    @with_routes(world_options=WORLD)
    async def test_route_is_split(self, world):
        """Guards against streams that are refused once their route is split, although
        it may still use their service (review/8).
        """
        callers = await self.begin(world, ("desk", 100))
        await install(world, 3, ("desk", 20), ("lab", 80))
        self.check_gone_on(callers, await callers.take_up(1, 2, 0))

    @with_routes(world_options=WORLD)
    async def test_weights_change_twice(self, world):
        """Guards against streams that are lost when weights change while they last."""
        callers = await self.begin(world, ("desk", 50), ("lab", 50))
        self.assertEqual(
            {name for names in callers.began_at.values() for name in names},
            {"d1", "l1"},
        )
        await install(world, 3, ("lab", 10), ("desk", 90))
        await install(world, 4, ("lab", 80), ("desk", 20))
        self.check_gone_on(callers, await callers.take_up(1, 2, 0))

    @with_routes(world_options=WORLD)
    async def test_taken_up_twice(self, world):
        """Guards against a service that is forgotten when a stream is taken up."""
        callers = await self.begin(world, ("desk", 100))
        await install(world, 3, ("desk", 20), ("lab", 80))
        first = await callers.take_up(1, 2, 0, count=1)
        self.assertGreaterEqual(len([a for a in first if a.events == [2]]), MIN_GONE_ON)
        await install(world, 4, ("lab", 95), ("desk", 5))
        second = await callers.take_up(2, 0, 1, prefix="u", after=2)
        self.assertEqual(callers.mixed("t", "u"), [])
        self.assertGreaterEqual(len([a for a in second if a.ended]), MIN_GONE_ON)

    @with_routes(world_options=WORLD)
    async def test_other_region(self, world):
        """Guards against streams that are lost on their way through another region."""
        callers = await self.begin(world, ("lab", 100))
        await install(world, 3, ("lab", 20), ("desk", 80))
        self.check_gone_on(callers, await callers.take_up(3))

    @with_routes(world_options=WORLD)
    async def test_service_leaves_the_split(self, world):
        """Guards against work for a service that its route no longer uses, and against
        streams that go on at another service.
        """
        callers = await self.begin(world, ("desk", 100))
        await install(world, 3, ("lab", 100))
        self.check_refused(callers, await callers.take_up(1, 2, 0))

    @with_routes(world_options=WORLD)
    async def test_share_of_zero(self, world):
        """Guards against work for a service whose share has been taken to zero."""
        callers = await self.begin(world, ("desk", 100))
        await install(world, 3, ("lab", 1), ("desk", 0))
        self.check_refused(callers, await callers.take_up(1, 2, 0))

    @with_routes(world_options=WORLD)
    async def test_host_with_another_manifest(self, world):
        """Guards against a host that is a manifest behind the one that began a stream,
        or ahead of it, and uses a service that its own manifest does not allow.
        """
        callers = await self.begin(world, ("desk", 100))
        older = world.hosts[1].fleet.table
        await install(world, 3, ("lab", 100))
        self.check_refused(callers, await callers.take_up(2))
        new = StreamCallers(world)
        new.numbers = range(100, 100 + STREAM_COUNT)
        await new.begin(0)
        world.hosts[1].fleet.table = older
        self.check_refused(new, await new.take_up(1, prefix="u"), prefix="u")

    @with_routes(world_options=WORLD)
    async def test_new_streams(self, world):
        """Guards against new streams that don't follow the weights."""
        callers = await self.begin(world, ("desk", 100))
        await install(world, 3, ("desk", 10), ("lab", 90))
        new = StreamCallers(world)
        new.numbers = range(100, 100 + STREAM_COUNT)
        beginning = await curio.spawn(new.begin, *NORTH)
        self.check_gone_on(callers, await callers.take_up(1, 2, 0))
        await beginning.join()
        await new.leave()
        self.assertGreater(len(new.numbers_at("l1")), len(new.numbers_at("d1")))


class UnknownOriginTest(SplitTestCase):
    """Streams of which nobody knows where they began; each service has one version."""

    @with_routes(world_options=WORLD)
    async def test_weights_have_changed(self, world):
        """Guards against a service that new weights choose for an earlier stream."""
        callers = await self.begin(world, ("desk", 100))
        await world.clock.sleep(LIFETIME_SECONDS)
        await install(world, 3, ("desk", 20), ("lab", 80))
        attempts = await callers.take_up(*NORTH, resumes="unknown-")
        self.check_refused(callers, attempts)

    @with_routes(world_options=WORLD)
    async def test_weights_are_old(self, world):
        """Guards against refusals after the streams of former weights are over."""
        callers = await self.begin(world, ("desk", 50), ("lab", 50))
        await world.clock.sleep(LIFETIME_SECONDS)
        attempts = await callers.take_up(*NORTH, resumes="unknown-")
        self.assertEqual(len(whole(attempts)), STREAM_COUNT)

    @with_routes(world_options=WORLD)
    async def test_attempt_not_named(self, world):
        """Guards against a service that is chosen by the id of a later attempt."""
        callers = await self.begin(world, ("desk", 50), ("lab", 50))
        await world.clock.sleep(LIFETIME_SECONDS)
        self.check_refused(callers, await callers.take_up(*NORTH, resumes=None))


class LogTest(SplitTestCase):
    @with_routes(world_options=WORLD)
    async def test_services(self, world):
        """Guards against logs that don't tell why a stream has left its service."""
        callers = await self.begin(world, ("desk", 100), hosts=(1,))
        log = RecordingLog()
        await world.hosts[0].close()
        world.hosts[0] = world.build_host(0, "north-a", log, seed=9)
        await world.hosts[0].start()
        await install(world, 3, ("lab", 100))
        await callers.take_up(0, numbers=[1])
        [line] = log.all(Event.STREAM_TAKEN_UP)
        logged = [line[name] for name in ("service", "began_at", "version", "source")]
        self.assertEqual(logged, ["lab", "desk", "d1", "origin"])
