"""The interface to a key-value store with revisions, watches and leases."""

from typing import NamedTuple, Protocol


class StoreRevision(NamedTuple):
    """A point in the history of a store; points are ordered by era, then by number.

    The era rises when the store is restored from a copy, and the numbers after that of
    the copy are then given out again.
    """

    era: int
    number: int

    def log_fields(self) -> dict[str, int]:
        """Return the fields of a log line."""
        return {"era": self.era, "revision": self.number}


# The era of a store that names none, and is therefore never restored.
NO_ERA = 0
# Before the first answer of a store, whose eras may begin with 0.
UNREAD = StoreRevision(-1, 0)


class Lease(NamedTuple):
    """A lease of one era; its number may be given out again in another one."""

    era: int
    number: int


class Change(NamedTuple):
    """The write of a key, or its removal if `value` is None."""

    key: str
    value: bytes | None
    revision: StoreRevision


class ChangeBatch(NamedTuple):
    """Changes of one era, and the revision up to which they are complete.

    `age` is the time in seconds since the store's last answer to the host that passed
    the changes on, 0 for the answer of the store itself.
    """

    changes: tuple[Change, ...]
    revision: StoreRevision
    age: float = 0.0


class Page(NamedTuple):
    """Items under a prefix as changes, and the revision of the store.

    The next page begins after the key `next_after`, which is "" for the last page.
    """

    changes: tuple[Change, ...]
    revision: StoreRevision
    next_after: str


class Store(Protocol):
    """A linearizable store; methods raise PlatformUnavailable or PlatformRefused.

    Changes have what is used of a document; those of keys that are not used are left
    out.
    """

    async def read_page(self, prefix: str, after: str = "") -> Page:
        """Return the first items under a prefix whose keys come after `after`."""

    async def watch(self, after: StoreRevision, seconds: float) -> ChangeBatch:
        """Return the changes after a revision, waiting at most `seconds` for the first.

        Raises HistoryLost if the store no longer has the changes after `after`, was
        restored since, or has more of them than an answer may hold.
        """

    async def put(
        self, key: str, value: bytes, lease: Lease | None = None
    ) -> StoreRevision:
        """Write a key, under a lease if there is one, and return the new revision.

        Raises LeaseLost if the lease has ended or is of an older era.
        """

    async def remove(self, key: str, revision: StoreRevision) -> None:
        """Remove a key; raise CompareFailed unless `revision` is its last change."""

    async def grant_lease(self, seconds: float) -> Lease:
        """Grant a lease for some seconds."""

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise LeaseLost if it has ended or is of an older era."""
