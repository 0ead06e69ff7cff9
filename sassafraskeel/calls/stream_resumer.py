"""Resuming streams of routes that broke off after their heads were sent."""

import math
from typing import Protocol

import curio

from sassafraskeel.calls.attempts import AttemptHistory, AttemptPolicy, run_attempts
from sassafraskeel.calls.event_streams import Resume, is_event_stream
from sassafraskeel.calls.stream_versions import StreamVersions
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    Reason,
    Refusal,
    SassafraskeelError,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Answer, Call
from sassafraskeel.decisions.hosts import HostTable

# A resumed stream needs a slot within this time, because callers abandon a stream
# after a gap of two seconds.
RESUME_TIMEOUT_SECONDS = 1.2
# Pause before the next attempt to resume a stream: hosts and replicas that come back
# are known within half a second.
RESUME_INTERVAL_SECONDS = 0.2
# Refusals that hold for every target.
FINAL_REASONS = (
    Reason.RESIDENCY,
    Reason.CRASHES_UPSTREAM,
    Reason.VERSION_GONE,
    Reason.VERSION_UNKNOWN,
)


class ResumePolicy(AttemptPolicy, Protocol):
    """The decisions about the attempts to resume a stream."""

    def check_budget(self, call: Call) -> None:
        """Raise Refusal if the retry budget allows no retry."""

    def has_target(self, call: Call, history: AttemptHistory) -> bool:
        """Return whether a target is known that could take a call now or soon."""


class StreamResumer:
    """Resumes streams until their own time or that of the local host ends."""

    def __init__(
        self,
        policy: ResumePolicy,
        versions: StreamVersions,
        clock: Clock,
        log: LogSink,
        hosts: HostTable,
    ):
        self._policy = policy
        self._versions = versions
        self._clock = clock
        self._log = log
        self._hosts = hosts

    def resume_function(
        self, call: Call, body: bytes, history: AttemptHistory
    ) -> Resume | None:
        """Return a function that resumes a stream, or None if that is not allowed."""
        if not call.route_policy.resumable:
            return None

        async def resume(last_id: str, cause: SassafraskeelError) -> Answer:
            began_at = self._clock.monotonic()
            resumed = self._versions.bind_rest(call, history)
            resumed = resumed._replace(resume_after=last_id or call.resume_after)
            while True:
                try:
                    answer = await self._resume_once(resumed, body, history)
                    break
                except Refusal as refusal:
                    self._log_failed_resume(call, cause, refusal)
                    if not self._may_resume_later(call, refusal, history):
                        raise
                await self._clock.sleep(RESUME_INTERVAL_SECONDS)
            self._log.emit(
                Event.STREAM_RESUMED,
                call=call.call_id,
                after=last_id,
                to=history.target.name,
                version=history.target.logged_version,
                resumes=call.resumes,
                sends=history.attempts,
                cause=str(cause),
                gap_ms=round((self._clock.monotonic() - began_at) * 1000),
            )
            return answer

        return resume

    async def _resume_once(self, call: Call, body: bytes, history) -> Answer:
        if not self._may_resume(call, history):
            raise not_run_refusal(
                Reason.UPSTREAM_FAILED, "no further attempt is allowed"
            )
        history.start_round()
        if not self._policy.has_target(call, history):
            # A replica that lost one connection, or came back, may go on by itself.
            history.excluded.clear()
        self._policy.check_budget(call)
        now = self._clock.monotonic()
        call = call._replace(queue_deadline=now + RESUME_TIMEOUT_SECONDS)
        answer = await run_attempts(self._policy, call, body, history)
        if answer.head.status >= 300 or not is_event_stream(answer.head):
            await answer.close()
            raise unknown_outcome_refusal(
                Reason.UPSTREAM_FAILED, "the stream was not resumed"
            )
        return answer

    def _may_resume(self, call: Call, history: AttemptHistory) -> bool:
        """Return whether another target may run the rest of a stream."""
        return (
            len(history.runs) < call.route_policy.max_upstreams
            and call.expires > self._clock.monotonic()
        )

    def _may_resume_later(
        self, call: Call, refusal: Refusal, history: AttemptHistory
    ) -> bool:
        """Return whether a stream whose head was sent may still be resumed.

        For a new call a refusal is an answer, but a stream can only be broken off. It
        is tried again until its own time or that of its host ends.
        """
        if refusal.reason in FINAL_REASONS or isinstance(
            refusal.__cause__, curio.TaskCancelled
        ):
            return False
        retry_at = self._clock.monotonic() + RESUME_INTERVAL_SECONDS
        return self._may_resume(call, history) and retry_at < min(
            call.expires, self._hosts.closes_at(self._hosts.local_host)
        )

    def _log_failed_resume(self, call: Call, cause, refusal: Refusal) -> None:
        now = self._clock.monotonic()
        closes_in = self._hosts.closes_at(self._hosts.local_host) - now
        self._log.emit(
            Event.RESUME_FAILED,
            call=call.call_id,
            cause=str(cause),
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
            left_ms=round((call.expires - now) * 1000),
            closes_in_ms=round(closes_in * 1000) if math.isfinite(closes_in) else None,
        )
