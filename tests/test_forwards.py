"""Tests of the forwarded work that the loads of other regions do not include yet."""

from unittest import TestCase

from sassafraskeel.decisions.forwards import UNREPORTED_SECONDS, RecentForwards


class ForwardsTest(TestCase):
    def test_counted_until_reported(self):
        """Guards against work that is counted forever, or twice with the loads."""
        forwards = RecentForwards()
        forwards.sent("north", "desk", 0.2, 10.0)
        forwards.sent("north", "desk", 0.1, 10.3)
        self.assertAlmostEqual(forwards.unreported_work("north", "desk", 10.4), 0.3)
        self.assertAlmostEqual(forwards.unreported_work("north", "desk", 10.6), 0.1)
        later = 10.3 + UNREPORTED_SECONDS
        self.assertEqual(forwards.unreported_work("north", "desk", later), 0.0)

    def test_regions_and_services_are_separate(self):
        """Guards against work that is counted for another region or service."""
        forwards = RecentForwards()
        forwards.sent("north", "desk", 0.2, 10.0)
        self.assertEqual(forwards.unreported_work("south", "desk", 10.0), 0.0)
        self.assertEqual(forwards.unreported_work("north", "chat", 10.0), 0.0)
