"""The changes that a host has read from the store, for the hosts that follow it."""

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import HistoryLost, PlatformUnavailable, TimedOut
from sassafraskeel.store.interface import UNREAD, Change, ChangeBatch, StoreRevision

# Followers are at most some seconds behind; one that lacks more reads the whole store.
MAX_CHANGES = 4096
# A manifest has up to 1 MiB, and every host keeps a feed.
MAX_CHANGE_BYTES = 8 * 1024 * 1024


class ChangeFeed:
    """Keeps the latest change of each key, and wakes the tasks that wait for more.

    A follower needs no change that a later one of the same key replaces. All changes
    are of the era in which the whole store was read last.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        # By key, in the order of their revisions.
        self._changes: dict[str, Change] = {}
        self._size = 0
        self._complete_after = self._revision = UNREAD
        self._added = curio.Event()

    async def reset(self, revision: StoreRevision) -> None:
        """Forget all changes after the whole store was read at a revision."""
        self._changes.clear()
        self._size = 0
        self._complete_after = self._revision = revision
        await self._wake()

    async def add(self, batch: ChangeBatch) -> None:
        """Add the changes up to a revision."""
        for change in batch.changes:
            self._drop(change.key)
            self._changes[change.key] = change
            self._size += _size_of(change)
        while len(self._changes) > MAX_CHANGES or self._size > MAX_CHANGE_BYTES:
            self._complete_after = self._drop(next(iter(self._changes))).revision
        self._revision = max(self._revision, batch.revision)
        if batch.changes:
            await self._wake()

    async def wait(self, after: StoreRevision, seconds: float) -> ChangeBatch:
        """Return the changes after a revision, waiting at most `seconds` for the first.

        Raises HistoryLost if they are not all kept, and PlatformUnavailable if the
        store has not been read since it was restored.
        """
        if not self._has_changes(after):
            try:
                async with self._clock.timeout(seconds):
                    await self._added.wait()
            except TimedOut:
                pass  # The answer without changes shows that the feed works.
        if after < self._complete_after:
            raise HistoryLost(*after)
        if after.era > self._revision.era:
            raise PlatformUnavailable("the feed is of an older era of the store")
        changes = tuple(c for c in self._changes.values() if c.revision > after)
        return ChangeBatch(changes, max(self._revision, after))

    def _has_changes(self, after: StoreRevision) -> bool:
        if after < self._complete_after:
            return True
        latest = next(reversed(self._changes.values()), None)
        return latest is not None and latest.revision > after

    def _drop(self, key: str) -> Change | None:
        dropped = self._changes.pop(key, None)
        if dropped is not None:
            self._size -= _size_of(dropped)
        return dropped

    async def _wake(self) -> None:
        added, self._added = self._added, curio.Event()
        await added.set()


def _size_of(change: Change) -> int:
    return len(change.key) + len(change.value or b"")
