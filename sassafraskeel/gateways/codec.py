"""The CBOR encoding of the messages between gateway hosts.

A message is encoded as an array: its number, then its fields in order. Numbers are
never reused; a message that gains a field gets a new number.
"""

import math
import zlib
from typing import NamedTuple

import cbor2

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.net import Address
from sassafraskeel.core.types import Headers, HostInfo
from sassafraskeel.gateways.messages import (
    Accept,
    AccessReport,
    AnswerData,
    AnswerEnd,
    AnswerFail,
    AnswerHead,
    Body,
    BodyPart,
    CallProgress,
    DrainNotice,
    FeedChanges,
    FeedRequest,
    Hello,
    Intent,
    LinkClosing,
    ManifestDocument,
    Notice,
    Offer,
    OrderLookup,
    OrderRecords,
    OrderRecordsReply,
    Ping,
    Placed,
    PlacementRequest,
    Pong,
    Refuse,
    Request,
    Response,
    RouteAnswerHead,
    RouteHeartbeat,
    RouteHeartbeatReply,
    RouteOffer,
    SheetAnnouncement,
    SheetDelta,
    SheetRequest,
    SheetStatus,
    StreamFound,
    StreamLookup,
    StreamsBegan,
    SummaryPull,
    SummaryPush,
    ViewReply,
    ViewRequest,
    WitnessReply,
)
from sassafraskeel.gateways.suspect_messages import (
    ReplicaReservation,
    ReservationReply,
    SuspectUpdate,
)

MAX_MESSAGE_BYTES = 1_200_000
# The most deeply nested messages are a Request around the addresses in a roster and
# one around the headers in an order record, with seven arrays each.
MAX_NESTING = 16
MAX_PORT = 65535
# No message uses CBOR tags. Some, such as regular expressions, are costly to decode.
FORBIDDEN_TAGS = (*range(300), 1004, 43000, 55799)

MESSAGE_TYPES = {
    # 1 was Hello without the capacity of the host.
    2: Request,
    3: Response,
    4: Hello,
    5: Notice,
    # 10, 11, 16 and 17 were pings and pongs with fewer fields, 12 and 13 summaries
    # without the capacity of hosts.
    18: SummaryPush,
    19: SummaryPull,
    20: Offer,
    21: Accept,
    22: Refuse,
    23: Body,
    24: AnswerHead,
    25: AnswerData,
    26: AnswerEnd,
    27: AnswerFail,
    28: BodyPart,
    # 30 and 31 carried complete sheet texts before SheetDelta.
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
    # 61 and 63 were heartbeats that carried the loads of each host to many others.
    # 62 was RouteOffer without the time for which the receiver must stay.
    # 64 and 65 were heartbeats that did not say when a drain had begun.
    # 66 was PlacementRequest without a fingerprint.
    67: Placed,
    68: CallProgress,
    69: LinkClosing,
    # 70 and 71 were FeedRequest and FeedChanges without the era of the store.
    # 72 and 73 were heartbeats without the limits that replicas named.
    74: ReplicaReservation,
    75: ReservationReply,
    # 76 was PlacementRequest without a software version.
    # 77 and 78 were heartbeats that did not say which replicas leave.
    # 80 was DrainNotice without the capacity of the host.
    81: DrainNotice,
    82: FeedRequest,
    83: FeedChanges,
    84: ManifestDocument,
    # 85 was RouteOffer without a software version; its answer began with an AnswerHead.
    86: RouteHeartbeat,
    87: RouteHeartbeatReply,
    88: PlacementRequest,
    89: RouteOffer,
    90: RouteAnswerHead,
    100: StreamsBegan,
    101: StreamLookup,
    102: StreamFound,
    110: AccessReport,
}
MESSAGE_NUMBERS = {
    message_type: number for number, message_type in MESSAGE_TYPES.items()
}


def compute_host_checksum(host: HostInfo) -> int:
    """Return a checksum of the fields of a HostInfo."""
    return zlib.crc32(cbor2.dumps(host))


def to_wire(message: NamedTuple) -> list:
    """Return the array that encodes a message."""
    return [MESSAGE_NUMBERS[type(message)], *message]


def from_wire(value) -> NamedTuple:
    """Return the message in an array; raise ProtocolError if it is malformed."""
    if not isinstance(value, list | tuple) or not value:
        raise ProtocolError("a message is not an array")
    number, *fields = value
    message_type = MESSAGE_TYPES.get(number) if isinstance(number, int) else None
    if message_type is None:
        raise ProtocolError("unknown message number")
    if len(fields) != len(message_type._fields):
        raise ProtocolError(
            f"{message_type.__name__} has a wrong number of fields: {len(fields)}"
        )
    return message_type(
        *map(decode_field, fields, message_type.__annotations__.values())
    )


def encode(message: NamedTuple) -> bytes:
    """Return the CBOR encoding of a message."""
    return cbor2.dumps(to_wire(message))


def decode(data: bytes) -> NamedTuple:
    """Return the message in CBOR data; raise ProtocolError if it is malformed."""
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError(f"a message of {len(data)} bytes is too long")
    try:
        value = cbor2.loads(
            data,
            max_depth=MAX_NESTING,
            tag_hook=_refuse_tag,
            semantic_decoders=dict.fromkeys(FORBIDDEN_TAGS, _refuse_tag),
        )
    except Exception as exc:
        # cbor2 raises several unrelated exception types for malformed input.
        raise ProtocolError(f"a message is not CBOR: {exc}") from exc
    return from_wire(value)


def _refuse_tag(*args):
    raise ProtocolError("a message contains a CBOR tag")


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
        # The value may be content of a call, so the error does not quote it.
        raise ProtocolError(
            f"a field has type {type(value).__name__}, expected {annotation}"
        )
    return value


def _decode_float(value) -> float:
    try:
        number = float(decode_field(value, int | float))
    except OverflowError as exc:
        # Integers over 64 bits are tags in CBOR, but JSON has them, too.
        raise ProtocolError("a number is too large") from exc
    if not math.isfinite(number):
        raise ProtocolError("a number is not finite")
    return number


def decode_host_info(value) -> HostInfo:
    """Return the host in an array; raise ProtocolError if it is malformed."""
    if not isinstance(value, list) or len(value) != len(HostInfo._fields):
        raise ProtocolError("a host is not an array of six fields")
    *names, callers, gateways, capacity = value
    return HostInfo(
        *(decode_field(name, str) for name in names),
        _decode_address(callers),
        _decode_address(gateways),
        _decode_float(capacity),
    )


def _decode_address(value) -> Address:
    if not isinstance(value, list) or len(value) != 2:
        raise ProtocolError("an address is not an array of an IP address and a port")
    port = decode_field(value[1], int)
    if not 0 <= port <= MAX_PORT:
        raise ProtocolError("a port is out of range")
    return Address(decode_field(value[0], str), port)


def _decode_headers(value) -> Headers:
    pairs = []
    for pair in decode_field(value, list):
        if not isinstance(pair, list) or len(pair) != 2:
            raise ProtocolError("a header is not an array of a name and a value")
        pairs.append((decode_field(pair[0], bytes), decode_field(pair[1], bytes)))
    return tuple(pairs)
