"""Row-level deltas between two sheets, and their packed form.

A delta copies rows of the old text by position and contains the other rows in full,
so that comments, row order and line ends are reproduced exactly. Rows are identified
by position and not by name, so that moved and repeated rows are no special cases.
"""

import json
import zlib
from typing import NamedTuple

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.sheets.parse import MAX_SHEET_BYTES, compute_digest


class CopiedRows(NamedTuple):
    """Rows that are copied from the old text, by position."""

    start: int
    count: int


class NewRows(NamedTuple):
    """Rows that the old text does not contain."""

    lines: tuple[str, ...]


Delta = tuple[CopiedRows | NewRows, ...]


def make_delta(old: str, new: str) -> Delta:
    """Return the delta that turns `old` into `new`."""
    old_lines = old.split("\n")
    positions = {line: index for index, line in reversed(list(enumerate(old_lines)))}
    parts: list[CopiedRows | NewRows] = []
    new_lines: list[str] = []
    start = count = 0
    for line in new.split("\n"):
        next_position = start + count
        if (
            count
            and next_position < len(old_lines)
            and old_lines[next_position] == line
        ):
            count += 1
            continue
        if count:
            parts.append(CopiedRows(start, count))
            count = 0
        if line in positions:
            if new_lines:
                parts.append(NewRows(tuple(new_lines)))
                new_lines = []
            start, count = positions[line], 1
        else:
            new_lines.append(line)
    if count:
        parts.append(CopiedRows(start, count))
    if new_lines:
        parts.append(NewRows(tuple(new_lines)))
    return tuple(parts)


def apply_delta(old: str, delta: Delta, digest: str) -> str:
    """Apply a delta to the old text; raise ProtocolError unless the digest matches."""
    old_lines = old.split("\n")
    lines: list[str] = []
    size = 0
    for part in delta:
        if isinstance(part, NewRows):
            added = part.lines
        elif part.start >= 0 and 0 < part.count <= len(old_lines) - part.start:
            added = old_lines[part.start : part.start + part.count]
        else:
            raise ProtocolError("a delta copies rows that do not exist")
        size += sum(map(len, added)) + len(added)
        if size > MAX_SHEET_BYTES + 1:
            raise ProtocolError("a delta makes a sheet that is too long")
        lines.extend(added)
    return _check_digest("\n".join(lines), digest)


def pack_delta(delta: Delta) -> bytes:
    """Encode a delta for storage and transmission."""
    items = [list(part.lines) if isinstance(part, NewRows) else part for part in delta]
    return zlib.compress(json.dumps(items, separators=(",", ":")).encode())


def unpack_delta(data: bytes) -> Delta:
    """Decode a packed delta; raise ProtocolError if it is malformed."""
    try:
        items = json.loads(_decompress(data, 2 * MAX_SHEET_BYTES))
    except (ValueError, RecursionError) as exc:
        raise ProtocolError(f"a delta is not JSON: {type(exc).__name__}") from exc
    if not isinstance(items, list):
        raise ProtocolError("a delta is not an array")
    return tuple(_decode_part(item) for item in items)


def pack_text(text: str) -> bytes:
    """Encode the full text of a sheet for storage and transmission."""
    return zlib.compress(text.encode())


def unpack_text(data: bytes, digest: str) -> str:
    """Decode a packed text; raise ProtocolError unless the digest matches."""
    try:
        text = _decompress(data, MAX_SHEET_BYTES).decode()
    except UnicodeDecodeError as exc:
        raise ProtocolError("a sheet is not UTF-8") from exc
    return _check_digest(text, digest)


def _decode_part(item) -> CopiedRows | NewRows:
    if not isinstance(item, list) or not item:
        raise ProtocolError("a part of a delta is not an array")
    if all(isinstance(line, str) for line in item):
        return NewRows(tuple(item))
    if len(item) == 2 and all(type(number) is int for number in item):
        return CopiedRows(*item)
    raise ProtocolError("a part of a delta is neither rows nor positions")


def _decompress(data: bytes, limit: int) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        result = decompressor.decompress(data, limit)
    except zlib.error as exc:
        raise ProtocolError(f"a sheet is not compressed: {exc}") from exc
    if not decompressor.eof:
        raise ProtocolError("a compressed sheet is truncated or too long")
    return result


def _check_digest(text: str, digest: str) -> str:
    try:
        found = compute_digest(text)
    except UnicodeEncodeError as exc:
        raise ProtocolError("a sheet is not UTF-8") from exc
    if found != digest:
        raise ProtocolError(f"a sheet has digest {found:.12}, not {digest:.12}")
    return text
