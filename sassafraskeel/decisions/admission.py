"""A bounded, fair queue of calls that wait for a slot of a service."""

from collections import Counter
from collections.abc import Collection
from typing import NamedTuple


class QueuedCall(NamedTuple):
    """A call that waits for a slot.

    `expires` is its latest start in monotonic seconds, `expected_seconds` the time
    for which it is expected to hold a slot, and `remote` marks a call that was
    forwarded from another failure domain. A call with a `software_version` takes only
    slots of upstreams with that version.
    """

    number: int
    workspace: str
    priority: int
    expires: float
    expected_seconds: float
    remote: bool
    software_version: str = ""

    @property
    def rank(self) -> tuple[int, float, int]:
        """Return the sort key within a workspace; the lowest is served first."""
        return self.priority, self.expires, self.number


class AdmissionQueue:
    """Orders calls by fair share of the workspaces, then priority and deadline.

    Start-time fair queueing serves the workspaces in proportion to their shares.
    Deficit round robin does the same, but passes over all workspaces many times when
    shares differ a thousandfold. Calls from other domains are served only while no
    local call waits, and are shed first when the queue is full.
    """

    def __init__(self, max_length: int):
        self._max_length = max_length
        self._waiting: dict[int, QueuedCall] = {}
        self._start_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def __len__(self):
        return len(self._waiting)

    def add(self, entry: QueuedCall, shares: dict[str, float]) -> QueuedCall | None:
        """Queue a call; return the call shed from a full queue, possibly `entry`."""
        self._waiting[entry.number] = entry
        self._start_tags[entry.workspace] = max(
            self._start_tags.get(entry.workspace, 0.0), self._virtual_time
        )
        if len(self._waiting) <= self._max_length:
            return None
        shed = self._call_to_shed(shares)
        self.remove(shed.number)
        return shed

    def remove(self, number: int) -> bool:
        """Remove a call; return whether it was queued."""
        entry = self._waiting.pop(number, None)
        if entry is not None:
            self._drop_idle_tag(entry.workspace)
        return entry is not None

    def has_rivals(self, software_version: str) -> bool:
        """Return whether a call waits for a slot that a new call may take.

        `software_version` is that of the new call. Calls that are bound to a version
        wait while other slots are free, so that they are no rivals of unbound calls.
        """
        versions = ("", software_version)
        return any(e.software_version in versions for e in self._waiting.values())

    def peek(self, skipped: Collection[str] = ()) -> QueuedCall | None:
        """Return the call that is served next, without removing it.

        Calls that are bound to one of the `skipped` versions are left out.
        """
        waiting = self._waiting.values()
        if skipped:
            waiting = [e for e in waiting if e.software_version not in skipped]
        local = [entry for entry in waiting if not entry.remote]
        pool = local or list(waiting)
        if not pool:
            return None
        return min(
            pool, key=lambda entry: (self._start_tags[entry.workspace], entry.rank)
        )

    def pop(
        self, shares: dict[str, float], skipped: Collection[str] = ()
    ) -> QueuedCall | None:
        """Remove and return the call that is served next, or None; see `peek`."""
        entry = self.peek(skipped)
        if entry is None:
            return None
        self._virtual_time = max(self._virtual_time, self._start_tags[entry.workspace])
        share = shares.get(entry.workspace, 1.0)
        self._start_tags[entry.workspace] += 1.0 / share
        del self._waiting[entry.number]
        self._drop_idle_tag(entry.workspace)
        return entry

    def pop_expired(self, now: float) -> list[QueuedCall]:
        """Remove and return the calls that can no longer finish by their deadline."""
        late = [entry for entry in self._waiting.values() if entry.expires <= now]
        for entry in late:
            self.remove(entry.number)
        return late

    def calls_ahead(
        self,
        workspace: str,
        priority: int,
        shares: dict[str, float],
        software_version: str = "",
    ) -> float:
        """Return how many waiting calls are served before a new call.

        Only calls that are bound to `software_version` count, or those that are bound
        to none if it is empty. While the calls ahead in its workspace are served, each
        other workspace gets its share.
        """
        waiting = [
            entry
            for entry in self._waiting.values()
            if entry.software_version == software_version
        ]
        queued = Counter(entry.workspace for entry in waiting)
        queued.pop(workspace, None)
        own = sum(
            entry.workspace == workspace and entry.priority <= priority
            for entry in waiting
        )
        rounds = (own + 1) / shares.get(workspace, 1.0)
        return own + sum(
            min(count, rounds * shares.get(name, 1.0)) for name, count in queued.items()
        )

    def work_ahead(self, entry: QueuedCall, shares: dict[str, float]) -> float:
        """Return the expected seconds of slot time that are served before a call.

        While the calls ahead in the same workspace are served, each other workspace
        gets its share, up to the work that it has queued.
        """
        queues: dict[str, float] = {}
        for other in self._waiting.values():
            if other.remote and not entry.remote:
                continue
            if other.workspace == entry.workspace and other.rank > entry.rank:
                continue
            queues[other.workspace] = (
                queues.get(other.workspace, 0.0) + other.expected_seconds
            )
        own_work = queues.pop(entry.workspace, 0.0)
        share = shares.get(entry.workspace, 1.0)
        rounds = (own_work + entry.expected_seconds) / share
        return own_work + sum(
            min(queued, rounds * shares.get(name, 1.0))
            for name, queued in queues.items()
        )

    def _call_to_shed(self, shares) -> QueuedCall:
        remote = [entry for entry in self._waiting.values() if entry.remote]
        if remote:
            return max(remote, key=lambda entry: entry.rank)
        counts: dict[str, int] = {}
        for entry in self._waiting.values():
            counts[entry.workspace] = counts.get(entry.workspace, 0) + 1
        largest = max(counts, key=lambda name: counts[name] / shares.get(name, 1.0))
        queue = [e for e in self._waiting.values() if e.workspace == largest]
        return max(queue, key=lambda entry: entry.rank)

    def _drop_idle_tag(self, workspace: str) -> None:
        # A workspace that is ahead of the others keeps its start tag while they wait.
        # Otherwise it could get served before its turn by letting its queue run empty.
        if not self._waiting:
            self._start_tags.clear()
            self._virtual_time = 0.0
        elif self._start_tags.get(workspace, 0.0) <= self._virtual_time and all(
            entry.workspace != workspace for entry in self._waiting.values()
        ):
            self._start_tags.pop(workspace, None)
