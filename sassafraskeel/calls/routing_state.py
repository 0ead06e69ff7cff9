"""The state of replicas and hosts on which the placement of calls is based."""

from collections.abc import Callable
from typing import NamedTuple

from sassafraskeel.core.errors import Reason, Refusal, not_run_refusal
from sassafraskeel.decisions.call_costs import CallCosts
from sassafraskeel.decisions.estimates import ServiceTimes
from sassafraskeel.decisions.fleet import Fleet, Replica
from sassafraskeel.decisions.forwards import RecentForwards
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import ReplicaLoads
from sassafraskeel.decisions.pacing import ColdPacer
from sassafraskeel.decisions.placement import slot_limit
from sassafraskeel.decisions.prompt_caches import PromptCaches
from sassafraskeel.decisions.region_loads import RegionLoads
from sassafraskeel.decisions.replica_statements import ReplicaStatements
from sassafraskeel.decisions.silence import SilenceDetector
from sassafraskeel.decisions.version_history import VersionHistory

# Replicas passed over that the log names for a call.
MAX_PASSED_OVER = 4


class RoutingState(NamedTuple):
    """State of replicas and hosts on which placement is based, partly estimated.

    `service_times` says how long calls hold a slot, and `route_times` how long those of
    a route last, with those that were forwarded. `rate_share` returns the share of a
    replica's rate that the local host may use while the replica is cold, names a limit
    or is brittle, 0 for none. `versions` tells which software versions the replicas
    had.
    """

    fleet: Fleet
    hosts: HostTable
    loads: ReplicaLoads
    prompt_caches: PromptCaches
    health: Health
    pacer: ColdPacer
    service_times: ServiceTimes
    route_times: ServiceTimes
    forwards: RecentForwards
    silence_detector: SilenceDetector
    region_loads: RegionLoads
    rate_share: Callable[[str, float], float]
    statements: ReplicaStatements
    call_costs: CallCosts
    versions: VersionHistory

    def accepts_work(self, replica: Replica, now: float) -> bool:
        """Return whether a replica takes new work by its entry and by its answers."""
        accepts = self.fleet.accepts_work(replica, now)
        return accepts and not self.statements.cause(replica, now)

    def usable_slots(self, replica: Replica, now: float) -> int:
        """Return how many requests the local host and its peers may have at a replica.

        A brittle one may let none wait. Hosts that the local one does not reach use the
        rest of its slots.
        """
        if self.statements.max_rejections(replica) is None:
            return slot_limit(replica, self.fleet.service(replica.service))
        share = self.rate_share(replica.name, now)
        return max(int(replica.slots * share), 1) if share else 0

    def free_slots(self, replica: Replica, now: float) -> int:
        """Return how many requests more the local host and its peers may place."""
        usable, running = self.usable_slots(replica, now), self._running(replica, now)
        if self.statements.max_rejections(replica) is None:
            return max(usable - running, 0)
        known = self.loads.known_requests(replica.name)
        return max(min(usable - known, max(replica.slots, 1) - running), 0)

    def _running(self, replica: Replica, now: float) -> int:
        return self.loads.total(replica.name, now).running

    def has_room(self, replica: Replica, now: float) -> bool:
        """Return whether a replica has a free slot that the local host may use now."""
        if not self.free_slots(replica, now):
            return False
        if self.statements.is_empty() or not self.statements.is_restricted(replica):
            return True
        share = self.rate_share(replica.name, now)
        return share > 0 and self.statements.may_send(replica, share, now)

    def refusing(self, now: float) -> list[Replica]:
        """Return the listed replicas that get no new work for what they said."""
        return [
            replica
            for name, started_at_ms in self.statements.refusing(now)
            if (replica := self.fleet.get(name)) is not None
            and replica.started_at_ms == started_at_ms
        ]

    def passed_over(self, service: str, now: float) -> list[str]:
        """Return some listed replicas of a service that get no new calls, and why."""
        replicas = [r for r in self.refusing(now) if r.service == service]
        return [
            f"{replica.name} {self.statements.cause(replica, now)}"
            for replica in replicas[:MAX_PASSED_OVER]
        ]


def no_replicas_refusal() -> Refusal:
    """Return the refusal of a forwarded call by a host that reaches no replica."""
    detail = "the host reaches no replica of its region"
    return not_run_refusal(Reason.PEER_UNREACHABLE, detail)
