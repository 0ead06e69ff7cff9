"""Placement of calls of sheets: a slot of a local upstream or another domain."""

import random
from collections.abc import Callable

from sassafraskeel.calls.attempts import Target
from sassafraskeel.calls.slot_queues import SlotQueues, SlotRequest
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, not_run_refusal
from sassafraskeel.core.settings import LimitSection
from sassafraskeel.core.types import Call, CallKind, HostInfo
from sassafraskeel.decisions.affinity import CallProfile
from sassafraskeel.decisions.domains import DomainHosts
from sassafraskeel.decisions.estimates import ServiceTimes, UpstreamEstimates
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.residency import allowed_domains
from sassafraskeel.decisions.routing import (
    Candidate,
    RemoteOverhead,
    RoutingPolicy,
    SpillHysteresis,
)
from sassafraskeel.sheets.model import Sheet, Upstream

# The offer and the call take one round trip each: twice 160 ms plus a margin.
REMOTE_OVERHEAD_SECONDS = 0.35
# Share of slots assumed to be free in a domain that has sent no summary.
ASSUMED_FREE_SHARE = 0.25


SheetSource = Callable[[], Sheet]


class SheetPlacement:
    """Chooses targets with a routing policy and counts the slots in use."""

    def __init__(
        self,
        cfg: LimitSection,
        clock: Clock,
        rng: random.Random,
        membership: Membership,
        domains: DomainHosts,
        estimates: UpstreamEstimates,
        policy: RoutingPolicy,
        accepts_work: Callable[[Upstream], bool] = lambda upstream: True,
    ):
        self._clock = clock
        self._rng = rng
        self._membership = membership
        self.domains = domains
        self.estimates = estimates
        self.service_times = ServiceTimes()
        self._policy = policy
        self._accepts_work = accepts_work
        self._spill = SpillHysteresis(cfg.spill_start, cfg.spill_stop)
        self._seen_sheet_version = -1
        self._queues = SlotQueues(cfg.queue_length, clock, self._release_slot)

    async def find_target(
        self, sheet: SheetSource, call: Call, profile: CallProfile, excluded: set[str]
    ) -> Target:
        """Return a target; raise Refusal (not run) if there is none in time."""
        self._drop_removed(sheet())
        request = self._slot_request(sheet, call, profile, excluded)
        candidates = self._local_candidates(request, excluded)
        wait = candidates[0].wait if candidates else 0.0
        late = (
            self._clock.monotonic() + wait + request.service_seconds > request.expires
        )
        candidates += self._remote_candidates(
            request, call, excluded, late or not candidates
        )
        if late:
            candidates = [entry for entry in candidates if entry.upstream is None]
        if not candidates:
            reason = Reason.OVERLOADED if late else Reason.NO_UPSTREAM
            raise not_run_refusal(reason, call.service, max(wait, 1.0))
        chosen = self._policy.choose(
            candidates, profile.fingerprint, sheet().policy, self._rng
        )
        if chosen.upstream is None:
            return self.find_host(chosen.name, call)
        if call.hops or chosen.free:
            return await self.take_local_slot(request, chosen)
        return await self._wait_or_spill(request, chosen, call, profile, excluded)

    def _drop_removed(self, sheet: Sheet) -> None:
        """Drop the state of upstreams and services that a new sheet omits."""
        if sheet.version != self._seen_sheet_version:
            self._seen_sheet_version = sheet.version
            self.estimates.retain(sheet.upstreams)
            self._spill.retain(sheet.services)

    async def _wait_or_spill(self, request, chosen, call, profile, excluded) -> Target:
        """Wait for a slot, but leave the queue in time to run in another domain.

        Calls of higher priority may arrive meanwhile, so the wait predicted at the
        start is a lower bound.
        """
        weights = request.sheet().policy
        max_queue_seconds = self._policy.max_queue_seconds(
            weights, self._remote_overhead(request, call)
        )
        spill_at = min(
            self._clock.monotonic() + request.service_seconds + max_queue_seconds,
            request.expires - REMOTE_OVERHEAD_SECONDS,
        )
        try:
            return await self.take_local_slot(
                request._replace(expires=spill_at), chosen
            )
        except Refusal as refusal:
            if refusal.reason is not Reason.DEADLINE:
                raise
        remote = self._remote_candidates(request, call, excluded, True)
        if not remote:
            return await self.take_local_slot(request, chosen)
        chosen = self._policy.choose(remote, profile.fingerprint, weights, self._rng)
        return self.find_host(chosen.name, call)

    def _remote_overhead(self, request: SlotRequest, call: Call) -> RemoteOverhead:
        """Return the least overhead of running the call in another domain."""
        sheet = request.sheet()
        local_domain = self._membership.local_host.domain
        local_price = min(up.price for up in self._upstreams(sheet, call.service))
        prices = [
            up.price + _link_price(sheet, local_domain, up.domain) - local_price
            for up in sheet.upstreams.values()
            if up.service == call.service and up.domain != local_domain
        ]
        return RemoteOverhead(REMOTE_OVERHEAD_SECONDS, min(prices, default=0.0), True)

    async def find_local_slot(
        self, sheet: SheetSource, call: Call, profile: CallProfile
    ) -> Target:
        """Return a slot of a local upstream; raise Refusal (not run)."""
        request = self._slot_request(sheet, call, profile, set())
        candidates = self._local_candidates(request, set())
        if not candidates:
            raise not_run_refusal(Reason.NO_UPSTREAM, call.service, 1.0)
        if self._clock.monotonic() + candidates[0].wait > call.expires:
            raise not_run_refusal(Reason.OVERLOADED, call.service, candidates[0].wait)
        chosen = self._policy.choose(candidates, b"", sheet().policy, self._rng)
        return await self.take_local_slot(request, chosen)

    def find_host(self, domain: str, call: Call) -> Target:
        """Return a random host of a domain; raise Refusal (not run)."""
        hosts = self._hosts(domain, call)
        if not hosts:
            raise not_run_refusal(Reason.NO_UPSTREAM, f"no host in {domain}", 1.0)
        return Target(domain, None, self._rng.choice(hosts))

    async def take_local_slot(self, request: SlotRequest, chosen: Candidate) -> Target:
        """Take a slot of the chosen upstream, or wait for one of any local upstream."""
        upstream = chosen.upstream
        if chosen.free and not self._queues.length(request.service):
            self.estimates.started(upstream.name)
        else:
            upstream = await self._queues.wait(request)
        return Target(upstream.name, upstream, None)

    async def release(self, target: Target) -> None:
        """Release a slot and assign it to a waiting call."""
        if target.upstream is not None:
            self._release_slot(target.upstream)
            await self._queues.serve(target.upstream.service)

    def slot_usage(self, sheet: Sheet) -> dict[str, tuple[float, float]]:
        """Return slots and used slots of each service in the local domain."""
        hosts = self._host_count()
        now = self._clock.monotonic()
        loads = {}
        for upstream in sheet.upstreams.values():
            if upstream.domain == self._membership.local_host.domain:
                slots, used = loads.get(upstream.service, (0.0, 0.0))
                usable = self.estimates.usable(upstream.name, now)
                if usable and self._is_available(upstream):
                    slots += upstream.slots * self.estimates.health.ramp(
                        upstream.name, now
                    )
                    used += self.estimates.load(upstream, hosts, now) * upstream.slots
                loads[upstream.service] = (slots, used)
        for service, (slots, used) in loads.items():
            loads[service] = (slots, used + self._queues.length(service))
        return loads

    def _slot_request(self, sheet, call, profile, excluded) -> SlotRequest:
        def take_slot():
            free = [
                entry
                for entry in self._local_candidates(request, excluded)
                if entry.free
            ]
            if not free:
                return None
            chosen = self._policy.choose(
                free, profile.fingerprint, sheet().policy, self._rng
            )
            self.estimates.started(chosen.upstream.name)
            return chosen.upstream

        from_remote = self._came_from_other_domain(call)
        # A refusal has to reach the sending host while it can still retry the call.
        request = SlotRequest(
            sheet,
            call.service,
            call.workspace,
            call.priority,
            call.expires - (REMOTE_OVERHEAD_SECONDS if from_remote else 0.0),
            self.service_times.expected(call.service, profile.work_class),
            from_remote,
            take_slot,
        )
        return request

    def _local_candidates(
        self, request: SlotRequest, excluded: set[str]
    ) -> list[Candidate]:
        now = self._clock.monotonic()
        hosts = self._host_count()
        estimates = self.estimates
        usable = [
            (upstream, estimates.limit(upstream, hosts, now))
            for upstream in self._upstreams(request.sheet(), request.service)
            if upstream.name not in excluded and estimates.usable(upstream.name, now)
        ]
        full = all(estimates.held_slots(up.name) + 1 > limit for up, limit in usable)
        wait = 0.0
        if full or self._queues.length(request.service):
            parallel = sum(limit for _, limit in usable)
            wait = self._queues.predicted_wait(request, parallel)
        return [
            Candidate(
                name=upstream.name,
                upstream=upstream,
                wait=wait,
                price=upstream.price,
                away=False,
                load=estimates.load(upstream, hosts, now),
                weight=max(limit - estimates.held_slots(upstream.name), 0.0),
                free=estimates.held_slots(upstream.name) + 1 <= limit,
            )
            for upstream, limit in usable
            if full or estimates.held_slots(upstream.name) + 1 <= limit
        ]

    def _remote_candidates(
        self, request, call, excluded, needed: bool
    ) -> list[Candidate]:
        """Return the other domains with spare slots if the service spills over.

        With `needed`, they are returned without a spill as well. A forwarded call is
        never forwarded to another domain again.
        """
        sheet = request.sheet()
        local_host = self._membership.local_host
        slots, used = self.slot_usage(sheet).get(call.service, (0.0, 0.0))
        spill = self._spill.update(call.service, used / slots if slots else 1.0)
        if call.hops or not (spill or needed):
            return []
        now = self._clock.monotonic()
        prices: dict[str, list[float]] = {}
        capacity: dict[str, float] = {}
        for upstream in sheet.upstreams.values():
            if upstream.service == call.service and self._is_available(upstream):
                prices.setdefault(upstream.domain, []).append(upstream.price)
                capacity[upstream.domain] = (
                    capacity.get(upstream.domain, 0.0) + upstream.slots
                )
        domains = allowed_domains(sheet, call.workspace, call.service)
        candidates = []
        for domain in sorted(domains & set(prices) - {local_host.domain} - excluded):
            prior = ASSUMED_FREE_SHARE * capacity[domain]
            spare = self.domains.spare_slots(domain, call.service, prior, now)
            if spare > 0 and self._hosts(domain, call):
                candidates.append(
                    Candidate(
                        name=domain,
                        upstream=None,
                        wait=REMOTE_OVERHEAD_SECONDS,
                        price=min(prices[domain])
                        + _link_price(sheet, local_host.domain, domain),
                        away=sheet.region_of(domain)
                        != sheet.region_of(local_host.domain),
                        load=1 - min(spare / capacity[domain], 1.0),
                        weight=spare,
                        free=True,
                    )
                )
        return candidates

    def _hosts(self, domain: str, call: Call) -> list[HostInfo]:
        hosts = self.domains.hosts(domain, self._clock.monotonic())
        return [host for host in hosts if host.name not in call.hops]

    def _upstreams(self, sheet: Sheet, service: str) -> list[Upstream]:
        return [
            upstream
            for upstream in sheet.upstreams.values()
            if upstream.service == service
            and upstream.domain == self._membership.local_host.domain
            and self._is_available(upstream)
        ]

    def _is_available(self, upstream: Upstream) -> bool:
        if upstream.until is not None and self._clock.now() >= upstream.until:
            return False
        return self._accepts_work(upstream)

    def _came_from_other_domain(self, call: Call) -> bool:
        if not call.hops or call.kind is CallKind.ORDER:
            return False
        member = self._membership.member(call.hops[0])
        return (
            member is None or member.info.domain != self._membership.local_host.domain
        )

    def _host_count(self) -> int:
        local_domain = self._membership.local_host.domain
        members = self._membership.usable(self._clock.monotonic())
        return 1 + sum(member.info.domain == local_domain for member in members)

    def _release_slot(self, upstream: Upstream) -> None:
        self.estimates.finished(upstream.name)


def _link_price(sheet: Sheet, left: str, right: str) -> float:
    link = sheet.links.get(f"{left}/{right}") or sheet.links.get(f"{right}/{left}")
    return link.price if link else 0.0
