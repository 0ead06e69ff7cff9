"""Which hosts a coordinator hears, and the changes that its peers do not know yet."""

from enum import IntEnum
from typing import NamedTuple


class HostState(IntEnum):
    """The state of a host, as its coordinator sees it."""

    GONE = 0
    LIVE = 1
    DRAINING = 2


class RosterEntry(NamedTuple):
    """The state of one incarnation of a host.

    `draining_since` is when its drain began, in seconds of the local monotonic clock.
    """

    name: str
    incarnation: str
    state: HostState
    draining_since: float | None = None


class RosterUpdate(NamedTuple):
    """The changes of a roster up to `version`, or all of it if it is `complete`."""

    version: int
    complete: bool
    entries: tuple[RosterEntry, ...]


class Roster:
    """A versioned table of host states; peers get only what changed.

    The versions at which entries changed are kept for each host, so that an update
    costs a peer as many entries as hosts changed since the version that it has.
    """

    def __init__(self):
        self._entries: dict[str, RosterEntry] = {}
        self._changed_at: dict[str, int] = {}
        self.version = 0

    def refresh(self, entries: list[RosterEntry]) -> None:
        """Replace the roster; hosts that are not listed any more count as gone."""
        listed = {entry.name for entry in entries}
        gone = [
            entry._replace(state=HostState.GONE)
            for name, entry in self._entries.items()
            if name not in listed and entry.state is not HostState.GONE
        ]
        changed = [e for e in (*entries, *gone) if self._entries.get(e.name) != e]
        if not changed:
            return
        self.version += 1
        for entry in changed:
            self._entries[entry.name] = entry
            self._changed_at[entry.name] = self.version

    def update_since(self, version: int, names=None) -> RosterUpdate:
        """Return what a peer that has `version` lacks.

        Version 0 or a version of another incarnation gets the complete roster. With
        `names`, only the hosts named are included.
        """
        complete = not 0 < version <= self.version
        entries = tuple(
            entry
            for name, entry in self._entries.items()
            if (names is None or name in names)
            and (
                entry.state is not HostState.GONE
                if complete
                else self._changed_at[name] > version
            )
        )
        return RosterUpdate(self.version, complete, entries)

    def retain(self, names: set[str]) -> None:
        """Forget the hosts that are gone and are not among `names`."""
        for name, entry in list(self._entries.items()):
            if entry.state is HostState.GONE and name not in names:
                del self._entries[name], self._changed_at[name]
