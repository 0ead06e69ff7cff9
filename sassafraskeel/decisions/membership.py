"""The other hosts that this host knows from heartbeats."""

from enum import StrEnum
from typing import NamedTuple

from sassafraskeel.core.types import HostInfo

# A host is live for this long after its last answer, then suspect until it is dead.
LIVE_SECONDS = 3.0
DEAD_SECONDS = 10.0
# Peers of the local domain are dialled for this long after their last answer, which is
# longer than any known network partition.
RETENTION_SECONDS = 7200.0
MAX_LEAVING = 4096


class Liveness(StrEnum):
    """How recently a host answered."""

    LIVE = "live"
    SUSPECT = "suspect"
    DEAD = "dead"


class Member(NamedTuple):
    """A host and its latest state; `heard_at` is in monotonic seconds."""

    info: HostInfo
    heard_at: float
    sheet_version: int
    draining: bool


class Membership:
    """The table of known hosts, keyed by host name."""

    def __init__(self, local_host: HostInfo):
        self.local_host = local_host
        self._members: dict[str, Member] = {}
        self._leaving: dict[str, str] = {}
        # Incremented when a host appears, disappears or starts to drain.
        self.changes = 0

    def update(self, member: Member) -> None:
        """Record the state that a host reported."""
        known = self._members.get(member.info.name)
        if known is None or (known.info, known.draining) != (
            member.info,
            member.draining,
        ):
            self.changes += 1
        self._members[member.info.name] = member

    def drop_expired(self, now: float) -> None:
        """Drop hosts that have not answered for a long time.

        Hosts of other domains are dropped after DEAD_SECONDS; from then on, the roster
        of their domain shows whether they take new work.
        """
        for name, member in list(self._members.items()):
            is_peer = member.info.domain == self.local_host.domain
            retention = RETENTION_SECONDS if is_peer else DEAD_SECONDS
            if now - member.heard_at > retention:
                del self._members[name]

    def forget(self, host: HostInfo) -> None:
        """Forget a host whose link was closed on purpose, so that it is not silent."""
        known = self._members.get(host.name)
        if known is not None and known.info.incarnation == host.incarnation:
            self.changes += 1
            del self._members[host.name]

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Record that an incarnation of a host is being drained.

        An `incarnation` of "" stands for the one known from heartbeats.
        """
        member = self._members.get(name)
        if not incarnation and member is not None:
            incarnation = member.info.incarnation
        if incarnation:
            self._leaving[name] = incarnation
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def accepts_work(self, host: HostInfo, now: float) -> bool:
        """Return whether a host takes new work, as far as this host knows."""
        if self._leaving.get(host.name) == host.incarnation:
            return False
        member = self._members.get(host.name)
        if member is None:
            return True  # The host is known from a summary only.
        if member.info.incarnation != host.incarnation:
            return False
        return not member.draining and (self.liveness(host.name, now) is Liveness.LIVE)

    def member(self, name: str) -> Member | None:
        """Return the entry of a host, None if the host is not known."""
        return self._members.get(name)

    def members(self) -> list[Member]:
        """Return all known hosts except this one, sorted by name."""
        return [self._members[name] for name in sorted(self._members)]

    def liveness(self, name: str, now: float) -> Liveness:
        """Return how recently a host answered."""
        member = self._members.get(name)
        age = now - member.heard_at if member else DEAD_SECONDS
        if age < LIVE_SECONDS:
            return Liveness.LIVE
        return Liveness.SUSPECT if age < DEAD_SECONDS else Liveness.DEAD

    def usable(self, now: float) -> list[Member]:
        """Return the live hosts that take new work, sorted by name."""
        return [
            member for member in self.members() if self.accepts_work(member.info, now)
        ]
