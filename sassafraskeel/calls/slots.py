"""Waiting for a slot of a service, in the task of the call."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run
from sassafraskeel.decisions.admission import AdmissionQueue, QueuedCall
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.sheets.model import Sheet, Upstream

# Slots that other hosts give back show in reports only, so waiting calls look.
LOOK_INTERVAL_SECONDS = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1


class Wanted(NamedTuple):
    """What a call needs: `choose` takes a slot and returns its upstream, or None.

    `sheet` returns the sheet in force, which may change while the call waits; calls
    of a route have none.
    """

    sheet: Callable[[], Sheet] | None
    service: str
    workspace: str
    priority: int
    expires: float
    work: float
    remote: bool
    choose: Callable[[], Upstream | Replica | None]


def sheet_shares(wanted: Wanted) -> dict[str, float]:
    """Return the shares of the workspaces by the sheet in force."""
    return {name: entry.share for name, entry in wanted.sheet().workspaces.items()}


class Ticket:
    """A call in the queue; ends with an upstream or a refusal."""

    def __init__(self, wanted: Wanted):
        self.wanted = wanted
        self.upstream: Upstream | Replica | None = None
        self.refusal: Refusal | None = None
        self.ended = curio.Event()

    async def end(self, upstream=None, refusal=None) -> None:
        """Wake the task of the call."""
        self.upstream, self.refusal = upstream, refusal
        await self.ended.set()


class SlotQueues:
    """One admission queue for each service."""

    def __init__(
        self,
        length: int,
        clock: Clock,
        give_back: Callable[[Upstream | Replica], None],
        shares: Callable[[Wanted], dict[str, float]] = sheet_shares,
    ):
        self._shares = shares
        self._length = length
        self._clock = clock
        self._give_back = give_back
        self._numbers = itertools.count()
        self._queues: dict[str, AdmissionQueue] = {}
        self._served_at: dict[str, float] = {}
        self._tickets: dict[int, Ticket] = {}

    def length(self, service: str) -> int:
        """Return how many calls wait for a service."""
        return len(self._queues.get(service, ()))

    def predicted_wait(self, wanted: Wanted, parallel: float) -> float:
        """Return the seconds that a call would wait if it were queued now."""
        entry = self._entry(wanted)
        queue = self._queue(wanted.service)
        ahead = queue.work_ahead(entry, self._shares(wanted))
        # A slot of a full service becomes free after a fraction of a call.
        return (ahead + wanted.work / 2) / max(parallel, 1.0)

    async def wait(self, wanted: Wanted) -> Upstream | Replica:
        """Return an upstream of which a slot was taken; raise Refusal (not run)."""
        entry = self._entry(wanted)
        ticket = self._tickets[entry.number] = Ticket(wanted)
        try:
            shed = self._queue(wanted.service).add(entry, self._shares(wanted))
            if shed is not None:
                await self._tickets[shed.number].end(refusal=_shed(wanted))
            await self.serve(wanted.service)
            return await self._ended(ticket)
        except BaseException:
            if ticket.upstream is not None:
                self._give_back(ticket.upstream)
            raise
        finally:
            self._tickets.pop(entry.number, None)
            self._queue(wanted.service).remove(entry.number)

    async def serve(self, service: str) -> None:
        """Hand free slots to the waiting calls of a service."""
        queue = self._queue(service)
        self._served_at[service] = self._clock.monotonic()
        for late in queue.pop_expired(self._clock.monotonic()):
            await self._tickets[late.number].end(refusal=_too_late())
        while (entry := queue.peek()) is not None:
            ticket = self._tickets[entry.number]
            upstream = ticket.wanted.choose()
            if upstream is None:
                return
            queue.pop(self._shares(ticket.wanted))
            await ticket.end(upstream)

    async def _ended(self, ticket: Ticket) -> Upstream | Replica:
        expires = ticket.wanted.expires
        while not ticket.ended.is_set():
            left = expires - self._clock.monotonic()
            try:
                async with self._clock.timeout(min(left, LOOK_INTERVAL_SECONDS)):
                    await ticket.ended.wait()
            except TimedOut:
                await self._serve_if_due(ticket)
        if ticket.refusal is not None:
            raise ticket.refusal
        return ticket.upstream

    async def _serve_if_due(self, ticket: Ticket) -> None:
        """Look for free slots, once in an interval for all calls that wait."""
        now = self._clock.monotonic()
        service = ticket.wanted.service
        due = self._served_at.get(service, now) + LOOK_INTERVAL_SECONDS / 2
        if now >= min(due, ticket.wanted.expires):
            await self.serve(service)

    def _entry(self, wanted: Wanted) -> QueuedCall:
        return QueuedCall(
            next(self._numbers),
            wanted.workspace,
            wanted.priority,
            wanted.expires - wanted.work,
            wanted.work,
            wanted.remote,
        )

    def _queue(self, service: str) -> AdmissionQueue:
        # The services are those of the sheet; `check` has refused all others.
        return self._queues.setdefault(service, AdmissionQueue(self._length))


def _shed(wanted: Wanted) -> Refusal:
    retry_after = max(wanted.work, MIN_RETRY_AFTER_SECONDS)
    return not_run(Reason.OVERLOADED, "the queue is full", retry_after)


def _too_late() -> Refusal:
    return not_run(Reason.DEADLINE, "no slot became free in time")
