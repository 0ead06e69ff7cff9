"""Leases of the platform, judged by the local monotonic clock."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import LeaseLost, PlatformRefused
from sassafraskeel.store.key_value import KeyValueStore

STATUS_LOCKED = 423


class HeldLease:
    """A lease of this host; its time counts from when it was asked for."""

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
        """Take or renew the lease; return whether its fencing number is new.

        Raises LeaseLost while another host holds it, or PlatformUnavailable.
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
        """Prolong the lease; raise LeaseLost if it had run out in between."""
        if await self.acquire():
            raise LeaseLost(f"{self._name} was taken anew")

    def check_valid_for(self, seconds: float) -> int:
        """Return the fencing number if the lease holds for more than some seconds.

        Raises LeaseLost otherwise. To be called right before each send.
        """
        if self._expires_at - self._clock.monotonic() <= seconds:
            raise LeaseLost(f"{self._name} has too little time left")
        return self.fence
