"""The coordinator's side of placement: it places the calls of other hosts."""

from collections.abc import Callable
from typing import NamedTuple

import curio

from sassafraskeel.calls.attempts import AttemptHistory, Target
from sassafraskeel.calls.placement import AttemptFailure
from sassafraskeel.calls.route_placement import RoutePlacement
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ProtocolError,
    Reason,
    Refusal,
    not_run_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Call, CallKind, HostInfo
from sassafraskeel.decisions.loads import Load
from sassafraskeel.gateways.forwarding import refusal_to_message
from sassafraskeel.gateways.messages import CallProgress, Placed, PlacementRequest
from sassafraskeel.gateways.route_forwarding import decode_route_policy

# The coordinator forgets a grant when its call must have ended long ago.
GRANT_MARGIN_SECONDS = 2.0
MAX_GRANTS = 65536


class _GrantKey(NamedTuple):
    """A placement request of an incarnation of a host."""

    host: str
    incarnation: str
    number: int


class _GrantRecord(NamedTuple):
    """A granted slot; `expires` is in monotonic seconds."""

    target: Target
    service: str
    prefilled: bool
    expires: float


class PlacementServer:
    """Places the calls of the other hosts of the region, as their coordinator.

    The state is soft: grants end with the link of their host, and hosts announce what
    they run without a grant of this host in their heartbeats. Until `knows_replicas`
    returns True, hosts place their calls themselves: a host that has just started would
    refuse calls for want of replicas that others know.
    """

    def __init__(
        self,
        placement: RoutePlacement,
        state: RoutingState,
        clock: Clock,
        knows_replicas: Callable[[], bool],
        log: LogSink,
    ):
        self._knows_replicas = knows_replicas
        self._placement = placement
        self._state = state
        self._clock = clock
        self._log = log
        self._grants: dict[_GrantKey, _GrantRecord] = {}
        self._waiting: dict[_GrantKey, curio.Task] = {}

    async def place(self, peer: HostInfo, request: PlacementRequest):
        """Return Placed, or Refuse if there is no target in time."""
        if not self._knows_replicas():
            detail = "the coordinator has not read the store yet"
            return refusal_to_message(not_run_refusal(Reason.NOT_READY, detail))
        key = _GrantKey(peer.name, peer.incarnation, request.number)
        asked_at = self._clock.monotonic()
        call = request_to_call(request, asked_at)
        history = AttemptHistory()
        history.excluded.update(request.excluded)
        history.penalized.update(request.penalized)
        self._waiting[key] = await curio.current_task()
        try:
            target = await self._placement.find_target(call, history)
        except Refusal as refusal:
            return refusal_to_message(refusal)
        finally:
            abandoned = self._waiting.pop(key, None) is None
        if abandoned:
            # The cancellation came after the slot was taken.
            await self._placement.release(target, call, prefilled=False)
            detail = "the host no longer waits for the call"
            return refusal_to_message(not_run_refusal(Reason.DEADLINE, detail))
        if target.upstream is None:
            region = self._state.hosts.region_of(target.host)
            return Placed("", region, 0.0, 0, target.predicted_seconds, 0)
        await self._record_grant(key, target, call)
        return Placed(
            target.name,
            "",
            self._clock.monotonic() - asked_at,
            target.prompt_tokens,
            target.predicted_seconds,
            target.requests,
        )

    async def record_progress(self, peer: HostInfo, progress: CallProgress) -> None:
        """Record how the call of a grant goes."""
        key = _GrantKey(peer.name, peer.incarnation, progress.number)
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            await waiting.cancel(blocking=False)
            return
        grant = self._grants.get(key)
        if grant is None:
            return
        name, value = grant.target.name, progress.value
        if progress.stage == "ended":
            await self._end(key, value if value >= 0 else None)
            return
        if value >= 0:
            now = self._clock.monotonic()
            self._state.loads.reported(name, int(value), now)
        if progress.stage == "head":
            self._record_head(key, grant)
            await self._placement.serve_after_answer(grant.target)
        elif progress.stage == "survived":
            self._placement.replica_survived(grant.target)
        elif progress.stage in set(AttemptFailure):
            failure = AttemptFailure(progress.stage)
            self._log.emit(
                Event.REPLICA_FAILED,
                replica=name,
                source=peer.name,
                failure=failure.value,
            )
            self._placement.replica_failed(grant.target, failure)
        else:
            raise ProtocolError("the stage of a call is unknown")

    async def link_closed(self, peer: HostInfo) -> None:
        """Drop the grants of a host that has no link any more."""
        owner = (peer.name, peer.incarnation)
        for key in [key for key in self._grants if key[:2] == owner]:
            await self._end(key, None)

    async def drop_expired(self) -> None:
        """Drop the grants whose calls must have ended, oldest first."""
        now = self._clock.monotonic()
        expired = [key for key, grant in self._grants.items() if now >= grant.expires]
        for key in expired:
            await self._end(key, None)

    async def _record_grant(self, key: _GrantKey, target: Target, call: Call) -> None:
        if len(self._grants) >= MAX_GRANTS:
            await self._end(next(iter(self._grants)), None)
        load = Load(1, target.prompt_tokens)
        self._state.loads.grant(target.name, load)
        expires = call.expires + GRANT_MARGIN_SECONDS
        self._grants[key] = _GrantRecord(target, call.service, False, expires)

    def _record_head(self, key: _GrantKey, grant: _GrantRecord) -> None:
        target = grant.target
        if not grant.prefilled:
            self._grants[key] = grant._replace(prefilled=True)
            change = Load(0, -target.prompt_tokens)
            self._state.loads.change_granted(target.name, change)
        self._placement.replica_answered(target)

    async def _end(self, key: _GrantKey, seconds: float | None) -> None:
        grant = self._grants.pop(key)
        target = grant.target
        self._placement.attempt_ended(target)
        tokens = 0 if grant.prefilled else target.prompt_tokens
        self._state.loads.change_granted(target.name, Load(-1, -tokens))
        if seconds is not None:
            self._placement.replica_survived(target)
            self._state.service_times.record(grant.service, target.work_class, seconds)
        await self._placement.serve(grant.service)


def request_to_call(request: PlacementRequest, now: float) -> Call:
    """Return what placement needs of a call; raise ProtocolError if it is malformed."""
    if request.kind not in set(CallKind):
        raise ProtocolError(f"unknown call kind {request.kind!r}")
    return Call(
        call_id="",
        workspace="",
        service=request.service,
        kind=CallKind(request.kind),
        method="",
        path="",
        headers=(),
        expires=now + request.timeout,
        priority=request.priority,
        hops=("",) if request.forwarded else (),
        fingerprint=request.fingerprint,
        route_policy=decode_route_policy(request.route_policy),
        queue_deadline=now + request.start_within,
        software_version=request.software_version,
    )
