"""Replicas that have gone silent with calls in hand."""

from unittest import TestCase

from sassafraskeel.decisions.pulses import Pulses


class PulsesTest(TestCase):
    def setUp(self):
        self.pulses = Pulses()
        self.pulses.expect("r-1", 10.0)
        self.pulses.expect("r-1", 10.0)

    def test_silent(self):
        """Guards against calls for a replica that went dark without a sign."""
        self.assertFalse(self.pulses.is_silent("r-1", 10.5))
        self.assertTrue(self.pulses.is_silent("r-1", 10.7))

    def test_many_calls(self):
        """Guards against a slow reaction where many calls fall silent together."""
        for _ in range(4):
            self.pulses.expect("r-1", 10.0)
        self.assertTrue(self.pulses.is_silent("r-1", 10.35))

    def test_heard(self):
        """Guards against a working replica that is taken for a silent one."""
        self.pulses.heard("r-1", 10.4)
        self.assertFalse(self.pulses.is_silent("r-1", 10.9))

    def test_one_call(self):
        """Guards against a replica that is left because one call hangs."""
        self.pulses.done("r-1")
        self.assertFalse(self.pulses.is_silent("r-1", 10.9))

    def test_tried_again(self):
        """Guards against a replica that is never used again."""
        self.assertFalse(self.pulses.is_silent("r-1", 11.1))
        self.pulses.expect("r-1", 11.1)
        self.assertTrue(self.pulses.is_silent("r-1", 11.2))

    def test_forgotten(self):
        """Guards against replicas without calls that are kept for ever."""
        self.pulses.done("r-1")
        self.pulses.done("r-1")
        self.pulses.heard("r-1", 12.0)
        self.assertFalse(self.pulses.is_silent("r-1", 13.0))
        self.assertEqual(self.pulses._pulses, {})
