"""The replicas and regions that a call of a route may use at present."""

import math
from typing import NamedTuple

from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.types import Call, CallKind, HostInfo
from sassafraskeel.decisions.call_costs import call_cost
from sassafraskeel.decisions.estimates import ServiceTimes
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.placement import (
    CROSS_REGION_SECONDS,
    CROSS_ZONE_SECONDS,
    Option,
    affinity_bonus_seconds,
    busy_seconds,
    predicted_seconds,
    prefill_seconds,
)
from sassafraskeel.decisions.prompt_caches import preferred_replica
from sassafraskeel.decisions.region_loads import ServiceLoad

# The cache expires because replicas with lapsed entries leave the fleet as time passes,
# which does not increment `Fleet.changes`.
REPLICA_CACHE_SECONDS = 0.2
MAX_CACHED_SERVICES = 256
# A stream that no host can resume for the rest of its time goes to one that stays for
# this multiple of the expected time. With a log-normal spread of 0.7, as deployments
# state it, less than 5 in 100 whole streams take longer.
LAST_RUN_MARGIN = 2.0
# Added to the predicted time of a replica that answered the call with a failure, since
# it may fail again.
FAILED_ANSWER_PENALTY_SECONDS = 0.05


class _CachedReplicas(NamedTuple):
    """The replicas of a service by region.

    `changes` are the change counters of the fleet and of the statements at `cached_at`.
    """

    cached_at: float
    changes: tuple[int, int]
    regions: dict[str, list[Replica]]


class RegionOption(NamedTuple):
    """Another region as a target.

    `seconds` is the predicted time of its best replica, including the forwarding.
    `busy` is the time in seconds by which the call delays later calls at the replica.
    """

    name: str
    seconds: float
    busy: float


class RouteOptions:
    """Lists the usable replicas of the local region and the usable other regions."""

    def __init__(self, routing_state: RoutingState):
        self._routing_state = routing_state
        self._replica_cache: dict[str, _CachedReplicas] = {}

    def local(
        self, call: Call, history: AttemptHistory, now: float, free_only: bool
    ) -> list[Option]:
        """Return options for the replicas of the local region.

        With `free_only`, only replicas with a free slot are included.
        """
        replicas = self._local_replicas(call, now)
        usable = [
            replica
            for replica in replicas
            if replica.name not in history.excluded
            and (not free_only or self._routing_state.has_room(replica, now))
            and self._is_usable(replica, now)
        ]
        return self._options(call, usable, replicas, history, now)

    def record_cost(self, call: Call, now: float) -> None:
        """Add a call to the average work of its service while replicas name limits."""
        state, prompt = self._routing_state, call.route_policy.prompt
        if prompt is None or state.statements.is_empty():
            return
        regions = self._replicas_by_region(call.service, now)
        replicas = regions.get(self._local_region(), [])
        unlimited = [r for r in replicas if state.statements.rate(r) is None]
        if len(unlimited) < len(replicas):
            cached_tokens = [
                state.prompt_caches.cached_tokens(r.name, prompt) for r in unlimited
            ]
            cost = call_cost(prompt, max(cached_tokens, default=0))
            state.call_costs.record(call.service, cost)

    def unreserved(self, call: Call, options: list[Option], now: float) -> list[Option]:
        """Return the options that are not kept for other calls.

        The few requests that a replica with a limit takes are kept for the calls that
        are most work for the other replicas, as long as these use them up.
        """
        state, prompt = self._routing_state, call.route_policy.prompt
        if prompt is None or state.statements.is_empty():
            return options
        unlimited = [o for o in options if state.statements.rate(o.replica) is None]
        if len(unlimited) == len(options):
            return options
        cached_tokens = max((option.cached_tokens for option in unlimited), default=0)
        if state.call_costs.is_costly(call.service, call_cost(prompt, cached_tokens)):
            return options
        unused = [
            option
            for option in options
            if option not in unlimited
            and state.statements.is_unused(
                option.replica, state.rate_share(option.replica.name, now), now
            )
        ]
        return unlimited + unused

    def has_local(self, call: Call, history: AttemptHistory, now: float) -> bool:
        """Return whether a replica of the local region is usable, free or not."""
        return any(
            replica.name not in history.excluded and self._is_usable(replica, now)
            for replica in self._local_replicas(call, now)
        )

    def pause_left(self, call: Call, now: float) -> float:
        """Return the seconds until the first replica of the local region is usable.

        Returns 0 unless all those that take work by their entries are paused.
        """
        state, region = self._routing_state, self._local_region()
        if not _allows_region(call, region) or self._local_replicas(call, now):
            return 0.0
        pauses = [
            state.statements.pause_left(replica, now)
            for replica in self._paused(call, now)
            if state.fleet.region_of(replica.zone) == region
        ]
        return min(pauses, default=0.0)

    def lists_version(self, call: Call, now: float) -> bool:
        """Return whether a replica with the version of a call is to get new work.

        It may be out of use for now, as after a crash. Replicas of all regions that may
        run the call count, but only those of the local region if it was forwarded.
        """
        regions = self._replicas_by_region(call.service, now)
        is_usable = any(self._has_version(region, call, now) for region in regions)
        return is_usable or bool(self._paused(call, now))

    def _paused(self, call: Call, now: float) -> list[Replica]:
        """Return the replicas for a call that want no requests for some time."""
        state = self._routing_state
        return [
            replica
            for replica in state.refusing(now)
            if replica.service == call.service
            and self._may_run(call, state.fleet.region_of(replica.zone))
            and state.fleet.accepts_work(replica, now)
            and not state.statements.is_leaving(replica)
            and call.software_version in ("", replica.software_version)
        ]

    def predicted_wait(
        self, call: Call, ahead: float, now: float, bound_ahead: float = 0.0
    ) -> float:
        """Return the seconds until a call gets a slot.

        Of the waiting calls before it, `ahead` run at any replica, and `bound_ahead`
        only at those with the version of this call.
        """
        replicas = self._replicas_by_region(call.service, now)
        local = replicas.get(self._local_region(), [])
        rate = self._total_rate(call.service, local, now)
        if not call.software_version:
            return (ahead + 1) / rate if rate else math.inf
        replicas = self._local_replicas(call, now)
        own_rate = self._total_rate(call.service, replicas, now)
        return (bound_ahead + 1) / own_rate + ahead / rate if own_rate else math.inf

    def _total_rate(self, service: str, replicas: list[Replica], now: float) -> float:
        """Return how many calls per second get a slot of some replicas."""
        state = self._routing_state
        spec = state.fleet.service(service)
        work = state.service_times.expected(service, "")
        return sum(
            self._slot_rate(replica, spec, work, now)
            for replica in replicas
            if self._may_use(replica, now)
        )

    def _slot_rate(self, replica: Replica, spec, work: float, now: float) -> float:
        """Return how many calls per second get a slot while all slots are used."""
        state = self._routing_state
        slots = state.usable_slots(replica, now)
        rate = slots / work if work else math.inf
        if state.statements.rate(replica) is None:
            return rate
        share = state.rate_share(replica.name, now)
        return min(rate, state.statements.usable_rate(replica, share))

    def best_region(
        self, call: Call, history: AttemptHistory, now: float, free_only: bool
    ) -> RegionOption | None:
        """Return the other region with the earliest predicted answer, or None."""
        state = self._routing_state
        options = []
        for region in state.region_loads.regions(now):
            load = state.region_loads.services(region).get(call.service)
            if load is None or not load.replicas or not _allows_region(call, region):
                continue
            if call.software_version and not self._has_version(region, call, now):
                # The load of a region does not tell the versions of its replicas.
                continue
            if not self.forward_hosts(region, call, history, now):
                continue
            option = self._region_option(call, region, load, now)
            sent = state.forwards.unreported_calls(region, call.service, now)
            if not free_only or load.free_slots > sent:
                options.append(option)
        return min(options, key=lambda option: option.seconds, default=None)

    def forward_hosts(
        self, region: str, call: Call, history: AttemptHistory, now: float
    ) -> list[HostInfo]:
        """Return the hosts of a region to which a call may be forwarded.

        A host that is being stopped must stay until the call is over, because its stop
        would cut off the answer of a caller that is connected elsewhere.
        """
        hosts = self._routing_state.hosts
        over_at = latest_end(state_stay(call, history, self._routing_state), now)
        return [
            host
            for host in hosts.reachable(region, now)
            if host.name not in history.excluded and hosts.stays_until(host, over_at)
        ]

    def service_loads(self, now: float) -> dict[str, ServiceLoad]:
        """Return the load of each service in the local region."""
        state = self._routing_state
        table = state.fleet.table
        loads = {}
        if state.hosts.access.is_lost:
            return loads
        for service in table.manifest.services if table else ():
            replicas = [
                replica
                for replica in self._replicas_by_region(service, now).get(
                    self._local_region(), ()
                )
                if self._may_use(replica, now)
                and not state.fleet.reports_cold(replica, now)
                and self._has_share(replica, now)
            ]
            if replicas:
                loads[service] = self._service_load(service, replicas, now)
        return loads

    def _service_load(self, service, replicas, now) -> ServiceLoad:
        """Return the load of a service.

        A replica with a limit takes a call of another region only if its own region
        does not use the limit up; the summary may be half a second old there.
        """
        state = self._routing_state
        spec = state.fleet.service(service)
        work = state.service_times.expected(service, "")
        free_slots, waits, limited_waits = 0, [], []
        for replica in replicas:
            load = state.loads.total(replica.name, now)
            free = state.free_slots(replica, now)
            if state.statements.max_rejections(replica) is not None:
                free = free if state.has_room(replica, now) else 0
            wait = predicted_seconds(replica, load, spec, None, 0, work)
            if state.statements.rate(replica) is None:
                free_slots += free
                waits.append(wait)
            else:
                share = state.rate_share(replica.name, now)
                if state.statements.is_unused(replica, share, now):
                    free_slots += min(free, 1)
                limited_waits.append(
                    wait + state.statements.wait_seconds(replica, share, now)
                )
        waits = waits or limited_waits
        return ServiceLoad(len(waits), free_slots, min(waits))

    def _region_option(self, call, region, load: ServiceLoad, now) -> RegionOption:
        state = self._routing_state
        spec = state.fleet.service(call.service)
        prompt = call.route_policy.prompt
        busy = 0.0
        if spec is not None and spec.engine is not None and prompt is not None:
            busy = prefill_seconds(prompt, 0)
        unreported = state.forwards.unreported_work(region, call.service, now)
        seconds = load.wait_seconds + busy + unreported / load.replicas
        return RegionOption(region, seconds + CROSS_REGION_SECONDS, busy)

    def _options(self, call, usable, replicas, history, now) -> list[Option]:
        """Return options for the usable replicas with their predicted times.

        `replicas` are all replicas of the region that may get new work.
        """
        if not usable:
            return []
        state, prompt = self._routing_state, call.route_policy.prompt
        spec = state.fleet.service(call.service)
        service_seconds = state.service_times.expected(call.service, call.kind.value)
        preferred_name = ""
        if prompt is not None:
            preferred_name = preferred_replica(
                prompt, [replica.name for replica in self._unlimited(replicas)]
            )
        options = []
        for replica in usable:
            cached_tokens = (
                state.prompt_caches.cached_tokens(replica.name, prompt) if prompt else 0
            )
            load = state.loads.total(replica.name, now)
            seconds = predicted_seconds(
                replica, load, spec, prompt, cached_tokens, service_seconds
            )
            if replica.zone != state.hosts.local_host.domain:
                seconds += CROSS_ZONE_SECONDS
            if replica.name == preferred_name:
                seconds -= affinity_bonus_seconds(prompt, cached_tokens)
            if replica.name in history.penalized:
                seconds += FAILED_ANSWER_PENALTY_SECONDS
            busy = busy_seconds(replica, spec, prompt, cached_tokens, service_seconds)
            options.append(Option(replica, seconds, cached_tokens, busy))
        return options

    def _unlimited(self, replicas: list[Replica]) -> list[Replica]:
        """Return the replicas without limits, or all if each of them has one.

        A replica with a limit gets too few of the prompts that share a part.
        """
        statements = self._routing_state.statements
        if statements.is_empty():
            return replicas
        return [r for r in replicas if statements.rate(r) is None] or replicas

    def _is_usable(self, replica: Replica, now: float) -> bool:
        state = self._routing_state
        if not self._may_use(replica, now):
            return False
        if state.health.is_failing(replica.name):
            # Only one call at a time tests whether a failing replica has recovered.
            return not state.health.is_tested(replica.name, now)
        if state.fleet.is_cold(replica, now):
            return state.pacer.may_send(replica.name, now) and bool(
                state.rate_share(replica.name, now)
            )
        return state.statements.is_empty() or self._has_share(replica, now)

    def _has_share(self, replica: Replica, now: float) -> bool:
        """Return whether the local host may use a part of what a replica takes."""
        state = self._routing_state
        return not state.statements.is_restricted(replica) or bool(
            state.rate_share(replica.name, now)
        )

    def _may_use(self, replica: Replica, now: float) -> bool:
        state = self._routing_state
        return state.health.usable(
            replica.name, now
        ) and not state.silence_detector.is_silent(replica.name, now)

    def neighbours(
        self, call: Call, history: AttemptHistory, now: float
    ) -> list[HostInfo]:
        """Return the other hosts of the local region that may run a call.

        A call that was forwarded is not forwarded again.
        """
        region = self._local_region()
        if call.hops or not _allows_region(call, region):
            return []
        return self.forward_hosts(region, call, history, now)

    def is_from_region(self, call: Call) -> bool:
        """Return whether a call was forwarded by a host of the local region."""
        hosts = self._routing_state.hosts
        return bool(call.hops) and (
            hosts.region_of_name(call.hops[-1]) == self._local_region()
        )

    def _local_region(self) -> str:
        hosts = self._routing_state.hosts
        return hosts.region_of(hosts.local_host)

    def _may_run(self, call: Call, region: str) -> bool:
        """Return whether a call may run in a region, or be forwarded to it."""
        if call.hops and region != self._local_region():
            return False
        return _allows_region(call, region)

    def _local_replicas(self, call: Call, now: float) -> list[Replica]:
        """Return the replicas of the local region that a call may run at."""
        region = self._local_region()
        if not _allows_region(call, region):
            return []
        replicas = self._replicas_by_region(call.service, now).get(region, [])
        if not call.software_version:
            return replicas
        return [r for r in replicas if r.software_version == call.software_version]

    def _has_version(self, region: str, call: Call, now: float) -> bool:
        """Return whether a region that may run a call has a replica of its version."""
        return self._may_run(call, region) and any(
            replica.software_version == call.software_version
            for replica in self._replicas_by_region(call.service, now).get(region, ())
        )

    def _replicas_by_region(self, service: str, now: float) -> dict[str, list[Replica]]:
        state = self._routing_state
        changes = (state.fleet.changes, state.statements.changes)
        cached = self._replica_cache.get(service)
        if (
            cached is None
            or cached.changes != changes
            or not 0 <= now - cached.cached_at < REPLICA_CACHE_SECONDS
        ):
            if len(self._replica_cache) >= MAX_CACHED_SERVICES:
                self._replica_cache.clear()
            regions = {
                region: [r for r in replicas if not state.statements.cause(r, now)]
                for region, replicas in state.fleet.by_region(service, now).items()
            }
            cached = self._replica_cache[service] = _CachedReplicas(
                now, changes, regions
            )
        return cached.regions


def state_stay(
    call: Call, history: AttemptHistory, routing_state: RoutingState
) -> Call:
    """Return a call that states how long a host to which it is forwarded must stay.

    A call that may run once more continues elsewhere after a cut, so that its expected
    time counts. Any other call may last until its deadline, and so may each call while
    the local host is being stopped, because it may have no time left to continue one.
    After a first attempt to resume it failed, a stream goes to a host that stays long
    enough for almost all streams; otherwise its caller would give up.
    """
    hosts, policy = routing_state.hosts, call.route_policy
    closes_at = hosts.closes_at(hosts.local_host)
    run_seconds = math.inf
    expected = _expected_seconds(call, routing_state) or math.inf
    may_continue = policy.repeatable and len(history.runs) + 1 < policy.max_upstreams
    # A read is buffered before it is answered, so that its caller learns of a cut.
    is_read = call.kind is CallKind.READ and policy.repeatable
    if math.isinf(closes_at) and (may_continue or is_read):
        run_seconds = expected
    elif history.rounds > 1:
        run_seconds = LAST_RUN_MARGIN * expected
    return call._replace(needed_until=closes_at, run_seconds=run_seconds)


def _expected_seconds(call: Call, routing_state: RoutingState) -> float:
    """Return how long a call is expected to last, 0 if nothing is known.

    A service may have routes with short and with long streams, and calls of some routes
    are never run in the local region.
    """
    kind = call.kind.value
    by_route = routing_state.route_times.expected(call.route_policy.route, kind)
    return by_route or routing_state.service_times.expected(call.service, kind)


def latest_end(call: Call, now: float) -> float:
    """Return until when the host of a forwarded call that starts now must stay."""
    return min(call.expires, call.needed_until, now + call.run_seconds)


def expected_end(call: Call, times: ServiceTimes, now: float) -> float:
    """Return by when a call that starts now is expected to be over."""
    expected = times.expected(call.service, call.kind.value)
    return min(call.expires, now + (expected or math.inf))


def _allows_region(call: Call, region: str) -> bool:
    home_regions = call.route_policy.home_regions
    return not home_regions or region in home_regions
