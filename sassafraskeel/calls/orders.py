"""At-most-once orders: execution at the owner and forwarding to the owner."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

import curio

from sassafraskeel.calls.request_tracker import RequestTracker
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    Outcome,
    Reason,
    Refusal,
    SassafraskeelError,
    TimedOut,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import (
    Answer,
    BufferedAnswer,
    Call,
    HostInfo,
    ResponseHead,
)
from sassafraskeel.decisions.ledger import AttemptState, OrderRecord, StoredAnswer
from sassafraskeel.decisions.orders import (
    OrderContext,
    look_up,
    look_up_as_witness,
    other_record_holders,
    refusal_for,
)
from sassafraskeel.decisions.ownership import (
    OrderId,
    check_date,
    fingerprint_of,
    parse_order_id,
)
from sassafraskeel.decisions.views import View

VIEW_WAIT_SECONDS = 2.0
VIEW_POLL_SECONDS = 0.05
# The owner waits for the result of a dispatched order this long beyond the deadline of
# its caller, so that a retry can get the result.
RESULT_GRACE_SECONDS = 30.0
# A longer answer is not kept in memory; the outcome of its order is then unknown.
MAX_ANSWER_BYTES = 8 * 1024 * 1024


class WitnessClient(Protocol):
    """Sends requests about order records to the other hosts of the view."""

    async def record_intent(
        self, witness: str, record: OrderRecord
    ) -> OrderRecord | None:
        """Ask a witness to accept an attempt; return any record that forbids it."""

    async def look_up(
        self, witness: str, order: OrderId, fingerprint: bytes
    ) -> OrderRecord | None:
        """Return the record that a witness holds; raise the Refusal that it sends."""

    async def send(self, incarnation: str, records: list[OrderRecord]) -> None:
        """Send records to a host; raise SassafraskeelError unless it confirms them."""


class OrderTransport(NamedTuple):
    """Functions that send an order to its target.

    `dispatch` sends it to an upstream and calls the given check right before the
    first byte; `forward` sends it to a host; `find_host` returns the host with a name
    and an incarnation, or None if it is not known.
    """

    dispatch: Callable[[Call, bytes, Callable[[], None]], Awaitable[Answer]]
    forward: Callable[[HostInfo, Call, bytes], Awaitable[Answer]]
    find_host: Callable[[str, str], HostInfo | None]


class Order(NamedTuple):
    """An order that this host executes or forwards."""

    id: OrderId
    fingerprint: bytes
    call: Call
    body: bytes


class InFlightAttempt:
    """An attempt in progress; `done` is set once it has its answer or refusal."""

    def __init__(self):
        self.done = curio.Event()
        self.answer: Answer | None = None
        self.refusal: Refusal | None = None


class OrderExecutor:
    """Runs the orders that this host owns and forwards all others to their owners."""

    def __init__(
        self,
        cfg: OrderSection,
        context: OrderContext,
        witnesses: WitnessClient,
        clock: Clock,
        log: LogSink,
        group: SupervisedTaskGroup,
        request_tracker: RequestTracker,
    ):
        self._cfg = cfg
        self._context = context
        self._witnesses = witnesses
        self._clock = clock
        self._log = log
        self._group = group
        self._request_tracker = request_tracker
        self._in_flight: dict[str, InFlightAttempt] = {}

    async def run(self, call: Call, body: bytes, transport: OrderTransport) -> Answer:
        """Return the answer to an order with its home in this domain; raise Refusal."""
        order = Order(
            parse_order_id(call.order_id),
            fingerprint_of(call.workspace, call.service, call.method, call.path, body),
            call,
            body,
        )
        check_date(order.id, self._clock.now(), self._cfg)
        view = await self._wait_for_stable_view(order, transport)
        owner, witness = view.record_holders(order.id.text)
        if owner == self._context.view_state.local_member.incarnation:
            return await self._run_owned(order, view, witness, transport)
        return await self._forward_to_owner(order, view, owner, witness, transport)

    async def _wait_for_stable_view(
        self, order: Order, transport: OrderTransport
    ) -> View:
        """Return the view, after a short wait if it is changing.

        After a change it takes up to one second until members have made promises and
        the links to new members are open.
        """
        expires = self._clock.monotonic() + VIEW_WAIT_SECONDS
        expires = min(expires, order.call.expires)
        while not self._is_view_stable(order, transport):
            if self._clock.monotonic() >= expires:
                view_state = self._context.view_state
                empty = view_state.view is None or not view_state.view.members
                if empty or view_state.frozen:
                    raise self._refusal(
                        order, Reason.VIEW_CHANGING, "the view is changing"
                    )
                break
            await self._clock.sleep(VIEW_POLL_SECONDS)
        return self._context.view_state.view

    def _is_view_stable(self, order: Order, transport: OrderTransport) -> bool:
        view_state = self._context.view_state
        if view_state.view is None or view_state.frozen or not view_state.view.members:
            return False
        owner = view_state.view.record_holders(order.id.text)[0]
        if owner != view_state.local_member.incarnation:
            host_names = {run.incarnation: run.host for run in view_state.view.members}
            return transport.find_host(host_names[owner], owner) is not None
        if self._context.ledger.find(order.id.text) is not None:
            return True
        return view_state.can_prove_not_run(self._clock.monotonic())

    async def _forward_to_owner(
        self,
        order: Order,
        view: View,
        owner: str,
        witness: str,
        transport: OrderTransport,
    ) -> Answer:
        host_names = {member.incarnation: member.host for member in view.members}
        if set(order.call.hops) & set(host_names.values()):
            # The views of the hosts differ, so a second hop could return to an earlier
            # host.
            raise unknown_outcome_refusal(
                Reason.VIEW_CHANGING, "the views of the hosts differ", 1.0
            )
        host = transport.find_host(host_names[owner], owner)
        if host is not None:
            try:
                return await transport.forward(host, order.call, order.body)
            except Refusal as refusal:
                if refusal.reason is not Reason.PEER_UNREACHABLE:
                    raise
        return self._answer_from_record(order, await self._ask_witness(order, witness))

    async def _ask_witness(self, order: Order, witness: str) -> OrderRecord:
        detail = "the owner does not answer"
        try:
            if witness == self._context.view_state.local_member.incarnation:
                now = self._clock.monotonic()
                record = look_up_as_witness(
                    self._context, order.id, order.fingerprint, now
                )
            elif witness:
                record = await self._witnesses.look_up(
                    witness, order.id, order.fingerprint
                )
            else:
                record = None
        except Refusal:
            raise
        except SassafraskeelError as exc:
            raise unknown_outcome_refusal(
                Reason.OWNER_UNREACHABLE, detail, 1.0
            ) from exc
        if record is None:
            raise unknown_outcome_refusal(Reason.OWNER_UNREACHABLE, detail, 1.0)
        return record

    async def _run_owned(
        self, order: Order, view: View, witness: str, transport: OrderTransport
    ) -> Answer:
        order_id = order.id.text
        now = self._clock.monotonic()
        record = look_up(self._context, order.id, order.fingerprint, now)
        if record is not None:
            if record.state is not AttemptState.RESULT and order_id in self._in_flight:
                await self._wait(order, self._in_flight[order_id])
            return self._answer_from_record(order, self._context.ledger.find(order_id))
        record = self._context.ledger.begin_attempt(
            order_id, order.fingerprint, view.number, now
        )
        attempt = self._in_flight[order_id] = InFlightAttempt()
        # The order continues if its caller disconnects, so that a retry gets the
        # answer.
        await self._group.spawn(
            self._run_attempt, attempt, order, record, view, witness, transport
        )
        await self._wait(order, attempt)
        if attempt.refusal is not None:
            raise attempt.refusal
        return attempt.answer

    async def _wait(self, order: Order, attempt: "InFlightAttempt") -> None:
        remaining = order.call.expires - self._clock.monotonic()
        try:
            async with self._clock.timeout(remaining):
                await attempt.done.wait()
        except TimedOut as exc:
            detail = "the order is still running"
            raise unknown_outcome_refusal(
                Reason.ORDER_IN_PROGRESS, detail, 1.0
            ) from exc

    async def _run_attempt(
        self, attempt, order, record, view, witness, transport
    ) -> None:
        async with self._request_tracker:
            try:
                if witness:
                    await self._register_with_witness(order, record, witness)
                attempt.answer = await self._dispatch(order, record, view, transport)
            except Refusal as refusal:
                attempt.refusal = refusal
            except Exception:
                attempt.refusal = unknown_outcome_refusal(
                    Reason.INTERNAL, "see the log of the host"
                )
                raise
            finally:
                self._in_flight.pop(order.id.text, None)
                await attempt.done.set()

    async def _register_with_witness(
        self, order: Order, record: OrderRecord, witness: str
    ) -> None:
        try:
            earlier = await self._witnesses.record_intent(witness, record)
        except SassafraskeelError as exc:
            await self._close_attempt(record, None)
            detail = f"the witness did not accept the order: {exc}"
            raise self._refusal(order, Reason.WITNESS_UNREACHABLE, detail) from exc
        except BaseException:
            self._context.ledger.close_attempt(record, None)
            raise
        if earlier is not None:
            self._context.ledger.overwrite(earlier)
            detail = "the witness has a record of an earlier attempt"
            raise unknown_outcome_refusal(Reason.ORDER_RESULT_UNKNOWN, detail)

    async def _dispatch(
        self, order: Order, record: OrderRecord, view: View, transport: OrderTransport
    ) -> Answer:
        view_state, ledger = self._context.view_state, self._context.ledger
        dispatched = None

        def check():
            nonlocal dispatched
            now = self._clock.monotonic()
            if now >= order.call.expires:
                raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")
            if not view_state.may_dispatch(view.number, now):
                raise not_run_refusal(
                    Reason.NO_RIGHT_TO_ACT, "the view may have changed", 1.0
                )
            if dispatched or not ledger.mark_dispatched(record):
                raise not_run_refusal(Reason.VIEW_CHANGING, "the view changed", 1.0)
            dispatched = record._replace(state=AttemptState.RUNNING)

        extended = order.call._replace(
            expires=order.call.expires + RESULT_GRACE_SECONDS
        )
        try:
            answer = await transport.dispatch(extended, order.body, check)
        except Refusal as refusal:
            if dispatched is None:
                await self._close_attempt(record, None)
                raise self._refusal(order, refusal.reason, refusal.detail) from refusal
            if refusal.outcome is Outcome.NOT_RUN:
                await self._close_attempt(dispatched, None)
                raise self._refusal(order, refusal.reason, refusal.detail) from refusal
            self._log.emit(Event.ORDER_UNRESOLVED, call=order.call.call_id)
            raise
        except BaseException:
            if dispatched is None:
                ledger.close_attempt(record, None)
            raise
        return await self._record_result(order, dispatched, answer)

    async def _record_result(
        self, order: Order, record: OrderRecord, answer: Answer
    ) -> Answer:
        try:
            body = await self._read_body(order, answer)
        except SassafraskeelError as exc:
            self._log.emit(Event.ORDER_UNRESOLVED, call=order.call.call_id)
            raise unknown_outcome_refusal(
                Reason.UPSTREAM_FAILED, f"the answer could not be read: {exc}"
            ) from exc
        finally:
            await answer.close()
        head = answer.head
        stored = StoredAnswer(head.status, head.headers, body)
        await self._close_attempt(record, stored)
        return BufferedAnswer(head, body)

    async def _read_body(self, order: Order, answer: Answer) -> bytes:
        parts, size = [], 0
        remaining = order.call.expires + RESULT_GRACE_SECONDS - self._clock.monotonic()
        async with self._clock.timeout(remaining):
            while data := await answer.read():
                parts.append(data)
                size += len(data)
                if size > MAX_ANSWER_BYTES:
                    raise unknown_outcome_refusal(
                        Reason.UPSTREAM_FAILED, "the answer is too long"
                    )
        return b"".join(parts)

    async def _close_attempt(
        self, record: OrderRecord, answer: StoredAnswer | None
    ) -> None:
        """Close an attempt in the local ledger and at the other record holders.

        Record holders that cannot be reached are skipped.
        """
        closed = self._context.ledger.close_attempt(record, answer)
        for incarnation in sorted(other_record_holders(self._context, record.order_id)):
            try:
                await self._witnesses.send(incarnation, [closed])
            except SassafraskeelError:
                continue  # That host keeps the intent and reports the order as unknown.

    def _answer_from_record(self, order: Order, record: OrderRecord | None) -> Answer:
        if record is not None and record.fingerprint != order.fingerprint:
            raise unknown_outcome_refusal(
                Reason.ORDER_MISMATCH, "the key was used for another order"
            )
        if record is None or record.state is AttemptState.CANCELLED:
            raise self._refusal(
                order, Reason.ORDER_IN_PROGRESS, "an attempt has just failed"
            )
        if record.state is not AttemptState.RESULT:
            detail = "the order was sent and its result is not known"
            raise unknown_outcome_refusal(Reason.ORDER_RESULT_UNKNOWN, detail)
        if not record.answer.body_stored:
            detail = "the order ran; its answer was too large to keep"
            raise unknown_outcome_refusal(Reason.ORDER_RESULT_UNKNOWN, detail)
        answer = record.answer
        return BufferedAnswer(ResponseHead(answer.status, answer.headers), answer.body)

    def _refusal(self, order: Order, reason: Reason, detail: str) -> Refusal:
        now = self._clock.monotonic()
        return refusal_for(self._context, order.id, reason, detail, now)
