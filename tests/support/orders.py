"""Simulated hosts that run the order decisions, with a simulated platform and links."""

import json
import uuid
from collections import Counter
from datetime import UTC, datetime, timedelta

from sassafraskeel.core.errors import Outcome, Reason, Refusal, unknown_outcome_refusal
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.decisions import orders
from sassafraskeel.decisions.ledger import AttemptState, Ledger, StoredAnswer
from sassafraskeel.decisions.ownership import check_date, parse_order_id
from sassafraskeel.decisions.view_state import StepKind, ViewState
from sassafraskeel.decisions.views import ViewMember, from_json, to_json
from sassafraskeel.store.key_value import Revision

START = datetime(2026, 1, 5, 6, 0, tzinfo=UTC)
TICK = 0.5
ANSWER = StoredAnswer(201, (), b"done")


def order_id(date: datetime, number: int) -> str:
    """Return a UUIDv7 with a date and a number."""
    milliseconds = int(date.timestamp() * 1000)
    value = milliseconds << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


class SimHost:
    """An incarnation of a host; `offset` is the error of its wall clock in seconds."""

    def __init__(self, sim, slot, offset):
        self.sim = sim
        self.slot = slot
        self.offset = offset
        self.paused = False
        self.alive = True
        self.pending_write = None
        self.pruned_view = 0
        local_member = ViewMember(f"host-{slot}", sim.new_run(), f"{slot}")
        self.context = orders.OrderContext(
            ViewState(sim.cfg, local_member), Ledger(sim.cfg)
        )

    @property
    def local_member(self):
        return self.context.view_state.local_member

    @property
    def active(self):
        return self.alive and not self.paused

    def wall_time(self):
        return START + timedelta(seconds=self.sim.now + self.offset)

    def poll(self):
        """Read the platform and take the next step, or finish a prepared write."""
        sim, view_state = self.sim, self.context.view_state
        if self.pending_write is not None:
            self.finish_write()
            return
        if not sim.reaches_platform(self):
            return
        current, revision = from_json(json.loads(sim.value)), sim.revision
        view_state.record_epoch(revision.epoch)
        if current is not None:
            view_state.record_platform_read(current, sim.now, sim.now)
        if view_state.number != self.pruned_view and orders.drop_unassigned_records(
            self.context
        ):
            self.pruned_view = view_state.number
        step = view_state.plan(current, sim.now, self.wall_time())
        if step is None:
            return
        if step.kind is StepKind.EXIT:
            view_state.restart(sim.new_run())
            self.context.ledger.clear()
            return
        if step.kind is StepKind.AGREE and not self.hand_over():
            return
        self.pending_write = (step.view, revision)

    def finish_write(self):
        view, revision = self.pending_write
        self.pending_write = None
        if self.sim.reaches_platform(self):
            self.sim.swap(to_json(view), revision)

    def hand_over(self):
        """Freeze and hand records over; return whether all members received theirs."""
        view_state = self.context.view_state
        view_state.freeze()
        for holder, batch in orders.records_to_hand_over(self.context).items():
            peer = self.sim.find_host(holder)
            if peer is None or not self.sim.linked(self, peer):
                return False
            for record in batch:
                peer.context.ledger.merge(record)
        view_state.mark_agreed()
        return True

    def ping(self, peer):
        """Send a heartbeat unless the link is cut or a host is not active."""
        sim, view_state = self.sim, self.context.view_state
        if not sim.linked(self, peer):
            return
        other = peer.context.view_state
        promised = other.give_promise(
            self.local_member.incarnation, view_state.number, sim.now
        )
        view_state.record_heartbeat_answer(
            peer.local_member, other.number, promised, sim.now, sim.now
        )
        if other.number > view_state.number:
            view_state.update_view(other.view, sim.now)


class SimAttempt:
    """An attempt at the owner, from the look-up of the order to its result."""

    def __init__(self, host, order, fingerprint):
        self.host = host
        self.order = order
        self.context = host.context
        self.view_state = host.context.view_state
        self.view = self.view_state.view
        self.witnessed = False
        self.record = self.context.ledger.begin_attempt(
            order.text, fingerprint, self.view.number, host.sim.now
        )

    def step(self, lose_answer=False, refused=False):
        """Take the next step; return whether the attempt continues."""
        if not self.host.alive:
            return False
        if self.host.paused:
            return True
        if self.record.state is AttemptState.RUNNING:
            self._close(ANSWER)
            return False
        if not self.witnessed:
            return self._ask_witness(lose_answer)
        return self._dispatch(refused)

    def _ask_witness(self, lose_answer):
        sim, local_incarnation = self.host.sim, self.host.local_member.incarnation
        holder = self.view.record_holders(self.order.text)[1]
        witness = sim.find_host(holder) if holder else None
        if holder:
            if witness is None or not sim.linked(self.host, witness):
                return self._abort()
            try:
                other = orders.witness_intent(
                    witness.context, local_incarnation, self.record, sim.now
                )
            except Refusal:
                return self._abort()
            if other is not None:
                self.context.ledger.overwrite(other)
                return False
            if lose_answer:
                return self._abort()
        self.witnessed = True
        return True

    def _dispatch(self, refused):
        sim = self.host.sim
        may = self.view_state.may_dispatch(self.view.number, sim.now)
        if not may or not self.context.ledger.mark_dispatched(self.record):
            return self._abort()
        self.record = self.record._replace(state=AttemptState.RUNNING)
        if refused:
            self._close(None)
            return False
        sim.execute(self.order)
        return True

    def _abort(self):
        self.context.ledger.close_attempt(self.record, None)
        reason = Reason.WITNESS_UNREACHABLE
        refusal = orders.refusal_for(
            self.context, self.order, reason, "", self.host.sim.now
        )
        self.host.sim.check(self.order, refusal)
        return False

    def _close(self, answer):
        closed = self.context.ledger.close_attempt(self.record, answer)
        for holder in orders.other_record_holders(self.context, self.order.text):
            peer = self.host.sim.find_host(holder)
            if peer is not None and self.host.sim.linked(self.host, peer):
                peer.context.ledger.merge(closed)


class Simulation:
    """A platform and hosts; a slot is an address with at most one live incarnation."""

    def __init__(self, slots=4):
        self.cfg = OrderSection()
        self.now = 1000.0
        self.value, self.revision = "null", Revision(1, 0)
        self.history = [("null", 0)]
        self.runs = 0
        self.hosts = [None] * slots
        self.cuts = set()
        self.cut_platform = set()
        self.down = False
        self.attempts = []
        self.ids = []
        self.executions = Counter()

    def new_run(self):
        """Return a new incarnation."""
        self.runs += 1
        return f"run-{self.runs}"

    def start(self, slot, offset=0.0):
        """Start a host at a free address."""
        if self.hosts[slot] is None:
            self.hosts[slot] = SimHost(self, slot, offset)

    def kill(self, slot):
        """Stop the host at an address without a drain."""
        if self.hosts[slot] is not None:
            self.hosts[slot].alive = False
            self.hosts[slot] = None

    def alive(self):
        """Return the running hosts."""
        return [host for host in self.hosts if host is not None and host.active]

    def find_host(self, incarnation):
        """Return the host of an incarnation, or None if it is not alive."""
        for host in self.hosts:
            if host is not None and host.local_member.incarnation == incarnation:
                return host
        return None

    def linked(self, host, peer):
        """Return whether messages pass between two hosts."""
        cut = frozenset((host.slot, peer.slot)) in self.cuts
        return host.active and peer.active and not cut

    def reaches_platform(self, host):
        """Return whether a host reaches the platform."""
        return not self.down and host.active and host.slot not in self.cut_platform

    def swap(self, value, revision):
        """Write the platform's value by compare-and-swap."""
        if revision == self.revision:
            self.value = json.dumps(value)
            self.revision = revision._replace(number=revision.number + 1)
            self.history.append((self.value, self.revision.number))

    def restore(self, back):
        """Restore the platform to the state of `back` writes ago in a new epoch."""
        self.value, number = self.history[max(0, len(self.history) - 1 - back)]
        self.revision = Revision(self.revision.epoch + 1, number)
        self.history.append((self.value, number))

    def partition(self, group, platform):
        """Cut the links between a group of slots and the others.

        `platform` selects the slots that reach the platform: those "in" the group,
        those "out" of it, or "both".
        """
        everyone = range(len(self.hosts))
        self.cuts = {
            frozenset((a, b)) for a in group for b in everyone if b not in group
        }
        self.cut_platform = {s for s in everyone if (s in group) == (platform == "out")}
        if platform == "both":
            self.cut_platform = set()

    def heal(self):
        """End all cuts, outages and pauses."""
        self.cuts, self.cut_platform, self.down = set(), set(), False
        for host in self.hosts:
            if host is not None:
                host.paused = False

    def tick(self, seconds):
        """Advance the time; all active hosts send heartbeats and poll the platform."""
        for _ in range(int(seconds / TICK)):
            self.now += TICK
            for host in self.alive():
                for peer in self.alive():
                    if peer is not host:
                        host.ping(peer)
                host.poll()

    def new_id(self, ahead=0.0):
        """Return a new order id dated `ahead` seconds from now."""
        date = START + timedelta(seconds=self.now + ahead)
        self.ids.append(order_id(date, len(self.ids) + 1))
        return self.ids[-1]

    def submit(self, host, text):
        """Send an order to a host; return "answered", "started" or the refusal."""
        order = parse_order_id(text)
        try:
            check_date(order, host.wall_time(), self.cfg)
            return self._route(host, order)
        except Refusal as refusal:
            self.check(order, refusal)
            return refusal

    def _route(self, host, order):
        view = host.context.view_state.view
        owner, witness = view.record_holders(order.text) if view else ("", "")
        run = self.find_host(owner)
        if run is not None and (run is host or self.linked(host, run)):
            return self._run_as_owner(run, order)
        run = self.find_host(witness)
        if run is not None and (run is host or self.linked(host, run)):
            orders.look_up_as_witness(run.context, order, b"", self.now)
            return "answered"
        raise unknown_outcome_refusal(Reason.OWNER_UNREACHABLE)

    def _run_as_owner(self, host, order):
        view = host.context.view_state.view
        if (
            view is None
            or view.record_holders(order.text)[0] != host.local_member.incarnation
        ):
            raise unknown_outcome_refusal(Reason.VIEW_CHANGING)
        record = orders.look_up(host.context, order, b"", self.now)
        if record is not None:
            if record.state is not AttemptState.RESULT:
                raise unknown_outcome_refusal(Reason.ORDER_RESULT_UNKNOWN)
            assert self.executions[order.text] == 1, "a result without an execution"
            return "answered"
        if host.context.view_state.frozen:
            reason = Reason.VIEW_CHANGING
            raise orders.refusal_for(host.context, order, reason, "", self.now)
        self.attempts.append(SimAttempt(host, order, b""))
        return "started"

    def step_attempt(self, number, **faults):
        """Take the next step of one attempt."""
        if self.attempts:
            attempt = self.attempts[number % len(self.attempts)]
            if not attempt.step(**faults):
                self.attempts.remove(attempt)

    def finish_attempts(self):
        """Take the remaining steps of all attempts of active hosts."""
        for _ in range(4):
            for attempt in list(self.attempts):
                if not attempt.step():
                    self.attempts.remove(attempt)

    def execute(self, order):
        """Count an execution; fail if the order has run before."""
        self.executions[order.text] += 1
        assert self.executions[order.text] <= 1, f"{order.text} ran twice"

    def check(self, order, refusal):
        """Check that an order refused as "not run" has not run."""
        if refusal.outcome is Outcome.NOT_RUN:
            assert self.executions[order.text] == 0, f"{refusal} of an order that ran"

    def serves_orders(self):
        """Return whether every active host runs a new order and repeats its answer."""
        for host in self.alive():
            text = self.new_id()
            if self.submit(host, text) != "started":
                return False
            self.finish_attempts()
            if self.executions[text] != 1 or self.submit(host, text) != "answered":
                return False
        return bool(self.alive())
