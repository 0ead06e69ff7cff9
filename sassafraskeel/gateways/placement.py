"""Placement by the coordinator of the region, asked over a control link."""

import itertools

from sassafraskeel.calls.attempts import AttemptHistory, Grant, Target
from sassafraskeel.calls.placement import AttemptFailure
from sassafraskeel.calls.route_placement import RoutePlacement
from sassafraskeel.calls.routing_state import RoutingState, no_replicas_refusal
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    ProtocolError,
    Reason,
    Refusal,
    SassafraskeelError,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Call
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.loads import Load, LoadTable
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.forwarding import message_to_refusal
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.messages import (
    CallProgress,
    Placed,
    PlacementRequest,
    Refuse,
)
from sassafraskeel.gateways.route_forwarding import (
    encode_route_policy,
)
from sassafraskeel.upstreams.access_checks import AccessChecks

# A granted slot is used within milliseconds. A host that was suspended meanwhile must
# not use it, because the coordinator has given it to another call.
GRANT_SECONDS = 1.0
# A coordinator that does not answer a request is not asked again for this long.
AVOID_SECONDS = 1.0
# The answer to a call that waits for a slot may take this much longer than its wait.
ANSWER_SECONDS = 0.3
# Grants that cannot be used because the local host does not know the replica yet.
MAX_UNUSABLE_GRANTS = 3
# Replicas that a request excludes because the local host had failures with them.
MAX_EXCLUDED = 32
NO_VALUE = -1.0


class CoordinatedPlacement:
    """Asks the coordinator for targets, and places calls itself without one.

    Implements Placement. `local` places the calls on the coordinator itself and while
    none answers; it counts all calls of the local host.
    """

    def __init__(
        self,
        local: RoutePlacement,
        state: RoutingState,
        coordination: Coordination,
        links: LinkManager,
        checks: AccessChecks,
        clock: Clock,
        log: LogSink,
    ):
        self._checks = checks
        self._local = local
        self._state = state
        self._coordination = coordination
        self._links = links
        self._clock = clock
        self._log = log
        self._numbers = itertools.count(1)
        self._avoided_until: dict[str, float] = {}
        # The load of the grants that came over each link, by its serial number.
        self._granted: dict[int, LoadTable] = {}

    async def find_target(self, call: Call, history: AttemptHistory) -> Target:
        if self._state.hosts.access.is_lost:
            target = self._target_elsewhere(call, history)
            if target is not None:
                return target
        # What another host of the region forwarded waits like a call of this one.
        forwarded = bool(call.hops) and not self._local.options.is_from_region(call)
        for _ in range(MAX_UNUSABLE_GRANTS):
            link = self._coordinator_link()
            now = self._clock.monotonic()
            if link is None or self._local.options.pause_left(call, now):
                # The coordinator does not know the pauses of the local host.
                break
            try:
                target = await self._request_target(link, call, history, forwarded)
            except Refusal:
                raise
            except SassafraskeelError as exc:
                self._avoid(link, exc)
                break
            if target is not None:
                return target
            forwarded = bool(call.hops)
        return await self._local.find_target(call, history)

    def _target_elsewhere(self, call: Call, history: AttemptHistory) -> Target | None:
        if call.hops:
            raise no_replicas_refusal()
        now = self._clock.monotonic()
        return self._local.target_elsewhere(call, history, now)

    def has_target(self, call: Call, history: AttemptHistory) -> bool:
        now = self._clock.monotonic()
        if self._state.hosts.access.is_lost and self._local.options.neighbours(
            call, history, now
        ):
            return True
        return self._local.has_target(call, history)

    async def head_received(self, target: Target) -> None:
        await self._local.head_received(target)
        self._change_granted(target, Load(0, -target.prompt_tokens))
        await self._report(target, "head", self._reported_requests(target))

    async def call_survived(self, target: Target) -> None:
        await self._local.call_survived(target)
        await self._report(target, "survived", NO_VALUE)

    async def attempt_failed(self, target: Target, failure: AttemptFailure) -> None:
        if failure is not AttemptFailure.REJECTED and await self._checks.is_lost():
            # Other hosts reach the replica, as far as is known.
            return
        await self._local.attempt_failed(target, failure)
        await self._report(target, failure.value, self._reported_requests(target))

    async def release(
        self, target: Target, call: Call, prefilled: bool, seconds: float | None = None
    ) -> None:
        await self._local.release(target, call, prefilled, seconds)
        tokens = 0 if prefilled else target.prompt_tokens
        self._change_granted(target, Load(-1, -tokens))
        await self._report(target, "ended", NO_VALUE if seconds is None else seconds)

    def announced_loads(self, coordinator: str) -> dict[str, Load]:
        """Return the loads of local calls that a coordinator has not granted."""
        loads = self._state.loads.local_loads()
        open_serials = {link.serial for link in self._links.links()}
        for serial in [item for item in self._granted if item not in open_serials]:
            del self._granted[serial]
        link = self._links.link(coordinator)
        if link is None or link.serial not in self._granted:
            return loads
        granted = self._granted[link.serial]
        rest = {name: load - granted.get(name) for name, load in loads.items()}
        return {name: load for name, load in rest.items() if load != Load(0, 0)}

    def _coordinator_link(self) -> ControlLink | None:
        """Return the link to the coordinator, None if this host places its calls."""
        now = self._clock.monotonic()
        local_host = self._state.hosts.local_host
        region = self._state.hosts.region_of(local_host)
        for host in self._coordination.candidates(region, now):
            if host.name == local_host.name:
                return None
            link = self._links.link(host.name)
            avoided_until = self._avoided_until.get(host.name, 0.0)
            if (
                link is not None
                and link.peer.incarnation == host.incarnation
                and now >= avoided_until
            ):
                return link
        return None

    async def _request_target(
        self, link: ControlLink, call: Call, history: AttemptHistory, forwarded: bool
    ) -> Target | None:
        """Return the target that a coordinator grants, None if it is not usable.

        Raises Refusal if the coordinator refuses the call, and another
        SassafraskeelError if it does not answer.
        """
        number = next(self._numbers)
        asked_at = self._clock.monotonic()
        start_within = min(call.expires, call.queue_deadline) - asked_at
        request = self._encode_request(number, call, history, asked_at, forwarded)
        answered = False
        try:
            reply = await link.request(request, max(start_within, 0) + ANSWER_SECONDS)
            answered = True
        finally:
            if not answered:
                await self._notify(link, CallProgress(number, "ended", NO_VALUE))
        if isinstance(reply, Refuse):
            if reply.reason == Reason.NOT_READY:
                raise ProtocolError(reply.detail)
            raise message_to_refusal(reply)
        if not isinstance(reply, Placed):
            raise ProtocolError("the reply to a placement request is not valid")
        if reply.region and call.hops:
            return None  # The next request says that the call cannot be sent on.
        if reply.region:
            return self._forward_target(reply, call, history)
        expires = asked_at + reply.waited + GRANT_SECONDS
        grant = Grant(link.peer.name, link.serial, number, expires)
        return await self._accept_grant(link, grant, reply, call, history)

    def _encode_request(
        self, number, call, history, now, forwarded: bool
    ) -> PlacementRequest:
        excluded = [
            *self._state.health.unusable(now),
            *self._state.silence_detector.silent_names(now),
            *(replica.name for replica in self._state.refusing(now)),
        ][:MAX_EXCLUDED]
        return PlacementRequest(
            number=number,
            service=call.service,
            kind=call.kind.value,
            priority=call.priority,
            forwarded=forwarded,
            timeout=call.expires - now,
            start_within=max(min(call.queue_deadline, call.expires) - now, 0.0),
            route_policy=encode_route_policy(call.route_policy),
            excluded=tuple(history.excluded.union(excluded)),
            penalized=tuple(history.penalized),
            fingerprint=call.fingerprint,
            software_version=call.software_version,
        )

    def _forward_target(self, reply: Placed, call, history) -> Target | None:
        now = self._clock.monotonic()
        host = self._local.choose_host(reply.region, call, history, now)
        if host is None:
            return None
        return Target(host.name, None, host, predicted_seconds=reply.predicted_seconds)

    async def _accept_grant(
        self, link: ControlLink, grant: Grant, reply: Placed, call, history
    ) -> Target | None:
        now = self._clock.monotonic()
        replica = self._state.fleet.get(reply.replica)
        usable = (
            replica is not None
            and self._state.accepts_work(replica, now)
            and call.software_version in ("", replica.software_version)
        )
        if not usable or now >= grant.expires:
            # The coordinator may know the replica before the local host does.
            if not usable:
                history.excluded.add(reply.replica)
                self._log_unused(call, reply.replica, now)
            await self._notify(link, CallProgress(grant.number, "ended", NO_VALUE))
            return None
        target = Target(
            replica.name,
            replica,
            None,
            call.kind.value,
            reply.prompt_tokens,
            reply.predicted_seconds,
            reply.requests,
            grant,
            placed_at=now,
        )
        self._local.take_granted(call, target)
        self._granted.setdefault(grant.link, LoadTable())
        self._change_granted(target, Load(1, reply.prompt_tokens))
        return target

    def _log_unused(self, call: Call, name: str, now: float) -> None:
        replica = self._state.fleet.get(name)
        cause = replica and self._state.statements.cause(replica, now)
        if replica is not None and self._state.accepts_work(replica, now):
            cause = "version"
        self._log.emit(
            Event.GRANT_UNUSED,
            call=call.call_id,
            to=name,
            cause=cause or "unlisted",
        )

    def _reported_requests(self, target: Target) -> float:
        now = self._clock.monotonic()
        requests = self._state.loads.reported_requests(target.name, now)
        return NO_VALUE if requests is None else float(requests)

    def _change_granted(self, target: Target, change: Load) -> None:
        if target.grant is not None and target.grant.link in self._granted:
            self._granted[target.grant.link].add(target.name, change)

    async def _report(self, target: Target, stage: str, value: float) -> None:
        if target.grant is None:
            return
        link = self._links.link(target.grant.coordinator)
        if link is not None and link.serial == target.grant.link:
            await self._notify(link, CallProgress(target.grant.number, stage, value))

    async def _notify(self, link: ControlLink, message: CallProgress) -> None:
        try:
            await link.notify(message)
        except ConnectionLost:
            return  # The link manager logs the loss, and the coordinator notices it.

    def _avoid(self, link: ControlLink, exc: SassafraskeelError) -> None:
        now = self._clock.monotonic()
        name = link.peer.name
        self._avoided_until = {
            other: until for other, until in self._avoided_until.items() if until > now
        }
        self._avoided_until[name] = now + AVOID_SECONDS
        self._log.emit(Event.COORDINATOR_SILENT, peer=name, detail=str(exc))
