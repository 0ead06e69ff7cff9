"""Calls of the routes of a manifest: checks, attempts and retries."""

from functools import partial
from typing import NamedTuple, Protocol

from sassafraskeel.calls.answers import ReleasingAnswer, buffer_answer
from sassafraskeel.calls.attempt_log import AttemptLog
from sassafraskeel.calls.attempts import AttemptHistory, Target, run_attempts
from sassafraskeel.calls.crash_guard import FeatureHasher
from sassafraskeel.calls.event_streams import EventStream, is_event_stream
from sassafraskeel.calls.placement import PlacedAttempt, Placement, attempt_failure
from sassafraskeel.calls.request_tracker import draining_refusal
from sassafraskeel.calls.route_options import expected_end, latest_end, state_stay
from sassafraskeel.calls.routing_state import RoutingState, no_replicas_refusal
from sassafraskeel.calls.stream_reports import StreamReporter
from sassafraskeel.calls.stream_resumer import FINAL_REASONS, StreamResumer
from sassafraskeel.calls.stream_versions import StreamVersions
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    Outcome,
    Reason,
    Refusal,
    UpstreamLost,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import (
    Answer,
    Call,
    CallKind,
    HostInfo,
    RoutePolicy,
)
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.routes import abandon_seconds
from sassafraskeel.decisions.shared_retry_budget import SharedRetryBudget

# Attempts of one call, including rejections and failed connections; a stream that is
# resumed gets as many again.
MAX_ATTEMPTS = 6
# A repeatable call without a response head is retried elsewhere after TIMEOUT_FACTOR
# times its predicted time, but not before the minimum for its kind. Plain services
# answer within tens of milliseconds.
MIN_PLAIN_TIMEOUT_SECONDS = 0.4
MIN_STREAM_TIMEOUT_SECONDS = 0.8
TIMEOUT_FACTOR = 4.0
# A resumable stream is resumed elsewhere after a gap of STALL_TIMEOUT_FACTOR times the
# pause that its route allows, but not before this minimum, because sound replicas may
# be silent for a second or so. The rest of the time after which its caller abandons it
# is for stopping the replica and resuming the stream.
MIN_STALL_TIMEOUT_SECONDS = 1.6
STALL_TIMEOUT_FACTOR = 3.0
MAX_STALL_SHARE = 0.5
# The platform and the host measure the time that is left of a replica separately.
RECLAIM_MARGIN_SECONDS = 0.5
# Refusals of hosts that have sent the call to no replica.
UNSENT_REASONS = (Reason.DRAINING, Reason.PEER_UNREACHABLE)
MIN_FAILURE_STATUS = 500
# Calls of callers that have arrived this long after a drain began are served only if
# they end in time. It is less than the time for which the host listens, because the
# drain begins some time after the signal on a busy host.
ACCEPT_SECONDS = 2.8


class ReplicaSender(Protocol):
    """Sends calls to replicas."""

    async def send(
        self,
        replica: Replica,
        call: Call,
        body: bytes,
        check,
        head_timeout: float | None,
    ):
        """Return the answer of a replica; raise Refusal.

        `check` is called right before the first byte is sent and raises Refusal if the
        replica may no longer be used. `head_timeout` is in seconds; None leaves only
        the deadline of the call.
        """

    async def has_ended(self, replica: Replica) -> bool:
        """Return whether a replica with a lost connection takes no new ones either."""


class HostSender(Protocol):
    """Sends calls to hosts of other regions."""

    async def send(self, host: HostInfo, call: Call, body: bytes) -> Answer:
        """Return the answer of a host; raise Refusal."""


class RouteSenders(NamedTuple):
    """The senders for the two kinds of targets."""

    replicas: ReplicaSender
    hosts: HostSender


class RouteCalls:
    """Sends calls of routes to a replica, or to a host of another region.

    Implements CallDispatcher and ResumePolicy.
    """

    def __init__(
        self,
        clock: Clock,
        log: LogSink,
        routing_state: RoutingState,
        placement: Placement,
        senders: RouteSenders,
        hasher: FeatureHasher,
        budget: SharedRetryBudget,
        versions: StreamVersions,
    ):
        self._clock = clock
        self._routing_state = routing_state
        self._placement = placement
        self._senders = senders
        self._hasher = hasher
        self._budget = budget
        self._versions = versions
        self._attempt_log = AttemptLog(clock, log, routing_state)
        self._resumer = StreamResumer(self, versions, clock, log, routing_state.hosts)

    def check(self, call: Call) -> None:
        """Raise Refusal unless this host may run the call; the body is not needed."""
        local_host = self._routing_state.hosts.local_host
        if local_host.name in call.hops or len(call.hops) > 1:
            raise not_run_refusal(
                Reason.LOOP, " > ".join((*call.hops, local_host.name))
            )
        if call.route_policy is None:
            raise not_run_refusal(Reason.BAD_REQUEST, "the call has no route")
        region = self._routing_state.hosts.region_of(local_host)
        if (
            call.hops
            and call.route_policy.home_regions
            and region not in call.route_policy.home_regions
        ):
            raise not_run_refusal(
                Reason.RESIDENCY, f"the route does not allow region {region}"
            )
        if call.expires <= self._clock.monotonic():
            raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")
        self._refuse_if_cut_off(call)
        if call.hops and self._routing_state.hosts.access.is_lost:
            raise no_replicas_refusal()

    def _refuse_if_cut_off(self, call: Call) -> None:
        """Raise Refusal if a draining host will probably close before a call is over.

        Callers learn of a drain from the directory, and those that come at its start
        are served for as long as the host stays. Nobody continues the streams of
        callers that are connected here.
        """
        hosts, now = self._routing_state.hosts, self._clock.monotonic()
        since = hosts.draining_since(hosts.local_host)
        if since is None or not (call.hops or now - since > ACCEPT_SECONDS):
            return
        over_at = call.expires
        if call.hops:
            over_at = latest_end(call, now)
        elif call.kind is CallKind.READ:
            over_at = expected_end(call, self._routing_state.service_times, now)
        if over_at > hosts.closes_at(hosts.local_host):
            raise draining_refusal()

    async def run(self, call: Call, body: bytes) -> Answer:
        """Return the answer to a call that passed `check`; raise Refusal."""
        self._refuse_if_cut_off(call)  # The body may have taken long to arrive.
        call = await self._versions.bind_call(call)
        if not call.hops:
            self._budget.record_call(call.service, self._clock.monotonic())
        call = call._replace(fingerprint=self._hasher.fingerprint(call, body))
        history = AttemptHistory()
        try:
            return await run_attempts(self, call, body, history)
        except Refusal as refusal:
            is_delivered = call.hops and history.delivered_attempts
            if is_delivered and refusal.reason in UNSENT_REASONS:
                # The host of the caller counts the requests that reached a replica.
                raise not_run_refusal(
                    Reason.UPSTREAM_REFUSED, refusal.detail, refusal.retry_after
                ) from refusal
            raise

    async def find_target(
        self, call: Call, body: bytes, history: AttemptHistory
    ) -> Target:
        target = await self._placement.find_target(call, history)
        try:
            self._charge_budget(call, history)
        except Refusal:
            await self._placement.release(target, call, prefilled=False)
            raise
        return target

    def _charge_budget(self, call: Call, history: AttemptHistory) -> None:
        """Charge a retry to the retry budget; raise Refusal if it is used up."""
        history.charged_at = None
        if not history.delivered_attempts:
            return
        self.check_budget(call)
        now = self._clock.monotonic()
        self._budget.record_retry(call.service, now)
        history.charged_at = now

    def has_target(self, call: Call, history: AttemptHistory) -> bool:
        return self._placement.has_target(call, history)

    def check_budget(self, call: Call) -> None:
        """Raise Refusal if the retry budget allows no retry."""
        now = self._clock.monotonic()
        hosts = self._routing_state.hosts.count(now)
        if not self._budget.allows(call.service, hosts, now):
            raise not_run_refusal(Reason.OVERLOADED, "the retry budget is used up", 0.5)

    async def send_attempt(
        self, target: Target, call: Call, body: bytes, history: AttemptHistory
    ) -> Answer:
        self._attempt_log.sent(call, target, history)
        has_ended = self._senders.replicas.has_ended
        attempt = PlacedAttempt(
            self._placement, target, call, has_ended, self._may_exit
        )
        try:
            if target.host is not None:
                return await self._attempt_on_host(target, call, body, history)
            return await self._attempt_on_replica(target, attempt, call, body, history)
        except BaseException as exc:
            try:
                if isinstance(exc, Refusal):
                    await self._record_refusal(target, call, exc, history)
                    await self._record_failure(target, attempt, exc)
                    self._attempt_log.failed(call, target, exc, history)
            finally:
                # The caller may leave while it is checked who is to blame.
                await attempt.release()
            raise

    def _may_exit(self, replica: Replica) -> bool:
        """Return whether a replica leaves, and may end once it has no more calls.

        One that is reclaimed at short notice ends whatever it runs.
        """
        now, state = self._clock.monotonic(), self._routing_state
        known = state.fleet.get(replica.name)
        if known is not None and known.terminates_at is not None:
            return now < known.terminates_at - RECLAIM_MARGIN_SECONDS
        is_listed = known is not None and not known.draining
        return not is_listed or state.statements.is_leaving(replica)

    async def _attempt_on_replica(self, target, attempt, call, body, history) -> Answer:
        started = self._clock.monotonic()
        answer = await self._send(target, call, body, history)
        try:
            return await self._receive_answer(
                target, attempt, call, body, answer, history, started
            )
        except BaseException:
            await answer.close()
            raise

    async def _attempt_on_host(self, target, call, body, history) -> Answer:
        local_host = self._routing_state.hosts.local_host
        forwarded = state_stay(call, history, self._routing_state)
        forwarded = forwarded._replace(hops=(*call.hops, local_host.name))
        started = self._clock.monotonic()
        try:
            answer = await self._senders.hosts.send(target.host, forwarded, body)
        except Refusal as refusal:
            if refusal.reason is Reason.VERSION_GONE:
                # The host speaks of its region only.
                refusal.reason = Reason.NO_UPSTREAM
            raise
        history.delivered_attempts += 1
        history.record_run(target)

        async def release(is_complete: bool) -> None:
            if is_complete:
                self._record_route_time(call, answer, started)

        if is_event_stream(answer.head) and answer.head.status < 300:
            version = answer.software_version
            if call.software_version and version != call.software_version:
                await answer.close()
                raise unknown_outcome_refusal(
                    Reason.UPSTREAM_FAILED, f"{target.name} used another version"
                )
            stream = EventStream(
                answer,
                self._clock,
                self._resumer.resume_function(call, body, history),
                on_events_begin=partial(
                    self._versions.events_begin, call, target, version, history
                ),
            )
            return ReleasingAnswer(stream, (), release, answer.software_version)
        buffered = await buffer_answer(
            target.name, call, answer, self._clock, answer.software_version
        )
        await release(True)
        return buffered

    def _record_route_time(self, call: Call, answer: Answer, started: float) -> None:
        """Record how long a complete answer took; the rest of a stream says nothing."""
        if answer.head.status < 300 and not call.resume_after:
            seconds = self._clock.monotonic() - started
            times, route = self._routing_state.route_times, call.route_policy.route
            times.record(route, call.kind.value, seconds)

    async def _send(self, target: Target, call, body, history):
        replica = target.upstream
        head_timeout = None
        if call.route_policy.repeatable and self._may_leave(target, call, history):
            head_timeout = self._head_timeout(target, call)

        def check():
            now = self._clock.monotonic()
            hosts = self._routing_state.hosts
            over_at = max(now, latest_end(call, now)) if call.hops else now
            if over_at >= hosts.closes_at(hosts.local_host):
                # The call has waited for a slot, or for the calls that end with the
                # host.
                raise draining_refusal()
            if not self._routing_state.fleet.accepts_work(replica, now):
                raise not_run_refusal(
                    Reason.NO_UPSTREAM, f"{replica.name} takes no new work"
                )
            cause = self._routing_state.statements.cause(replica, now)
            if cause:
                # It may have said so after the slot was taken or granted.
                raise not_run_refusal(Reason.OVERLOADED, f"{replica.name} is {cause}")
            if target.grant is not None and now >= target.grant.expires:
                raise not_run_refusal(
                    Reason.OVERLOADED, f"the grant of {replica.name} has lapsed"
                )

        return await self._senders.replicas.send(
            replica, call, body, check, head_timeout
        )

    async def _receive_answer(
        self, target, attempt: PlacedAttempt, call, body, answer, history, started
    ) -> Answer:
        history.delivered_attempts += 1
        history.record_run(target)
        version = target.upstream.software_version

        async def release(is_complete: bool) -> None:
            seconds = self._clock.monotonic() - started
            # The rest of a stream says nothing of how long whole ones last.
            is_whole = is_complete and not call.resume_after
            if is_complete and not is_whole:
                await attempt.survived()
            await attempt.release(seconds if is_whole else None)
            if is_complete:
                self._record_route_time(call, answer, started)

        if not is_event_stream(answer.head) or answer.head.status >= 300:
            buffered = await buffer_answer(
                target.name, call, answer, self._clock, version
            )
            await attempt.head_received()
            if answer.is_close_delimited and await attempt.answer_cut():
                detail = f"{target.name} ended with its answer"
                raise UpstreamLost(Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, detail)
            await release(True)
            return buffered
        stream = self._build_stream(target, attempt, call, body, answer, history)
        return ReleasingAnswer(stream, (), release, version)

    def _build_stream(
        self, target, attempt: PlacedAttempt, call, body, answer, history
    ) -> EventStream:
        """Return the events of a replica's answer, resumed elsewhere if it breaks."""
        if call.route_policy.resumable and not call.hops:
            answer.stall_timeout = _stall_timeout(call.route_policy)
        # Only the host that received the call from its caller resumes, so that
        # attempts do not multiply with each forwarding host.
        resume = (
            None if call.hops else self._resumer.resume_function(call, body, history)
        )
        may_resume = partial(self._may_leave, target, call, history)
        # After its last event, a resumed stream is empty. At its start, a stream that
        # ends with its connection and has no event was cut.
        needs_event = answer.is_close_delimited and not call.resume_after
        reporter = StreamReporter(answer, attempt, needs_event, self._clock)
        version = target.upstream.software_version
        events_begin = self._versions.events_begin
        return EventStream(
            reporter,
            self._clock,
            resume,
            may_resume,
            reporter,
            needs_event=needs_event,
            on_events_begin=partial(events_begin, call, target, version, history),
        )

    def _head_timeout(self, target: Target, call: Call) -> float:
        if call.kind is CallKind.MODEL:
            minimum = MIN_STREAM_TIMEOUT_SECONDS
        else:
            minimum = MIN_PLAIN_TIMEOUT_SECONDS
        return max(minimum, TIMEOUT_FACTOR * target.predicted_seconds)

    def _may_leave(self, target: Target, call: Call, history: AttemptHistory) -> bool:
        """Return whether a call may go on elsewhere if its replica stays silent.

        Without another target it stays, because a sound replica may be silent too.
        """
        planned_attempts = 0 if target in history.runs.values() else 1
        if not self._may_retry_possibly_run(call, history, planned_attempts):
            return False
        try:
            call = self._versions.bind_rest(call, history)
        except Refusal:
            return False
        left = history.targets_left()
        left.excluded.add(target.name)
        return self._placement.has_target(call, left)

    def _may_retry_possibly_run(
        self, call: Call, history: AttemptHistory, planned_attempts: int = 0
    ) -> bool:
        """Return whether a call that may have run may be retried.

        `planned_attempts` counts attempts that are not in `history` yet.
        """
        now = self._clock.monotonic()
        return (
            call.route_policy.repeatable
            and not call.hops
            and len(history.runs) + planned_attempts < call.route_policy.max_upstreams
            and history.round_attempts + planned_attempts < MAX_ATTEMPTS
            and call.expires > now
            and self._budget.allows(
                call.service, self._routing_state.hosts.count(now), now
            )
        )

    def may_retry_answer(
        self, call: Call, answer: Answer, history: AttemptHistory
    ) -> bool:
        return (
            answer.head.status >= MIN_FAILURE_STATUS
            and self._may_retry_possibly_run(call, history)
        )

    def may_retry(self, call: Call, refusal: Refusal, history: AttemptHistory) -> bool:
        if history.round_attempts >= MAX_ATTEMPTS or refusal.reason is Reason.DEADLINE:
            return False
        if refusal.reason in FINAL_REASONS:
            return False
        if call.hops and refusal.reason is Reason.DRAINING:
            return False  # The local host closes, whatever the replica.
        if refusal.outcome is Outcome.NOT_RUN:
            return call.expires > self._clock.monotonic()
        return self._may_retry_possibly_run(call, history)

    def _is_neighbour(self, target: Target) -> bool:
        """Return whether a target is another host of the local region."""
        hosts = self._routing_state.hosts
        return target.host is not None and (
            hosts.region_of(target.host) == hosts.region_of(hosts.local_host)
        )

    async def _record_refusal(
        self, target: Target, call: Call, refusal: Refusal, history: AttemptHistory
    ) -> None:
        delivered = refusal.outcome is Outcome.UNKNOWN or refusal.reason in (
            Reason.UPSTREAM_REFUSED,
            Reason.NO_UPSTREAM,
        )
        if delivered:
            history.delivered_attempts += 1
        elif refusal.reason in UNSENT_REASONS and history.charged_at is not None:
            # Only requests that arrive at a replica count, and a stream that waits for
            # a host may be offered in vain many times.
            self._budget.cancel_retry(call.service, history.charged_at)
        if refusal.outcome is Outcome.UNKNOWN:
            history.record_run(target)
        elif refusal.reason is Reason.OVERLOADED and self._is_neighbour(target):
            history.region_full = True
        if target.host is not None and refusal.reason is Reason.PEER_UNREACHABLE:
            now = self._clock.monotonic()
            self._routing_state.hosts.mark_unreachable(target.host, now)

    async def _record_failure(
        self, target: Target, attempt: PlacedAttempt, refusal: Refusal
    ) -> None:
        """Record what a refusal says of the replica that was tried."""
        if target.upstream is None:
            return
        now = self._clock.monotonic()
        accepts_work = self._routing_state.accepts_work(target.upstream, now)
        failure = attempt_failure(refusal, accepts_work)
        if failure is not None:
            await attempt.failed(failure)


def _stall_timeout(policy: RoutePolicy) -> float:
    """Return the seconds without an event after which a stream stalls."""
    timeout = max(MIN_STALL_TIMEOUT_SECONDS, STALL_TIMEOUT_FACTOR * policy.max_pause)
    longest = MAX_STALL_SHARE * abandon_seconds(policy.objective, policy.max_pause)
    return min(timeout, longest)
