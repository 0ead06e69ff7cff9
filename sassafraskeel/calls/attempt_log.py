"""Log lines about the attempts of calls of routes."""

from sassafraskeel.calls.attempts import AttemptHistory, Target
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Refusal
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Call


class AttemptLog:
    """Logs what was known when an attempt was sent, and why it failed."""

    def __init__(self, clock: Clock, log: LogSink, routing_state: RoutingState):
        self._clock = clock
        self._log = log
        self._routing_state = routing_state

    def sent(self, call: Call, target: Target, history: AttemptHistory) -> None:
        """Log an attempt right before it is sent."""
        now = self._clock.monotonic()
        self._log.emit(
            Event.CALL_SENT,
            call=call.call_id,
            route=call.route_policy.route,
            manifest=call.route_policy.version,
            to=target.name,
            version=target.logged_version,
            resumes=call.resumes,
            sends=history.attempts,
            predicted_ms=round(target.predicted_seconds * 1000),
            prompt_tokens=target.prompt_tokens,
            requests=target.requests,
            limit=target.upstream
            and self._routing_state.statements.rate(target.upstream),
            rejections=target.upstream
            and self._routing_state.statements.max_rejections(target.upstream),
            passed_over=self._routing_state.passed_over(call.service, now),
            coordinator=target.grant.coordinator if target.grant else "",
            store_age_ms=self._routing_state.hosts.store_age_ms(now),
            left_ms=round((call.expires - now) * 1000),
        )

    def failed(
        self, call: Call, target: Target, refusal: Refusal, history: AttemptHistory
    ) -> None:
        """Log the refusal or failure that ended an attempt."""
        self._log.emit(
            Event.ATTEMPT_FAILED,
            call=call.call_id,
            route=call.route_policy.route,
            manifest=call.route_policy.version,
            to=target.name,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
            sends=history.attempts,
            predicted_ms=round(target.predicted_seconds * 1000),
        )
