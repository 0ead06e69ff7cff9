"""Queues of calls that wait for a slot of a service."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run_refusal
from sassafraskeel.core.types import Call
from sassafraskeel.decisions.admission import AdmissionQueue, QueuedCall
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.sheets.model import Sheet, Upstream

# Slots that other hosts release are visible in load reports only, so waiting calls
# poll for them.
POLL_INTERVAL_SECONDS = 0.2
MIN_RETRY_AFTER_SECONDS = 0.1


class SlotRequest(NamedTuple):
    """The request of a call for a slot of a service.

    `sheet` returns the sheet in force, which may change while the call waits; it is
    None for calls of routes. `expires` is in monotonic seconds, `service_seconds` is
    the expected time in the slot, and `from_remote` marks calls that were forwarded
    from another domain or region. `take_slot` takes a free slot and returns its
    upstream, or returns None if there is none. `software_version` is that of the call.
    """

    sheet: Callable[[], Sheet] | None
    service: str
    workspace: str
    priority: int
    expires: float
    service_seconds: float
    from_remote: bool
    take_slot: Callable[[], Upstream | Replica | None]
    software_version: str = ""


def workspace_shares(request: SlotRequest) -> dict[str, float]:
    """Return the share of each workspace in the sheet in force."""
    return {name: entry.share for name, entry in request.sheet().workspaces.items()}


class SlotWaiter:
    """A queued call; the wait ends with an upstream or a refusal."""

    def __init__(self, request: SlotRequest):
        self.request = request
        self.upstream: Upstream | Replica | None = None
        self.refusal: Refusal | None = None
        self.ended = curio.Event()

    async def end(self, upstream=None, refusal=None) -> None:
        """Set the result and wake the task of the call."""
        self.upstream, self.refusal = upstream, refusal
        await self.ended.set()


class SlotQueues:
    """One admission queue for each service.

    Each call waits in its own task. `release_slot` releases a slot that was assigned to
    a call which gave up meanwhile; `shares` returns the shares of the workspaces.
    """

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
        """Return the number of calls that wait for a slot of a service."""
        return len(self._queues.get(service, ()))

    def has_rivals(self, call: Call) -> bool:
        """Return whether a call waits for a slot that a new call may take."""
        queue = self._queues.get(call.service)
        return bool(queue) and queue.has_rivals(call.software_version)

    def calls_ahead(self, request: SlotRequest, software_version: str = "") -> float:
        """Return how many waiting calls would be served before a new call.

        Only calls that are bound to `software_version` count, or those that are bound
        to none if it is empty.
        """
        queue = self._queues.get(request.service)
        if not queue:
            return 0.0
        return queue.calls_ahead(
            request.workspace, request.priority, self._shares(request), software_version
        )

    def predicted_wait(self, request: SlotRequest, parallel: float) -> float:
        """Return the seconds that a call would wait if it were queued now.

        `parallel` is the number of slots that serve the queue.
        """
        entry = self._queue_entry(request)
        queue = self._queue(request.service)
        ahead = queue.work_ahead(entry, self._shares(request))
        # The next slot is released after half of a call's service time on average.
        return (ahead + request.service_seconds / 2) / max(parallel, 1.0)

    async def wait(self, request: SlotRequest) -> Upstream | Replica:
        """Wait for a slot and return its upstream; raise Refusal (not run)."""
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
        """Assign free slots to the waiting calls of a service."""
        queue = self._queue(service)
        self._served_at[service] = self._clock.monotonic()
        for expired in queue.pop_expired(self._clock.monotonic()):
            await self._waiters[expired.number].end(refusal=_no_slot_in_time())
        # Versions without a free slot; the calls that are bound to others go on.
        skipped: set[str] = set()
        while (entry := queue.peek(skipped)) is not None:
            waiter = self._waiters[entry.number]
            upstream = waiter.request.take_slot()
            if upstream is not None:
                queue.pop(self._shares(waiter.request), skipped)
                await waiter.end(upstream)
            elif entry.software_version:
                skipped.add(entry.software_version)
            else:
                return

    async def _wait_until_ended(self, waiter: SlotWaiter) -> Upstream | Replica:
        expires = waiter.request.expires
        while not waiter.ended.is_set():
            remaining = expires - self._clock.monotonic()
            try:
                async with self._clock.timeout(min(remaining, POLL_INTERVAL_SECONDS)):
                    await waiter.ended.wait()
            except TimedOut:
                await self._serve_if_due(waiter)
        if waiter.refusal is not None:
            raise waiter.refusal
        return waiter.upstream

    async def _serve_if_due(self, waiter: SlotWaiter) -> None:
        """Assign free slots, once per interval for all waiting calls together."""
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
            request.software_version,
        )

    def _queue(self, service: str) -> AdmissionQueue:
        # Calls of unknown services were refused before, which limits the number of
        # queues.
        return self._queues.setdefault(service, AdmissionQueue(self._length))


def _queue_full(request: SlotRequest) -> Refusal:
    retry_after = max(request.service_seconds, MIN_RETRY_AFTER_SECONDS)
    return not_run_refusal(Reason.OVERLOADED, "the queue is full", retry_after)


def _no_slot_in_time() -> Refusal:
    return not_run_refusal(Reason.DEADLINE, "no slot became free in time")
