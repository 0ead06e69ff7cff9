"""Finding the replica or the region where a call of a route runs."""

import random
from collections.abc import Callable
from typing import NamedTuple

from sassafraskeel.calls.attempts import Place, Tried
from sassafraskeel.calls.slots import SlotQueues, Wanted
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, Refusal, TimedOut, not_run
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
# Replicas that are known but may not be used, such as cold ones, may become usable,
# and those of a zone that crashed together are back after some seconds.
NO_REPLICA_WAIT_SECONDS = 1.0
NO_REPLICA_POLL_SECONDS = 0.15
# Replicas whose entries lapsed drop out by time alone.
VIEW_SECONDS = 0.2
MAX_VIEWS = 256
# A replica that just answered with a failure may do so again.
SOFT_FAILURE_SECONDS = 0.05
# A refused caller asks once more and is late in any case, so that it is told a time at
# which a queue has drained, or a crashed replica is back and warm.
RETRY_AFTER_SECONDS = 2.0
NO_REPLICA_RETRY_SECONDS = 5.0


class _View(NamedTuple):
    """The replicas of a service by region, as of some time and state of the fleet."""

    made_at: float
    changes: int
    regions: dict[str, list[Replica]]


class _Region(NamedTuple):
    """Another region with the predicted time of its best replica, the way included."""

    name: str
    hosts: list[HostInfo]
    seconds: float
    busy: float


class Beliefs(NamedTuple):
    """What a host believes, as its placement uses it."""

    fleet: Fleet
    hosts: HostTable
    loads: ReplicaLoads
    prompts: PromptCaches
    health: Health
    pacer: ColdPacer
    times: ServiceTimes
    forwards: RecentForwards
    pulses: SilenceDetector


class RoutePlacement:
    """Chooses places by predicted time and keeps account of slots."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        beliefs: Beliefs,
        spares: Callable[[HostInfo], int] = lambda host: 0,
    ):
        self._spares = spares
        self._views: dict[str, _View] = {}
        self._clock = clock
        self._rng = rng
        self._beliefs = beliefs
        self._queues = SlotQueues(
            QUEUE_LENGTH, clock, self._give_back, lambda wanted: {}
        )

    def waiting(self, service: str) -> int:
        """Return how many calls wait for a slot of a service."""
        return self._queues.length(service)

    async def find(self, call: Call, tried: Tried) -> Place:
        """Return a place; raise Refusal (not run) if there is none in time."""
        waited_until = self._clock.monotonic() + NO_REPLICA_WAIT_SECONDS
        expires = min(call.expires, call.start_by)
        while True:
            now = self._clock.monotonic()
            if expires <= now:
                detail = f"no slot of {call.service} became free in time"
                raise not_run(Reason.OVERLOADED, detail, RETRY_AFTER_SECONDS)
            place = self._place(call, tried, now)
            if place is not None:
                return place
            if self._local(call, tried, now, free=False):
                place = await self._wait(call, tried, now)
                if place is not None:
                    return place
                continue
            if now >= min(waited_until, expires):
                detail = f"no replica of {call.service} can be used"
                raise not_run(Reason.NO_UPSTREAM, detail, NO_REPLICA_RETRY_SECONDS)
            await self._clock.sleep(NO_REPLICA_POLL_SECONDS)

    async def leave(self, place: Place, service: str) -> None:
        """Give a slot back and serve the calls that wait for it."""
        if place.upstream is not None:
            self._give_back(place.upstream)
            await self._queues.serve(service)

    def _place(self, call: Call, tried: Tried, now: float) -> Place | None:
        """Return the best place that takes the call at once, or None."""
        local = self._local(call, tried, now, free=True)
        if self._queues.length(call.service) and not call.hops:
            local = []  # Those that wait come first.
        best = min((option.seconds for option in local), default=None)
        if not call.hops and considers_other_regions(best, call.terms.objective):
            remote = self._best_region(call, tried, now, free=True)
            if remote is not None and prefers_other_region(best, remote.seconds):
                return self._forward(call, remote, now)
        if local:
            return self._take(call, choose_option(local, self._rng), now)
        if call.hops or self._local(call, tried, now, free=False):
            return None
        # No replica of the own region can ever take it, so it waits in another one.
        remote = self._best_region(call, tried, now, free=False)
        return self._forward(call, remote, now) if remote else None

    async def _wait(self, call: Call, tried: Tried, now: float) -> Place | None:
        """Wait for a slot; return None when other regions are to be looked at again."""
        taken: dict[str, Place] = {}
        expires = min(call.expires, call.start_by)
        look_at = min(expires, now + call.terms.objective / 2)

        def choose():
            now = self._clock.monotonic()
            local = self._local(call, tried, now, free=True)
            if local:
                place = self._take(call, choose_option(local, self._rng), now)
                taken[place.name] = place
                return place.upstream
            return None

        wanted = Wanted(
            sheet=None,
            service=call.service,
            workspace=call.terms.route,
            priority=call.priority,
            expires=expires,
            # The bound is on the start of the call, not on its end.
            work=0.0,
            remote=bool(call.hops),
            choose=choose,
        )
        try:
            async with self._clock.timeout(look_at - now):
                replica = await self._queues.wait(wanted)
        except TimedOut:
            return None
        except Refusal as refusal:
            refusal.retry_after = refusal.retry_after or RETRY_AFTER_SECONDS
            raise
        return taken[replica.name]

    def _take(self, call: Call, option: Option, now: float) -> Place:
        beliefs, replica = self._beliefs, option.replica
        prompt = call.terms.prompt
        tokens = 0
        if prompt is not None:
            tokens = max(prompt.tokens_in - option.cached_tokens, 0)
            memory = beliefs.fleet.kv_cache_tokens(replica.name)
            beliefs.prompts.record_prompt(replica.name, prompt, memory)
        beliefs.loads.started(replica.name, tokens)
        spec = beliefs.fleet.service(replica.service)
        if beliefs.fleet.is_cold(replica, now):
            beliefs.pacer.sent(replica.name, spec.cold_rate, now)
        return Place(
            replica.name, replica, None, call.kind.value, tokens, option.seconds
        )

    def _give_back(self, replica: Replica) -> None:
        self._beliefs.loads.finished(replica.name)

    def _by_region(self, service: str, now: float) -> dict[str, list[Replica]]:
        fleet = self._beliefs.fleet
        view = self._views.get(service)
        if (
            view is None
            or view.changes != fleet.changes
            or not 0 <= now - view.made_at < VIEW_SECONDS
        ):
            if len(self._views) >= MAX_VIEWS:
                self._views.clear()
            regions = fleet.by_region(service, now)
            view = self._views[service] = _View(now, fleet.changes, regions)
        return view.regions

    def _local(self, call, tried, now, free: bool) -> list[Option]:
        region = self._beliefs.hosts.region_of(self._beliefs.hosts.own)
        if call.terms.homes and region not in call.terms.homes:
            return []
        replicas = self._by_region(call.service, now).get(region, [])
        usable = [
            replica
            for replica in replicas
            if replica.name not in tried.lost
            and self._usable(replica, now)
            and (not free or self._is_free(replica, now))
        ]
        return self._options(call, usable, replicas, tried, now)

    def _best_region(self, call, tried, now, free) -> _Region | None:
        beliefs = self._beliefs
        best = None
        for region in beliefs.hosts.regions(now):
            if call.terms.homes and region not in call.terms.homes:
                continue
            hosts = [
                host
                for host in beliefs.hosts.reachable(region, now)
                if host.name not in tried.lost
            ]
            replicas = self._by_region(call.service, now).get(region, [])
            usable = [
                replica
                for replica in replicas
                if not beliefs.fleet.reports_cold(replica, now)
                and (not free or self._is_free(replica, now))
            ]
            if not hosts or not usable:
                continue
            options = self._options(call, usable, replicas, tried, now)
            option = min(options, key=lambda option: option.seconds)
            unreported_work = beliefs.forwards.unreported_work(
                region, call.service, now
            )
            seconds = (
                option.seconds + unreported_work / len(options) + CROSS_REGION_SECONDS
            )
            if not any(self._spares(host) for host in hosts):
                seconds += CONNECT_SECONDS
            if best is None or seconds < best.seconds:
                best = _Region(region, hosts, seconds, option.busy)
        return best

    def _forward(self, call: Call, remote: _Region, now: float) -> Place:
        host = self._choose_host(remote.hosts)
        self._beliefs.forwards.sent(remote.name, call.service, remote.busy, now)
        return Place(host.name, None, host, seconds=remote.seconds)

    def _choose_host(self, hosts: list[HostInfo]) -> HostInfo:
        """Return one of the hosts to which a connection is open, if there is one."""
        ready = [host for host in hosts if self._spares(host)]
        return self._rng.choice(ready or hosts)

    def _options(self, call, usable, replicas, tried, now) -> list[Option]:
        """Return the usable ones of a region's replicas with their predicted times."""
        if not usable:
            return []
        beliefs, prompt = self._beliefs, call.terms.prompt
        spec = beliefs.fleet.service(call.service)
        work = beliefs.times.expected(call.service, call.kind.value)
        favourite = ""
        if prompt is not None:
            favourite = preferred_replica(
                prompt, [replica.name for replica in replicas]
            )
        options = []
        for replica in usable:
            held = beliefs.prompts.cached_tokens(replica.name, prompt) if prompt else 0
            load = beliefs.loads.total(replica.name, now)
            seconds = predicted_seconds(replica, load, spec, prompt, held, work)
            if replica.zone != beliefs.hosts.own.domain:
                seconds += CROSS_ZONE_SECONDS
            if replica.name == favourite:
                seconds -= affinity_bonus_seconds(prompt, held)
            if replica.name in tried.failed:
                seconds += SOFT_FAILURE_SECONDS
            busy = busy_seconds(replica, spec, prompt, held, work)
            options.append(Option(replica, seconds, held, busy))
        return options

    def _usable(self, replica: Replica, now: float) -> bool:
        beliefs = self._beliefs
        if not beliefs.health.usable(replica.name, now):
            return False
        if beliefs.pulses.is_silent(replica.name, now):
            return False
        if beliefs.health.is_failing(replica.name):
            # One call at a time finds out whether it is back.
            return beliefs.loads.local_load(replica.name).running == 0
        if beliefs.fleet.is_cold(replica, now):
            region_peers = beliefs.hosts.region_peers(now)
            return beliefs.pacer.may_send(replica.name, region_peers, now)
        return True

    def _is_free(self, replica: Replica, now: float) -> bool:
        spec = self._beliefs.fleet.service(replica.service)
        running = self._beliefs.loads.total(replica.name, now).running
        return running < slot_limit(replica, spec)
