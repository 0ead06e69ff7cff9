"""Records what replicas report about themselves and how their answers progress."""

from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.replica_statements import NamedBrittleness, NamedLimit
from sassafraskeel.upstreams.replicas import ReplicaHead, ReplicaHealth


class ReplicaStates:
    """Updates the routing state; implements ReplicaObserver and ProbeObserver."""

    def __init__(self, routing_state: RoutingState, clock: Clock, log: LogSink):
        self._routing_state = routing_state
        self._clock = clock
        self._log = log

    def on_head_received(
        self, replica: Replica, head: ReplicaHead, sent_at: float
    ) -> None:
        if head.misdirected:
            return  # Another replica answers at the address.
        state, now = self._routing_state, self._clock.monotonic()
        self._record_limit(replica, head.limit, sent_at, now)
        self._record_leaving(replica, head.leaving, sent_at)
        self._record_pause(replica, head.pause_seconds, now)
        self._record_brittleness(replica, head.brittleness, sent_at, now)
        if head.requests is not None:
            state.loads.reported(replica.name, head.requests, now)
        if head.cold_seconds:
            state.fleet.mark_cold(replica.name, now)

    def on_data_expected(self, replica: Replica) -> None:
        self._routing_state.silence_detector.expect_data(
            replica.name, self._clock.monotonic()
        )

    def on_data_received(self, replica: Replica) -> None:
        self._routing_state.silence_detector.data_received(
            replica.name, self._clock.monotonic()
        )

    def on_call_finished(self, replica: Replica) -> None:
        self._routing_state.silence_detector.call_finished(replica.name)

    def may_probe(self, replica: Replica) -> bool:
        state, now = self._routing_state, self._clock.monotonic()
        if state.statements.cause(replica, now):
            return False
        if state.statements.max_rejections(replica) is None:
            return True
        return state.has_room(replica, now)

    def on_probe_sent(self, replica: Replica, sent_at: float) -> None:
        state = self._routing_state
        share = state.rate_share(replica.name, sent_at)
        state.statements.sent(replica, share, sent_at)

    def on_probe_answered(
        self, replica: Replica, health: ReplicaHealth, sent_at: float
    ) -> None:
        now = self._clock.monotonic()
        self._record_limit(replica, health.limit, sent_at, now)
        self._record_leaving(replica, health.leaving, sent_at)
        self._record_pause(replica, health.pause_seconds, now)
        self._record_brittleness(replica, health.brittleness, sent_at, now)
        if not health.rejected:
            self._routing_state.statements.admitted(replica, sent_at, now)

    def on_probe_rejected(self, replica: Replica, sent_at: float) -> None:
        now = self._clock.monotonic()
        self._routing_state.statements.rejected(replica, sent_at, now)

    def _record_brittleness(
        self,
        replica: Replica,
        brittleness: NamedBrittleness | None,
        sent_at: float,
        now: float,
    ) -> None:
        statements = self._routing_state.statements
        if brittleness is None:
            # What is already known still holds.
            self._log.emit(Event.BRITTLENESS_MALFORMED, replica=replica.name)
        elif statements.heard_brittle(replica, brittleness, sent_at, now):
            self._log.emit(
                Event.BRITTLENESS_CHANGED,
                replica=replica.name,
                rejections=brittleness.rejections,
                source="",
            )

    def _record_pause(
        self, replica: Replica, seconds: float | None, now: float
    ) -> None:
        if seconds is None:
            self._log.emit(Event.PAUSE_MALFORMED, replica=replica.name)
        elif self._routing_state.statements.heard_pause(replica, seconds, now):
            left = self._routing_state.statements.pause_left(replica, now)
            self._log.emit(Event.REPLICA_PAUSED, replica=replica.name, seconds=left)

    def _record_leaving(
        self, replica: Replica, leaving: bool | None, sent_at: float
    ) -> None:
        if leaving is None:
            self._log.emit(Event.LEAVING_MALFORMED, replica=replica.name)
        elif leaving and self._routing_state.statements.heard_leaving(replica, sent_at):
            self._log.emit(
                Event.REPLICA_LEAVING,
                replica=replica.name,
                started_at_ms=replica.started_at_ms,
                source="",
            )

    def _record_limit(
        self, replica: Replica, limit: NamedLimit | None, sent_at: float, now: float
    ) -> None:
        statements = self._routing_state.statements
        if limit is None:
            # A limit that is already known still holds.
            self._log.emit(Event.LIMIT_MALFORMED, replica=replica.name)
        elif statements.answered(replica, limit, sent_at, now):
            self._log.emit(
                Event.LIMIT_CHANGED, replica=replica.name, rate=limit.rate, source=""
            )
