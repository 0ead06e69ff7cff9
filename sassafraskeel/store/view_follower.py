"""Follows and changes the view of the local failure domain."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import CompareFailed, SassafraskeelError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.decisions.orders import OrderContext, drop_unassigned_records
from sassafraskeel.decisions.view_state import Step, StepKind
from sassafraskeel.decisions.views import from_json, to_json
from sassafraskeel.store.key_value import Entry, KeyValueStore, Revision

# A read confirms the view for the duration of a promise (3 s), counted from the time
# the read was sent, which leaves time for a watch of one second.
WATCH_SECONDS = 1.0
CHANGE_POLL_SECONDS = 0.2


class Handover(Protocol):
    """Transfers the local order records to the members of the proposed view."""

    async def __call__(self) -> None:
        """Transfer the records; raise SassafraskeelError unless all were confirmed."""


class ViewFollower:
    """Follows `views/<domain>` and performs the steps that ViewState plans."""

    def __init__(
        self,
        domain: str,
        context: OrderContext,
        store: KeyValueStore,
        clock: Clock,
        log: LogSink,
        hand_over: Handover,
        rejoin: Callable[[], Awaitable[None]],
    ):
        self._key = f"views/{domain}"
        self._context = context
        self._store = store
        self._clock = clock
        self._log = log
        self._hand_over = hand_over
        self._rejoin = rejoin
        self._revision: Revision | None = None
        self._pruned_view_number = 0
        self.answered_at = clock.monotonic()

    async def run(self) -> None:
        """Follow the view forever."""
        while True:
            try:
                await self._sync()
            except CompareFailed:
                continue  # Another host changed the view first.
            except SassafraskeelError:
                await self._clock.sleep(WATCH_SECONDS)

    async def _sync(self) -> None:
        view_state = self._context.view_state
        sent_at = self._clock.monotonic()
        entry = await self._read()
        self._revision = entry.revision
        self.answered_at = self._clock.monotonic()
        view = from_json(entry.value)
        previous_number = view_state.number
        view_state.record_epoch(entry.revision.epoch)
        if view is not None:
            view_state.record_platform_read(view, sent_at, self._clock.monotonic())
        if view_state.number != previous_number:
            names = " ".join(member.host for member in view_state.view.members)
            self._log.emit(Event.VIEW_INSTALLED, view=view_state.number, members=names)
        if view_state.number != self._pruned_view_number and drop_unassigned_records(
            self._context
        ):
            self._pruned_view_number = view_state.number
        step = view_state.plan(view, self._clock.monotonic(), self._clock.now())
        if step is not None:
            await self._perform_step(step, entry)
        elif view is not None and view.next is not None:
            await self._clock.sleep(CHANGE_POLL_SECONDS)

    async def _read(self) -> Entry:
        view = self._context.view_state.view
        if self._revision is None or (view is not None and view.next is not None):
            return await self._store.get(self._key)
        return await self._store.watch(self._key, self._revision, WATCH_SECONDS)

    async def _perform_step(self, step: Step, entry: Entry) -> None:
        if step.kind is StepKind.EXIT:
            self._log.emit(Event.VIEW_LEFT, view=step.view.number)
            await self._rejoin()
            return
        if step.kind is StepKind.AGREE:
            try:
                await self._hand_over()
            except SassafraskeelError as exc:
                self._log.emit(Event.HANDOVER_FAILED, detail=str(exc))
                await self._clock.sleep(CHANGE_POLL_SECONDS)
                return
            self._context.view_state.mark_agreed()
            self._log.emit(Event.VIEW_AGREED, view=step.view.number)
        self._revision = None
        await self._store.put(self._key, to_json(step.view), entry.revision)
        self._log.emit(Event.VIEW_CHANGE, view=step.view.number, step=step.kind.value)
