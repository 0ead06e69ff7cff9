"""Server-sent event streams of replicas, forwarded in complete events."""

import re
from collections.abc import Awaitable, Callable
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ProtocolError,
    Refusal,
    SassafraskeelError,
    StreamNotResumed,
    UpstreamStalled,
)
from sassafraskeel.core.http import find_header
from sassafraskeel.core.types import ResponseHead, StoppableAnswer
from sassafraskeel.core.work_limits import ANSWER_WORK, WorkLimit, count_pieces

EVENT_STREAM = "text/event-stream"
# Empty lines alone are no event.
EVENT_END = re.compile(rb"[^\r\n]\r?\n\r?\n")
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
MAX_EVENT_BYTES = 1 << 20
# How often a stream that stalls, and has no other target, looks for one.
STALL_CHECK_SECONDS = 0.25

# The shortest event with data has this length. Comments and events without data are
# shorter; this many of them at once are no answer, and checking them would keep the
# host from its other calls.
MIN_EVENT_BYTES = 7
MAX_TINY_EVENTS = 256

# The bytes of an incomplete match that the end of an event may begin with.
MAX_EVENT_END_BYTES = 4

# Returns the events of the stream after an event id; raises Refusal. The error is what
# broke the stream.
Resume = Callable[[str, SassafraskeelError], Awaitable[StoppableAnswer]]
MayResume = Callable[[], bool]
# Called right before the first events of an answer are handed on.
OnEventsBegin = Callable[[], Awaitable[None]]


class StallingAnswer(Protocol):
    """An answer whose `read` raises UpstreamStalled after a time without progress."""

    stall_timeout: float | None

    async def record_malformed(self) -> None:
        """Record that the data read so far is no stream of events."""

    def record_progress(self) -> None:
        """Record that the data read so far is progress."""

    def wait_longer(self, seconds: float) -> None:
        """Raise UpstreamStalled some seconds from now if there is no progress."""


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether an answer is a stream of server-sent events."""
    return find_header(head.headers, b"content-type").startswith(EVENT_STREAM)


class EventStream:
    """A stream of events with increasing ids that is resumed elsewhere after an error.

    Without `resume`, a truncated stream ends with an error. Incomplete events are
    never forwarded and are no progress. A stream that stalls is resumed once
    `may_resume` allows it; until then it goes on, because it may only be slow.
    `stalling` is the answer if it has a stall timeout. With `needs_event`, a stream
    that ends before its first event is truncated. `on_events_begin` is called for the
    first answer only; that of a resume is an EventStream of its own.
    """

    def __init__(
        self,
        answer: StoppableAnswer,
        clock: Clock,
        resume: Resume | None,
        may_resume: MayResume = lambda: True,
        stalling: StallingAnswer | None = None,
        last_id: str = "",
        needs_event: bool = False,
        on_events_begin: OnEventsBegin | None = None,
    ):
        # A resumed stream may differ in length from the content-length of the first
        # replica.
        headers = [pair for pair in answer.head.headers if pair[0] != b"content-length"]
        self.head = ResponseHead(answer.head.status, tuple(headers))
        self._answer = answer
        self._clock = clock
        self._work_limit = WorkLimit(ANSWER_WORK, clock.monotonic())
        self._resume = resume
        self._may_resume = may_resume
        self._stalling = stalling
        self._last_id = last_id
        self._needs_event = needs_event
        self._on_events_begin = on_events_begin
        self._pending = b""
        self._ended = False

    async def read(self) -> bytes:
        """Return the next complete events, or b"" after the end of the stream."""
        while True:
            try:
                events = await self._read_events()
            except SassafraskeelError as exc:
                if isinstance(exc, ProtocolError) and self._stalling is not None:
                    await self._stalling.record_malformed()
                if isinstance(exc, UpstreamStalled) and not self._is_resumable():
                    self._stalling.wait_longer(STALL_CHECK_SECONDS)
                    continue
                # The answer of a resume is an EventStream that resumes itself.
                if self._resume is None or isinstance(exc, Refusal | StreamNotResumed):
                    raise
                await self._resume_elsewhere(exc)
                continue
            if events is not None:
                if events and self._on_events_begin is not None:
                    await self._on_events_begin()
                    self._on_events_begin = None
                return events

    async def stop(self) -> None:
        await self._answer.stop()

    async def close(self) -> None:
        await self._answer.close()

    def _is_resumable(self) -> bool:
        return self._resume is not None and self._may_resume()

    async def _read_events(self) -> bytes | None:
        if self._ended:
            return b""
        data = await self._answer.read()
        if not data:
            if self._pending.strip():
                raise AnswerTruncated("the stream ended within an event")
            if self._needs_event:
                raise AnswerTruncated("the stream ended before its first event")
            # Empty lines after the last event belong to the body.
            self._ended = True
            return self._pending
        buffered = self._pending + data
        end = 0
        # What was searched before is not searched again for each byte that drips in.
        searched = max(len(self._pending) - MAX_EVENT_END_BYTES, 0)
        count = 0
        for match in EVENT_END.finditer(buffered, searched):
            count += 1
            self._check_event_id(buffered[end : match.end()])
            end = match.end()
            if count > MAX_TINY_EVENTS and end < MIN_EVENT_BYTES * count:
                raise ProtocolError("the stream has too many tiny events at once")
            self._needs_event = False
        pieces = count_pieces(count, end)
        if not self._work_limit.spend(pieces, self._clock.monotonic()):
            raise ProtocolError("the stream has too many short events")
        if end and self._stalling is not None:
            self._stalling.record_progress()
        self._pending = buffered[end:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ProtocolError("an event of the stream is too long")
        return buffered[:end] or None

    def _check_event_id(self, event: bytes) -> None:
        match = EVENT_ID.search(event)
        if match is None:
            return
        event_id = match[1].decode("latin-1").strip()
        is_number = event_id.isdecimal() and self._last_id.isdecimal()
        if is_number and int(event_id) <= int(self._last_id):
            raise ProtocolError("the stream repeated an event id")
        self._last_id = event_id

    async def _resume_elsewhere(self, exc: SassafraskeelError) -> None:
        # The replica must stop before another one continues its stream.
        await self._answer.stop()
        # The next answer checks by itself whether it needs an event.
        self._pending, self._stalling, self._needs_event = b"", None, False
        self._on_events_begin = None
        self._work_limit = WorkLimit(ANSWER_WORK, self._clock.monotonic())
        try:
            self._answer = await self._resume(self._last_id, exc)
        except Refusal as refusal:
            self._resume = None
            raise StreamNotResumed(f"{exc}; not resumed: {refusal}") from exc
