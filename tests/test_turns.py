"""Turns of tasks, for which all other tasks wait."""

import time
from unittest import TestCase

import curio

from sassafraskeel.core.clock import SystemClock
from sassafraskeel.core.events import Event
from sassafraskeel.core.turns import LONG_TURN_SECONDS, TurnTimer
from tests.test_log import ListLog


class TurnTimerTest(TestCase):
    def test_long_turn(self):
        """Guards against a task that keeps the thread and leaves no trace of it."""
        log = ListLog()
        turns = TurnTimer(SystemClock(), log)

        async def work():
            turns.record_read("server 10.0.0.1:80")
            time.sleep(1.2 * LONG_TURN_SECONDS)
            await curio.sleep(0)

        curio.run(work, activations=[turns])
        [(event, fields)] = log.events
        self.assertIs(event, Event.LONG_TURN)
        self.assertEqual((fields["peer"], fields["reads"]), ("server 10.0.0.1:80", 1))
        self.assertEqual(turns.long_turns, 1)
        self.assertGreater(turns.longest_seconds, LONG_TURN_SECONDS)
