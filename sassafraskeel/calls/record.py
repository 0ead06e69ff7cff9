"""Metrics and log records of calls; they hold ids and names, never content."""

import traceback
from typing import Protocol

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    Outcome,
    Reason,
    Refusal,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.metrics import Metrics
from sassafraskeel.core.types import Answer, Call
from sassafraskeel.core.watched_stream import PeerLeft

# The reason of a call whose task was cancelled by this host and not by its caller.
CANCELLED = "cancelled"
CALLER_LEFT = "caller_left"


class CallDispatcher(Protocol):
    """Checks and runs the calls that a host receives."""

    def check(self, call: Call) -> None:
        """Raise Refusal unless this host may run the call; the body is not needed."""

    async def run(self, call: Call, body: bytes) -> Answer:
        """Return the answer to a call that passed `check`; raise Refusal."""


class CallRecord:
    """State and result of one call at this host.

    `send_seconds` is the time for which its answer has waited for the caller, or for
    the host that forwarded the call, to take data.
    """

    def __init__(self, call_id: str, source: str, started: float):
        self.call_id = call_id
        self.source = source
        self.started = started
        self.call: Call | None = None
        self.dispatched = False
        self.outcome = Outcome.NOT_RUN
        self.reason = ""
        self.served_by = ""
        self.first_data_at: float | None = None
        self.send_seconds = 0.0

    def set_refusal(self, refusal: Refusal) -> None:
        """Set outcome and reason from a refusal."""
        self.outcome = refusal.outcome
        self.reason = refusal.reason.value

    def set_cancelled(self, exc: curio.CancelledError) -> None:
        """Set the reason from the cancellation that ended the call."""
        self.reason = CALLER_LEFT if isinstance(exc, PeerLeft) else CANCELLED

    def first_ms(self) -> float | None:
        """Return the milliseconds to the first data of the answer, or None."""
        if self.first_data_at is None:
            return None
        return round((self.first_data_at - self.started) * 1000, 1)

    def internal_refusal(self) -> Refusal:
        """Return the refusal of a call after an unexpected error."""
        return self._refusal(
            Reason.INTERNAL, "an internal error; see the log of the host"
        )

    def closing_refusal(self) -> Refusal:
        """Return the refusal of a call that ends because its host closes."""
        return self._refusal(Reason.DRAINING, "this host is being stopped")

    def _refusal(self, reason: Reason, detail: str) -> Refusal:
        # Only before dispatch is it certain that no upstream ran the call.
        refuse = unknown_outcome_refusal if self.dispatched else not_run_refusal
        return refuse(reason, detail)


class CallRecorder:
    """Writes finished calls to the log and the metrics."""

    def __init__(self, clock: Clock, log: LogSink, metrics: Metrics):
        self._clock = clock
        self._log = log
        self._metrics = metrics

    def begin(self, call_id: str, source: str) -> CallRecord:
        """Return a new record for a call from a caller or another host."""
        return CallRecord(call_id, source, self._clock.monotonic())

    async def run(
        self, record: CallRecord, dispatcher: CallDispatcher, body: bytes
    ) -> Answer:
        """Return the answer to a call that passed `check`; raise only Refusal."""
        record.dispatched = True
        try:
            return await dispatcher.run(record.call, body)
        except Refusal:
            raise
        except Exception as exc:
            self.log_unexpected(record, exc)
            raise record.internal_refusal() from exc

    def finish(self, record: CallRecord) -> None:
        """Count and log a finished call."""
        seconds = self._clock.monotonic() - record.started
        call = record.call
        service = call.service if call else ""
        kind = call.kind.value if call else ""
        self._metrics.count_call(
            record.source, service, kind, record.outcome.value, record.reason, seconds
        )
        if call is not None and call.route_policy is not None:
            self._emit_route_call(record, call, seconds)
            return
        self._log.emit(
            Event.CALL_FINISHED,
            call=record.call_id,
            source=record.source,
            service=service,
            kind=kind,
            hops=" ".join(call.hops) if call else "",
            served_by=record.served_by,
            outcome=record.outcome.value,
            reason=record.reason,
            ms=round(seconds * 1000, 1),
        )

    def _emit_route_call(self, record: CallRecord, call: Call, seconds: float) -> None:
        self._log.emit(
            Event.CALL_ANSWERED,
            call=record.call_id,
            source=record.source,
            route=call.route_policy.route,
            manifest=call.route_policy.version,
            service=call.service,
            hops=" ".join(call.hops),
            served_by=record.served_by,
            outcome=record.outcome.value,
            reason=record.reason,
            first_ms=record.first_ms(),
            send_ms=round(record.send_seconds * 1000),
            ms=round(seconds * 1000, 1),
            left_ms=round((call.expires - self._clock.monotonic()) * 1000),
        )

    def log_unexpected(self, record: CallRecord, exc: Exception) -> None:
        """Log an error that is not a refusal."""
        # The message of an unexpected error may contain content of the call.
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        self._log.emit(
            Event.CALL_INTERNAL_ERROR,
            call=record.call_id,
            type=type(exc).__name__,
            where=f"{frame.filename.rpartition('/')[2]}:{frame.lineno}",
        )
