"""A virtual clock whose time advances only while all tasks wait."""

import heapq
import itertools
from datetime import UTC, datetime, timedelta

import curio

from sassafraskeel.core.errors import TimedOut

START = datetime(2026, 1, 5, 6, 0, tzinfo=UTC)
# Passes of the event loop after which all other tasks are assumed to wait.
IDLE_YIELDS = 12


class _Expired(curio.errors.CancelledError):
    """Cancels a task whose virtual time limit has passed."""


class _VirtualTimeout:
    def __init__(self, clock, seconds):
        self._clock = clock
        self._seconds = seconds
        self._timer = None
        self._exc = None

    async def __aenter__(self):
        task = await curio.current_task()

        async def expire():
            self._exc = _Expired()
            await task.cancel(exc=self._exc, blocking=False)
            # curio cancels a task only once, but another time limit may expire in it.
            task.cancelled = False

        self._timer = self._clock.schedule(max(self._seconds, 0), expire)
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        self._timer[2] = None
        if self._exc is None:
            return False
        # As in `expire`: another time limit may expire in this task.
        (await curio.current_task()).cancelled = False
        if exc is self._exc:
            raise TimedOut(self._seconds) from exc
        # The time limit expired while the body was returning or raising.
        task = await curio.current_task()
        if task.cancel_pending is self._exc:
            task.cancel_pending = None
        return False


class VirtualClock:
    """A Clock in virtual time, which `run` advances in a separate task."""

    def __init__(self):
        self._seconds = 0.0
        self._heap = []
        self._counter = itertools.count()
        self.wall_offset = timedelta()

    def now(self) -> datetime:
        return START + timedelta(seconds=self._seconds) + self.wall_offset

    def monotonic(self) -> float:
        return 1000.0 + self._seconds

    async def sleep(self, seconds: float) -> None:
        if seconds <= 0:
            await curio.sleep(0)
            return
        woken = curio.Event()
        timer = self.schedule(seconds, woken.set)
        try:
            await woken.wait()
        finally:
            timer[2] = None

    def timeout(self, seconds: float):
        return _VirtualTimeout(self, seconds)

    def schedule(self, seconds, action) -> list:
        """Call a coroutine function after some seconds; return its timer.

        A timer is a list of the time, a sequence number and the function; setting the
        function to None cancels the timer.
        """
        timer = [self._seconds + seconds, next(self._counter), action]
        heapq.heappush(self._heap, timer)
        return timer

    async def run(self) -> None:
        """Advance time to one timer after another while all tasks wait.

        Never return.
        """
        while True:
            for _ in range(IDLE_YIELDS):
                await curio.sleep(0)
            if self._heap:
                await self._fire_next()
            else:
                await curio.sleep(0.001)

    async def _fire_next(self):
        at, _, action = heapq.heappop(self._heap)
        if action is not None:
            self._seconds = max(self._seconds, at)
            await action()


def run_virtual(function, *args):
    """Run a coroutine function with a VirtualClock as its first argument."""

    async def main():
        clock = VirtualClock()
        driver = await curio.spawn(clock.run, daemon=True)
        try:
            return await function(clock, *args)
        finally:
            await driver.cancel()

    return curio.run(main)
