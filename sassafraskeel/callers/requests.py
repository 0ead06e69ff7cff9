"""Parsing the head of an HTTP request into a call."""

import re
from urllib.parse import unquote

import h11

from sassafraskeel.core.errors import Reason, not_run_refusal
from sassafraskeel.core.http import find_header, strip_hop_by_hop
from sassafraskeel.core.settings import CallerSection
from sassafraskeel.core.types import Call, CallKind
from sassafraskeel.sheets.model import ServiceType, Sheet

CALL_PATH = re.compile(r"/w/([^/?#]+)/([^/?#]+)(/[^#]*)")
PRIORITY_PATTERN = re.compile(r"\bu=([0-7])\b")
DEFAULT_PRIORITY = 3
READ_METHODS = frozenset(("GET", "HEAD"))
ORDER_METHODS = frozenset(("POST", "PUT", "PATCH", "DELETE"))
# These headers of a caller are not forwarded: the gateway uses them itself, or they
# could be mistaken for headers that a gateway sets (hops, region, serving host and
# outcome of a call).
STRIPPED_HEADERS = frozenset(
    (
        b"host",
        b"content-length",
        b"expect",
        b"x-deadline-ms",
        b"via",
        b"cdn-loop",
        b"forwarded",
        b"x-hops",
        b"x-region",
        b"x-domain",
        b"x-served-by",
        b"x-call-id",
        b"x-not-run",
        b"x-attempts",
    )
)


def parse_call(
    request: h11.Request,
    cfg: CallerSection,
    sheet: Sheet,
    call_id: str,
    now: float,
) -> Call:
    """Return the call of a request; raise Refusal if it is malformed.

    `now` is in monotonic seconds.
    """
    method = request.method.decode()
    match = CALL_PATH.fullmatch(request.target.decode("latin-1"))
    if match is None:
        raise not_run_refusal(
            Reason.BAD_REQUEST, "the path is not of the form /w/workspace/service/path"
        )
    workspace, service = unquote(match[1]), unquote(match[2])
    headers = strip_hop_by_hop(request.headers)
    timeout, longest = _parse_timeouts(headers, cfg)
    return Call(
        call_id=call_id,
        workspace=workspace,
        service=service,
        kind=_determine_kind(sheet, service, method),
        method=method,
        path=match[3],
        headers=tuple(pair for pair in headers if pair[0] not in STRIPPED_HEADERS),
        expires=now + timeout,
        priority=_parse_priority(headers),
        order_id=find_header(headers, b"idempotency-key"),
        answer_expires=now + longest,
    )


def _determine_kind(sheet: Sheet, service: str, method: str) -> CallKind:
    entry = sheet.services.get(service)
    if entry is None:
        raise not_run_refusal(Reason.UNKNOWN_SERVICE, service)
    if entry.type is ServiceType.MODEL:
        if method == "POST":
            return CallKind.MODEL
    elif method in READ_METHODS:
        return CallKind.READ
    elif method in ORDER_METHODS:
        return CallKind.ORDER
    raise not_run_refusal(
        Reason.BAD_REQUEST, f"service {service} does not accept method {method}"
    )


def _parse_timeouts(headers, cfg: CallerSection) -> tuple[float, float]:
    """Return within how many seconds an answer must begin, and end.

    Without X-Deadline-Ms, a long stream is not cut by the default for its begin.
    """
    longest = cfg.max_deadline.total_seconds()
    text = find_header(headers, b"x-deadline-ms")
    if not text:
        return cfg.default_deadline.total_seconds(), longest
    if not text.isdigit() or len(text) > 9:
        raise not_run_refusal(
            Reason.BAD_REQUEST, "X-Deadline-Ms is not a number of up to 9 digits"
        )
    timeout = min(int(text) / 1000, longest)
    return timeout, timeout


def _parse_priority(headers) -> int:
    match = PRIORITY_PATTERN.search(find_header(headers, b"priority"))
    return int(match[1]) if match else DEFAULT_PRIORITY
