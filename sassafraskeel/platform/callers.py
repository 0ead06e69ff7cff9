"""Decodes requests of callers in the platform's format and encodes the answers."""

import json
import math
from collections.abc import Callable
from urllib.parse import parse_qs

import h11

from sassafraskeel.callers.interface import DirectAnswer, DirectInterface
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Outcome, Reason, Refusal, not_run_refusal
from sassafraskeel.core.http import find_header, strip_hop_by_hop
from sassafraskeel.core.http_requests import RequestTimeouts
from sassafraskeel.core.names import shorten
from sassafraskeel.core.types import (
    Call,
    CallKind,
    Headers,
    HostInfo,
    Prompt,
    PromptPart,
    ResponseHead,
    RoutePolicy,
)
from sassafraskeel.decisions.fleet import Fleet
from sassafraskeel.decisions.routes import Route, abandon_seconds, choose_service
from sassafraskeel.platform import wire

DEFAULT_LIMITS = RequestTimeouts(idle=15.0, head=3.0, body=30.0)
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 30.0
MAX_ADDRESSES = 64
MAX_PROMPT_PARTS = 256
# A call may be queued for half of the time after which its caller abandons it, which
# leaves the other half to the replica.
QUEUE_SHARE = 0.5
DEFAULT_RETRY_SECONDS = 0.5
# A host in a distant region receives the manifest within 0.4 s of its start.
MANIFEST_WAIT_SECONDS = 0.8
MANIFEST_POLL_SECONDS = 0.02
# Callers honor a Retry-After of at most a third of their remaining time.
RETRY_AFTER_SHARE = 1 / 3
JSON_HEADER = (b"content-type", b"application/json")
STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.TOO_LARGE: 413,
    Reason.RESIDENCY: 503,
}
NOT_RUN_STATUS = 503
# Neither of these statuses says whether the request was executed.
UNKNOWN_OUTCOME_STATUS = 502
TIMEOUT_STATUS = 504


class RouteInterface(DirectInterface):
    """Serves calls; the host name and the path of a request select its route."""

    def __init__(self, fleet: Fleet, clock: Clock):
        self._fleet = fleet
        self._clock = clock

    def limits(self) -> RequestTimeouts:
        table = self._fleet.table
        if table is None:
            return DEFAULT_LIMITS
        limits = table.manifest.limits
        return RequestTimeouts(
            limits.idle_timeout, limits.header_timeout, BODY_TIMEOUT_SECONDS
        )

    def max_body_bytes(self) -> int:
        table = self._fleet.table
        return table.manifest.limits.body_bytes if table else DEFAULT_MAX_BODY_BYTES

    def call_id(self, request: h11.Request, default: str) -> str:
        return find_header(request.headers, wire.REQUEST_ID) or default

    def answer_directly(self, request: h11.Request) -> DirectAnswer | None:
        return None

    async def wait_ready(self) -> None:
        """Wait for the first manifest, which a host receives soon after its start."""
        deadline = self._clock.monotonic() + MANIFEST_WAIT_SECONDS
        while self._fleet.table is None and self._clock.monotonic() < deadline:
            await self._clock.sleep(MANIFEST_POLL_SECONDS)

    def read_call(self, request: h11.Request, call_id: str, now: float) -> Call:
        table = self._fleet.table
        if table is None:
            raise not_run_refusal(Reason.NO_SHEET, "no manifest is known yet", 0.5)
        headers = strip_hop_by_hop(request.headers)
        host = find_header(headers, b"host").lower()
        target = request.target.decode("latin-1")
        path = target.partition("?")[0]
        route = table.match(host, path) or table.match(host.rpartition(":")[0], path)
        if route is None:
            raise not_run_refusal(Reason.UNKNOWN_ROUTE, f"{host}{path}")
        remaining = _remaining_seconds(headers, route)
        resumes = find_header(headers, wire.RESUMES)
        return Call(
            call_id=call_id,
            workspace="",
            # Without a known origin, a stream that is taken up goes on at the service
            # that the attempt which began it was sent to.
            service=choose_service(route, resumes or call_id),
            kind=route.kind,
            method=request.method.decode(),
            path=target,
            headers=_forwarded_headers(headers),
            expires=now + remaining,
            queue_deadline=now
            + QUEUE_SHARE * min(remaining, _first_event_seconds(route)),
            priority=route.priority,
            route_policy=_build_route_policy(route, table.manifest.version, headers),
            resume_after=find_header(headers, wire.LAST_EVENT_ID),
            resumes=resumes,
            route_services=table.services(route),
        )

    def refusal_answer(
        self, refusal: Refusal, call: Call | None, call_id: str
    ) -> DirectAnswer:
        headers = [JSON_HEADER]
        if call_id:
            headers.append((wire.REQUEST_ID, call_id.encode()))
        status = _refusal_status(refusal)
        if status == NOT_RUN_STATUS:
            seconds = refusal.retry_after or DEFAULT_RETRY_SECONDS
            if call is not None:
                remaining = call.expires - self._clock.monotonic()
                seconds = max(min(seconds, remaining * RETRY_AFTER_SHARE), 0.0)
            headers.append((wire.RETRY_AFTER, f"{seconds:.3f}".encode()))
        content = {"error": refusal.reason.value, "detail": refusal.detail}
        return DirectAnswer(
            ResponseHead(status, tuple(headers)), json.dumps(content).encode()
        )


class DirectoryInterface(DirectInterface):
    """Answers callers with the addresses of the hosts to use."""

    def __init__(
        self,
        fleet: Fleet,
        hosts: Callable[[str, frozenset[str]], list[HostInfo]],
        ttl_seconds: float,
    ):
        self._fleet = fleet
        self._hosts = hosts
        self._ttl = ttl_seconds

    def answer_directly(self, request: h11.Request) -> DirectAnswer:
        path, _, query = request.target.decode("latin-1").partition("?")
        if path != wire.DIRECTORY_PATH:
            raise not_run_refusal(Reason.BAD_REQUEST, "the path is not known")
        fields = parse_qs(query, max_num_fields=16)
        name = fields.get("name", [""])[0].lower()
        region = fields.get("region", [""])[0]
        table = self._fleet.table
        if table is None:
            # The host may not know other hosts yet; callers ask the next one.
            raise not_run_refusal(Reason.NO_SHEET, "no manifest is known yet", 0.5)
        hosts = self._hosts(region, table.home_regions(name))
        if not hosts:
            raise not_run_refusal(Reason.DRAINING, "all hosts are being stopped", 0.5)
        addresses = [str(host.callers) for host in hosts[:MAX_ADDRESSES]]
        content = {"addresses": addresses, "ttlS": self._ttl}
        return DirectAnswer(
            ResponseHead(200, (JSON_HEADER,)), json.dumps(content).encode()
        )


class ReadinessInterface(DirectInterface):
    """Answers the platform's readiness checks."""

    def __init__(self, is_ready: Callable[[], bool]):
        self._is_ready = is_ready

    def answer_directly(self, request: h11.Request) -> DirectAnswer:
        if request.target.partition(b"?")[0] != wire.READY_PATH.encode():
            raise not_run_refusal(Reason.BAD_REQUEST, "the path is not known")
        status = 200 if self._is_ready() else 503
        return DirectAnswer(ResponseHead(status, (JSON_HEADER,)), b"{}")


def _refusal_status(refusal: Refusal) -> int:
    if refusal.outcome is Outcome.UNKNOWN:
        timed_out = refusal.reason in (Reason.DEADLINE, Reason.UPSTREAM_SILENT)
        return TIMEOUT_STATUS if timed_out else UNKNOWN_OUTCOME_STATUS
    return STATUS_BY_REASON.get(refusal.reason, NOT_RUN_STATUS)


def _forwarded_headers(headers: Headers) -> Headers:
    excluded = wire.GATEWAY_HEADERS | {b"content-length", b"expect", wire.LAST_EVENT_ID}
    return tuple(pair for pair in headers if pair[0] not in excluded)


def _remaining_seconds(headers: Headers, route: Route) -> float:
    text = find_header(headers, wire.REMAINING_MS)
    if not text.isascii() or not text.isdecimal() or len(text) > 9:
        return route.timeout
    return min(int(text) / 1000, route.timeout)


def _first_event_seconds(route: Route) -> float:
    """Return how many seconds a caller waits for the first event of a stream."""
    if route.kind is not CallKind.MODEL:
        return math.inf
    return abandon_seconds(route.objective, route.max_pause)


def _build_route_policy(route: Route, version: int, headers: Headers) -> RoutePolicy:
    is_stream = route.kind is CallKind.MODEL
    repeatable = route.kind is CallKind.READ or (is_stream and route.may_resume)
    return RoutePolicy(
        route=route.name,
        version=version,
        repeatable=repeatable,
        resumable=is_stream and route.may_resume,
        objective=route.objective,
        max_pause=route.max_pause,
        max_upstreams=route.max_upstreams,
        home_regions=route.home_regions,
        prompt=_parse_prompt(headers),
    )


def _parse_prompt(headers: Headers) -> Prompt | None:
    """Return the prompt that the headers describe, or None if they are malformed."""
    counts = find_header(headers, wire.TOKEN_COUNTS).split(",")
    if len(counts) != 2 or not all(_is_count(text) for text in counts):
        return None
    parts = []
    for item in find_header(headers, wire.PROMPT_PARTS).split(",")[:MAX_PROMPT_PARTS]:
        name, _, tokens = item.strip().partition(":")
        if name and _is_count(tokens):
            parts.append(PromptPart(shorten(name), int(tokens)))
    model = shorten(find_header(headers, wire.MODEL))
    return Prompt(model, int(counts[0]), int(counts[1]), tuple(parts))


def _is_count(text: str) -> bool:
    text = text.strip()
    return text.isascii() and text.isdecimal() and len(text) <= 9
