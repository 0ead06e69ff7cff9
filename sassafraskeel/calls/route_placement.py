"""Placement of calls of routes: choosing a replica or another region."""

import random
from collections.abc import Callable

from sassafraskeel.calls.attempts import AttemptHistory, Target
from sassafraskeel.calls.crash_guard import CrashGuard
from sassafraskeel.calls.placement import AttemptFailure
from sassafraskeel.calls.route_options import RegionOption, RouteOptions
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.calls.slot_queues import SlotQueues, SlotRequest
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run_refusal
from sassafraskeel.core.types import Call, CallKind, HostInfo
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.placement import (
    Option,
    choose_option,
    considers_other_regions,
    prefers_other_region,
)

QUEUE_LENGTH = 512
# A call waits this long if no known replica is usable: cold replicas may become usable,
# and the replicas of a zone that crashed together return after a few seconds.
NO_REPLICA_WAIT_SECONDS = 1.0
NO_REPLICA_POLL_SECONDS = 0.15
# A refused caller retries once and misses its target latency in any case, so
# Retry-After gives an overload time to pass, or a crashed replica time to return and
# warm up. Callers wait for at most this share of their remaining time.
RETRY_AFTER_SECONDS = 5.0
RETRY_AFTER_SHARE = 1 / 3
# Callers that are refused together return spread over this share of that time.
RETRY_AFTER_SPREAD = 0.4
# A call is refused at once if it would wait for a slot for longer than this multiple
# of its latency objective. Plain calls hold a slot for some hundredths of a second, so
# that their queue is worked off soon after a burst, and a late answer is better than a
# refusal.
MAX_WAIT_OBJECTIVES = 0.75
MAX_PLAIN_WAIT_OBJECTIVES = 2.0
# While calls of several routes wait, a route gets this share of the slots that one of
# the next higher priority gets. Strict priority would starve the others.
SHARE_PER_PRIORITY = 0.25
MAX_PRIORITY = 9
NO_REPLICA_RETRY_SECONDS = 5.0
# The least share of a cold replica's rate by which its next request is timed.
MIN_COLD_SHARE = 0.1

ForwardHosts = Callable[[list[HostInfo]], list[HostInfo]]


class RoutePlacement:
    """Chooses targets by predicted time and counts the slots in use.

    Implements Placement with the knowledge of the local host. On the coordinator of a
    region, this is all that is known of the replicas of the region. `forward_hosts`
    returns those of a region's hosts to which the local host prefers to forward calls.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        routing_state: RoutingState,
        crash_guard: CrashGuard,
        forward_hosts: ForwardHosts = lambda hosts: hosts,
    ):
        self.options = RouteOptions(routing_state)
        self._forward_hosts = forward_hosts
        self._clock = clock
        self._rng = rng
        self._routing_state = routing_state
        self._crash_guard = crash_guard
        self._queues = SlotQueues(
            QUEUE_LENGTH, clock, self._release_slot, self._route_shares
        )
        self._shares: tuple[int, dict[str, float]] = (0, {})

    def waiting(self, service: str) -> int:
        """Return the number of calls that wait for a slot of a service."""
        return self._queues.length(service)

    async def find_target(self, call: Call, history: AttemptHistory) -> Target:
        self._crash_guard.check(call)
        self.options.record_cost(call, self._clock.monotonic())
        target = await self._find_free_target(call, history)
        if target.upstream is None:
            return target
        try:
            return self._crash_guard.admit(call, target)
        except Refusal:
            await self.release(target, call, prefilled=False)
            raise

    def has_target(self, call: Call, history: AttemptHistory) -> bool:
        now = self._clock.monotonic()
        if self.options.has_local(call, history, now):
            return True
        if call.hops:
            return False
        best = self.options.best_region(call, history, now, free_only=False)
        return best is not None

    async def _find_free_target(self, call: Call, history: AttemptHistory) -> Target:
        started_at = self._clock.monotonic()
        give_up_at = started_at + NO_REPLICA_WAIT_SECONDS
        expires = min(call.expires, call.queue_deadline)
        while True:
            now = self._clock.monotonic()
            if expires <= now:
                detail = f"no slot of {call.service} became free in time"
                raise not_run_refusal(
                    Reason.OVERLOADED, detail, self._retry_after(call)
                )
            target = self._choose_target(call, history, now)
            if target is not None:
                return target
            if self.options.has_local(call, history, now):
                self._refuse_if_late(call, started_at, now)
                target = await self._wait_for_slot(call, history, now)
                if target is not None:
                    return target
                continue
            if call.software_version and not self.options.lists_version(call, now):
                detail = f"no replica of {call.service} has the version of the stream"
                raise not_run_refusal(
                    Reason.VERSION_GONE, detail, NO_REPLICA_RETRY_SECONDS
                )
            pause = self.options.pause_left(call, now)
            if pause:
                detail = f"all replicas of {call.service} want no requests"
                raise not_run_refusal(Reason.NO_UPSTREAM, detail, pause)
            if now >= min(give_up_at, expires):
                detail = f"no replica of {call.service} can be used"
                raise not_run_refusal(
                    Reason.NO_UPSTREAM, detail, NO_REPLICA_RETRY_SECONDS
                )
            await self._clock.sleep(NO_REPLICA_POLL_SECONDS)

    async def head_received(self, target: Target) -> None:
        self._routing_state.loads.prefilled(target.name, target.prompt_tokens)
        self.replica_answered(target)
        await self.serve_after_answer(target)

    def replica_answered(self, target: Target) -> None:
        """Record that a replica answered; it may be cold if it failed before."""
        state, now, name = self._routing_state, self._clock.monotonic(), target.name
        state.statements.admitted(target.upstream, target.placed_at, now)
        if state.health.is_failing(name):
            state.health.succeeded(name, now)
            state.fleet.mark_cold(name, now)

    async def call_survived(self, target: Target) -> None:
        self.replica_survived(target)

    def replica_survived(self, target: Target) -> None:
        """Record that a replica survived a call."""
        self._crash_guard.call_survived(target)

    async def attempt_failed(self, target: Target, failure: AttemptFailure) -> None:
        self.replica_failed(target, failure)

    def replica_failed(self, target: Target, failure: AttemptFailure) -> None:
        """Record that a replica failed a call; a rejection is in its load report."""
        state, now, name = self._routing_state, self._clock.monotonic(), target.name
        if failure is AttemptFailure.REJECTED:
            state.statements.rejected(target.upstream, target.placed_at, now)
            return
        if failure is AttemptFailure.LOST:
            self._crash_guard.replica_lost(target)
        state.health.failed(name, now)
        if failure is AttemptFailure.UNREACHABLE:
            state.fleet.mark_cold(name, now)

    async def release(
        self, target: Target, call: Call, prefilled: bool, seconds: float | None = None
    ) -> None:
        if target.upstream is None:
            return
        self.attempt_ended(target)
        state = self._routing_state
        if not prefilled:
            state.loads.prefilled(target.name, target.prompt_tokens)
        if seconds is not None:
            self.replica_survived(target)
            state.service_times.record(call.service, target.work_class, seconds)
        self._release_slot(target.upstream)
        await self.serve(call.service)

    def attempt_ended(self, target: Target) -> None:
        """Record that an attempt is over, whatever its result."""
        self._crash_guard.attempt_ended(target)

    async def serve(self, service: str) -> None:
        """Assign free slots to the waiting calls of a service."""
        if self._queues.length(service):
            await self._queues.serve(service)

    async def serve_after_answer(self, target: Target) -> None:
        """Assign slots if an answer may have shown that a brittle replica has room."""
        if self._routing_state.statements.max_rejections(target.upstream) is not None:
            await self.serve(target.upstream.service)

    def take_granted(self, call: Call, target: Target) -> None:
        """Count a slot that a coordinator granted to the local host."""
        state, prompt = self._routing_state, call.route_policy.prompt
        if prompt is not None:
            memory = state.fleet.kv_cache_tokens(target.name)
            state.prompt_caches.record_prompt(target.name, prompt, memory)
        state.loads.started(target.name, target.prompt_tokens)

    def choose_host(
        self, region: str, call: Call, history: AttemptHistory, now: float
    ) -> HostInfo | None:
        """Return a host of another region to forward a call to, or None."""
        return self._choose(self.options.forward_hosts(region, call, history, now))

    def target_elsewhere(
        self, call: Call, history: AttemptHistory, now: float
    ) -> Target | None:
        """Return a host for a call of a host that reaches no replica, or None.

        Another host of the region comes first, because it reaches the same replicas. If
        one refused the call for want of a slot, only another region with a free one is
        left; raises Refusal if there is none.
        """
        if not history.region_full:
            host = self._choose(self.options.neighbours(call, history, now))
            if host is not None:
                return Target(host.name, None, host)
        remote = self.options.best_region(
            call, history, now, free_only=history.region_full
        )
        if remote is not None:
            return self._remote_target(call, history, remote, now)
        if history.region_full:
            detail = f"no slot of {call.service} is free in any region"
            raise not_run_refusal(Reason.OVERLOADED, detail, self._retry_after(call))
        return None

    def _choose(self, hosts: list[HostInfo]) -> HostInfo | None:
        hosts = self._forward_hosts(hosts) or hosts
        return self._rng.choice(hosts) if hosts else None

    def _choose_target(
        self, call: Call, history: AttemptHistory, now: float
    ) -> Target | None:
        """Return the best target for the call, or None if there is none at present."""
        local = []
        if call.hops or not self._queues.has_rivals(call):
            # Otherwise the waiting calls come first.
            local = self.options.local(call, history, now, free_only=True)
        unreserved = self.options.unreserved(call, local, now)
        best = min((option.seconds for option in unreserved), default=None)
        if not call.hops and considers_other_regions(best, call.route_policy.objective):
            remote = self.options.best_region(call, history, now, free_only=True)
            if remote is not None and prefers_other_region(best, remote.seconds):
                return self._remote_target(call, history, remote, now)
        if local:
            option = choose_option(unreserved or local, self._rng)
            return self._take_slot(call, option, now)
        if call.hops or self.options.has_local(call, history, now):
            return None
        # No replica of the local region is usable, so the call waits in another one.
        remote = self.options.best_region(call, history, now, free_only=False)
        return self._remote_target(call, history, remote, now) if remote else None

    def _route_shares(self, request: SlotRequest) -> dict[str, float]:
        """Return the shares of the routes in the slots while calls wait."""
        table = self._routing_state.fleet.table
        version = table.manifest.version if table else 0
        if self._shares[0] != version:
            shares = {
                route.name: SHARE_PER_PRIORITY ** min(route.priority, MAX_PRIORITY)
                for route in table.manifest.routes
            }
            self._shares = (version, shares)
        return self._shares[1]

    def _refuse_if_late(self, call: Call, started_at: float, now: float) -> None:
        """Raise Refusal if a call would get a slot too late for its objective."""
        request, version = self._slot_request(call), call.software_version
        ahead = self._queues.calls_ahead(request)
        bound = self._queues.calls_ahead(request, version) if version else 0.0
        wait = self.options.predicted_wait(call, ahead, now, bound)
        is_model = call.kind is CallKind.MODEL
        objectives = MAX_WAIT_OBJECTIVES if is_model else MAX_PLAIN_WAIT_OBJECTIVES
        if now - started_at + wait > objectives * call.route_policy.objective:
            detail = f"a slot of {call.service} is expected in {wait:.2f} s"
            raise not_run_refusal(Reason.OVERLOADED, detail, self._retry_after(call))

    def _retry_after(self, call: Call) -> float:
        remaining = call.expires - self._clock.monotonic()
        longest = min(RETRY_AFTER_SECONDS, RETRY_AFTER_SHARE * remaining)
        return longest * (1 - RETRY_AFTER_SPREAD * self._rng.random())

    async def _wait_for_slot(
        self, call: Call, history: AttemptHistory, now: float
    ) -> Target | None:
        """Wait for a slot; return None when other regions should be reconsidered."""
        taken: dict[str, Target] = {}
        expires = min(call.expires, call.queue_deadline)
        recheck_at = min(expires, now + call.route_policy.objective / 2)

        def take_slot():
            now = self._clock.monotonic()
            local = self.options.local(call, history, now, free_only=True)
            if local:
                unreserved = self.options.unreserved(call, local, now)
                option = choose_option(unreserved or local, self._rng)
                target = self._take_slot(call, option, now)
                taken[target.name] = target
                return target.upstream
            return None

        request = self._slot_request(call)._replace(take_slot=take_slot)
        try:
            async with self._clock.timeout(recheck_at - now):
                replica = await self._queues.wait(request)
            return taken.pop(replica.name)
        except TimedOut:
            return None
        except Refusal as refusal:
            refusal.retry_after = refusal.retry_after or self._retry_after(call)
            raise
        finally:
            # The queue has released a slot that was assigned to a call that gave up.
            for target in taken.values():
                self._routing_state.loads.prefilled(target.name, target.prompt_tokens)

    def _slot_request(self, call: Call) -> SlotRequest:
        return SlotRequest(
            sheet=None,
            service=call.service,
            workspace=call.route_policy.route,
            priority=call.priority,
            expires=min(call.expires, call.queue_deadline),
            # `expires` limits the start of the call, so no service time is subtracted.
            service_seconds=0.0,
            # Calls that are bound to their homes have no region of their own.
            from_remote=bool(call.hops)
            and not call.route_policy.home_regions
            and not self.options.is_from_region(call),
            take_slot=lambda: None,
            software_version=call.software_version,
        )

    def _take_slot(self, call: Call, option: Option, now: float) -> Target:
        state, replica = self._routing_state, option.replica
        prompt = call.route_policy.prompt
        tokens = 0
        if prompt is not None:
            tokens = max(prompt.input_tokens - option.cached_tokens, 0)
            memory = state.fleet.kv_cache_tokens(replica.name)
            state.prompt_caches.record_prompt(replica.name, prompt, memory)
        requests = state.loads.total(replica.name, now).running
        state.loads.started(replica.name, tokens)
        state.health.test_started(replica.name, now)
        spec = state.fleet.service(replica.service)
        if state.statements.is_restricted(replica):
            share = state.rate_share(replica.name, now)
            state.statements.sent(replica, share, now)
        if state.fleet.is_cold(replica, now):
            share = max(state.rate_share(replica.name, now), MIN_COLD_SHARE)
            state.pacer.sent(replica.name, share * spec.cold_rate, now)
        return Target(
            replica.name,
            replica,
            None,
            call.kind.value,
            tokens,
            option.seconds,
            requests,
            placed_at=now,
        )

    def _release_slot(self, replica: Replica) -> None:
        self._routing_state.loads.finished(replica.name)

    def _remote_target(
        self, call: Call, history: AttemptHistory, remote: RegionOption, now: float
    ) -> Target:
        host = self.choose_host(remote.name, call, history, now)
        self._routing_state.forwards.sent(remote.name, call.service, remote.busy, now)
        return Target(host.name, None, host, predicted_seconds=remote.seconds)
