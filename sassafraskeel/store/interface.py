"""What the gateway asks of a store with revisions, watches and leases."""

from typing import NamedTuple, Protocol


class Change(NamedTuple):
    """A key as it was written, or removed where `value` is None."""

    key: str
    value: bytes | None
    revision: int


class ChangeBatch(NamedTuple):
    """Items or changes, and the revision of the store up to which they are complete."""

    changes: tuple[Change, ...]
    revision: int


class Store(Protocol):
    """A linearizable store; methods raise PlatformUnavailable or PlatformRefused."""

    async def read_all(self) -> ChangeBatch:
        """Return every item, and the revision from which to watch."""

    async def watch(self, after: int, seconds: float) -> ChangeBatch:
        """Wait for changes after a revision; raise HistoryLost if it is too old."""

    async def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key under a lease; raise LeaseLost if the lease has ended."""

    async def grant_lease(self, seconds: float) -> int:
        """Return a new lease."""

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseLost if it has ended."""

    async def revoke_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
