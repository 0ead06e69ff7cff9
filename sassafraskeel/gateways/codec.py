"""The messages between gateway hosts and their CBOR encoding.

A message travels as an array: its number, then its fields in order. Numbers are
never reused; a new field is a new message.
"""

import math
import zlib
from typing import NamedTuple

import cbor2

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import Headers, HostInfo

MAX_MESSAGE_BYTES = 1_200_000
# A control message holds an array of its fields; its deepest field is a list of
# headers or addresses.
MAX_NESTING = 16
MAX_PORT = 65535
# No message uses tags. Some of them cost much to decode, such as regular expressions.
FORBIDDEN_TAGS = (*range(300), 1004, 43000, 55799)


class Hello(NamedTuple):
    """The first message on a connection, sent by both ends.

    `purpose` is "control" or "calls".
    """

    host: HostInfo
    token: str
    sheet_version: int
    purpose: str


class Ping(NamedTuple):
    """Heartbeat of the dialling host, whose hello said who it is.

    `view` is the number of its view; the ping asks for a promise under that view.
    """

    sheet_version: int
    view_number: int


class Pong(NamedTuple):
    """Answer to Ping; `draining` hosts get no new work.

    `identity` is a checksum of the sender's HostInfo: after a change the link is
    opened anew, so that the hello tells the new one. `promised` says that the sender
    will not agree to a removal of the receiver from the view for a while.
    """

    sheet_version: int
    draining: bool
    host_checksum: int
    view_number: int
    promised: bool


class SummaryPush(NamedTuple):
    """Domain summaries that the receiver lacks (see gateways.summaries)."""

    loads: list
    rosters: list
    new_link: bool


class SummaryPull(NamedTuple):
    """The answer to SummaryPush: summaries that its sender lacks."""

    loads: list
    rosters: list


class Offer(NamedTuple):
    """The header of a call that the sender wants to forward.

    `timeout` is the remaining time of the call in seconds.
    """

    call_id: str
    workspace: str
    service: str
    kind: str
    method: str
    path: str
    headers: Headers
    timeout: float
    priority: int
    hops: tuple[str, ...]
    order_id: str
    stream: bool
    sheet_version: int


class Accept(NamedTuple):
    """The receiver may hold the call's data and takes the call."""

    sheet_version: int


class Refuse(NamedTuple):
    """The call ends without an answer."""

    outcome: str
    reason: str
    detail: str
    retry_after: float


class Body(NamedTuple):
    """The body of a call."""

    data: bytes


class BodyPart(NamedTuple):
    """A part of a long body; Body carries the last part."""

    data: bytes


class AnswerHead(NamedTuple):
    """Status and headers of an answer."""

    status: int
    headers: Headers


class AnswerData(NamedTuple):
    """A part of an answer's body."""

    data: bytes


class AnswerEnd(NamedTuple):
    """The answer is whole."""


class AnswerFail(NamedTuple):
    """The answer broke off."""

    detail: str


class SheetAnnouncement(NamedTuple):
    """Tell which sheet is in force at the sender; answered by SheetStatus."""

    version: int
    digest: str


class SheetStatus(NamedTuple):
    """The sheet in force at the sender; digests of stamps are shortened."""

    version: int
    digest: str


class SheetRequest(NamedTuple):
    """Ask for what is newer than this sheet; answered by SheetDelta."""

    version: int
    digest: str


class SheetDelta(NamedTuple):
    """A sheet as a delta from `base`, or whole if `base` is 0.

    Version 0 means none newer. As a request it is answered by SheetStatus.
    """

    base: int
    base_digest: str
    version: int
    digest: str
    data: bytes
    lineage: tuple[str, ...]


class LoadHeartbeat(NamedTuple):
    """Heartbeat with the sender's requests in flight; answered by the same.

    `rows` hold a replica's name, its requests and the prompt tokens it has to read.
    `version` is that of the manifest in force, `identity` as in Pong. `reads` hold a
    replica's name, and name and tokens of each shared part of a prompt it was sent.
    """

    version: int
    draining: bool
    host_checksum: int
    loads: list
    prompts: list


class RouteOffer(NamedTuple):
    """The header of a call of a route that the sender forwards.

    `route_policy` is that of core.types. `start_within` are the seconds in which the
    call may wait for a slot. The body follows without waiting for Accept.
    """

    call_id: str
    service: str
    kind: str
    method: str
    path: str
    headers: Headers
    timeout: float
    priority: int
    hops: tuple[str, ...]
    resume_after: str
    route_policy: list
    start_within: float


class DrainNotice(NamedTuple):
    """The sender drains; it is answered by a Pong."""

    host: HostInfo


class Intent(NamedTuple):
    """Ask the witness to accept an attempt of the sender; answered by WitnessReply."""

    record: list


class WitnessReply(NamedTuple):
    """What a witness answers: `record` is empty, or the one that it holds.

    `outcome` is empty, or with `reason` that of a refusal.
    """

    record: list
    outcome: str
    reason: str


class OrderRecords(NamedTuple):
    """OrderRecords for one incarnation of the receiver: a result, a closed intent or a
    part of a handover; answered by OrderRecordsReply."""

    incarnation: str
    records: list


class OrderRecordsReply(NamedTuple):
    """Whether all records were taken over."""

    stored: bool


class OrderLookup(NamedTuple):
    """Ask the witness about an order whose owner does not answer."""

    order_id: str
    fingerprint: bytes


class ViewRequest(NamedTuple):
    """Ask for the view of a host of the same failure domain."""

    known_number: int


class ViewReply(NamedTuple):
    """A view record as JSON, or "" if none is newer."""

    text: str


class SuspectUpdate(NamedTuple):
    """What hosts found on requests that end upstreams (see gateways.verdicts)."""

    entries: list


class Request(NamedTuple):
    """A message that expects a Response with the same number."""

    number: int
    body: list


class Response(NamedTuple):
    """The answer to a Request."""

    number: int
    body: list


MESSAGE_TYPES = {
    1: Hello,
    2: Request,
    3: Response,
    12: SummaryPush,
    13: SummaryPull,
    # 10, 11, 16 and 17 were pings and pongs without fields of today.
    20: Offer,
    21: Accept,
    22: Refuse,
    23: Body,
    24: AnswerHead,
    25: AnswerData,
    26: AnswerEnd,
    27: AnswerFail,
    28: BodyPart,
    # 30 and 31 handed over whole texts and are not used any more.
    32: SheetAnnouncement,
    33: SheetStatus,
    34: SheetRequest,
    35: SheetDelta,
    40: Ping,
    41: Pong,
    42: Intent,
    43: WitnessReply,
    44: OrderRecords,
    45: OrderRecordsReply,
    46: OrderLookup,
    47: ViewRequest,
    48: ViewReply,
    60: SuspectUpdate,
    # 61 were the loads without the prompts that replicas were sent.
    62: RouteOffer,
    63: LoadHeartbeat,
    80: DrainNotice,
}
MESSAGE_NUMBERS = {
    message_type: number for number, message_type in MESSAGE_TYPES.items()
}


def compute_host_checksum(host: HostInfo) -> int:
    """Return a checksum of a host's names and addresses."""
    return zlib.crc32(cbor2.dumps(host))


def to_wire(message: NamedTuple) -> list:
    """Return a message as the array that travels."""
    return [MESSAGE_NUMBERS[type(message)], *message]


def from_wire(value) -> NamedTuple:
    """Return the message of an array; raise ProtocolError if it is malformed."""
    if not isinstance(value, list | tuple) or not value:
        raise ProtocolError("a message is not an array")
    number, *fields = value
    message_type = MESSAGE_TYPES.get(number) if isinstance(number, int) else None
    if message_type is None:
        raise ProtocolError("a message number is not known")
    if len(fields) != len(message_type._fields):
        raise ProtocolError(f"{message_type.__name__} has {len(fields)} fields")
    return message_type(
        *map(decode_field, fields, message_type.__annotations__.values())
    )


def encode(message: NamedTuple) -> bytes:
    """Return the CBOR encoding of a message."""
    return cbor2.dumps(to_wire(message))


def decode(data: bytes) -> NamedTuple:
    """Return the encoded message; raise ProtocolError if it is malformed."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"a message has {len(data)} bytes")
    try:
        value = cbor2.loads(
            data,
            max_depth=MAX_NESTING,
            tag_hook=_refuse_tag,
            semantic_decoders=dict.fromkeys(FORBIDDEN_TAGS, _refuse_tag),
        )
    except Exception as exc:
        # cbor2 raises several unrelated types for malformed input.
        raise ProtocolError(f"a message is not CBOR: {exc}") from exc
    return from_wire(value)


def _refuse_tag(*args):
    raise ProtocolError("a message holds a CBOR tag")


def decode_field(value, annotation):
    """Return a field of a message; raise ProtocolError if its type is wrong."""
    if annotation is HostInfo:
        return decode_host_info(value)
    if annotation is Headers:
        return _decode_headers(value)
    if annotation == tuple[str, ...]:
        return tuple(decode_field(item, str) for item in decode_field(value, list))
    if annotation is float:
        return _decode_float(value)
    if not isinstance(value, annotation) or isinstance(value, bool) is not (
        annotation is bool
    ):
        # The value is not quoted: it may hold content of a call.
        raise ProtocolError(f"a {type(value).__name__} is not {annotation}")
    return value


def _decode_float(value) -> float:
    # An integer over 64 bits travels as a tag, which is refused.
    number = float(decode_field(value, int | float))
    if not math.isfinite(number):
        raise ProtocolError("a number is not finite")
    return number


def decode_host_info(value) -> HostInfo:
    """Return the host of an array; raise ProtocolError if it is malformed."""
    if not isinstance(value, list) or len(value) != 5:
        raise ProtocolError("a host is not an array of five")
    *names, callers, gateways = value
    return HostInfo(
        *(decode_field(name, str) for name in names),
        _decode_address(callers),
        _decode_address(gateways),
    )


def _decode_address(value) -> Address:
    if not isinstance(value, list) or len(value) != 2:
        raise ProtocolError("an address is not an array of two")
    port = decode_field(value[1], int)
    if not 0 <= port <= MAX_PORT:
        raise ProtocolError("a port is out of range")
    return Address(decode_field(value[0], str), port)


def _decode_headers(value) -> Headers:
    pairs = []
    for pair in decode_field(value, list):
        if not isinstance(pair, list) or len(pair) != 2:
            raise ProtocolError("a header is not a pair")
        pairs.append((decode_field(pair[0], bytes), decode_field(pair[1], bytes)))
    return tuple(pairs)
