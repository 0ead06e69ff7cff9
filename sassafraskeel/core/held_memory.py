"""A bound on the memory for the requests and answers that a host holds at once."""

from collections.abc import Awaitable, Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run_refusal

# The first bytes of each request don't count, so that short ones are served while long
# ones are refused.
FREE_BYTES = 16 * 1024
RETRY_SECONDS = 0.5
# How often an answer that waits for room looks for it.
ROOM_CHECK_SECONDS = 0.02


class MemoryBudget:
    """The bytes of requests and answers that all connections of a host may hold.

    A host that runs out of memory ends with all its calls. A request is held until its
    call is over, since the call may be sent again, and is copied when it is sent. One
    that is longer than the budget is held only while there is no other one. An answer
    that is no stream is held until its caller has taken it.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.used = 0
        self._reclaimers: list[Callable[[], Awaitable[None]]] = []

    def on_shortage(self, reclaim: Callable[[], Awaitable[None]]) -> None:
        """Call a function when a request or an answer needs room; it may make some."""
        self._reclaimers.append(reclaim)

    async def reclaim(self) -> None:
        """Ask all who can for room."""
        for reclaim in self._reclaimers:
            await reclaim()

    def hold(self) -> "HeldMemory":
        """Return the count of a request that is about to be read."""
        return HeldMemory(self)


class HeldMemory:
    """The bytes of one call that count; a context manager that gives them back."""

    def __init__(self, budget: MemoryBudget):
        self._budget = budget
        self._counted = 0
        self._size = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.clear()

    def check(self, size: int) -> None:
        """Raise Refusal (not run) if some more bytes have no room at present."""
        if not self._has_room(size):
            raise no_room_refusal()

    def _has_room(self, size: int) -> bool:
        counted = max(self._size + size - FREE_BYTES, 0)
        others = self._budget.used - self._counted
        return not (counted and others and others + counted > self._budget.max_bytes)

    def add(self, size: int) -> None:
        """Count further bytes; raise Refusal (not run) if there is no room."""
        self.check(size)
        self._count(size)

    async def make_room(self, size: int) -> None:
        """Make room for further bytes of a request, if need be by ending a stalled one.

        Raise Refusal (not run) if there is none all the same.
        """
        if not self._has_room(size):
            await self._budget.reclaim()
        self.check(size)

    async def add_in_time(self, size: int, clock: Clock, expires: float) -> None:
        """Count further bytes of an answer once there is room for them.

        Raise TimedOut if there is none until `expires`, in monotonic seconds.
        """
        while not self._has_room(size):
            if clock.monotonic() >= expires:
                raise TimedOut(0.0)
            await self._budget.reclaim()
            await clock.sleep(ROOM_CHECK_SECONDS)
        self._count(size)

    def _count(self, size: int) -> None:
        self._size += size
        counted = max(self._size - FREE_BYTES, 0)
        self._budget.used += counted - self._counted
        self._counted = counted

    def clear(self) -> None:
        """Give all bytes back."""
        self._budget.used -= self._counted
        self._counted = self._size = 0


def no_room_refusal() -> Refusal:
    """Return the refusal of a request that the host has no memory for."""
    return not_run_refusal(
        Reason.OVERLOADED, "too many long requests are held", RETRY_SECONDS
    )
