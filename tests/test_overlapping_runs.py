"""Streams that go on at another replica while the replica before still runs them.

By the users' rule, a replica may work for 0.4 s on a stream after another one has begun
to go on with it. A sound replica may fall silent for a second or so.
"""

import itertools
import json
import signal
import threading
import time
from unittest import TestCase

from tests.support.routes import ROUTES, manifest, with_routes
from tests.support.slow_replica import SlowReplica
from tests.test_route_faults import replace_replicas
from tests.test_route_host import drain_stream, events
from tools.route_cluster import RouteCluster, call, fetch

MAX_OVERLAP_SECONDS = 0.4
# Callers abandon a stream without an event after four objectives.
ABANDON_SECONDS = 3.2
OPTIONS = {"document": manifest(routes=[dict(r, targetLatencyMs=800) for r in ROUTES])}


class OverlapTest(TestCase):
    async def check(self, world, events_before, silent_seconds):
        """Send a stream; return the runs of the replica that may go on with it."""
        slow = SlowReplica(world, events_before, silent_seconds)
        await replace_replicas(world, 1, slow.answer)
        conn = await world.open_call("/stream/chat/1")
        await world.clock.sleep(0.1)
        other = world.replicas[1]
        await world.register_replica(other)
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        while slow.ended_at is None:
            await world.clock.sleep(0.1)
        for run in other.runs:
            self.assertLessEqual(slow.ended_at - run.started_at, MAX_OVERLAP_SECONDS)
        return other.runs

    @with_routes(**OPTIONS)
    async def test_long_silence(self, world):
        """Guards against a resumed stream that the replica before still runs."""
        self.assertEqual(len(await self.check(world, 2, 1.9)), 1)

    @with_routes(**OPTIONS)
    async def test_silent_replica_before_its_answer(self, world):
        """Guards against a repeated stream that a silent replica still runs."""
        self.assertEqual(len(await self.check(world, 0, 1.5)), 1)

    @with_routes(**OPTIONS)
    async def test_dark_replica(self, world):
        """Guards against a stream that waits for a replica that stays silent."""
        slow = SlowReplica(world, 2, 30.0)
        await replace_replicas(world, 1, slow.answer)
        started = world.clock.monotonic()
        conn = await world.open_call("/stream/chat/1")
        await world.clock.sleep(0.1)
        await world.register_replica(world.replicas[1])
        body, ended = await drain_stream(conn)
        self.assertTrue(ended)
        self.assertEqual(events(body), [1, 2, 3, 4, 5])
        self.assertLess(world.clock.monotonic() - started, ABANDON_SECONDS)


class PausedProcessTest(TestCase):
    def test_paused_process(self):
        """Guards against a stream that a paused process still runs after its end.

        The process is stopped for 1.3 s once it has begun to run the stream.
        """
        with RouteCluster({"north-a": (1, 2)}, delay_ms=150) as cluster:
            path = "/stream/chat/1"
            arguments = (cluster.hosts[0], path, "POST", "c-1", 8000)
            caller = threading.Thread(target=call, args=arguments)
            caller.start()
            cluster.wait_for("the run", lambda: self.runs(cluster))
            [(_, _, name)] = self.runs(cluster)
            process = cluster.processes[name]
            process.send_signal(signal.SIGSTOP)
            time.sleep(1.3)
            process.send_signal(signal.SIGCONT)
            caller.join()
            cluster.wait_for("the ends", lambda: all(r[1] for r in self.runs(cluster)))
            runs = self.runs(cluster)
        self.assertEqual(len(runs), 2)
        for before, after in itertools.pairwise(runs):
            self.assertLessEqual(before[1] - after[0], MAX_OVERLAP_SECONDS)

    def runs(self, cluster):
        """Return start, end and replica of the runs so far, in order."""
        found = []
        for replica in cluster.replicas:
            answer = fetch(replica.address, "GET", "/test/ledger")
            log = json.loads(answer.body)["log"]
            found += [(run["started_at"], run["ended_at"], replica.name) for run in log]
        return sorted(found)
