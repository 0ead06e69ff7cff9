"""Placement of calls of routes: choosing a replica or another region."""

import random
from collections.abc import Callable
from typing import NamedTuple

from sassafraskeel.calls.attempts import AttemptHistory, Target
from sassafraskeel.calls.slot_queues import SlotQueues, SlotRequest
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run_refusal
from sassafraskeel.core.types import Call, HostInfo
from sassafraskeel.decisions.estimates import ServiceTimes
from sassafraskeel.decisions.fleet import Fleet, Replica
from sassafraskeel.decisions.forwards import RecentForwards
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import ReplicaLoads
from sassafraskeel.decisions.pacing import ColdPacer
from sassafraskeel.decisions.placement import (
    CONNECT_SECONDS,
    CROSS_REGION_SECONDS,
    CROSS_ZONE_SECONDS,
    Option,
    affinity_bonus_seconds,
    busy_seconds,
    choose_option,
    considers_other_regions,
    predicted_seconds,
    prefers_other_region,
    slot_limit,
)
from sassafraskeel.decisions.prompt_caches import PromptCaches, preferred_replica
from sassafraskeel.decisions.silence import SilenceDetector

QUEUE_LENGTH = 512
# A call waits this long if no known replica is usable: cold replicas may become usable,
# and the replicas of a zone that crashed together return after a few seconds.
NO_REPLICA_WAIT_SECONDS = 1.0
NO_REPLICA_POLL_SECONDS = 0.15
# The cache expires because replicas with lapsed entries leave the fleet as time passes,
# which does not increment `Fleet.changes`.
REPLICA_CACHE_SECONDS = 0.2
MAX_CACHED_SERVICES = 256
# Added to the predicted time of a replica that answered the call with a failure, since
# it may fail again.
FAILED_ANSWER_PENALTY_SECONDS = 0.05
# A refused caller retries once and misses its target latency in any case, so
# Retry-After gives a queue time to drain, or a crashed replica time to return and warm
# up.
RETRY_AFTER_SECONDS = 2.0
NO_REPLICA_RETRY_SECONDS = 5.0


class _CachedReplicas(NamedTuple):
    """The replicas of a service by region.

    `changes` is the change counter of the fleet at `cached_at`.
    """

    cached_at: float
    changes: int
    regions: dict[str, list[Replica]]


class _RemoteRegion(NamedTuple):
    """Another region as a target.

    `seconds` is the predicted time of its best replica, including the forwarding.
    `busy` is the time in seconds by which the call delays later calls at the replica.
    """

    name: str
    hosts: list[HostInfo]
    seconds: float
    busy: float


class RoutingState(NamedTuple):
    """State of replicas and hosts on which placement is based, partly estimated."""

    fleet: Fleet
    hosts: HostTable
    loads: ReplicaLoads
    prompt_caches: PromptCaches
    health: Health
    pacer: ColdPacer
    service_times: ServiceTimes
    forwards: RecentForwards
    silence_detector: SilenceDetector


class RoutePlacement:
    """Chooses targets by predicted time and counts the slots in use."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        routing_state: RoutingState,
        spare_connections: Callable[[HostInfo], int] = lambda host: 0,
    ):
        self._spare_connections = spare_connections
        self._replica_cache: dict[str, _CachedReplicas] = {}
        self._clock = clock
        self._rng = rng
        self._routing_state = routing_state
        self._queues = SlotQueues(
            QUEUE_LENGTH, clock, self._release_slot, lambda request: {}
        )

    def waiting(self, service: str) -> int:
        """Return the number of calls that wait for a slot of a service."""
        return self._queues.length(service)

    async def find_target(self, call: Call, history: AttemptHistory) -> Target:
        """Return a target; raise Refusal (not run) if there is none in time."""
        give_up_at = self._clock.monotonic() + NO_REPLICA_WAIT_SECONDS
        expires = min(call.expires, call.queue_deadline)
        while True:
            now = self._clock.monotonic()
            if expires <= now:
                detail = f"no slot of {call.service} became free in time"
                raise not_run_refusal(Reason.OVERLOADED, detail, RETRY_AFTER_SECONDS)
            target = self._choose_target(call, history, now)
            if target is not None:
                return target
            if self._local_options(call, history, now, free_only=False):
                target = await self._wait_for_slot(call, history, now)
                if target is not None:
                    return target
                continue
            if now >= min(give_up_at, expires):
                detail = f"no replica of {call.service} can be used"
                raise not_run_refusal(
                    Reason.NO_UPSTREAM, detail, NO_REPLICA_RETRY_SECONDS
                )
            await self._clock.sleep(NO_REPLICA_POLL_SECONDS)

    async def release(self, target: Target, service: str) -> None:
        """Release a slot and assign it to a waiting call."""
        if target.upstream is not None:
            self._release_slot(target.upstream)
            await self._queues.serve(service)

    def _choose_target(
        self, call: Call, history: AttemptHistory, now: float
    ) -> Target | None:
        """Return the best target for the call, or None if there is none at present."""
        local = self._local_options(call, history, now, free_only=True)
        if self._queues.length(call.service) and not call.hops:
            local = []  # Waiting calls come first.
        best = min((option.seconds for option in local), default=None)
        if not call.hops and considers_other_regions(best, call.route_policy.objective):
            remote = self._best_region(call, history, now, free_only=True)
            if remote is not None and prefers_other_region(best, remote.seconds):
                return self._remote_target(call, remote, now)
        if local:
            return self._take_slot(call, choose_option(local, self._rng), now)
        if call.hops or self._local_options(call, history, now, free_only=False):
            return None
        # No replica of the local region is usable, so the call waits in another one.
        remote = self._best_region(call, history, now, free_only=False)
        return self._remote_target(call, remote, now) if remote else None

    async def _wait_for_slot(
        self, call: Call, history: AttemptHistory, now: float
    ) -> Target | None:
        """Wait for a slot; return None when other regions should be reconsidered."""
        taken: dict[str, Target] = {}
        expires = min(call.expires, call.queue_deadline)
        recheck_at = min(expires, now + call.route_policy.objective / 2)

        def take_slot():
            now = self._clock.monotonic()
            local = self._local_options(call, history, now, free_only=True)
            if local:
                target = self._take_slot(call, choose_option(local, self._rng), now)
                taken[target.name] = target
                return target.upstream
            return None

        request = SlotRequest(
            sheet=None,
            service=call.service,
            workspace=call.route_policy.route,
            priority=call.priority,
            expires=expires,
            # `expires` limits the start of the call, so no service time is subtracted.
            service_seconds=0.0,
            from_remote=bool(call.hops),
            take_slot=take_slot,
        )
        try:
            async with self._clock.timeout(recheck_at - now):
                replica = await self._queues.wait(request)
        except TimedOut:
            return None
        except Refusal as refusal:
            refusal.retry_after = refusal.retry_after or RETRY_AFTER_SECONDS
            raise
        return taken[replica.name]

    def _take_slot(self, call: Call, option: Option, now: float) -> Target:
        routing_state, replica = self._routing_state, option.replica
        prompt = call.route_policy.prompt
        tokens = 0
        if prompt is not None:
            tokens = max(prompt.input_tokens - option.cached_tokens, 0)
            memory = routing_state.fleet.kv_cache_tokens(replica.name)
            routing_state.prompt_caches.record_prompt(replica.name, prompt, memory)
        routing_state.loads.started(replica.name, tokens)
        spec = routing_state.fleet.service(replica.service)
        if routing_state.fleet.is_cold(replica, now):
            routing_state.pacer.sent(replica.name, spec.cold_rate, now)
        return Target(
            replica.name, replica, None, call.kind.value, tokens, option.seconds
        )

    def _release_slot(self, replica: Replica) -> None:
        self._routing_state.loads.finished(replica.name)

    def _replicas_by_region(self, service: str, now: float) -> dict[str, list[Replica]]:
        fleet = self._routing_state.fleet
        cached = self._replica_cache.get(service)
        if (
            cached is None
            or cached.changes != fleet.changes
            or not 0 <= now - cached.cached_at < REPLICA_CACHE_SECONDS
        ):
            if len(self._replica_cache) >= MAX_CACHED_SERVICES:
                self._replica_cache.clear()
            regions = fleet.by_region(service, now)
            cached = self._replica_cache[service] = _CachedReplicas(
                now, fleet.changes, regions
            )
        return cached.regions

    def _local_options(self, call, history, now, free_only: bool) -> list[Option]:
        region = self._routing_state.hosts.region_of(
            self._routing_state.hosts.local_host
        )
        if (
            call.route_policy.home_regions
            and region not in call.route_policy.home_regions
        ):
            return []
        replicas = self._replicas_by_region(call.service, now).get(region, [])
        usable = [
            replica
            for replica in replicas
            if replica.name not in history.excluded
            and self._is_usable(replica, now)
            and (not free_only or self._has_free_slot(replica, now))
        ]
        return self._options(call, usable, replicas, history, now)

    def _best_region(self, call, history, now, free_only) -> _RemoteRegion | None:
        routing_state = self._routing_state
        best = None
        for region in routing_state.hosts.regions(now):
            if (
                call.route_policy.home_regions
                and region not in call.route_policy.home_regions
            ):
                continue
            hosts = [
                host
                for host in routing_state.hosts.reachable(region, now)
                if host.name not in history.excluded
            ]
            replicas = self._replicas_by_region(call.service, now).get(region, [])
            usable = [
                replica
                for replica in replicas
                if not routing_state.fleet.reports_cold(replica, now)
                and (not free_only or self._has_free_slot(replica, now))
            ]
            if not hosts or not usable:
                continue
            options = self._options(call, usable, replicas, history, now)
            option = min(options, key=lambda option: option.seconds)
            unreported_work = routing_state.forwards.unreported_work(
                region, call.service, now
            )
            seconds = (
                option.seconds + unreported_work / len(options) + CROSS_REGION_SECONDS
            )
            if not any(self._spare_connections(host) for host in hosts):
                seconds += CONNECT_SECONDS
            if best is None or seconds < best.seconds:
                best = _RemoteRegion(region, hosts, seconds, option.busy)
        return best

    def _remote_target(self, call: Call, remote: _RemoteRegion, now: float) -> Target:
        host = self._choose_host(remote.hosts)
        self._routing_state.forwards.sent(remote.name, call.service, remote.busy, now)
        return Target(host.name, None, host, predicted_seconds=remote.seconds)

    def _choose_host(self, hosts: list[HostInfo]) -> HostInfo:
        """Return a random host, preferably one with a spare connection."""
        ready = [host for host in hosts if self._spare_connections(host)]
        return self._rng.choice(ready or hosts)

    def _options(self, call, usable, replicas, history, now) -> list[Option]:
        """Return options for the usable replicas with their predicted times.

        `replicas` are all replicas of the region that may get new work.
        """
        if not usable:
            return []
        routing_state, prompt = self._routing_state, call.route_policy.prompt
        spec = routing_state.fleet.service(call.service)
        service_seconds = routing_state.service_times.expected(
            call.service, call.kind.value
        )
        preferred_name = ""
        if prompt is not None:
            preferred_name = preferred_replica(
                prompt, [replica.name for replica in replicas]
            )
        options = []
        for replica in usable:
            cached_tokens = (
                routing_state.prompt_caches.cached_tokens(replica.name, prompt)
                if prompt
                else 0
            )
            load = routing_state.loads.total(replica.name, now)
            seconds = predicted_seconds(
                replica, load, spec, prompt, cached_tokens, service_seconds
            )
            if replica.zone != routing_state.hosts.local_host.domain:
                seconds += CROSS_ZONE_SECONDS
            if replica.name == preferred_name:
                seconds -= affinity_bonus_seconds(prompt, cached_tokens)
            if replica.name in history.penalized:
                seconds += FAILED_ANSWER_PENALTY_SECONDS
            busy = busy_seconds(replica, spec, prompt, cached_tokens, service_seconds)
            options.append(Option(replica, seconds, cached_tokens, busy))
        return options

    def _is_usable(self, replica: Replica, now: float) -> bool:
        routing_state = self._routing_state
        if not routing_state.health.usable(replica.name, now):
            return False
        if routing_state.silence_detector.is_silent(replica.name, now):
            return False
        if routing_state.health.is_failing(replica.name):
            # Only one call at a time tests whether a failing replica has recovered.
            return routing_state.loads.local_load(replica.name).running == 0
        if routing_state.fleet.is_cold(replica, now):
            region_peers = routing_state.hosts.region_peers(now)
            return routing_state.pacer.may_send(replica.name, region_peers, now)
        return True

    def _has_free_slot(self, replica: Replica, now: float) -> bool:
        spec = self._routing_state.fleet.service(replica.service)
        running = self._routing_state.loads.total(replica.name, now).running
        return running < slot_limit(replica, spec)
