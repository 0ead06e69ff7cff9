"""Calls of the routes of a manifest: checks, sends, repeats and resumption."""

from typing import NamedTuple, Protocol

from sassafraskeel.calls.answers import HeldAnswer
from sassafraskeel.calls.attempts import Place, Tried, run_attempts
from sassafraskeel.calls.event_streams import EventStream, is_event_stream
from sassafraskeel.calls.route_placement import Beliefs, RoutePlacement
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    Outcome,
    Reason,
    Refusal,
    SassafraskeelError,
    TimedOut,
    not_run,
    unknown,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import (
    Answer,
    Call,
    CallKind,
    Head,
    HostInfo,
    WholeAnswer,
    read_whole,
)
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.shared_retry_budget import SharedRetryBudget

MAX_WHOLE_BYTES = 4 * 1024 * 1024
# Sends of one call, rejections and failed connections included.
MAX_SENDS = 6
# A plain service answers in tens of milliseconds; after this, or several times the
# predicted time, a call that may be repeated is sent elsewhere.
PLAIN_PATIENCE_SECONDS = 0.4
STREAM_PATIENCE_SECONDS = 0.8
PATIENCE_FACTOR = 4.0
# A stream that may be resumed goes on elsewhere after a gap this long; callers leave
# after at least two seconds without an event.
MIN_STALL_SECONDS = 1.0
STALL_PAUSES = 3.0
# Callers leave a stream after a gap of two seconds.
RESUME_SECONDS = 1.2
FAILURE_STATUS = 500


class ReplicaSender(Protocol):
    """Carries calls to replicas."""

    async def send(
        self, replica: Replica, call: Call, body: bytes, check, patience: float | None
    ):
        """Return the answer of a replica; raise Refusal."""


class HostSender(Protocol):
    """Carries calls to hosts of other regions."""

    async def send(self, host: HostInfo, call: Call, body: bytes) -> Answer:
        """Return the answer of a host; raise Refusal."""


class Senders(NamedTuple):
    """How calls leave this host."""

    replicas: ReplicaSender
    hosts: HostSender


class RouteCalls:
    """Carries calls of routes to a replica, or to a host of another region.

    Implements CallDispatcher and CallRules.
    """

    def __init__(
        self,
        clock: Clock,
        log: LogSink,
        beliefs: Beliefs,
        placement: RoutePlacement,
        senders: Senders,
        budget: SharedRetryBudget,
    ):
        self._clock = clock
        self._log = log
        self._beliefs = beliefs
        self._placement = placement
        self._senders = senders
        self._budget = budget

    def check(self, call: Call) -> None:
        """Raise Refusal unless this host may take the call; needs no body."""
        own = self._beliefs.hosts.own
        if own.name in call.hops or len(call.hops) > 1:
            raise not_run(Reason.LOOP, " > ".join((*call.hops, own.name)))
        if call.terms is None:
            raise not_run(Reason.BAD_REQUEST, "the call has no route")
        region = self._beliefs.hosts.region_of(own)
        if call.hops and call.terms.homes and region not in call.terms.homes:
            raise not_run(Reason.RESIDENCY, f"{region} may not hold the call")
        if call.expires <= self._clock.monotonic():
            raise not_run(Reason.DEADLINE, "the deadline has passed")

    async def run(self, call: Call, body: bytes) -> Answer:
        """Return the answer to a call that was checked; raise Refusal."""
        if not call.hops:
            self._budget.record_call(call.service, self._clock.monotonic())
        return await run_attempts(self, call, body, Tried())

    async def find(self, call: Call, body: bytes, tried: Tried) -> Place:
        place = await self._placement.find(call, tried)
        try:
            self._spend(call, tried)
        except Refusal:
            await self._leave(place, call, prefilled=False)
            raise
        return place

    def _spend(self, call: Call, tried: Tried) -> None:
        """Count a repeat; raise Refusal if there is no budget for it."""
        if not tried.arrivals:
            return
        now = self._clock.monotonic()
        hosts = self._beliefs.hosts.count(now)
        if not self._budget.allows(call.service, hosts, now):
            raise not_run(Reason.OVERLOADED, "no budget for another send", 0.5)
        self._budget.record_retry(call.service, now)

    async def carry(
        self, place: Place, call: Call, body: bytes, tried: Tried
    ) -> Answer:
        self._log_send(call, place, tried)
        try:
            if place.host is not None:
                return await self._carry_to_host(place, call, body, tried)
            return await self._carry_to_replica(place, call, body, tried)
        except BaseException as exc:
            if isinstance(exc, Refusal):
                self._note_refusal(place, exc, tried)
                self._log_attempt(call, place, exc, tried)
            await self._leave(place, call, prefilled=False)
            raise

    async def _carry_to_replica(self, place, call, body, tried) -> Answer:
        started = self._clock.monotonic()
        answer = await self._send(place, call, body, tried)
        try:
            return await self._receive(place, call, body, answer, tried, started)
        except BaseException:
            await answer.close()
            raise

    async def _carry_to_host(self, place, call, body, tried) -> Answer:
        own = self._beliefs.hosts.own
        forwarded = call._replace(hops=(*call.hops, own.name))
        answer = await self._senders.hosts.send(place.host, forwarded, body)
        tried.arrivals += 1
        tried.ran.add(place.name)
        if is_event_stream(answer.head) and answer.head.status < 300:
            return EventStream(answer, self._resume(call, body, tried))
        return await self._whole(place, answer)

    async def _send(self, place: Place, call, body, tried):
        replica = place.upstream
        patience = None
        if call.terms.repeatable and self._may_repeat(call, tried, more=1):
            patience = self._patience(place, call)

        def check():
            now = self._clock.monotonic()
            if not self._beliefs.fleet.takes_work(replica, now):
                raise not_run(Reason.NO_UPSTREAM, f"{replica.name} takes no new work")

        return await self._senders.replicas.send(replica, call, body, check, patience)

    async def _receive(self, place, call, body, answer, tried, started) -> Answer:
        replica = place.upstream
        tried.arrivals += 1
        tried.ran.add(replica.name)
        self._note_alive(replica)

        async def leave(whole: bool) -> None:
            seconds = self._clock.monotonic() - started
            if whole:
                self._beliefs.times.record(call.service, place.work, seconds)
            await self._leave(place, call, prefilled=True)

        # The head comes with the first token, so the prompt has been read.
        self._beliefs.loads.prefilled(replica.name, place.tokens)
        if not is_event_stream(answer.head) or answer.head.status >= 300:
            try:
                whole = await self._whole(place, answer)
            except BaseException:
                self._beliefs.loads.prefilled(replica.name, -place.tokens)
                raise
            await leave(True)
            return whole
        if call.terms.resumable:
            pauses = STALL_PAUSES * call.terms.max_pause
            answer.stall_timeout = max(MIN_STALL_SECONDS, pauses)
        # Only the host that the caller reached resumes, so that attempts do not
        # multiply along the way.
        resume = None if call.hops else self._resume(call, body, tried)
        return HeldAnswer(EventStream(answer, resume), (), leave)

    async def _whole(self, place, answer: Answer) -> Answer:
        """Receive an answer that is not a stream, so that a broken one is not sent."""
        try:
            data = await read_whole(answer, MAX_WHOLE_BYTES)
        except TimedOut as exc:
            raise unknown(Reason.DEADLINE, f"{place.name}: {exc}") from exc
        except SassafraskeelError as exc:
            raise unknown(Reason.UPSTREAM_FAILED, f"{place.name}: {exc}") from exc
        finally:
            await answer.close()
        if data is None:
            raise unknown(Reason.UPSTREAM_FAILED, f"{place.name}: answer too long")
        names = (b"content-length", b"transfer-encoding")
        headers = [pair for pair in answer.head.headers if pair[0] not in names]
        headers.append((b"content-length", str(len(data)).encode()))
        return WholeAnswer(Head(answer.head.status, tuple(headers)), data)

    def _resume(self, call: Call, body: bytes, tried: Tried):
        """Return a function that continues a stream, or None if that is not allowed."""
        if not call.terms.resumable:
            return None

        async def resume(last_id: str) -> Answer:
            if not self._may_repeat(call, tried):
                raise not_run(Reason.UPSTREAM_FAILED, "no further send is allowed")
            tried.lost |= tried.ran
            self._log.emit(
                Event.STREAM_RESUMED,
                call=call.call_id,
                after=last_id,
                sends=tried.sends,
            )
            resumed = call._replace(
                resume_after=last_id or call.resume_after,
                start_by=self._clock.monotonic() + RESUME_SECONDS,
            )
            answer = await run_attempts(self, resumed, body, tried)
            if answer.head.status >= 300 or not is_event_stream(answer.head):
                await answer.close()
                raise unknown(Reason.UPSTREAM_FAILED, "the stream was not resumed")
            return answer

        return resume

    async def _leave(self, place: Place, call: Call, prefilled: bool) -> None:
        if place.upstream is None:
            return
        if not prefilled:
            self._beliefs.loads.prefilled(place.name, place.tokens)
        await self._placement.leave(place, call.service)

    def _patience(self, place: Place, call: Call) -> float:
        if call.kind is CallKind.MODEL:
            least = STREAM_PATIENCE_SECONDS
        else:
            least = PLAIN_PATIENCE_SECONDS
        return max(least, PATIENCE_FACTOR * place.seconds)

    def _may_repeat(self, call: Call, tried: Tried, more: int = 0) -> bool:
        """Return whether a call that may have run may be sent once more."""
        now = self._clock.monotonic()
        return (
            call.terms.repeatable
            and not call.hops
            and len(tried.ran) + more < call.terms.max_upstreams
            and tried.sends + more < MAX_SENDS
            and call.expires > now
            and self._budget.allows(call.service, self._beliefs.hosts.count(now), now)
        )

    def may_replace(self, call: Call, answer: Answer, tried: Tried) -> bool:
        return answer.head.status >= FAILURE_STATUS and self._may_repeat(call, tried)

    def may_go_on(self, call: Call, refusal: Refusal, tried: Tried) -> bool:
        if tried.sends >= MAX_SENDS or refusal.reason is Reason.DEADLINE:
            return False
        if refusal.reason is Reason.RESIDENCY:
            return False
        if refusal.outcome is Outcome.NOT_RUN:
            return call.expires > self._clock.monotonic()
        return self._may_repeat(call, tried)

    def _note_refusal(self, place: Place, refusal: Refusal, tried: Tried) -> None:
        reached = refusal.outcome is Outcome.UNKNOWN or refusal.reason in (
            Reason.UPSTREAM_REFUSED,
            Reason.NO_UPSTREAM,
        )
        if reached:
            tried.arrivals += 1
        if refusal.outcome is Outcome.UNKNOWN:
            tried.ran.add(place.name)
        if place.upstream is None or refusal.reason is Reason.DEADLINE:
            return
        now = self._clock.monotonic()
        health, fleet = self._beliefs.health, self._beliefs.fleet
        if refusal.reason in (Reason.UPSTREAM_FAILED, Reason.UPSTREAM_SILENT):
            health.failed(place.name, now)
            lost = isinstance(refusal.__cause__, ConnectionLost | TimedOut)
            if lost and refusal.outcome is Outcome.NOT_RUN:
                # No connection could be opened; it may come back cold.
                fleet.mark_cold(place.name, now)
        elif refusal.reason is Reason.NO_UPSTREAM and fleet.takes_work(
            place.upstream, now
        ):
            # Another replica has the address; the entry is about to change.
            health.failed(place.name, now)

    def _note_alive(self, replica: Replica) -> None:
        now = self._clock.monotonic()
        health = self._beliefs.health
        if health.is_failing(replica.name):
            health.succeeded(replica.name, now)
            self._beliefs.fleet.mark_cold(replica.name, now)

    def _log_send(self, call: Call, place: Place, tried: Tried) -> None:
        now = self._clock.monotonic()
        self._log.emit(
            Event.CALL_SENT,
            call=call.call_id,
            route=call.terms.route,
            manifest=call.terms.version,
            to=place.name,
            sends=tried.sends,
            predicted_ms=round(place.seconds * 1000),
            prompt_tokens=place.tokens,
            requests=self._beliefs.loads.total(place.name, now).running,
            store_age_ms=self._beliefs.hosts.store_age_ms(now),
            left_ms=round((call.expires - now) * 1000),
        )

    def _log_attempt(self, call, place, refusal, tried) -> None:
        self._log.emit(
            Event.ATTEMPT_FAILED,
            call=call.call_id,
            route=call.terms.route,
            manifest=call.terms.version,
            to=place.name,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
            sends=tried.sends,
            predicted_ms=round(place.seconds * 1000),
        )
