"""Replicas that have gone silent with calls in hand."""

from unittest import TestCase

from sassafraskeel.decisions.silence import SilenceDetector


class SilenceDetectorTest(TestCase):
    def setUp(self):
        self.detector = SilenceDetector()
        self.detector.expect_data("r-1", 10.0)
        self.detector.expect_data("r-1", 10.0)

    def test_silent(self):
        """Guards against calls for a replica that went dark without a sign."""
        self.assertFalse(self.detector.is_silent("r-1", 10.5))
        self.assertTrue(self.detector.is_silent("r-1", 10.7))

    def test_many_calls(self):
        """Guards against a slow reaction where many calls fall silent together."""
        for _ in range(4):
            self.detector.expect_data("r-1", 10.0)
        self.assertTrue(self.detector.is_silent("r-1", 10.35))

    def test_heard(self):
        """Guards against a working replica that is taken for a silent one."""
        self.detector.data_received("r-1", 10.4)
        self.assertFalse(self.detector.is_silent("r-1", 10.9))

    def test_one_call(self):
        """Guards against a replica that is left because one call hangs."""
        self.detector.call_finished("r-1")
        self.assertFalse(self.detector.is_silent("r-1", 10.9))

    def test_tried_again(self):
        """Guards against a replica that is never used again."""
        self.assertFalse(self.detector.is_silent("r-1", 11.1))
        self.detector.expect_data("r-1", 11.1)
        self.assertTrue(self.detector.is_silent("r-1", 11.2))

    def test_forgotten(self):
        """Guards against replicas without calls that are kept for ever."""
        self.detector.call_finished("r-1")
        self.detector.call_finished("r-1")
        self.detector.data_received("r-1", 12.0)
        self.assertFalse(self.detector.is_silent("r-1", 13.0))
        self.assertEqual(self.detector._awaited, {})
