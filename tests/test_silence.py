"""Tests of the detection of silent replicas."""

from unittest import TestCase

from sassafraskeel.decisions.silence import SilenceDetector


class SilenceDetectorTest(TestCase):
    def setUp(self):
        self.detector = SilenceDetector()
        self.detector.expect_data("r-1", 10.0)
        self.detector.expect_data("r-1", 10.0)

    def test_silent(self):
        """Guards against calls to a replica that stops without closing connections."""
        self.assertFalse(self.detector.is_silent("r-1", 10.5))
        self.assertTrue(self.detector.is_silent("r-1", 10.7))

    def test_many_calls(self):
        """Guards against slow detection when many calls stop at once."""
        for _ in range(4):
            self.detector.expect_data("r-1", 10.0)
        self.assertTrue(self.detector.is_silent("r-1", 10.35))

    def test_data_received(self):
        """Guards against a working replica that counts as silent."""
        self.detector.data_received("r-1", 10.4)
        self.assertFalse(self.detector.is_silent("r-1", 10.9))

    def test_one_call(self):
        """Guards against a replica that counts as silent because one call hangs."""
        self.detector.call_finished("r-1")
        self.assertFalse(self.detector.is_silent("r-1", 10.9))

    def test_probed_again(self):
        """Guards against a silent replica that is never used again."""
        self.assertFalse(self.detector.is_silent("r-1", 11.1))
        self.detector.expect_data("r-1", 11.1)
        self.assertTrue(self.detector.is_silent("r-1", 11.2))

    def test_idle_replica_is_dropped(self):
        """Guards against replicas without calls that are kept forever."""
        self.detector.call_finished("r-1")
        self.detector.call_finished("r-1")
        self.detector.data_received("r-1", 12.0)
        self.assertFalse(self.detector.is_silent("r-1", 13.0))
        self.assertEqual(self.detector._awaited, {})
