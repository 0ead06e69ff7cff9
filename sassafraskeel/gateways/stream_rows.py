"""The encoding of messages about the origins of streams."""

import math
from enum import IntEnum

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.decisions.stream_origins import (
    MAX_ID_LENGTH,
    StreamOrigin,
    StreamRecord,
)
from sassafraskeel.gateways.codec import decode_field
from sassafraskeel.gateways.messages import StreamsBegan

MAX_ROWS = 512


class Scope(IntEnum):
    """To whom the receiver of StreamsBegan passes on the streams it did not know."""

    RECORD = 0
    STANDBY = 1
    STANDBY_AND_REGION = 2


def encode_streams(
    scope: Scope, records: dict[str, StreamRecord | None], now: float
) -> StreamsBegan:
    """Return the message for streams, without those that are forgotten."""
    groups: dict[tuple[StreamOrigin, int], list] = {}
    for stream_id, record in records.items():
        if record is not None:
            key = record.origin, math.ceil(record.expires - now)
            groups.setdefault(key, []).append(_encode_id(stream_id))
    rows = [[*origin, seconds, ids] for (origin, seconds), ids in groups.items()]
    return StreamsBegan(int(scope), rows)


def decode_streams(
    message: StreamsBegan, now: float
) -> tuple[Scope, list[tuple[str, StreamRecord]]]:
    """Return scope and streams of a message; raise ProtocolError if it is malformed."""
    if message.scope not in set(Scope) or len(message.groups) > MAX_ROWS:
        raise ProtocolError("a message about streams is malformed")
    rows = []
    for group in message.groups:
        if not isinstance(group, list) or len(group) != 4:
            raise ProtocolError("a group of streams is not an array of four fields")
        service, version, seconds, ids = map(decode_field, group, (str, str, int, list))
        if len(rows) + len(ids) > MAX_ROWS:
            raise ProtocolError("a message names too many streams")
        record = StreamRecord(StreamOrigin(service, version), now + seconds)
        rows += [(_decode_id(value), record) for value in ids]
    return Scope(message.scope), rows


def _encode_id(stream_id: str) -> str | bytes:
    """Return hexadecimal digits as bytes, half as long, and other ids as they are."""
    try:
        packed = bytes.fromhex(stream_id)
    except ValueError:
        return stream_id
    return packed if packed.hex() == stream_id else stream_id


def _decode_id(value) -> str:
    if isinstance(value, bytes) and len(value) <= MAX_ID_LENGTH // 2:
        return value.hex()
    return decode_field(value, str)
