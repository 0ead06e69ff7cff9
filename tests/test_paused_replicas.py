"""Replicas that want no requests for the time in the Retry-After of their 503."""

from unittest import TestCase

import curio

from sassafraskeel.core.events import Event
from sassafraskeel.core.http import find_header
from sassafraskeel.core.types import ResponseHead
from sassafraskeel.decisions.replica_statements import (
    MAX_NAMES,
    MAX_PAUSE_SECONDS,
    ReplicaStatements,
)
from sassafraskeel.platform.replicas import PlatformReplicaInterface
from tests.support.routes import manifest, with_routes
from tests.test_leaving_replicas import FLEET, RecordingLog, replica
from tests.test_request_limits import numbers_of_others, send_reads

# From half a second after a refusal on, a host may send this many requests.
GRACE_SECONDS = 0.5
MAX_REQUESTS = 2
ONE_REPLICA = {"zones": ("north-a",) * 2, "replica_zones": ("north-a",)}


class PauseTest(TestCase):
    def setUp(self):
        self.statements = ReplicaStatements()

    def cause(self, now, **run):
        """Return why the replica gets no new work."""
        return self.statements.cause(replica(**run), now)

    def test_pause_ends(self):
        """Guards against a pause that ends early, or never."""
        self.assertTrue(self.statements.heard_pause(replica(), 3.0, 10.0))
        self.assertEqual((self.cause(10.0), self.cause(12.9)), ("paused", "paused"))
        self.assertEqual(self.cause(13.0), "")

    def test_shorter_pause(self):
        """Guards against a pause that a later, shorter one ends."""
        self.statements.heard_pause(replica(), 5.0, 10.0)
        self.assertFalse(self.statements.heard_pause(replica(), 1.0, 11.0))
        self.assertEqual(self.cause(14.9), "paused")

    def test_huge(self):
        """Guards against a replica that is out of use for ever."""
        self.statements.heard_pause(replica(), 1e14, 10.0)
        self.assertEqual(self.cause(10.0 + MAX_PAUSE_SECONDS), "")

    def test_new_run(self):
        """Guards against a pause that outlives the run that asked for it."""
        self.statements.heard_pause(replica(), 5.0, 10.0)
        self.assertEqual(self.cause(11.0, started_at_ms=2), "")

    def test_zero(self):
        """Guards against a pause of no time that is kept."""
        self.assertFalse(self.statements.heard_pause(replica(), 0.0, 10.0))
        self.assertEqual(self.cause(10.0), "")

    def test_bounded(self):
        """Guards against a table that grows with replicas that come and go."""
        for number in range(MAX_NAMES + 100):
            self.statements.heard_pause(replica(f"r-{number}"), 9.0, 0.0)
        self.assertLessEqual(len(self.statements.refusing(1.0)), MAX_NAMES)


class HeaderTest(TestCase):
    def read(self, *values, status=503):
        """Return the pause in a health check's answer with these headers."""
        headers = tuple((b"retry-after", value) for value in values)
        head = ResponseHead(status, headers)
        return PlatformReplicaInterface().read_health(head).pause_seconds

    def test_values(self):
        self.assertEqual(self.read(), 0.0)
        for value, seconds in ((b"2", 2.0), (b" 0.5 ", 0.5), (b"0", 0.0)):
            self.assertEqual(self.read(value), seconds)
        self.assertEqual(self.read(b"2", b"2"), 2.0)

    def test_other_status(self):
        """Guards against other answers that take a replica out of use."""
        self.assertEqual(self.read(b"2", status=200), 0.0)
        self.assertEqual(self.read(b"x", status=429), 0.0)

    def test_malformed(self):
        """Guards against numbers that end a host."""
        for value in (b"-1", b"nan", b"inf", b"1e9", b"", b"1,5", b"9" * 400, b"Fri"):
            self.assertIsNone(self.read(value), value)
        self.assertIsNone(self.read(b"2", b"3"))


class RequestsTest(TestCase):
    @with_routes(world_options=FLEET)
    async def test_paused(self, world):
        """Guards against requests to a replica that wants none for a while."""
        paused = world.replicas[0]
        paused.refuse, paused.retry_after = 10_000, "4"
        self.assertEqual(await send_reads(world, 3.5), {200: 87})
        asked_at = paused.arrival_times[0]
        late = [t for t in paused.arrival_times if t > asked_at + GRACE_SECONDS]
        self.assertLessEqual(len(late), MAX_REQUESTS)
        paused.refuse, arrivals = 0, paused.arrivals
        await world.clock.sleep(1)
        await send_reads(world, 2)
        self.assertGreater(paused.arrivals, arrivals + 10)

    @with_routes(world_options=FLEET)
    async def test_grant_is_not_used(self, world):
        """Guards against a coordinator that did not hear of the pause of a host."""
        paused = world.replicas[0]
        [number, *_] = numbers_of_others(world)
        paused.refuse, paused.retry_after = 1, "4"
        self.assertEqual(await send_reads(world, 3.5, hosts=[number]), {200: 87})
        self.assertLessEqual(paused.arrivals, 1 + MAX_REQUESTS)

    @with_routes(world_options=FLEET)
    async def test_slot_is_not_used(self, world):
        """Guards against calls sent after their replica asked for a pause."""
        host, paused = world.hosts[0], world.replicas[0]
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
        self.assertGreater(host.loads.total(paused.name, now).running, 0)
        listed = host.fleet.get(paused.name)
        host._routing_state.statements.heard_pause(listed, 5.0, now)
        statuses = [(await call.join())[0].status for call in calls]
        self.assertEqual((statuses, paused.arrivals), ([200] * 8, 0))

    @with_routes(world_options=ONE_REPLICA)
    async def test_only_replica_paused(self, world):
        """Guards against refusals that come late or with a false Retry-After."""
        [paused] = world.replicas
        paused.refuse, paused.retry_after = 10_000, "1.6"
        paused_at = {}
        [other] = numbers_of_others(world)
        # The coordinator does not know that the other host is to send nothing.
        for host in (other, other, 1 - other, other):
            asked_at = world.clock.monotonic()
            paused_at.setdefault(host, asked_at)
            head, _ = await world.call("/read/1", host=host)
            now = world.clock.monotonic()
            self.assertEqual(head.status, 503)
            self.assertLess(now - asked_at, 0.3)
            retry_at = now + float(find_header(head.headers, b"retry-after"))
            self.assertAlmostEqual(retry_at, paused_at[host] + 1.6, delta=0.1)
            await world.clock.sleep(0.2)
        self.assertLessEqual(paused.arrivals, 2)
        paused.refuse = 0
        await world.clock.sleep(1.6)
        for host in (0, 1):
            head, _ = await world.call("/read/1", host=host)
            self.assertEqual(head.status, 200)

    @with_routes(world_options=FLEET, document=manifest(coldStartS=3.0, coldPerS=2.0))
    async def test_probes(self, world):
        """Guards against probes of a replica that wants no requests."""
        paused = world.replicas[0]
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(1)
        paused.refuse, paused.retry_after = 10_000, "9"
        await world.store.write("op/evacuate/north-a", None)
        await world.clock.sleep(0.5)
        self.assertEqual(paused.probes, 1)
        # An evacuation that ends after the cold start has the replicas probed again.
        await world.clock.sleep(3.5)
        await world.store.write("op/evacuate/north-a", b"{}")
        await world.clock.sleep(0.5)
        await world.store.write("op/evacuate/north-a", None)
        await world.clock.sleep(0.5)
        await send_reads(world, 0.5, per_second=4)
        self.assertEqual((paused.probes, paused.arrivals), (1, 0))

    @with_routes(
        world_options={"replica_zones": ("north-a",) * 2, "zones": ("north-a",)}
    )
    async def test_logged(self, world):
        """Guards against calls of which no line says why a replica was left out."""
        log = RecordingLog()
        await world.hosts.pop().close()
        world.hosts.append(world.build_host(0, "north-a", log))
        await world.hosts[0].start()
        await world.clock.sleep(2)
        paused = world.replicas[0]
        paused.refuse, paused.retry_after = 10_000, "soon"
        await send_reads(world, 1, hosts=[0], per_second=10)
        self.assertGreater(len(log.all(Event.PAUSE_MALFORMED)), 0)
        self.assertEqual(log.all(Event.REPLICA_PAUSED), [])
        paused.retry_after = "9"
        await send_reads(world, 1, hosts=[0], per_second=10)
        self.assertEqual(
            log.all(Event.REPLICA_PAUSED), [{"replica": "r-0", "seconds": 9.0}]
        )
        await world.call("/read/1", call_id="last")
        [sent] = [f for f in log.all(Event.CALL_SENT) if f["call"] == "last"]
        self.assertEqual(sent["passed_over"], ["r-0 paused"])
