"""Pacing of requests to replicas that crash when they reject too many."""

import math
from collections.abc import Hashable
from typing import NamedTuple

# Replicas count their rejections in a second. Those of other hosts, and their way here,
# take a part of a second more.
WINDOW_SECONDS = 1.5
# A replica without room rejects a request at once.
UNANSWERED_SECONDS = 0.5
# The shares of the coordinator and of a host that reaches none add up to one and a
# half, but no rejection may be too many.
REJECTION_SHARE = 2 / 3
# The wait after a rejection, which doubles with each further one in a row.
BACKOFF_MIN_SECONDS = 0.3
BACKOFF_MAX_SECONDS = 2.0
# The slots that are known to be free are relied on if the replica took a request within
# this time and rejected none.
TRUST_SECONDS = 5.0
MAX_RUNS = 4096


class _Pace(NamedTuple):
    """The recent requests at a replica, and how it answered the last ones.

    `unanswered` are the times of requests that may still be rejected, `rejected` those
    of rejections. `rejections` counts those in a row, the last one at `rejected_at`.
    """

    unanswered: tuple[float, ...] = ()
    rejected: tuple[float, ...] = ()
    rejections: int = 0
    rejected_at: float = -math.inf
    admitted_at: float = -math.inf


class RejectionPacer:
    """Bounds the requests of the local host that a replica may reject in a second.

    Requests that may still be rejected count like rejections, so that the bound holds
    if the replica has no room for any of them. After a rejection, one request at a
    time tests whether there is room again.
    """

    def __init__(self):
        self._paces: dict[Hashable, _Pace] = {}

    def may_place(self, run: Hashable, max_rejections: float, now: float) -> bool:
        """Return whether a request may be placed at a run of a replica."""
        pace = self._pace(run, now)
        if pace.rejections:
            backoff = BACKOFF_MIN_SECONDS * 2 ** min(pace.rejections - 1, 10)
            if now - pace.rejected_at < min(backoff, BACKOFF_MAX_SECONDS):
                return False
            if pace.unanswered:
                return False
        most = max(int(max_rejections * REJECTION_SHARE + 1e-9), 1)
        if math.isinf(pace.admitted_at):
            most = 1  # The replica may have just started.
        return len(pace.unanswered) + len(pace.rejected) < most

    def is_trusted(self, run: Hashable, now: float) -> bool:
        """Return whether a run of a replica has lately taken all requests."""
        pace = self._pace(run, now)
        return (
            now - pace.admitted_at < TRUST_SECONDS <= now - pace.rejected_at
            and not pace.rejections
        )

    def placed(self, run: Hashable, now: float) -> None:
        """Record that a request is placed."""
        pace = self._pace(run, now)
        self._store(run, pace._replace(unanswered=(*pace.unanswered, now)))

    def admitted(self, run: Hashable, placed_at: float, now: float) -> None:
        """Record that a replica took a request that was placed at `placed_at`."""
        pace = _answered(self._pace(run, now), placed_at)
        if placed_at >= pace.rejected_at:
            pace = pace._replace(rejections=0, admitted_at=now)
        self._store(run, pace)

    def rejected(self, run: Hashable, placed_at: float, now: float) -> None:
        """Record that a replica rejected a request that was placed at `placed_at`."""
        pace = _answered(self._pace(run, now), placed_at)
        # Requests that were placed before a rejection do not test for room.
        is_test = placed_at >= pace.rejected_at
        pace = pace._replace(
            rejected=(*pace.rejected, now),
            rejections=pace.rejections + is_test,
            rejected_at=now,
        )
        self._store(run, pace)

    def drop(self, run: Hashable) -> None:
        """Forget a run of a replica."""
        self._paces.pop(run, None)

    def _pace(self, run: Hashable, now: float) -> _Pace:
        pace = self._paces.get(run)
        if pace is None:
            return _Pace()
        unanswered, rejected = pace.unanswered, pace.rejected
        if unanswered and now - unanswered[0] >= UNANSWERED_SECONDS:
            unanswered = tuple(t for t in unanswered if now - t < UNANSWERED_SECONDS)
        if rejected and now - rejected[0] >= WINDOW_SECONDS:
            rejected = tuple(t for t in rejected if now - t < WINDOW_SECONDS)
        return pace._replace(unanswered=unanswered, rejected=rejected)

    def _store(self, run: Hashable, pace: _Pace) -> None:
        self._paces.pop(run, None)
        self._paces[run] = pace
        if len(self._paces) > MAX_RUNS:
            del self._paces[next(iter(self._paces))]


def _answered(pace: _Pace, placed_at: float) -> _Pace:
    if placed_at not in pace.unanswered:
        return pace
    unanswered = list(pace.unanswered)
    unanswered.remove(placed_at)
    return pace._replace(unanswered=tuple(unanswered))
