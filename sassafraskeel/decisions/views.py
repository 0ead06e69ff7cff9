"""The view of a failure domain and the changes that may be made to it.

A view is the numbered list of the members that own and witness the at-most-once orders
of the domain. The platform holds it as the record `views/<domain>`.
"""

from datetime import datetime
from typing import NamedTuple

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.decisions.ownership import OrderId, owner_and_witness

MAX_ABANDONED = 16


class ViewMember(NamedTuple):
    """An incarnation of a host; `address` is that of its gateway listener."""

    host: str
    incarnation: str
    address: str


class ProposedView(NamedTuple):
    """A proposed change of the members.

    `agreed` are the incarnations that have handed their order records over. `round`
    increases when the change is written again after a restore of the platform, which
    restarts the wait before the activation.
    """

    id: str
    members: tuple[ViewMember, ...]
    proposed_by: str
    agreed: tuple[str, ...] = ()
    round: int = 0


class LostRecords(NamedTuple):
    """Order records that were lost with removed members.

    `members` and `removed` are incarnations. An order is affected if its id is dated
    before `before` (Unix time) and all its record holders among `members` are in
    `removed`. Without members, every id of such a date is affected.
    """

    members: tuple[str, ...]
    removed: tuple[str, ...]
    before: float


class View(NamedTuple):
    """The record `views/<domain>`.

    `abandoned` are the ids of the latest abandoned changes. A member that agreed to a
    change resumes work only when the change is listed here. A change may also be
    missing because it was activated and the platform was then restored from a backup.
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
        """Return the incarnations of the members that stay in the proposed view."""
        kept = {member.incarnation for member in self.next.members}
        return kept & set(self.incarnations())

    def removed(self) -> set[str]:
        """Return the incarnations of the members that the proposed view removes."""
        return set(self.incarnations()) - self.remaining()

    def removes(self, incarnation: str) -> bool:
        """Return whether a proposed change removes an incarnation."""
        return self.next is not None and incarnation in self.removed()

    def proposed_view(self) -> "View":
        """Return the view that follows if the proposed change is activated."""
        return View(self.number + 1, self.next.members)

    def record_holders(self, order_id: str) -> tuple[str, str]:
        """Return the incarnations of the owner and the witness of an order id.

        The incarnation is "" where there is none.
        """
        return owner_and_witness(order_id, self.incarnations())

    def may_have_lost(self, order: OrderId) -> bool:
        """Return whether the records of an order may have been lost."""
        return any(_covers(entry, order) for entry in self.lost)


def _covers(entry: LostRecords, order: OrderId) -> bool:
    if order.issued_at.timestamp() >= entry.before:
        return False
    if not entry.members:
        return True
    holders = owner_and_witness(order.text, entry.members)
    return all(holder in entry.removed for holder in holders if holder)


def lost_records_cutoff(now: datetime, cfg: OrderSection) -> float:
    """Return the Unix time before which all ids accepted by a lost host are dated.

    One skew is the time by which an id may be dated in the future, the other one is the
    difference between the clocks of the lost host and of this host.
    """
    return (now + 2 * cfg.clock_skew).timestamp()


def first_view(local_member: ViewMember, now: datetime, cfg: OrderSection) -> View:
    """Return the view for a platform that holds none.

    The platform may have lost an earlier record, so that the order records of all
    earlier ids count as lost.
    """
    return View(
        1, (local_member,), lost=(LostRecords((), (), lost_records_cutoff(now, cfg)),)
    )


def propose(
    view: View, members: tuple[ViewMember, ...], proposed_by: str, change_id: str
) -> View:
    """Return the view with a proposed change; none may be in progress."""
    return view._replace(next=ProposedView(change_id, members, proposed_by))


def agree(view: View, incarnation: str) -> View:
    """Return the view with a member's agreement to the proposed change."""
    agreed = tuple(sorted({*view.next.agreed, incarnation}))
    return view._replace(next=view.next._replace(agreed=agreed))


def republish(view: View, incarnation: str, agreed_change: str) -> View:
    """Return the record with which a host replaces an older one on the platform.

    The other hosts may no longer take part in the proposed change, so that only the
    agreement of `incarnation` is kept.
    """
    if view.next is None or view.next.id != agreed_change:
        return view._replace(next=None)
    next_round = view.next.round + 1
    return view._replace(
        next=view.next._replace(agreed=(incarnation,), round=next_round)
    )


def abandon(view: View) -> View:
    """Return the view with the proposed change listed as abandoned."""
    abandoned = (*view.abandoned, view.next.id)[-MAX_ABANDONED:]
    return view._replace(next=None, abandoned=abandoned)


def activate(view: View, now: datetime, cfg: OrderSection) -> View:
    """Return the view that puts the proposed change in force."""
    retention = cfg.lifetime + 2 * cfg.clock_skew
    lost = [
        entry
        for entry in view.lost
        if entry.before + retention.total_seconds() > now.timestamp()
    ]
    not_agreed = view.removed() - set(view.next.agreed)
    if not view.next.members:
        not_agreed = view.removed()  # The last member had no one to hand over to.
    # If one of several members is lost, the owner or the witness of each order remains.
    if len(not_agreed) >= min(2, len(view.members)):
        removed = tuple(sorted(not_agreed))
        lost.append(
            LostRecords(view.incarnations(), removed, lost_records_cutoff(now, cfg))
        )
    return View(view.number + 1, view.next.members, None, tuple(lost), view.abandoned)


def to_json(view: View) -> dict:
    """Return a view as the JSON value that the platform stores."""
    value = view._asdict()
    value["members"] = [member._asdict() for member in view.members]
    value["lost"] = [entry._asdict() for entry in view.lost]
    if view.next is not None:
        value["next"] = view.next._asdict()
        value["next"]["members"] = [item._asdict() for item in view.next.members]
    return value


def from_json(value) -> View | None:
    """Return the view of a JSON value, None for None; raise ProtocolError."""
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
