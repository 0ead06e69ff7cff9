"""Versions of software in the messages between hosts."""

from unittest import TestCase

from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.core.errors import (
    ProtocolError,
    Reason,
    Refusal,
)
from sassafraskeel.gateways.codec import decode, encode
from sassafraskeel.gateways.messages import PlacementRequest, RouteAnswerHead
from sassafraskeel.gateways.placement_server import request_to_call
from sassafraskeel.gateways.route_forwarding import (
    call_to_route_offer,
    encode_route_policy,
    route_offer_to_call,
)
from tests.support.offers import dial_host, send_offer
from tests.support.routes import with_routes
from tests.support.versions import TWO_REGIONS, bind, call, runs, set_versions
from tests.test_coordination import others
from tests.test_route_host import drain_stream, events

FOUR_REPLICAS = ("north-a",) * 4


class RegionTest(TestCase):
    """Calls that are forwarded to another region."""

    @with_routes(world_options=TWO_REGIONS)
    async def test_version_of_the_other_region(self, world):
        """Guards against a call that runs at home at another version."""
        await set_versions(world, "v1", "v1", "v2", "v1")
        bind(world.hosts[0], "v2")
        for attempt in range(4):
            head, body = await world.call(
                "/stream/chat/1", "POST", call_id=f"c-{attempt}"
            )
            self.assertEqual(head.status, 200)
        self.assertEqual(runs(world), [0, 0, 4, 0])

    @with_routes(world_options=TWO_REGIONS)
    async def test_region_without_the_version(self, world):
        """Guards against a call that is offered to a region that can't run it."""
        await set_versions(world, "v1", "v2", "v2", "v2")
        host, now = world.hosts[0], world.clock.monotonic()
        options, history = host.placement.options, AttemptHistory()
        best = options.best_region(call(now, "v1"), history, now, free_only=True)
        self.assertIsNone(best)
        best = options.best_region(call(now, "v2"), history, now, free_only=True)
        self.assertEqual(best.name, "south")
        self.assertFalse(host.placement.has_target(call(now, "v9"), history))

    @with_routes(world_options=TWO_REGIONS)
    async def test_forwarded_call(self, world):
        """Guards against a version that is lost on the way to another host."""
        now = world.clock.monotonic()
        for version in ("v1", ""):
            offer = decode(encode(call_to_route_offer(call(now, version), now)))
            self.assertEqual(route_offer_to_call(offer, now).software_version, version)
            request = PlacementRequest(
                number=1,
                service="desk",
                kind="model",
                priority=3,
                forwarded=False,
                timeout=1.0,
                start_within=1.0,
                route_policy=encode_route_policy(call(now).route_policy),
                excluded=(),
                penalized=(),
                fingerprint="",
                software_version=version,
            )
            bound = request_to_call(decode(encode(request)), now)
            self.assertEqual(bound.software_version, version)

    @with_routes(world_options=TWO_REGIONS)
    async def test_forwarded_call_stays_in_the_region(self, world):
        """Guards against a host that waits for a version that only others have."""
        await set_versions(world, "v1", "v1", "v2", "v2")
        host, now = world.hosts[1], world.clock.monotonic()
        with self.assertRaises(Refusal) as caught:
            await host.placement.find_target(
                call(now, "v1", hops=("host-0",)), AttemptHistory()
            )
        self.assertIs(caught.exception.reason, Reason.VERSION_GONE)
        self.assertEqual(world.clock.monotonic(), now)


class GrantTest(TestCase):
    @with_routes(
        world_options={"zones": ("north-a",) * 3, "replica_zones": FOUR_REPLICAS}
    )
    async def test_grant_of_another_version(self, world):
        """Guards against a grant of a replica that was started again since.

        The coordinator still has the entry of the earlier run.
        """
        await set_versions(world, "v2", "v2", "v1", "v2")
        number = others(world)[0]
        coordinator, host = world.coordinator(), world.hosts[number]
        for name in ("r-0", "r-1"):
            entry = coordinator.fleet.get(name)
            coordinator.fleet.update(entry._replace(software_version="v1"))
        bind(host, "v1")
        for attempt in range(6):
            head, _ = await world.call(
                "/stream/chat/1", "POST", host=number, call_id=f"c-{attempt}"
            )
            self.assertEqual(head.status, 200)
        self.assertEqual(runs(world), [0, 0, 6, 0])
        await world.clock.sleep(0.5)
        now = world.clock.monotonic()
        for replica in world.replicas:
            self.assertEqual(coordinator.loads.total(replica.name, now).running, 0)


class AnswerTest(TestCase):
    """Answers that tell which version wrote them."""

    def record_versions(self, host):
        """Return a list that gets the version of each answer of a host."""
        run, versions = host.dispatcher.run, []

        async def run_recorded(call, body):
            answer = await run(call, body)
            versions.append(answer.software_version)
            return answer

        host.dispatcher.run = run_recorded
        return versions

    @with_routes(world_options=TWO_REGIONS)
    async def test_version_of_the_answer(self, world):
        """Guards against a stream whose version its host doesn't learn."""
        await set_versions(world, "", "", "v7", "v7")
        for host in (0, 1):
            versions = self.record_versions(world.hosts[host])
            conn = await world.open_call("/stream/chat/1", host=host)
            body, _ = await drain_stream(conn)
            self.assertEqual(events(body), [1, 2, 3, 4, 5])
            await world.call("/read/1", host=host)
            self.assertEqual(versions, ["v7", "v7"])

    @with_routes
    async def test_answer_between_hosts(self, world):
        """Guards against a forwarded answer without the version of its replica."""
        channel = await dial_host(world, world.hosts[0])
        await send_offer(world, channel, "c-1")
        await channel.receive()
        head = await channel.receive()
        self.assertIsInstance(head, RouteAnswerHead)
        self.assertEqual((head.status, head.software_version), (200, "v1"))
        with self.assertRaises(ProtocolError):
            decode(encode(head._replace(software_version=1)))
