"""The processes of a deployment that tests and tools start."""

from unittest import TestCase, mock

from tools import route_cluster


class RouteClusterTest(TestCase):
    def test_failed_start(self):
        """Guards against processes that go on after a host did not get ready."""
        cluster = route_cluster.RouteCluster(
            {"north-a": (1, 1)}, settings="[callers]\nmax_connections = none\n"
        )
        with mock.patch.object(route_cluster, "READY_SECONDS", 2.0):
            with self.assertRaisesRegex(TimeoutError, "not ready"):
                with cluster:
                    self.fail("the host has no valid settings")
        self.addCleanup(cluster.close)
        processes = cluster.processes.items()
        running = [name for name, process in processes if process.poll() is None]
        self.assertEqual(running, [])
