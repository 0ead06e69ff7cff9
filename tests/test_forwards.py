"""Work sent to other regions before their loads show it."""

from unittest import TestCase

from sassafraskeel.decisions.forwards import UNSEEN_SECONDS, Forwards


class ForwardsTest(TestCase):
    def test_counted_until_seen(self):
        """Guards against work that is counted for ever, or twice with the loads."""
        forwards = Forwards()
        forwards.sent("north", "desk", 0.2, 10.0)
        forwards.sent("north", "desk", 0.1, 10.3)
        self.assertAlmostEqual(forwards.unseen("north", "desk", 10.4), 0.3)
        self.assertAlmostEqual(forwards.unseen("north", "desk", 10.6), 0.1)
        later = 10.3 + UNSEEN_SECONDS
        self.assertEqual(forwards.unseen("north", "desk", later), 0.0)

    def test_apart(self):
        """Guards against work of one region or service that counts for another."""
        forwards = Forwards()
        forwards.sent("north", "desk", 0.2, 10.0)
        self.assertEqual(forwards.unseen("south", "desk", 10.0), 0.0)
        self.assertEqual(forwards.unseen("north", "chat", 10.0), 0.0)
