"""The state of this host in the view of its failure domain.

`ViewState` decides whether this host may dispatch orders and which step it takes next
to change the view. All times are readings of the local monotonic clock in seconds.
"""

from datetime import datetime
from enum import Enum
from typing import NamedTuple

from sassafraskeel.core.settings import OrderSection
from sassafraskeel.decisions.views import (
    View,
    ViewMember,
    abandon,
    activate,
    agree,
    first_view,
    propose,
    republish,
)

# The removal of a member is proposed after this time without an answer.
DEAD_SECONDS = 10.0
# A proposed change may be abandoned after this time.
ABANDON_SECONDS = 10.0
# A host that has not checked its peers for this long was paused itself, so that
# missing answers do not show that the peers are dead.
PAUSE_SECONDS = 3.0


class StepKind(Enum):
    """What this host does next about the view record.

    AGREE hands the order records over before it writes. EXIT means that this host was
    removed and has to continue as a new incarnation.
    """

    WRITE = "write"
    AGREE = "agree"
    EXIT = "exit"


class Step(NamedTuple):
    """The next step; WRITE and AGREE write `view` by compare-and-swap."""

    kind: StepKind
    view: View


class ViewState:
    """The latest view known to this host, and what confirms that it is in force.

    A promise is a member's assurance not to agree to the removal of this host, valid
    for the time in the setting `promise`. The view is confirmed by promises of the
    other members and by reads of the platform.
    """

    def __init__(
        self, cfg: OrderSection, local_member: ViewMember, view: View | None = None
    ):
        self._cfg = cfg
        self._epoch = 0
        self._reset(local_member, view)
        self._promise = cfg.promise.total_seconds()
        self._removal_wait = (cfg.promise + cfg.margin).total_seconds()
        self.leaving = False

    def _reset(self, local_member: ViewMember, view: View | None) -> None:
        self.local_member = local_member
        self.view = view
        self._was_member = False
        self._frozen_change = ""
        self._agreed_change = ""
        self._change_seen = ("", 0, 0.0)
        self._promises_received: dict[str, float] = {}
        self._promises_given: dict[str, float] = {}
        self._last_heard: dict[str, float] = {}
        self._replaced_at: dict[str, float] = {}
        self._proven_dead: set[str] = set()
        self._read_at: float | None = None
        self._read_number = 0
        self._reads_since = 0.0
        self._reads_trusted = False
        self._planned_at: float | None = None

    def restart(self, incarnation: str) -> None:
        """Continue as a new incarnation after a removal; keep only the view."""
        self._reset(self.local_member._replace(incarnation=incarnation), self.view)

    @property
    def number(self) -> int:
        """Return the number of the latest known view, 0 if there is none."""
        return self.view.number if self.view else 0

    @property
    def is_member(self) -> bool:
        """Return whether this incarnation of the host is in the view."""
        return self.view is not None and self.local_member.incarnation in (
            self.view.incarnations()
        )

    @property
    def frozen(self) -> bool:
        """Return whether a proposed change stops new intents and dispatches."""
        return bool(self._frozen_change)

    def may_dispatch(self, number: int, now: float) -> bool:
        """Return whether the first byte of an order of view `number` may be sent."""
        return number == self.number and not self.frozen and self.has_authority(now)

    def has_authority(self, now: float) -> bool:
        """Return whether no later view without this host can be in force."""
        if not self.is_member or self._read_at is None:
            return False
        if now - self._read_at >= self._cfg.orphan_grace.total_seconds():
            return False
        return all(
            self._is_confirmed(member.incarnation, now)
            for member in self.view.members
            if member.incarnation != self.local_member.incarnation
        )

    def can_prove_not_run(self, now: float) -> bool:
        """Return whether an order without a record here has certainly not run."""
        return not self._agreed_change and self.has_authority(now)

    def _is_confirmed(self, incarnation: str, now: float) -> bool:
        """Return whether the view is confirmed with regard to one member."""
        if incarnation in self._proven_dead:
            return True
        sent_at = self._promises_received.get(incarnation)
        if sent_at is not None and now < sent_at + self._promise:
            return True
        settled = self._reads_trusted or now >= self._reads_since + self._removal_wait
        fresh = now < self._read_at + self._promise
        return settled and fresh and self._read_number == self.number

    def record_epoch(self, epoch: int) -> None:
        """Record the epoch of the store that answered a read."""
        is_restored = 0 < self._epoch < epoch
        self._epoch = max(self._epoch, epoch)
        if is_restored:
            # Members may have confirmed their view by the restored store, which may
            # lack the proposed change, so the wait before its activation starts again.
            self._change_seen = ("", 0, 0.0)

    def record_platform_read(
        self, view: View | None, sent_at: float, now: float
    ) -> None:
        """Record the view that the platform returned to a read sent at `sent_at`."""
        if view is None or view.number < self.number:
            return  # A platform restored to an older state confirms nothing.
        if view.number == self.number and self._lacks_agreed_change(view):
            return
        had_proof = self.can_prove_not_run(now)
        self.update_view(view, now)
        if not self.is_member or view.removes(self.local_member.incarnation):
            return
        if self._read_at is None or sent_at >= self._read_at + self._promise:
            self._reads_since = sent_at
            self._reads_trusted = False
        # When this host had lost its authority, a restored platform may return a view
        # that has been replaced since. The members of the newer view need time to
        # publish it again.
        self._reads_trusted = self._reads_trusted or had_proof
        self._read_at = sent_at
        self._read_number = view.number
        for incarnation, proven_at in self._replaced_at.items():
            if sent_at > proven_at:
                self._proven_dead.add(incarnation)

    def update_view(self, view: View, now: float) -> None:
        """Store a view of the platform or of a peer unless it is outdated."""
        if view.number < self.number or (
            view.number == self.number and self._lacks_agreed_change(view)
        ):
            return
        if view.number > self.number:
            self._frozen_change = self._agreed_change = ""
            self._promises_received.clear()
        elif self._frozen_change in view.abandoned or (
            not self._agreed_change and not _proposes(view, self._frozen_change)
        ):
            self._frozen_change = self._agreed_change = ""
        self.view = view
        self._was_member = self._was_member or self.is_member
        change = (view.next.id, view.next.round) if view.next else ("", 0)
        if self._change_seen[:2] != change:
            self._change_seen = (*change, now)
        self._drop_non_members()
        for incarnation in view.incarnations():
            self._last_heard.setdefault(incarnation, now)

    def _drop_non_members(self) -> None:
        members = set(self.view.incarnations())
        if self.view.next is not None:
            members.add(self.view.next.proposed_by)
        for table in (self._last_heard, self._promises_given, self._replaced_at):
            for incarnation in set(table) - members:
                del table[incarnation]
        self._proven_dead &= members

    def _lacks_agreed_change(self, view: View) -> bool:
        """Return whether a view omits the change that this host agreed to.

        A change that the view lists as abandoned does not count.
        """
        if not self._agreed_change or self._agreed_change in view.abandoned:
            return False
        return not _proposes(view, self._agreed_change)

    def record_heartbeat_answer(
        self, peer: ViewMember, number: int, promised: bool, sent_at: float, now: float
    ) -> None:
        """Record the answer to a heartbeat that was sent at `sent_at`.

        `number` is the number of the peer's view; `promised` tells whether the peer
        promises not to agree to the removal of this host.
        """
        if peer.incarnation in self._last_heard:
            self._last_heard[peer.incarnation] = now
        if promised and number == self.number:
            self._promises_received[peer.incarnation] = sent_at
        for member in self.view.members if self.view else ():
            if member.address != peer.address or member == peer:
                continue
            if member.incarnation == peer.incarnation:
                continue
            # Another incarnation listens at the address of this member, which has
            # therefore stopped. If its promise still holds, it cannot have agreed to
            # the removal of this host; otherwise only a later read of the platform
            # can show that.
            self._replaced_at.setdefault(member.incarnation, now)
            promised_at = self._promises_received.get(member.incarnation)
            if promised_at is not None and now < promised_at + self._promise:
                self._proven_dead.add(member.incarnation)

    def give_promise(self, peer: str, number: int, now: float) -> bool:
        """Return whether this host promises a peer not to agree to its removal.

        The promise is recorded; `number` is the number of the peer's view.
        """
        if peer in self._last_heard:
            self._last_heard[peer] = now
        if number != self.number or not self.is_member:
            return False
        if peer not in self.view.incarnations() or self.view.removes(peer):
            return False
        self._promises_given[peer] = now
        return True

    def freeze(self) -> None:
        """Stop new intents and dispatches because of the proposed change."""
        self._frozen_change = self.view.next.id

    def mark_agreed(self) -> None:
        """Record an agreement that is about to be written; it cannot be withdrawn."""
        self._agreed_change = self._frozen_change

    def plan(
        self, current: View | None, now: float, wall_time: datetime
    ) -> Step | None:
        """Return the next step for the platform's record `current`, if there is one."""
        if self._planned_at is not None and now - self._planned_at > PAUSE_SECONDS:
            self._last_heard = dict.fromkeys(self._last_heard, now)
        self._planned_at = now
        if current is None and self.view is None:
            if self.leaving:
                return None
            return Step(
                StepKind.WRITE, first_view(self.local_member, wall_time, self._cfg)
            )
        if current is None or current.number < self.number:
            return Step(StepKind.WRITE, self._republished())
        if current.number == self.number and self._lacks_agreed_change(current):
            if current.next is not None:
                return None
            return Step(StepKind.WRITE, self._republished())
        if self._was_member and not self.is_member:
            return None if self.leaving else Step(StepKind.EXIT, current)
        if current.next is not None:
            return self._plan_change(current, now, wall_time)
        desired = self._desired_members(current, now)
        if desired == current.members:
            return None
        change_id = (
            f"{self.local_member.incarnation}-{current.number}-{len(current.abandoned)}"
        )
        change_id = f"{change_id}-{now:.6f}"
        proposed_by = self.local_member.incarnation
        return Step(StepKind.WRITE, propose(current, desired, proposed_by, change_id))

    def _republished(self) -> View:
        return republish(self.view, self.local_member.incarnation, self._agreed_change)

    def _plan_change(self, view: View, now: float, wall_time: datetime) -> Step | None:
        local_incarnation = self.local_member.incarnation
        if (
            local_incarnation in view.incarnations()
            and local_incarnation not in view.next.agreed
        ):
            if self._may_agree(view, now):
                return Step(StepKind.AGREE, agree(view, local_incarnation))
        elif self._may_activate(view, now):
            return Step(StepKind.WRITE, activate(view, wall_time, self._cfg))
        seen_seconds = now - self._change_seen[2]
        proposer_unreachable = self._is_unreachable(view.next.proposed_by, now)
        if seen_seconds >= ABANDON_SECONDS and (
            view.remaining() or proposer_unreachable
        ):
            return Step(StepKind.WRITE, abandon(view))
        return None

    def _may_agree(self, view: View, now: float) -> bool:
        return all(
            now
            >= self._promises_given.get(incarnation, now - self._promise)
            + self._promise
            for incarnation in view.removed()
            if incarnation != self.local_member.incarnation
        )

    def _may_activate(self, view: View, now: float) -> bool:
        remaining = view.remaining()
        if not remaining <= set(view.next.agreed):
            return False
        joining = {member.incarnation for member in view.next.members}
        if self.local_member.incarnation not in (
            remaining or joining or view.removed()
        ):
            return False
        not_agreed = view.removed() - set(view.next.agreed)
        if not not_agreed:
            return True
        wait = self._removal_wait
        if not remaining and not self._are_replaced(view, not_agreed):
            wait = self._cfg.orphan_grace.total_seconds() + self._removal_wait
        return now >= self._change_seen[2] + wait

    def _are_replaced(self, view: View, not_agreed: set[str]) -> bool:
        """Return whether all members that did not agree were replaced.

        A member is replaced if another incarnation listens at its address.
        """
        current = set(view.incarnations())
        bound_addresses = {
            added.address
            for added in view.next.members
            if added.incarnation not in current
        }
        return all(
            member.address in bound_addresses or member.incarnation in self._replaced_at
            for member in view.members
            if member.incarnation in not_agreed
        )

    def _desired_members(self, view: View, now: float) -> tuple[ViewMember, ...]:
        local_member = self.local_member
        desired = tuple(
            member
            for member in view.members
            if member.incarnation == local_member.incarnation
            or (
                member.address != local_member.address
                and not self._is_unreachable(member.incarnation, now)
            )
        )
        if self.leaving:
            if local_member.incarnation not in view.incarnations():
                return view.members
            return tuple(member for member in desired if member != local_member)
        return desired if local_member in desired else (*desired, local_member)

    def _is_unreachable(self, incarnation: str, now: float) -> bool:
        if incarnation == self.local_member.incarnation:
            return False
        if incarnation in self._replaced_at:
            return True
        return now - self._last_heard.setdefault(incarnation, now) >= DEAD_SECONDS


def _proposes(view: View, change_id: str) -> bool:
    return view.next is not None and view.next.id == change_id
