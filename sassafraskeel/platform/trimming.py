"""Cuts the documents in the store down to what hosts use of them."""

import json
from collections.abc import Callable
from functools import partial

from sassafraskeel.core.errors import MalformedDocument
from sassafraskeel.platform import wire
from sassafraskeel.platform.crash_documents import decode_crash_table
from sassafraskeel.platform.documents import MAX_NUMBER, decode_host, decode_versions
from sassafraskeel.store.interface import Change

# Entries of replicas and hosts have some hundred bytes.
LARGE_DOCUMENT_BYTES = 2048
# Longer than any text that an entry may have, so that a malformed entry remains one.
MAX_TEXT_LENGTH = 256
REPLICA_FIELDS = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "remainingMs",
    "seqNo",
    "born",
)
# Stands for a document without a usable value; it is malformed, too.
UNUSABLE = b""


def trim_change(change: Change) -> Change | None:
    """Return a change with what is used of its document, None if its key is not used.

    Values are as large as the store allows, and hosts keep and pass on what they read.
    """
    key, value = change.key, change.value
    if key in (wire.MANIFEST_KEY, wire.VERSIONS_KEY):
        is_manifest = key == wire.MANIFEST_KEY
        trim = _keep if is_manifest else partial(_keep_valid, decode=decode_versions)
    elif key.startswith(wire.EVACUATION_PREFIX):
        trim = _drop
    elif key.startswith(wire.REPLICA_PREFIX):
        trim = _trim_replica
    elif key.startswith(wire.HOST_PREFIX):
        name = key.removeprefix(wire.HOST_PREFIX)
        trim = partial(_keep_valid, decode=partial(decode_host, name))
    elif key.startswith(wire.CRASH_PREFIX):
        trim = partial(_keep_valid, decode=partial(decode_crash_table, now=0.0))
    else:
        return None
    if value is None or len(value) <= LARGE_DOCUMENT_BYTES:
        return change
    return change._replace(value=trim(value))


def _keep(value: bytes) -> bytes:
    return value


def _drop(value: bytes) -> bytes:
    return UNUSABLE


def _trim_replica(value: bytes) -> bytes:
    try:
        content = json.loads(value)
    except (ValueError, RecursionError):
        return UNUSABLE
    if not isinstance(content, dict):
        return UNUSABLE
    fields = {
        name: _trim_field(content[name]) for name in REPLICA_FIELDS if name in content
    }
    # Escapes of other characters would make the entry longer than it was.
    trimmed = json.dumps(fields, ensure_ascii=False).encode("utf-8", "surrogatepass")
    return min(trimmed, value, key=len)


def _trim_field(value):
    if isinstance(value, str):
        return value[:MAX_TEXT_LENGTH]
    if isinstance(value, list | dict):
        return []
    if isinstance(value, int) and abs(value) > MAX_NUMBER:
        return []
    return value


def _keep_valid(value: bytes, decode: Callable[[bytes], object]) -> bytes:
    try:
        decode(value)
    except MalformedDocument:
        return UNUSABLE
    return value
