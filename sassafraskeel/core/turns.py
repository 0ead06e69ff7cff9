"""Turns of tasks: the time for which one task runs while all others wait."""

import math

from curio.kernel import Activation

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink

# Heartbeats, leases and deadlines are checked by other tasks, which run this late.
LONG_TURN_SECONDS = 0.1


class TurnTimer(Activation):
    """Times the turns of all tasks; curio calls it at each switch of tasks.

    A task keeps its turn until it waits, so a task whose data is always ready may keep
    it for ever. `number` counts the turns, `long_turns` those over LONG_TURN_SECONDS.
    """

    def __init__(self, clock: Clock, log: LogSink):
        self._clock = clock
        self._log = log
        self._started_at = -math.inf
        self._peer = ""
        self._reads = 0
        self.number = 0
        self.long_turns = 0
        self.longest_seconds = 0.0

    def running(self, task) -> None:
        """Start a turn."""
        self.number += 1
        self._started_at = self._clock.monotonic()
        self._peer = ""
        self._reads = 0

    def suspended(self, task, trap) -> None:
        """End a turn."""
        seconds = self._clock.monotonic() - self._started_at
        if seconds < LONG_TURN_SECONDS:
            return
        self.long_turns += 1
        self.longest_seconds = max(self.longest_seconds, seconds)
        self._log.emit(
            Event.LONG_TURN,
            ms=round(seconds * 1000),
            task=task.name,
            task_id=task.id,
            peer=self._peer,
            reads=self._reads,
        )

    def record_read(self, peer: str) -> None:
        """Record that the turn reads from, or accepts, a connection of a peer."""
        self._peer = peer
        self._reads += 1
