"""Tests each wait and each check of a view change separately.

test_orders_machine detects orders that run twice. It does not detect that a single
check is missing, since several checks protect against the same fault.
"""

from datetime import UTC, datetime
from unittest import TestCase

from sassafraskeel.core.errors import Refusal
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.decisions.ledger import Attempt, AttemptState, Ledger, OrderRecord
from sassafraskeel.decisions.orders import OrderContext, witness_intent
from sassafraskeel.decisions.view_state import StepKind, ViewState
from sassafraskeel.decisions.views import View, ViewMember, agree, propose
from tests.support.orders import order_id

WALL_TIME = datetime(2026, 1, 5, tzinfo=UTC)
CFG = OrderSection()
PROMISE = CFG.promise.total_seconds()
REMOVAL_WAIT = PROMISE + CFG.margin.total_seconds()
LOCAL = ViewMember("host-a", "run-a", "127.0.0.1:1")
PEER = ViewMember("host-b", "run-b", "127.0.0.1:2")
THIRD = ViewMember("host-c", "run-c", "127.0.0.1:3")
TICK = 0.25


def view_state_of(*members):
    """Return the view state of LOCAL, which has just read a view of some members."""
    view_state = ViewState(CFG, LOCAL)
    view_state.record_platform_read(View(7, members), 0.0, 0.0)
    view_state.plan(View(7, members), 0.0, WALL_TIME)
    return view_state


def first_step(view_state, record, kind, start, end):
    """Return when `plan` first asks for a step of a kind, None if never."""
    now = start
    while now < end:
        view_state.record_platform_read(record, now, now)
        step = view_state.plan(record, now, WALL_TIME)
        if step is not None and step.kind is kind:
            return now
        now += TICK
    return None


class ViewStateTest(TestCase):
    def test_agreement_waits_for_the_promise(self):
        """Guards against agreeing to a removal while a promise not to agree holds."""
        view_state = view_state_of(LOCAL, PEER)
        record = propose(View(7, (LOCAL, PEER)), (LOCAL,), LOCAL.incarnation, "change")
        self.assertTrue(view_state.give_promise(PEER.incarnation, 7, 1.0))
        agreed_at = first_step(view_state, record, StepKind.AGREE, 1.0, 20.0)
        self.assertEqual(agreed_at, 1.0 + PROMISE)

    def test_no_promise_during_a_removal(self):
        """Guards against a promise to a host whose removal is proposed."""
        view_state = view_state_of(LOCAL, PEER)
        record = propose(View(7, (LOCAL, PEER)), (LOCAL,), LOCAL.incarnation, "change")
        view_state.record_platform_read(record, 1.0, 1.0)
        self.assertFalse(view_state.give_promise(PEER.incarnation, 7, 1.0))

    def test_activation_waits_for_unreachable_members(self):
        """Guards against activating a view while a removed host may still dispatch."""
        view_state = view_state_of(LOCAL, PEER)
        record = propose(View(7, (LOCAL, PEER)), (LOCAL,), LOCAL.incarnation, "change")
        record = agree(record, LOCAL.incarnation)
        activated_at = first_step(view_state, record, StepKind.WRITE, 1.0, 20.0)
        self.assertEqual(activated_at, 1.0 + REMOVAL_WAIT)

    def test_activation_without_remaining_members(self):
        """Guards against a new host that replaces members which may be cut off."""
        newcomer = ViewState(CFG, THIRD)
        record = propose(View(7, (LOCAL, PEER)), (THIRD,), THIRD.incarnation, "change")
        grace = CFG.orphan_grace.total_seconds() + REMOVAL_WAIT
        newcomer.record_platform_read(record, 1.0, 1.0)
        activated_at = first_step(
            newcomer, record, StepKind.WRITE, grace - 30.0, grace + 30.0
        )
        self.assertEqual(activated_at, 1.0 + grace)

    def test_frozen_member_does_not_dispatch(self):
        """Guards against a dispatch after the records were handed over."""
        view_state = view_state_of(LOCAL)
        self.assertTrue(view_state.may_dispatch(7, 0.5))
        record = propose(View(7, (LOCAL,)), (LOCAL, PEER), PEER.incarnation, "change")
        view_state.record_platform_read(record, 0.5, 0.5)
        view_state.freeze()
        self.assertFalse(view_state.may_dispatch(7, 0.5))

    def test_authority_needs_every_member(self):
        """Guards against authority without a promise of every other member."""
        view_state = view_state_of(LOCAL, PEER, THIRD)
        now = 100.0  # The first read of the platform is too old to confirm.
        view_state.record_heartbeat_answer(PEER, 7, True, now, now)
        self.assertFalse(view_state.has_authority(now))
        view_state.record_heartbeat_answer(THIRD, 7, True, now, now)
        self.assertTrue(view_state.has_authority(now))
        self.assertFalse(view_state.has_authority(now + PROMISE))
        view_state.record_heartbeat_answer(PEER, 7, True, now + 1, now + 1)
        view_state.record_heartbeat_answer(THIRD, 8, True, now + 1, now + 1)
        self.assertFalse(view_state.has_authority(now + PROMISE))

    def test_proof_of_death_needs_a_promise(self):
        """Guards against trust in the death of a member that may have agreed.

        A member whose promise had expired may have agreed to the removal of LOCAL
        before another incarnation took its address.
        """
        for silent_for, expected in ((PROMISE - TICK, True), (PROMISE + TICK, False)):
            view_state = view_state_of(LOCAL, PEER)
            now = 100.0
            view_state.record_heartbeat_answer(PEER, 7, True, now, now)
            later = now + silent_for
            replacement = PEER._replace(incarnation="run-b2")
            view_state.record_heartbeat_answer(replacement, 0, False, later, later)
            self.assertEqual(view_state.has_authority(later + PROMISE), expected)

    def test_witness_of_another_view(self):
        """Guards against accepting an intent that the owner of an older view sends."""
        view_state = view_state_of(LOCAL, PEER)
        context = OrderContext(view_state, Ledger(CFG))
        numbers = (number for number in range(1, 100))
        holders = (PEER.incarnation, LOCAL.incarnation)
        text = next(
            text
            for text in (order_id(WALL_TIME, number) for number in numbers)
            if view_state.view.record_holders(text) == holders
        )
        old = OrderRecord(text, b"print", Attempt(6, 1), AttemptState.INTENT, 0.0)
        with self.assertRaises(Refusal):
            witness_intent(context, PEER.incarnation, old, 0.5)
        current = old._replace(attempt=Attempt(7, 1))
        self.assertIsNone(witness_intent(context, PEER.incarnation, current, 0.5))
        with self.assertRaises(Refusal):
            witness_intent(context, THIRD.incarnation, current, 0.5)
