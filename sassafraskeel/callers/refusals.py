"""The encoding of refusals as HTTP answers."""

import json
import math

from sassafraskeel.core.errors import Outcome, Reason, Refusal
from sassafraskeel.core.types import ResponseHead

STATUS_OF_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.UNKNOWN_WORKSPACE: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.RESIDENCY: 403,
    Reason.WRONG_HOST: 421,
    Reason.OVERLOADED: 429,
    Reason.DEADLINE: 504,
    Reason.LOOP: 508,
    Reason.CRASHES_UPSTREAM: 422,
    Reason.ORDER_ID_MISSING: 400,
    Reason.ORDER_ID_INVALID: 400,
    Reason.ORDER_EXPIRED: 410,
    Reason.ORDER_FROM_FUTURE: 400,
    Reason.ORDER_MISMATCH: 422,
    Reason.ORDER_IN_PROGRESS: 409,
    Reason.ORDER_RECORD_LOST: 409,
    Reason.ORDER_RESULT_UNKNOWN: 409,
    Reason.UPSTREAM_FAILED: 502,
    Reason.INTERNAL: 500,
}
DEFAULT_STATUS = 503
# A retry of the same request may succeed after these statuses. After the others, the
# caller has to send a different request.
RETRYABLE_STATUSES = frozenset((429, 500, 502, 503, 504))
DEFAULT_RETRY_SECONDS = 1.0
JSON_HEADER = (b"content-type", b"application/json")


def encode_refusal(refusal: Refusal) -> tuple[ResponseHead, bytes]:
    """Return the head and body of the answer that reports a refusal."""
    headers = [JSON_HEADER]
    content = {
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
        "detail": refusal.detail,
    }
    if refusal.attempts:
        headers.append((b"x-attempts", str(refusal.attempts).encode()))
    status = STATUS_OF_REASON.get(refusal.reason, DEFAULT_STATUS)
    retry_after = refusal.retry_after
    if retry_after is None and status in RETRYABLE_STATUSES:
        retry_after = DEFAULT_RETRY_SECONDS
    if retry_after is not None:
        content["retry_after_s"] = retry_after
        headers.append((b"retry-after", str(math.ceil(retry_after)).encode()))
    return ResponseHead(status, tuple(headers)), json.dumps(content).encode()


def decode_outcome(status: int, body: bytes) -> Outcome:
    """Return the outcome that an answer of this gateway reports."""
    if status < 400:
        return Outcome.ANSWERED
    try:
        return Outcome(json.loads(body)["outcome"])
    except (ValueError, KeyError, TypeError):
        return Outcome.ANSWERED  # The upstream answered with an error.
