"""Leases of the platform, timed by the local monotonic clock."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import LeaseLost, PlatformRefused
from sassafraskeel.store.key_value import KeyValueStore

STATUS_LOCKED = 423


class HeldLease:
    """A lease held by the local host; its time runs from the time of the request."""

    def __init__(
        self, store: KeyValueStore, clock: Clock, name: str, holder: str, seconds: float
    ):
        self._store = store
        self._clock = clock
        self._name = name
        self._holder = holder
        self._seconds = seconds
        self._expires_at = clock.monotonic()
        self.fence = 0

    async def acquire(self) -> bool:
        """Acquire or renew the lease; return whether its fencing number is new.

        Raises LeaseLost while another host holds the lease, or PlatformUnavailable.
        """
        requested_at = self._clock.monotonic()
        try:
            lease = await self._store.acquire_lease(
                self._name, self._holder, self._seconds
            )
        except PlatformRefused as exc:
            if exc.status == STATUS_LOCKED:
                raise LeaseLost(f"{self._name} is held by another host") from exc
            raise
        is_new = lease.fence != self.fence
        self.fence = lease.fence
        self._expires_at = requested_at + self._seconds
        return is_new

    async def renew(self) -> None:
        """Renew the lease; raise LeaseLost if it had expired in the meantime."""
        if await self.acquire():
            raise LeaseLost(f"{self._name} had expired before it was renewed")

    def check_valid_for(self, seconds: float) -> int:
        """Return the fencing number if the lease is valid for more than `seconds`.

        Raises LeaseLost otherwise. Call this right before sending each command.
        """
        if self._expires_at - self._clock.monotonic() <= seconds:
            raise LeaseLost(f"{self._name} has too little time left")
        return self.fence
