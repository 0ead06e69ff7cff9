"""Model streams that are resumed after the loss of an upstream or host."""

import json
import re
from collections.abc import Awaitable, Callable
from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ProtocolError,
    Reason,
    Refusal,
    SassafraskeelError,
    not_run_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.http import find_header
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Answer, Call, CallKind, HostInfo
from sassafraskeel.core.work_limits import ANSWER_WORK, WorkLimit, count_pieces
from sassafraskeel.decisions.residency import check_residency
from sassafraskeel.sheets.model import Sheet, Upstream

MAX_RESUMES = 3
MAX_EVENT_BYTES = 1 << 20
RESUME_FIELD = "resume_from"
EVENT_END = b"\n\n"
DONE = b"data: [DONE]"
EVENT_STREAM = "text/event-stream"
# Quotes in JSON strings are escaped, so generated text cannot match this.
TOKEN_INDEX = re.compile(rb'"token_index":\s*(\d+)')

# Returns the stream from a token index on; raises Refusal.
Resume = Callable[[int], Awaitable[Answer]]


class UpstreamSender(Protocol):
    """Sends calls to the upstreams of the local failure domain."""

    def in_flight(self, upstream: str) -> int:
        """Return the number of calls of this host in flight at an upstream."""

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts new work, including retries."""

    async def send(
        self, upstream: Upstream, call: Call, body: bytes, check=None
    ) -> Answer:
        """Return the answer of an upstream; raise Refusal.

        `check` is called right before the first byte of an order is sent and may raise
        Refusal.
        """


class HostSender(Protocol):
    """Sends calls to other hosts."""

    async def send(self, host: HostInfo, call: Call, body: bytes) -> Answer:
        """Return the answer of a host; raise Refusal."""


class ModelStream:
    """A stream of server-sent events of a model that is resumed elsewhere.

    Only complete events with the expected token index are forwarded, as soon as they
    arrive, so that the caller sees the events of one unbroken stream. Events without
    a token index are forwarded only before the first interruption.
    """

    def __init__(
        self, answer: Answer, clock: Clock, resume: Resume, first_token_index: int = 0
    ):
        self.head = answer.head
        self._answer = answer
        self._clock = clock
        self._work_limit = WorkLimit(ANSWER_WORK, clock.monotonic())
        self._resume = resume
        self._pending = b""
        self._next_token = first_token_index
        self._resumes = 0
        self._has_unindexed_tokens = False
        self._saw_done = False
        self._ended = False
        self._failure = ""

    async def read(self) -> bytes:
        if self._failure:
            raise AnswerTruncated(self._failure)
        while not self._ended:
            try:
                events = await self._read_events()
            except SassafraskeelError as exc:
                events = await self._recover(exc)
            if events:
                return events
        return b""

    async def close(self) -> None:
        await self._answer.close()

    async def _read_events(self) -> bytes:
        data = await self._answer.read()
        if not data:
            if not self._saw_done:
                raise AnswerTruncated("the stream ended without [DONE]")
            self._ended = True
            return b""
        *events, self._pending = (self._pending + data).split(EVENT_END)
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ProtocolError("an event of the stream is too long")
        pieces = count_pieces(len(events), sum(map(len, events)))
        if not self._work_limit.spend(pieces, self._clock.monotonic()):
            raise ProtocolError("the stream has too many short events")
        parts = []
        for event in events:
            if not self._is_expected(event):
                # The events before the wrong one are correct. They are returned
                # first; the next read fails at the wrong event and resumes from it.
                self._pending = event + EVENT_END + self._pending
                if parts:
                    return b"".join(parts)
                raise ProtocolError("an event of the stream is out of order")
            if self._advance(event):
                parts.append(event + EVENT_END)
        return b"".join(parts)

    def _is_expected(self, event: bytes) -> bool:
        if self._saw_done or event.startswith(b"event: error"):
            return False
        match = TOKEN_INDEX.search(event)
        if match is None:
            return not (self._resumes and _has_content(event))
        return int(match[1]) == self._next_token

    def _advance(self, event: bytes) -> bool:
        if event == DONE:
            self._saw_done = True
            return True
        if TOKEN_INDEX.search(event) is None:
            self._has_unindexed_tokens = self._has_unindexed_tokens or _has_content(
                event
            )
            return not self._resumes
        self._next_token += 1
        return True

    async def _recover(self, exc: SassafraskeelError) -> bytes:
        if self._saw_done:
            # The stream is complete; only the end of the connection is missing.
            self._ended = True
            return b""
        await self._answer.close()
        self._pending = b""
        if self._has_unindexed_tokens:
            # Without indexes the tokens that the caller has received cannot be counted.
            self._resumes = MAX_RESUMES
        while self._resumes < MAX_RESUMES:
            self._resumes += 1
            try:
                self._answer = await self._resume(self._next_token)
                self._work_limit = WorkLimit(ANSWER_WORK, self._clock.monotonic())
                return b""
            except Refusal as refusal:
                exc = refusal
        self._failure = str(exc)
        content = {
            "outcome": "unknown",
            "reason": Reason.UPSTREAM_FAILED.value,
            "detail": "the stream broke off and could not be resumed",
        }
        return f"event: error\ndata: {json.dumps(content)}\n\n".encode()


def _has_content(event: bytes) -> bool:
    """Return whether an event without a token index contains generated text."""
    try:
        content = json.loads(event.removeprefix(b"data:"))
        return any(choice["delta"].get("content") for choice in content["choices"])
    except (ValueError, KeyError, TypeError, AttributeError):
        return False  # A comment, or an event without a token.


class ResumingUpstreamClient:
    """Sends calls to upstreams and makes model streams resumable."""

    def __init__(
        self,
        sender: UpstreamSender,
        clock: Clock,
        log: LogSink,
        sheet: Callable[[], Sheet | None],
        domain: str,
        fingerprint: Callable[[Call, bytes], str],
    ):
        self._sender = sender
        self._clock = clock
        self._log = log
        self._sheet = sheet
        self._domain = domain
        self._fingerprint = fingerprint

    def in_flight(self, upstream: str) -> int:
        """Return the number of calls of this host in flight at an upstream."""
        return self._sender.in_flight(upstream)

    def accepts_work(self, upstream: Upstream) -> bool:
        """Return whether an upstream accepts new work, including retries."""
        return self._sender.accepts_work(upstream)

    async def send(
        self, upstream: Upstream, call: Call, body: bytes, check=None
    ) -> Answer:
        """Return the answer of an upstream; raise Refusal."""
        # A resumed call has a different body but is the same request.
        call = call._replace(fingerprint=self._fingerprint(call, body))
        answer = await self._sender.send(upstream, call, body, check)
        if call.kind is not CallKind.MODEL or not _is_stream(answer):
            return answer
        model = self._model_name(call)
        attempted = {upstream.name}

        async def resume(token: int) -> Answer:
            return await self._resume(call, body, token, model, attempted)

        return ModelStream(answer, self._clock, resume, first_token_index(body))

    async def _resume(self, call, body, token, model, attempted) -> Answer:
        if call.expires <= self._clock.monotonic():
            raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")
        upstream = self._choose_replica(call, model, attempted)
        attempted.add(upstream.name)
        self._log.emit(
            Event.STREAM_RESUMED, call=call.call_id, upstream=upstream.name, token=token
        )
        answer = await self._sender.send(
            upstream, call, resume_request_body(body, token)
        )
        return await _require_stream(answer, upstream.name)

    def _choose_replica(self, call, model, attempted) -> Upstream:
        """Return another upstream of the service; raise Refusal if there is none.

        The sheet in force may have changed since the stream began.
        """
        sheet = self._sheet()
        check_residency(sheet, call, self._domain)
        if self._model_name(call) != model:
            raise not_run_refusal(
                Reason.NO_UPSTREAM, "the model of the service has changed"
            )
        others = [
            upstream
            for upstream in sheet.upstreams.values()
            if upstream.service == call.service
            and upstream.domain == self._domain
            and upstream.name not in attempted
            and self._sender.accepts_work(upstream)
        ]
        if not others:
            raise not_run_refusal(
                Reason.NO_UPSTREAM, "no other upstream can resume the stream"
            )
        return min(others, key=lambda up: self.in_flight(up.name) / up.slots)

    def _model_name(self, call) -> str:
        service = self._sheet().services.get(call.service)
        return service.model if service else ""


class ResumingHostClient:
    """Sends calls to other hosts and makes model streams resumable.

    A remote host resumes the stream itself. If the remote host is lost, this class
    resumes the stream at another host of the same failure domain.
    """

    def __init__(
        self,
        sender: HostSender,
        clock: Clock,
        log: LogSink,
        sheet: Callable[[], Sheet | None],
        hosts: Callable[[str], list[HostInfo]],
    ):
        self._sender = sender
        self._clock = clock
        self._log = log
        self._sheet = sheet
        self._hosts = hosts

    async def send(self, host: HostInfo, call: Call, body: bytes) -> Answer:
        """Return the answer of a host; raise Refusal."""
        answer = await self._sender.send(host, call, body)
        if call.kind is not CallKind.MODEL or not _is_stream(answer):
            return answer
        attempted = {host.name, *call.hops}

        async def resume(token: int) -> Answer:
            if call.expires <= self._clock.monotonic():
                raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")
            check_residency(self._sheet(), call, host.domain)
            others = [
                candidate
                for candidate in self._hosts(host.domain)
                if candidate.name not in attempted
            ]
            if not others:
                raise not_run_refusal(
                    Reason.NO_UPSTREAM, "no other host can resume the stream"
                )
            other = others[0]
            attempted.add(other.name)
            self._log.emit(
                Event.STREAM_RESUMED, call=call.call_id, host=other.name, token=token
            )
            answer = await self._sender.send(
                other, call, resume_request_body(body, token)
            )
            return await _require_stream(answer, other.name)

        return ModelStream(answer, self._clock, resume, first_token_index(body))


def first_token_index(body: bytes) -> int:
    """Return the token index from which a request resumes a stream, 0 by default."""
    if RESUME_FIELD.encode() not in body:
        return 0
    try:
        return int(json.loads(body).get(RESUME_FIELD, 0))
    except (ValueError, TypeError, AttributeError):
        return 0  # The engine refuses a malformed request.


def resume_request_body(body: bytes, token: int) -> bytes:
    """Return the body of a request that resumes a stream from a token index."""
    return json.dumps({**json.loads(body), RESUME_FIELD: token}).encode()


async def _require_stream(answer: Answer, name: str) -> Answer:
    if answer.head.status != 200 or not _is_stream(answer):
        await answer.close()
        raise not_run_refusal(Reason.UPSTREAM_REFUSED, name)
    return answer


def _is_stream(answer: Answer) -> bool:
    content_type = find_header(answer.head.headers, b"content-type")
    return content_type.startswith(EVENT_STREAM)
