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
POLL_INTERVAL_SECONDS = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1


class SlotRequest(NamedTuple):
    """What a call needs: `choose` takes a slot and returns its upstream, or None.

    `sheet` returns the sheet in force, which may change while the call waits; calls
    of a route have none.
    """

    sheet: Callable[[], Sheet] | None
    service: str
    workspace: str
    priority: int
    expires: float
    service_seconds: float
    from_remote: bool
    take_slot: Callable[[], Upstream | Replica | None]


def workspace_shares(request: SlotRequest) -> dict[str, float]:
    """Return the shares of the workspaces by the sheet in force."""
    return {name: entry.share for name, entry in request.sheet().workspaces.items()}


class SlotWaiter:
    """A call in the queue; ends with an upstream or a refusal."""

    def __init__(self, request: SlotRequest):
        self.request = request
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
        release_slot: Callable[[Upstream | Replica], None],
        shares: Callable[[SlotRequest], dict[str, float]] = workspace_shares,
    ):
        self._shares = shares
        self._length = length
        self._clock = clock
        self._release_slot = release_slot
        self._numbers = itertools.count()
        self._queues: dict[str, AdmissionQueue] = {}
        self._served_at: dict[str, float] = {}
        self._waiters: dict[int, SlotWaiter] = {}

    def length(self, service: str) -> int:
        """Return how many calls wait for a service."""
        return len(self._queues.get(service, ()))

    def predicted_wait(self, request: SlotRequest, parallel: float) -> float:
        """Return the seconds that a call would wait if it were queued now."""
        entry = self._queue_entry(request)
        queue = self._queue(request.service)
        ahead = queue.work_ahead(entry, self._shares(request))
        # A slot of a full service becomes free after a fraction of a call.
        return (ahead + request.service_seconds / 2) / max(parallel, 1.0)

    async def wait(self, request: SlotRequest) -> Upstream | Replica:
        """Return an upstream of which a slot was taken; raise Refusal (not run)."""
        entry = self._queue_entry(request)
        waiter = self._waiters[entry.number] = SlotWaiter(request)
        try:
            shed = self._queue(request.service).add(entry, self._shares(request))
            if shed is not None:
                await self._waiters[shed.number].end(refusal=_queue_full(request))
            await self.serve(request.service)
            return await self._wait_until_ended(waiter)
        except BaseException:
            if waiter.upstream is not None:
                self._release_slot(waiter.upstream)
            raise
        finally:
            self._waiters.pop(entry.number, None)
            self._queue(request.service).remove(entry.number)

    async def serve(self, service: str) -> None:
        """Hand free slots to the waiting calls of a service."""
        queue = self._queue(service)
        self._served_at[service] = self._clock.monotonic()
        for late in queue.pop_expired(self._clock.monotonic()):
            await self._waiters[late.number].end(refusal=_no_slot_in_time())
        while (entry := queue.peek()) is not None:
            waiter = self._waiters[entry.number]
            upstream = waiter.request.take_slot()
            if upstream is None:
                return
            queue.pop(self._shares(waiter.request))
            await waiter.end(upstream)

    async def _wait_until_ended(self, waiter: SlotWaiter) -> Upstream | Replica:
        expires = waiter.request.expires
        while not waiter.ended.is_set():
            left = expires - self._clock.monotonic()
            try:
                async with self._clock.timeout(min(left, POLL_INTERVAL_SECONDS)):
                    await waiter.ended.wait()
            except TimedOut:
                await self._serve_if_due(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        return waiter.upstream

    async def _serve_if_due(self, waiter: SlotWaiter) -> None:
        """Look for free slots, once in an interval for all calls that wait."""
        now = self._clock.monotonic()
        service = waiter.request.service
        due = self._served_at.get(service, now) + POLL_INTERVAL_SECONDS / 2
        if now >= min(due, waiter.request.expires):
            await self.serve(service)

    def _queue_entry(self, request: SlotRequest) -> QueuedCall:
        return QueuedCall(
            next(self._numbers),
            request.workspace,
            request.priority,
            request.expires - request.service_seconds,
            request.service_seconds,
            request.from_remote,
        )

    def _queue(self, service: str) -> AdmissionQueue:
        # The services are those of the sheet; `check` has refused all others.
        return self._queues.setdefault(service, AdmissionQueue(self._length))


def _queue_full(request: SlotRequest) -> Refusal:
    retry_after = max(request.service_seconds, MIN_RETRY_AFTER_SECONDS)
    return not_run(Reason.OVERLOADED, "the queue is full", retry_after)


def _no_slot_in_time() -> Refusal:
    return not_run(Reason.DEADLINE, "no slot became free in time")
