"""The clock interface and its implementation on the system clock."""

import time
from datetime import UTC, datetime
from typing import Protocol

import curio

from sassafraskeel.core.errors import TimedOut


class Timeout(Protocol):
    """An async context manager that raises TimedOut when its time limit expires."""

    async def __aenter__(self) -> "Timeout": ...

    async def __aexit__(self, exc_type, exc, traceback) -> bool | None: ...


class Clock(Protocol):
    """Wall-clock time, monotonic time, sleeping and timeouts."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC, which may jump in either direction."""

    def monotonic(self) -> float:
        """Return the seconds since an arbitrary start, which never decrease."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task for `seconds`."""

    def timeout(self, seconds: float) -> Timeout:
        """Return a context manager that limits its body to `seconds`."""


class _CurioTimeout:
    def __init__(self, seconds: float):
        self._seconds = seconds
        self._inner = curio.timeout_after(max(seconds, 0))

    async def __aenter__(self):
        await self._inner.__aenter__()
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        try:
            handled = await self._inner.__aexit__(exc_type, exc, traceback)
        except curio.TaskTimeout as timeout:
            raise TimedOut(self._seconds) from timeout
        if self._inner.expired:
            # curio does not raise a TaskTimeout again that already ended the body.
            raise TimedOut(self._seconds) from exc
        return handled


class SystemClock:
    """The system clock."""

    def now(self) -> datetime:
        return datetime.now(UTC)

    def monotonic(self) -> float:
        # CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, includes the time for which the
        # machine is suspended, so information from before a suspension expires.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    async def sleep(self, seconds: float) -> None:
        await curio.sleep(max(seconds, 0))

    def timeout(self, seconds: float) -> Timeout:
        return _CurioTimeout(seconds)
