"""Decisions of owners and witnesses about orders, and the handover of their records."""

from typing import NamedTuple

from sassafraskeel.core.errors import (
    Reason,
    Refusal,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.decisions.ledger import AttemptState, Ledger, OrderRecord
from sassafraskeel.decisions.ownership import OrderId
from sassafraskeel.decisions.view_state import ViewState


class OrderContext(NamedTuple):
    """The view state and the order records of this host."""

    view_state: ViewState
    ledger: Ledger


def refusal_for(
    context: OrderContext, order: OrderId, reason: Reason, detail: str, now: float
) -> Refusal:
    """Return the refusal of an order that this host did not dispatch.

    Only the owner and the witness in the view in force can tell that an order has not
    run. Any other host may have been replaced, and the order may have run elsewhere.
    """
    record = context.ledger.find(order.text)
    proved_not_run = (
        context.view_state.can_prove_not_run(now)
        and context.view_state.local_member.incarnation
        in context.view_state.view.record_holders(order.text)
        and not context.view_state.view.may_have_lost(order)
        and (record is None or record.state is AttemptState.CANCELLED)
    )
    return (not_run_refusal if proved_not_run else unknown_outcome_refusal)(
        reason, detail, 1.0
    )


def look_up(
    context: OrderContext, order: OrderId, fingerprint: bytes, now: float
) -> OrderRecord | None:
    """Return the record that answers a call, None if the order has not run.

    The record holds a result or an attempt whose result is not known. Raise Refusal if
    the call differs from the recorded one, if the records of the order were lost, or if
    this host cannot tell whether the order has run.
    """
    record = context.ledger.find(order.text)
    if record is not None:
        if record.fingerprint != fingerprint:
            raise unknown_outcome_refusal(
                Reason.ORDER_MISMATCH, "the key was used for another order"
            )
        if record.state is not AttemptState.CANCELLED:
            return record
    if not context.view_state.can_prove_not_run(now):
        detail = "this host cannot tell whether it is still responsible"
        raise unknown_outcome_refusal(Reason.NO_RIGHT_TO_ACT, detail, 1.0)
    if context.view_state.view.may_have_lost(order):
        raise unknown_outcome_refusal(
            Reason.ORDER_RECORD_LOST, "the records of the key were lost"
        )
    return None


def witness_intent(
    context: OrderContext, owner: str, record: OrderRecord, now: float
) -> OrderRecord | None:
    """Accept an intent as the witness, or return the record that forbids it.

    Raise Refusal if this host is not the witness in the view of the attempt, or if a
    change of the view stops new intents.
    """
    view_state = context.view_state
    if record.attempt.view != view_state.number or view_state.frozen:
        raise not_run_refusal(Reason.VIEW_CHANGING, "the witness has another view", 1.0)
    if view_state.view.record_holders(record.order_id) != (
        owner,
        view_state.local_member.incarnation,
    ):
        raise not_run_refusal(Reason.VIEW_CHANGING, "this host is not the witness", 1.0)
    return context.ledger.accept_intent(record, now)


def other_record_holders(context: OrderContext, order_id: str) -> set[str]:
    """Return the other incarnations that should hold the record of an order."""
    view_state = context.view_state
    views = [view_state.view] if view_state.view else []
    if views and view_state.view.next is not None:
        views.append(view_state.view.proposed_view())
    holders = {holder for view in views for holder in view.record_holders(order_id)}
    return holders - {"", view_state.local_member.incarnation}


def records_to_hand_over(context: OrderContext) -> dict[str, list[OrderRecord]]:
    """Return the records that each member of the proposed view must receive.

    The intents of which this host is the owner are cancelled first, since the change
    stops their dispatch. An intent of an earlier view came from another owner, which
    may have dispatched it.
    """
    view_state = context.view_state
    local_incarnation = view_state.local_member.incarnation
    proposed_view = view_state.view.proposed_view()
    context.ledger.cancel_intents(
        lambda record: (
            record.attempt.view == view_state.number
            and view_state.view.record_holders(record.order_id)[0] == local_incarnation
        )
    )
    batches = {}
    for record in context.ledger.records():
        for holder in set(proposed_view.record_holders(record.order_id)) - {
            "",
            local_incarnation,
        }:
            batches.setdefault(holder, []).append(record)
    return batches


def drop_unassigned_records(context: OrderContext) -> bool:
    """Drop the records of orders that this host neither owns nor witnesses.

    Return False while a change of the view is in progress, which may need them.
    """
    view_state = context.view_state
    if view_state.frozen or view_state.view is None or view_state.view.next is not None:
        return False
    local_incarnation = view_state.local_member.incarnation
    context.ledger.retain(
        lambda order_id: local_incarnation in view_state.view.record_holders(order_id)
    )
    return True


def look_up_as_witness(
    context: OrderContext, order: OrderId, fingerprint: bytes, now: float
) -> OrderRecord:
    """Return the result that this host holds as the witness of an unreachable owner.

    Raise Refusal if there is none. Its outcome is "not run" only if this host is the
    witness and has accepted no intent that is still open.
    """
    view_state = context.view_state
    if not view_state.view or view_state.local_member.incarnation not in (
        view_state.view.record_holders(order.text)
    ):
        raise unknown_outcome_refusal(
            Reason.OWNER_UNREACHABLE, "the owner does not answer", 1.0
        )
    record = look_up(context, order, fingerprint, now)
    if record is None or record.state is not AttemptState.RESULT:
        detail = "the owner does not answer"
        raise refusal_for(context, order, Reason.OWNER_UNREACHABLE, detail, now)
    return record
