"""Tests of the load estimates of replicas."""

from unittest import TestCase

from sassafraskeel.decisions.loads import REMOTE_LOAD_TTL_SECONDS, Load, ReplicaLoads


class LoadsTest(TestCase):
    def setUp(self):
        self.loads = ReplicaLoads()

    def test_total(self):
        """Guards against remote load that is not counted, or counted forever."""
        self.loads.started("r-1", 500)
        self.loads.update_remote("h-2", {"r-1": Load(3, 900)}, 10.0)
        self.assertEqual(self.loads.total("r-1", 10.1), Load(4, 1400))
        later = 10.0 + REMOTE_LOAD_TTL_SECONDS
        self.assertEqual(self.loads.total("r-1", later), Load(1, 500))

    def test_report(self):
        """Guards against a replica that counts as idle although it reports load."""
        self.loads.reported("r-1", 7, 10.0)
        self.assertEqual(self.loads.total("r-1", 10.1).running, 7)
        self.loads.started("r-1", 0)
        self.assertEqual(self.loads.total("r-1", 10.1).running, 8)

    def test_idle_replica_is_dropped(self):
        """Guards against replicas without requests that are kept forever."""
        self.loads.started("r-1", 500)
        self.loads.prefilled("r-1", 500)
        self.loads.finished("r-1")
        self.assertEqual(self.loads.local_loads(), {})
