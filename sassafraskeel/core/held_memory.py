"""A bound on the memory for the requests that a host holds at once."""

from sassafraskeel.core.errors import Reason, not_run_refusal

# The first bytes of each request don't count, so that short ones are served while long
# ones are refused.
FREE_BYTES = 16 * 1024
RETRY_SECONDS = 0.5


class MemoryBudget:
    """The bytes of heads and bodies that all connections of a host may hold together.

    A host that runs out of memory ends with all its calls. A request is held until its
    call is over, since the call may be sent again, and is copied when it is sent. One
    that is longer than the budget is held only while there is no other one.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.used = 0

    def hold(self) -> "HeldMemory":
        """Return the count of a request that is about to be read."""
        return HeldMemory(self)


class HeldMemory:
    """The bytes of one request that count; a context manager that gives them back."""

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
        counted = max(self._size + size - FREE_BYTES, 0)
        others = self._budget.used - self._counted
        if counted and others and others + counted > self._budget.max_bytes:
            raise not_run_refusal(
                Reason.OVERLOADED, "too many long requests are held", RETRY_SECONDS
            )

    def add(self, size: int) -> None:
        """Count further bytes; raise Refusal (not run) if there is no room."""
        self.check(size)
        self._size += size
        counted = max(self._size - FREE_BYTES, 0)
        self._budget.used += counted - self._counted
        self._counted = counted

    def clear(self) -> None:
        """Give all bytes back."""
        self._budget.used -= self._counted
        self._counted = self._size = 0
