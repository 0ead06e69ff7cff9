"""Modelled engines and hosts of one region, for replays of loads in virtual time."""

import random
from collections import Counter, OrderedDict
from typing import NamedTuple

import curio

from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.calls.crash_guard import CrashGuard, FeatureHasher
from sassafraskeel.calls.route_placement import RoutePlacement
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.errors import Refusal
from sassafraskeel.core.log import NullLog
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import (
    Call,
    CallKind,
    HostInfo,
    Prompt,
    PromptPart,
    RoutePolicy,
)
from sassafraskeel.decisions.call_costs import CallCosts
from sassafraskeel.decisions.crash_evidence import CrashEvidence
from sassafraskeel.decisions.estimates import ServiceTimes
from sassafraskeel.decisions.fleet import Fleet, Replica
from sassafraskeel.decisions.forwards import RecentForwards
from sassafraskeel.decisions.health import Health
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.loads import ReplicaLoads
from sassafraskeel.decisions.membership import Membership
from sassafraskeel.decisions.pacing import ColdPacer
from sassafraskeel.decisions.prompt_caches import PromptCaches
from sassafraskeel.decisions.region_loads import RegionLoads
from sassafraskeel.decisions.replica_statements import NamedLimit, ReplicaStatements
from sassafraskeel.decisions.routes import (
    CallerLimits,
    EngineSpec,
    Manifest,
    Route,
    ServiceSpec,
    TrafficShare,
)
from sassafraskeel.decisions.silence import SilenceDetector
from sassafraskeel.decisions.version_history import VersionHistory

ADDRESS = Address("10.0.0.1", 80)
REGIONS = {"a": "north"}
SERVICE = "chat"


class EngineModel(NamedTuple):
    """Speeds and sizes of an engine, in tokens and seconds."""

    slots: int = 12
    kv_cache_tokens: int = 256_000
    prefill_rate: float = 50_700.0
    step: float = 0.006
    step_per_slot: float = 0.000045
    # A step that also prefills a chunk of a prompt takes this much longer.
    chunk: float = 0.04
    tokens_per_event: int = 5


SMALL_ENGINE = EngineModel()


class Engine:
    """Prefills one prompt at a time, keeps prompt parts and decodes in its slots."""

    def __init__(self, clock, model: EngineModel):
        self._clock = clock
        self._model = model
        self._slots = curio.Semaphore(model.slots)
        self._prefilling = curio.Lock()
        self._parts: OrderedDict[str, int] = OrderedDict()
        self.requests = 0
        self.prefilled_tokens = 0

    async def first_token(self, prompt: Prompt) -> None:
        """Wait for a slot and for the prefill of a prompt."""
        self.requests += 1
        await self._slots.acquire()
        async with self._prefilling:
            tokens = prompt.input_tokens - self._cached_tokens(prompt)
            self.prefilled_tokens += tokens
            await self._clock.sleep(tokens / self._model.prefill_rate)

    async def decode(self, tokens: int) -> None:
        """Generate tokens and release the slot; prefills slow every step down."""
        model = self._model
        for _ in range(max(tokens // model.tokens_per_event, 1)):
            step = model.step + model.step_per_slot * self.requests
            if self._prefilling.locked():
                step += model.chunk
            await self._clock.sleep(model.tokens_per_event * step)
        await self._slots.release()
        self.requests -= 1

    def _cached_tokens(self, prompt: Prompt) -> int:
        cached, missed = 0, False
        for part in prompt.parts:
            missed = missed or part.name not in self._parts
            cached += 0 if missed else part.tokens
            self._parts[part.name] = part.tokens
            self._parts.move_to_end(part.name)
        while sum(self._parts.values()) > self._model.kv_cache_tokens:
            self._parts.popitem(last=False)
        return cached


class Result(NamedTuple):
    """The outcome of a load: shares of all calls, and tokens prefilled per call."""

    in_time: float
    refused: float
    prefilled_tokens: float


def build_crash_guard(clock) -> CrashGuard:
    """Return a guard without evidence."""
    evidence = CrashEvidence("h-0", "1")
    return CrashGuard(evidence, FeatureHasher("sassafraskeel"), clock, NullLog())


class Region:
    """Hosts that place calls on engines, each with the state that it would have.

    With `coordinated`, all hosts use the placement of one of them. Otherwise each
    places by its own calls, by the load reports in its answers and by the calls of
    `heard` other hosts, which it hears of every 0.4 s.
    """

    def __init__(
        self, clock, hosts, engines, coordinated, heard=16, seed=1, model=SMALL_ENGINE
    ):
        self.clock = clock
        self._model = model
        self.rng = random.Random(seed)
        self.engines = {f"e-{n}": Engine(clock, model) for n in range(engines)}
        count = 1 if coordinated else hosts
        self._states = [self._build_state(number) for number in range(count)]
        self._placements = [
            RoutePlacement(
                clock, random.Random(number), state, build_crash_guard(clock)
            )
            for number, state in enumerate(self._states)
        ]
        self._heard = 0 if coordinated else heard
        # The limits that engines name, in requests per second.
        self.limits: dict[str, float] = {}
        self.outcomes: list[str] = []
        self.by_priority = {0: Counter(), 1: Counter()}

    def _build_state(self, number) -> RoutingState:
        fleet = Fleet(REGIONS)
        spec = ServiceSpec(
            SERVICE,
            "/",
            1000,
            0.0,
            0.0,
            EngineSpec(self._model.slots, self._model.kv_cache_tokens),
        )
        routes = tuple(
            Route(
                f"r-{priority}",
                "",
                "/",
                CallKind.MODEL,
                (TrafficShare(SERVICE, 1.0),),
                5.0,
                0.8,
                0.4,
                priority,
                1,
                False,
                frozenset(),
            )
            for priority in range(2)
        )
        fleet.accept(
            Manifest(1, routes, {SERVICE: spec}, CallerLimits(1, 1, 1, 1)), 0.0
        )
        for name in self.engines:
            slots = self._model.slots
            fleet.update(Replica(name, 1, SERVICE, "a", ADDRESS, slots, False))
        host = HostInfo(f"h-{number}", "a", "1", ADDRESS, ADDRESS)
        return RoutingState(
            fleet,
            HostTable(Membership(host), REGIONS),
            ReplicaLoads(),
            PromptCaches(),
            Health(1.0),
            ColdPacer(),
            ServiceTimes(),
            ServiceTimes(),
            RecentForwards(),
            SilenceDetector(),
            RegionLoads(),
            lambda name, now: 1.0,
            ReplicaStatements(),
            CallCosts(),
            VersionHistory(),
        )

    async def exchange_loads(self):
        """Tell each host the calls of some others, every 0.4 s; never return."""
        while True:
            await self.clock.sleep(0.4)
            loads = [state.loads.local_loads() for state in self._states]
            for state in self._states:
                now = self.clock.monotonic()
                others = min(self._heard, len(loads) - 1)
                for number in self.rng.sample(range(len(loads)), others):
                    if loads[number] is not loads[self._states.index(state)]:
                        state.loads.update_announced(f"h-{number}", loads[number], now)

    async def run_call(
        self, prompt: Prompt, output: int, priority: int, seconds: float
    ):
        """Place a call and run it; record whether its first token came in time."""
        placement = self.rng.choice(self._placements)
        started = self.clock.monotonic()
        policy = RoutePolicy(
            f"r-{priority}", 1, False, False, seconds, 0.4, 1, prompt=prompt
        )
        call = Call(
            "c",
            "",
            SERVICE,
            CallKind.MODEL,
            "POST",
            "/",
            (),
            expires=started + 5.0,
            priority=priority,
            route_policy=policy,
            queue_deadline=started + 1.6,
        )
        try:
            target = await placement.find_target(call, AttemptHistory())
        except Refusal:
            self.outcomes.append("refused")
            self.by_priority[priority]["refused"] += 1
            return
        engine = self.engines[target.name]
        await engine.first_token(prompt)
        is_in_time = self.clock.monotonic() - started <= seconds
        outcome = "in time" if is_in_time else "late"
        self.outcomes.append(outcome)
        self.by_priority[priority][outcome] += 1
        index = self._placements.index(placement)
        now = self.clock.monotonic()
        self._states[index].loads.reported(target.name, engine.requests, now)
        limit = NamedLimit(self.limits.get(target.name))
        self._states[index].statements.answered(target.upstream, limit, now, now)
        await placement.head_received(target)
        await engine.decode(output)
        await placement.release(target, call, True, self.clock.monotonic() - started)

    def result(self) -> Result:
        """Return the outcome of the calls so far."""
        calls = max(len(self.outcomes), 1)
        tokens = sum(engine.prefilled_tokens for engine in self.engines.values())
        return Result(
            self.outcomes.count("in time") / calls,
            self.outcomes.count("refused") / calls,
            tokens / calls,
        )


async def replay(region: Region, rate: float, seconds: float, subjects: int) -> Result:
    """Send calls at a rate for some seconds, and return their outcome at the end.

    Six of ten calls have a long prompt that shares its subject's part with others; the
    rest have short prompts and long answers.
    """
    rng = random.Random(7)
    tasks = []
    heard = await curio.spawn(region.exchange_loads, daemon=True)
    ends_at = region.clock.monotonic() + seconds
    while region.clock.monotonic() < ends_at:
        await region.clock.sleep(rng.expovariate(rate))
        number = len(tasks)
        if rng.random() < 0.6:
            subject = PromptPart(f"s-{rng.randrange(subjects)}", 3780)
            common = PromptPart(f"g-{rng.randrange(4)}", 2520)
            own = int(rng.expovariate(1 / 2890))
            prompt = Prompt(
                "m", 6300 + own, 52, (common, subject, PromptPart(f"o-{number}", own))
            )
            args = (prompt, 52, 1, 0.8)
        else:
            prompt = Prompt("m", 826, 290, (PromptPart(f"o-{number}", 826),))
            args = (prompt, 290, 0, 0.8)
        tasks.append(await curio.spawn(region.run_call, *args))
    for task in tasks:
        await task.join()
    await heard.cancel()
    return region.result()
