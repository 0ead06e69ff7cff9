"""Which host of a region coordinates the placement of its calls."""

import hashlib

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.affinity import rendezvous
from sassafraskeel.decisions.hosts import HostTable

# Hosts keep links to the coordinator and to this many hosts that would replace it.
STANDBYS = 1
# After a change the hosts of a region learn within this time which of them are live.
SETTLE_SECONDS = 1.0
# Share of a rate used by a host that reaches no coordinator. The coordinator may still
# use the whole rate, and the platform's bounds have room for half as much again.
UNCOORDINATED_SHARE = 0.5


def rank_coordinators(region: str, hosts: list[HostInfo]) -> list[HostInfo]:
    """Return the hosts of a region, the most suitable coordinator first.

    The fastest hosts come first, because a coordinator places the calls of a whole
    region; hosts of the same speed are in the order of a rendezvous hash, so that the
    coordinators of regions differ and one change of a host changes one rank.
    """

    def rank(host: HostInfo):
        key = region.encode()[:64]
        digest = hashlib.blake2b(host.name.encode(), key=key, digest_size=8).digest()
        return -host.capacity, digest

    return sorted(hosts, key=rank)


class Coordination:
    """Selects the coordinator of each region from the live hosts.

    Every host decides for itself. Two coordinators at the same time, or none, cost
    accuracy of the placement only: a host that reaches no coordinator places its calls
    itself, and the bounds that replicas enforce hold for each host by itself.
    """

    def __init__(self, hosts: HostTable):
        self._hosts = hosts
        self._coordinating_since: float | None = None

    def candidates(self, region: str, now: float) -> list[HostInfo]:
        """Return the coordinator of a region and the hosts that would replace it."""
        return self._hosts.candidates(region, now, rank_coordinators)[: STANDBYS + 1]

    def is_coordinator(self, now: float) -> bool:
        """Return whether the local host coordinates its region."""
        local_host = self._hosts.local_host
        candidates = self.candidates(self._hosts.region_of(local_host), now)
        if not candidates or candidates[0].name != local_host.name:
            self._coordinating_since = None
            return False
        if self._coordinating_since is None:
            self._coordinating_since = now
        return True

    def rate_share(self, replica: str, now: float) -> float:
        """Return the share of a replica's rate that the local host may use, 0 for none.

        The rate of a replica that is cold or names a limit holds for all hosts
        together. The coordinator places these calls once an earlier one has noticed
        that it was replaced. Of the hosts that reach no coordinator, one does, by
        rendezvous hash, once they may be expected to know the same hosts. Hosts that
        are registered but not live may be on the other side of a partition, with a
        coordinator of their own.
        """
        if not self._hosts.knows_registered:
            # Hosts that are not known yet may use the rate.
            return 0.0
        share = self._hosts.live_share(now)
        if self.is_coordinator(now):
            is_settled = now - self._coordinating_since >= SETTLE_SECONDS
            return share if is_settled else 0.0
        if now - self._hosts.region_peers_since(now) < SETTLE_SECONDS:
            # Hosts that start together learn of each other one by one, and one that
            # knows few others is likely to choose itself.
            return 0.0
        local_name = self._hosts.local_host.name
        names = sorted(self._hosts.region_peers(now) | {local_name})
        is_chosen = rendezvous(replica.encode(), names)[0] == local_name
        return UNCOORDINATED_SHARE * share if is_chosen else 0.0
