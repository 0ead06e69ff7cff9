"""The interface through which calls of routes get their targets."""

from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import Protocol

from sassafraskeel.calls.attempts import AttemptHistory, Target
from sassafraskeel.core.errors import (
    ConnectionLost,
    Outcome,
    Reason,
    Refusal,
    TimedOut,
    UpstreamLost,
)
from sassafraskeel.core.types import Call
from sassafraskeel.decisions.fleet import Replica

# A replica that a call crashes ends soon after it begins to answer. While this time is
# not over, a suspect keeps the other suspects of its service waiting.
SURVIVAL_SECONDS = 0.3

# Returns whether a replica with a lost connection has ended.
HasEnded = Callable[[Replica], Awaitable[bool]]


class AttemptFailure(StrEnum):
    """Why a replica failed a call, as far as it matters for later calls."""

    # The replica broke off an answer, answered with garbage or went silent.
    FAILED = "failed"
    # The replica ended while it was not known yet to survive the call.
    LOST = "lost"
    # The replica accepted no connection, so it may come back cold.
    UNREACHABLE = "unreachable"
    # The replica is full; it reported its load.
    REJECTED = "rejected"


def attempt_failure(refusal: Refusal, accepts_work: bool) -> AttemptFailure | None:
    """Return what a refusal says of its replica, None if it says nothing.

    `accepts_work` says whether the replica may still get work. LOST is only a lost
    connection, until it is known that the replica has ended.
    """
    if refusal.reason in (Reason.UPSTREAM_FAILED, Reason.UPSTREAM_SILENT):
        is_unreachable = isinstance(refusal.__cause__, ConnectionLost | TimedOut)
        if is_unreachable and refusal.outcome is Outcome.NOT_RUN:
            return AttemptFailure.UNREACHABLE
        if isinstance(refusal, UpstreamLost):
            return AttemptFailure.LOST
        return AttemptFailure.FAILED
    if refusal.reason is Reason.UPSTREAM_REFUSED:
        return AttemptFailure.REJECTED
    if refusal.reason is Reason.NO_UPSTREAM and accepts_work:
        # Another replica answers at the address, so the entry is outdated.
        return AttemptFailure.FAILED
    return None


class Placement(Protocol):
    """Finds targets for calls and learns how the attempts went.

    Each target that is returned is released exactly once.
    """

    async def find_target(self, call: Call, history: AttemptHistory) -> Target:
        """Return a target; raise Refusal (not run) if there is none in time."""

    def has_target(self, call: Call, history: AttemptHistory) -> bool:
        """Return whether a target is known that could take a call now or soon."""

    async def head_received(self, target: Target) -> None:
        """Record that a replica began to answer, so that the prompt is prefilled.

        A plain answer begins when it is complete, a stream with its first whole event:
        a replica that crashes may have sent a head and a part of an event.
        """

    async def call_survived(self, target: Target) -> None:
        """Record that a replica has gone on with a stream for SURVIVAL_SECONDS."""

    async def attempt_failed(self, target: Target, failure: AttemptFailure) -> None:
        """Record that a replica failed a call."""

    async def release(
        self, target: Target, call: Call, prefilled: bool, seconds: float | None = None
    ) -> None:
        """Release the slot of a target.

        `prefilled` says whether `head_received` was called for it. `seconds` is the
        time for which a complete call, which its replica survived, held the slot.
        """


class PlacedAttempt:
    """The slot of one attempt, which is released once however the attempt ends."""

    def __init__(
        self,
        placement: Placement,
        target: Target,
        call: Call,
        has_ended: HasEnded,
        may_exit: Callable[[Replica], bool],
    ):
        self._may_exit = may_exit
        self._placement = placement
        self._target = target
        self._call = call
        self._has_ended = has_ended
        self._prefilled = False
        self._survived = False
        self._lost = False
        self._released = False

    async def head_received(self) -> None:
        """Record that the replica began to answer."""
        if not self._prefilled:
            self._prefilled = True
            await self._placement.head_received(self._target)

    async def survived(self) -> None:
        """Record that the replica has survived the call."""
        if not self._survived:
            self._survived = True
            await self._placement.call_survived(self._target)

    async def failed(self, failure: AttemptFailure) -> None:
        """Record that the replica failed the call before it began to answer.

        With LOST, the connection was lost; the replica may go on.
        """
        if failure is not AttemptFailure.LOST:
            await self._placement.attempt_failed(self._target, failure)
        elif not self._lost and not await self.connection_ended():
            failed = AttemptFailure.FAILED
            await self._placement.attempt_failed(self._target, failed)

    async def connection_ended(self) -> bool:
        """Return whether the replica ended with a connection, and record that it did.

        It is no failure of the call if the replica survived the call before.
        """
        return not self._survived and await self._replica_ended()

    async def answer_cut(self) -> bool:
        """Return whether the replica ended with an answer that has no length.

        The connections of a process that is killed end as that of a whole answer does,
        but it takes no new ones. A replica that leaves ends after its last answer.
        """
        if self._may_exit(self._target.upstream):
            return False
        return await self._replica_ended()

    async def _replica_ended(self) -> bool:
        if not await self._has_ended(self._target.upstream):
            return False
        if not self._survived and not self._lost:
            self._lost = True
            await self._placement.attempt_failed(self._target, AttemptFailure.LOST)
        return True

    async def release(self, seconds: float | None = None) -> None:
        """Release the slot; `seconds` is how long a complete call held it."""
        if not self._released:
            self._released = True
            if self._lost:
                seconds = None
            await self._placement.release(
                self._target, self._call, self._prefilled, seconds
            )
