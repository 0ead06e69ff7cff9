"""Turns of tasks: the time for which one task runs while all others wait.

curio switches tasks only where one has to wait. A task whose peer sends faster than the
task works never waits, so that no other task runs and no time limit expires, its own
included. Connections therefore give way once the turn of their task is over.
"""

import math

import curio
from curio.kernel import Activation

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink

# The tasks of a call are switched about ten times, and wait for each busy connection
# each time. A switch costs about a hundredth of this.
MAX_TURN_SECONDS = 0.002
# Heartbeats, leases and deadlines are checked by other tasks, which run this late.
LONG_TURN_SECONDS = 0.1


class TurnTimer(Activation):
    """Times the turns of all tasks; curio calls it at each switch of tasks.

    `number` counts the turns, `long_turns` those over LONG_TURN_SECONDS. Until curio
    calls it every turn is over, so that connections give way at each operation.
    """

    def __init__(self, clock: Clock, log: LogSink):
        self._clock = clock
        self._log = log
        self._started_at = -math.inf
        # Whether a cancellation may wait that must be raised at the next operation.
        self._held_back = False
        self._peer = ""
        self._reads = 0
        self.number = 0
        self.long_turns = 0
        self.longest_seconds = 0.0

    def running(self, task) -> None:
        """Start a turn."""
        self.number += 1
        self._started_at = self._clock.monotonic()
        self._held_back = False
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

    def is_over(self) -> bool:
        """Return whether the running task should give way to the others."""
        if self._held_back:
            return True
        return self._clock.monotonic() - self._started_at >= MAX_TURN_SECONDS

    def record_read(self, peer: str) -> None:
        """Record that the turn reads from, or accepts, a connection of a peer."""
        self._peer = peer
        self._reads += 1

    async def give_way(self) -> None:
        """Let all other tasks run that are ready; a pending cancellation is raised."""
        await curio.sleep(0)

    async def give_way_uncancelled(self) -> None:
        """Let the other tasks run, and leave a cancellation to the next operation."""
        async with curio.disable_cancellation():
            await curio.sleep(0)
        self._held_back = True
