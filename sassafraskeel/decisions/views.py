"""The view of a failure domain: its record and the changes that may be made to it."""

from datetime import datetime
from typing import NamedTuple

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.decisions.ownership import OrderId, owner_and_witness

MAX_ABANDONED = 16


class ViewMember(NamedTuple):
    """One run of a host as a member; `address` is that of its gateway listener."""

    host: str
    incarnation: str
    address: str


class ProposedView(NamedTuple):
    """A proposed change; `agreed` are the incarnations that handed over.

    `round` increases when the change is written again after a restore, so that the
    wait before its activation starts anew.
    """

    id: str
    members: tuple[ViewMember, ...]
    proposed_by: str
    agreed: tuple[str, ...] = ()
    round: int = 0


class LostRecords(NamedTuple):
    """Records lost with removed members; ids dated before `before` are affected.

    `members` and `removed` are incarnations. Empty members cover every id.
    """

    members: tuple[str, ...]
    removed: tuple[str, ...]
    before: float


class View(NamedTuple):
    """The record `views/<domain>`.

    `abandoned` are the ids of the latest abandoned changes. A member that agreed to
    a change resumes only when the change is listed here: its mere absence also
    arises from a restored backup, after the change was activated.
    """

    number: int
    members: tuple[ViewMember, ...]
    next: ProposedView | None = None
    lost: tuple[LostRecords, ...] = ()
    abandoned: tuple[str, ...] = ()

    def incarnations(self) -> tuple[str, ...]:
        """Return the incarnations of the members."""
        return tuple(member.incarnation for member in self.members)

    def remaining(self) -> set[str]:
        """Return the members that stay in the proposed view."""
        kept = {member.incarnation for member in self.next.members}
        return kept & set(self.incarnations())

    def removed(self) -> set[str]:
        """Return the members that the proposed view leaves out."""
        return set(self.incarnations()) - self.remaining()

    def removes(self, incarnation: str) -> bool:
        """Return whether a proposed change leaves an incarnation out."""
        return self.next is not None and incarnation in self.removed()

    def proposed_view(self) -> "View":
        """Return the proposed view as it would be if activated."""
        return View(self.number + 1, self.next.members)

    def record_holders(self, order_id: str) -> tuple[str, str]:
        """Return the owner and the witness of an order id."""
        return owner_and_witness(order_id, self.incarnations())

    def may_have_lost(self, order: OrderId) -> bool:
        """Return whether the records of an id may have been lost."""
        return any(_covers(entry, order) for entry in self.lost)


def _covers(entry: LostRecords, order: OrderId) -> bool:
    if order.issued_at.timestamp() >= entry.before:
        return False
    if not entry.members:
        return True
    holders = owner_and_witness(order.text, entry.members)
    return all(holder in entry.removed for holder in holders if holder)


def lost_records_cutoff(now: datetime, cfg: OrderSection) -> float:
    """Return the date below which ids may have been accepted by a lost host.

    One skew is the date in the future that an id may carry, the other one the
    difference between the clocks of the lost host and of this one.
    """
    return (now + 2 * cfg.clock_skew).timestamp()


def first_view(local_member: ViewMember, now: datetime, cfg: OrderSection) -> View:
    """Return the view for a platform that holds none.

    The platform's record may itself have been lost, so that all older ids are.
    """
    return View(
        1, (local_member,), lost=(LostRecords((), (), lost_records_cutoff(now, cfg)),)
    )


def propose(
    view: View, members: tuple[ViewMember, ...], proposed_by: str, change_id: str
) -> View:
    """Return a view without a change in progress with a proposed one."""
    return view._replace(next=ProposedView(change_id, members, proposed_by))


def agree(view: View, incarnation: str) -> View:
    """Return the view with the agreement of a member to the proposed change."""
    agreed = tuple(sorted({*view.next.agreed, incarnation}))
    return view._replace(next=view.next._replace(agreed=agreed))


def republish(view: View, incarnation: str, agreed_change: str) -> View:
    """Return the record that a host writes over an older one of the platform.

    Other hosts may have left the change of this host's copy, so that only the own
    agreement is known to stand.
    """
    if view.next is None or view.next.id != agreed_change:
        return view._replace(next=None)
    next_round = view.next.round + 1
    return view._replace(
        next=view.next._replace(agreed=(incarnation,), round=next_round)
    )


def abandon(view: View) -> View:
    """Return the view without the proposed change."""
    abandoned = (*view.abandoned, view.next.id)[-MAX_ABANDONED:]
    return view._replace(next=None, abandoned=abandoned)


def activate(view: View, now: datetime, cfg: OrderSection) -> View:
    """Return the proposed view in force."""
    retention = cfg.lifetime + 2 * cfg.clock_skew
    lost = [
        entry
        for entry in view.lost
        if entry.before + retention.total_seconds() > now.timestamp()
    ]
    unresponsive = view.removed() - set(view.next.agreed)
    if not view.next.members:
        unresponsive = view.removed()  # The last member had nobody to hand over to.
    # One lost host of several leaves each record with its owner or its witness.
    if len(unresponsive) >= min(2, len(view.members)):
        removed = tuple(sorted(unresponsive))
        lost.append(
            LostRecords(view.incarnations(), removed, lost_records_cutoff(now, cfg))
        )
    return View(view.number + 1, view.next.members, None, tuple(lost), view.abandoned)


def to_json(view: View) -> dict:
    """Return a view as the value that the platform holds."""
    value = view._asdict()
    value["members"] = [member._asdict() for member in view.members]
    value["lost"] = [entry._asdict() for entry in view.lost]
    if view.next is not None:
        value["next"] = view.next._asdict()
        value["next"]["members"] = [item._asdict() for item in view.next.members]
    return value


def from_json(value) -> View | None:
    """Return the view of a value, None for no value; raise ProtocolError."""
    if value is None:
        return None
    try:
        proposed = value["next"]
        return View(
            int(value["number"]),
            _members(value["members"]),
            proposed
            and ProposedView(
                str(proposed["id"]),
                _members(proposed["members"]),
                str(proposed["proposed_by"]),
                tuple(map(str, proposed["agreed"])),
                int(proposed["round"]),
            ),
            tuple(
                LostRecords(
                    tuple(entry["members"]),
                    tuple(entry["removed"]),
                    float(entry["before"]),
                )
                for entry in value["lost"]
            ),
            tuple(map(str, value["abandoned"])),
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise ProtocolError(f"a view record is malformed: {exc!r}") from exc


def _members(values) -> tuple[ViewMember, ...]:
    return tuple(
        ViewMember(item["host"], item["incarnation"], item["address"])
        for item in values
    )
