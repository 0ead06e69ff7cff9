"""The difference between two sheets and its consequences."""

from datetime import datetime
from typing import NamedTuple

from sassafraskeel.core.errors import HomeMoved, SheetEmpties
from sassafraskeel.sheets.model import ServiceType, Sheet

MAX_REMOVED_SHARE = 0.5
TABLES = ("domains", "services", "workspaces", "upstreams", "links")


class RowChange(NamedTuple):
    """A row that is added, removed or changed, with the names of its changed keys."""

    kind: str
    name: str
    change: str
    keys: tuple[str, ...] = ()


class Plan(NamedTuple):
    """The changes that a new sheet would make, as shown to operators."""

    rows: tuple[RowChange, ...]
    leaving: tuple[str, ...]
    emptied: tuple[str, ...]
    removed_share: float
    narrowed: tuple[str, ...]
    moved_homes: tuple[str, ...]


def plan_change(old: Sheet | None, new: Sheet, now: datetime | None = None) -> Plan:
    """Return the changes from `old` to `new`.

    Upstreams whose `until` has passed at `now` count as removed.
    """
    before = _active(old, now) if old else {}
    after = _active(new, now)
    leaving = sorted(set(before) - set(after))
    served = {upstream.service for upstream in after.values()}
    emptied = {upstream.service for upstream in before.values()} - served
    return Plan(
        rows=tuple(_row_changes(old, new)),
        leaving=tuple(leaving),
        emptied=tuple(sorted(emptied & set(new.services))),
        removed_share=len(leaving) / len(before) if before else 0.0,
        narrowed=tuple(_narrowed_regions(old, new)) if old else (),
        moved_homes=tuple(find_moved_homes(old, new)) if old else (),
    )


def check_plan(plan: Plan, allow_empty: bool = False) -> None:
    """Raise HomeMoved, or SheetEmpties unless `allow_empty` is set."""
    if plan.moved_homes:
        raise HomeMoved(list(plan.moved_homes))
    reasons = [f"service {name} is left without an upstream" for name in plan.emptied]
    if plan.removed_share > MAX_REMOVED_SHARE:
        count = len(plan.leaving)
        reasons.append(f"{count} upstreams leave ({plan.removed_share:.0%})")
    if reasons and not allow_empty:
        raise SheetEmpties(reasons)


def find_moved_homes(old: Sheet, new: Sheet) -> list[str]:
    """Return the workspaces and plain services whose orders get another owner.

    The home of a service takes precedence over the home of the workspace.
    """
    moves = []
    uses_workspace_home = False
    for name, service in sorted(new.services.items()):
        before = old.services.get(name)
        if before is None or ServiceType.PLAIN not in (before.type, service.type):
            continue
        if before.home != service.home:
            moves.append(
                f"service {name}: {before.home or 'by workspace'}"
                f" to {service.home or 'by workspace'}"
            )
        uses_workspace_home = uses_workspace_home or not (before.home and service.home)
    if not uses_workspace_home:
        return moves
    for name, workspace in sorted(new.workspaces.items()):
        before = old.workspaces.get(name)
        if before is not None and before.home != workspace.home:
            moves.append(f"workspace {name}: {before.home} to {workspace.home}")
    return moves


def _active(sheet, now):
    return {
        name: upstream
        for name, upstream in sheet.upstreams.items()
        if now is None or upstream.is_active(now)
    }


def _narrowed_regions(old, new):
    """Yield a text for each workspace, service or domain whose data loses regions."""
    for kind in ("workspaces", "services"):
        for name, entry in sorted(getattr(new, kind).items()):
            before = getattr(old, kind).get(name)
            removed = before.regions - entry.regions if before else frozenset()
            if removed:
                yield f"{kind[:-1]} {name}: no longer in {' '.join(sorted(removed))}"
    # If a domain changes its region, the data of its callers moves with it.
    for name, domain in sorted(new.domains.items()):
        region = old.region_of(name)
        if region and region != domain.region:
            yield f"domain {name}: moves from {region} to {domain.region}"


def _row_changes(old, new):
    for table in TABLES:
        before = getattr(old, table) if old else {}
        after = getattr(new, table)
        for name in sorted(set(before) | set(after)):
            if name not in after:
                yield RowChange(table[:-1], name, "removed")
            elif name not in before:
                yield RowChange(table[:-1], name, "added")
            elif before[name] != after[name]:
                pairs = zip(
                    before[name]._fields, before[name], after[name], strict=True
                )
                keys = tuple(key for key, left, right in pairs if left != right)
                yield RowChange(table[:-1], name, "changed", keys)
    if old and old.policy != new.policy:
        pairs = zip(new.policy._fields, old.policy, new.policy, strict=True)
        keys = tuple(key for key, left, right in pairs if left != right)
        yield RowChange("policy", "", "changed", keys)
