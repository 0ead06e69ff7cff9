"""Encodes calls to replicas in the platform's format and decodes the answers."""

import re

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.http import find_header
from sassafraskeel.core.types import Call, CallKind, Headers, ResponseHead
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.replica_statements import NamedBrittleness, NamedLimit
from sassafraskeel.platform import wire
from sassafraskeel.upstreams.replicas import ReplicaHead, ReplicaHealth

MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
# Languages print up to 28 decimals of a number such as 10/3.
DECIMAL_NUMBER = re.compile(r"[0-9]{1,15}(\.[0-9]{1,40})?")


class PlatformReplicaInterface:
    """Implements ReplicaInterface with the platform's headers."""

    def request_headers(
        self, call: Call, replica: Replica, remaining: float
    ) -> Headers:
        headers = [
            *call.headers,
            (wire.REMAINING_MS, str(max(int(remaining * 1000), 1)).encode()),
            (wire.EXPECTED_REPLICA, replica.name.encode()),
        ]
        if call.kind is CallKind.MODEL:
            headers.append((wire.PRIORITY, str(min(call.priority, 9)).encode()))
        if call.resume_after:
            headers.append((wire.LAST_EVENT_ID, call.resume_after.encode()))
        return tuple(headers)

    def names_other_call(self, call: Call, head: ResponseHead) -> bool:
        request_id = find_header(head.headers, wire.REQUEST_ID)
        return bool(request_id) and request_id != call.call_id

    def read_head(self, call: Call, head: ResponseHead, is_first: bool) -> ReplicaHead:
        misdirected = head.status == MISDIRECTED_STATUS
        not_executed = bool(find_header(head.headers, wire.NOT_EXECUTED))
        request_id = find_header(head.headers, wire.REQUEST_ID)
        # A replica may reject a request before it has read the request id. On a
        # connection in use before, the rejection may be that of an earlier request.
        is_rejection = misdirected or not_executed
        is_unnamed_rejection = not request_id and is_rejection and is_first
        if request_id != call.call_id and not is_unnamed_rejection:
            raise ProtocolError("the answer may belong to another request")
        signed = bool(find_header(head.headers, wire.RESPONSE_SIGNATURE))
        if head.status < 300 and not signed:
            raise ProtocolError("a successful answer lacks the replica's signature")
        return ReplicaHead(
            head=head,
            named=bool(request_id),
            executed=not is_rejection,
            misdirected=misdirected,
            requests=_parse_request_count(find_header(head.headers, wire.REPLICA_LOAD)),
            cold_seconds=_parse_cold_seconds(head),
            limit=_parse_limit(head),
            leaving=_parse_leaving(head),
            pause_seconds=_parse_pause(head),
            brittleness=_parse_brittleness(head),
        )

    def read_health(self, head: ResponseHead) -> ReplicaHealth:
        return ReplicaHealth(
            name=find_header(head.headers, wire.REPLICA_ID),
            healthy=head.status == 200,
            cold_seconds=_parse_cold_seconds(head),
            limit=_parse_limit(head),
            leaving=_parse_leaving(head),
            pause_seconds=_parse_pause(head),
            brittleness=_parse_brittleness(head),
            rejected=bool(find_header(head.headers, wire.NOT_EXECUTED)),
        )


def _parse_cold_seconds(head: ResponseHead) -> float:
    # The time for which the replica stays cold, in milliseconds.
    text = find_header(head.headers, wire.COLD_MS)
    return int(text) / 1000 if text.isdecimal() else 0.0


def _parse_limit(head: ResponseHead) -> NamedLimit | None:
    """Return what an answer says of its replica's limit, None if it is malformed.

    Repeated headers are malformed unless they agree.
    """
    values = {value for name, value in head.headers if name == wire.REQUEST_LIMIT}
    if not values:
        return NamedLimit(None)
    rate = _parse_decimal(values)
    return None if rate is None else NamedLimit(rate)


def _parse_brittleness(head: ResponseHead) -> NamedBrittleness | None:
    """Return whether an answer says that its replica is brittle, None if malformed."""
    values = {value for name, value in head.headers if name == wire.BRITTLE}
    if not values:
        return NamedBrittleness(None)
    rejections = _parse_decimal(values)
    return None if rejections is None else NamedBrittleness(rejections)


def _parse_pause(head: ResponseHead) -> float | None:
    """Return for how many seconds a replica wants no requests, None if malformed."""
    values = {value for name, value in head.headers if name == wire.RETRY_AFTER}
    if head.status != UNAVAILABLE_STATUS or not values:
        return 0.0
    return _parse_decimal(values)


def _parse_decimal(values: set[bytes]) -> float | None:
    """Return the number in headers of one name, None if malformed or if they differ."""
    text = next(iter(values)).decode("latin-1").strip()
    if len(values) > 1 or not DECIMAL_NUMBER.fullmatch(text):
        return None
    return float(text)


def _parse_leaving(head: ResponseHead) -> bool | None:
    """Return whether an answer says that its replica leaves, None if malformed."""
    values = {value.strip() for name, value in head.headers if name == wire.LEAVING}
    if not values:
        return False
    return True if values == {b"1"} else None


def _parse_request_count(text: str) -> int | None:
    """Return the number of running and queued requests, None if malformed."""
    words = [word.strip() for word in text.split(",")]
    if len(words) != 3 or not all(word.isdecimal() for word in words):
        return None
    running, waiting, _ = words
    return int(running) + int(waiting)
