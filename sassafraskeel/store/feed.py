"""The changes that a host has read from the store, for the hosts that follow it."""

from collections import deque

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import HistoryLost, PlatformUnavailable, TimedOut
from sassafraskeel.store.interface import UNREAD, Change, ChangeBatch, StoreRevision

# Followers are at most some seconds behind; one that lacks more reads the whole store.
MAX_CHANGES = 4096


class ChangeFeed:
    """Keeps the latest changes, and wakes the tasks that wait for further ones.

    All changes are of the era in which the whole store was read last.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._changes: deque[Change] = deque()
        self._complete_after = self._revision = UNREAD
        self._added = curio.Event()

    async def reset(self, revision: StoreRevision) -> None:
        """Forget all changes after the whole store was read at a revision."""
        self._changes.clear()
        self._complete_after = self._revision = revision
        await self._wake()

    async def add(self, batch: ChangeBatch) -> None:
        """Add the changes up to a revision."""
        self._changes += batch.changes
        while len(self._changes) > MAX_CHANGES:
            self._complete_after = self._changes.popleft().revision
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
        changes = tuple(c for c in self._changes if c.revision > after)
        return ChangeBatch(changes, max(self._revision, after))

    def _has_changes(self, after: StoreRevision) -> bool:
        if after < self._complete_after:
            return True
        return bool(self._changes) and self._changes[-1].revision > after

    async def _wake(self) -> None:
        added, self._added = self._added, curio.Event()
        await added.set()
