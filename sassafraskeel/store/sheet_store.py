"""The sheet in the key-value service: its head, its texts and their acceptance."""

import base64
import binascii
from datetime import datetime
from typing import NamedTuple

from sassafraskeel.core.errors import (
    CompareFailed,
    Fault,
    InvalidInput,
    PlatformUnavailable,
    ProtocolError,
    SassafraskeelError,
    SheetConflict,
    SheetReplaced,
    SheetTextMissing,
)
from sassafraskeel.decisions.precedence import (
    AcceptanceStatus,
    Lineage,
    Stamp,
    accepted_version,
    classify_acceptance,
    merge_lineages,
    parse_stamp,
    stamp,
)
from sassafraskeel.sheets.delta import (
    apply_delta,
    make_delta,
    pack_delta,
    pack_text,
    unpack_delta,
    unpack_text,
)
from sassafraskeel.sheets.model import Sheet
from sassafraskeel.sheets.parse import compute_digest, parse_sheet
from sassafraskeel.sheets.plan import check_plan, plan_change
from sassafraskeel.store.key_value import MAX_VALUE_BYTES, KeyValueStore, Revision

HEAD_KEY = "sheet/head"
KEPT_VERSIONS = 50
MAX_VERSION_TRIES = 50
MAX_WRITE_TRIES = 3
# The head is read every 2 s, so a longer delta is left out; hosts then read the full
# text from its key.
MAX_HEAD_DELTA_BYTES = 3000


class SheetHead(NamedTuple):
    """The head of the sheet; `delta` turns the text of `base` into its text.

    `revision` is the revision of the key, for a compare-and-swap. `again` tells that
    the sheet was accepted with that option.
    """

    version: int
    digest: str
    lineage: Lineage
    base: Stamp | None
    delta: bytes
    revision: Revision
    again: bool = False

    @property
    def stamp(self) -> Stamp:
        """Return the stamp of the sheet at the head."""
        return stamp(self.version, self.digest)


class Publication(NamedTuple):
    """A sheet to be written: its text, its earlier lineage and the base of a delta."""

    text: str
    lineage: Lineage
    base: Stamp | None = None
    base_text: str = ""
    again: bool = False


EMPTY_HEAD = SheetHead(0, "", (), None, b"", Revision(0, 0))


def text_key(version: int) -> str:
    """Return the key of a version's text."""
    return f"sheet/{version}"


def decode_head(value, revision: Revision) -> SheetHead:
    """Decode a stored head; raise ProtocolError if it is malformed."""
    if value is None:
        return EMPTY_HEAD._replace(revision=revision)
    try:
        base = parse_stamp(value["base"]) if value["base"] else None
        lineage = tuple(parse_stamp(item) for item in value["lineage"])
        delta = base64.b64decode(value["delta"], validate=True)
        return SheetHead(
            int(value["version"]),
            str(value["digest"]),
            lineage,
            base,
            delta,
            revision,
            value.get("again") is True,
        )
    except (KeyError, TypeError, ValueError, binascii.Error) as exc:
        raise ProtocolError(f"the head of the sheet is malformed: {exc}") from exc


async def read_head(store: KeyValueStore) -> SheetHead:
    """Return the head, with version 0 if no sheet was accepted yet."""
    return decode_head(*await store.get(HEAD_KEY))


async def read_text(store: KeyValueStore, head: SheetHead) -> str:
    """Return the text of the head; raise SheetTextMissing if it cannot be read."""
    value = (await store.get(text_key(head.version))).value
    try:
        data = base64.b64decode(value["text"], validate=True)
        return unpack_text(data, head.digest)
    except (TypeError, KeyError, ValueError, ProtocolError) as exc:
        raise SheetTextMissing(f"version {head.version} is not readable") from exc


def apply_head_delta(head: SheetHead, base_text: str) -> str:
    """Return the text of the head, given the text of its base."""
    return apply_delta(base_text, unpack_delta(head.delta), head.digest)


async def accept_sheet(
    store: KeyValueStore,
    text: str,
    *,
    allow_empty: bool = False,
    again: bool = False,
    now: datetime | None = None,
    file: str = "sheet",
) -> int:
    """Make a sheet the next version and return that version.

    Accepting the text that is already in force returns its version, so that an
    operator may retry after a lost answer. Raises SheetConflict if another
    sheet was accepted at the same time, SheetReplaced if the text was in force
    earlier and `again` is not set, SheetEmpties or HomeMoved.
    """
    sheet = parse_sheet(text, file)
    head = await read_head(store)
    status = classify_acceptance(head.lineage, stamp(0, sheet.digest))
    if status is AcceptanceStatus.IN_FORCE:
        return await _restore_lost_text(store, head, text)
    if status is AcceptanceStatus.EARLIER and not again:
        raise SheetReplaced(_last_version(head.lineage, sheet.digest), head.version)
    current = await read_sheet(store, head)
    check_plan(plan_change(current, sheet, now), allow_empty)
    publication = Publication(
        text,
        head.lineage,
        head.stamp if current else None,
        current.text if current else "",
        again,
    )
    accepted = await publish_sheet(store, head, head.version + 1, publication)
    if head.version:
        await _prune(store, head, accepted.version)
    return accepted.version


async def _restore_lost_text(store, head: SheetHead, text: str) -> int:
    """Return the version in force, or a new one if the store lost its text."""
    try:
        await read_text(store, head)
    except SheetTextMissing:
        publication = Publication(text, head.lineage)
        return (await publish_sheet(store, head, head.version + 1, publication)).version
    return head.version


async def read_sheet(store: KeyValueStore, head: SheetHead) -> Sheet | None:
    """Return the sheet at the head, or None if no sheet was accepted yet."""
    if not head.version:
        return None
    text = await read_text(store, head)
    return parse_sheet(text, f"version {head.version}", head.version)


async def publish_sheet(
    store: KeyValueStore, head: SheetHead, version: int, publication: Publication
) -> Stamp:
    """Write a text under the first free version and move the head to it.

    Raises SheetConflict if the head has changed. The text is written before the
    head and never overwritten, so that the text of a head always exists.
    """
    digest = compute_digest(publication.text)
    version = await _write_text(store, version, publication.text, digest)
    written = stamp(version, digest)
    value = _encode_head(publication, version, digest)
    for _ in range(MAX_WRITE_TRIES):
        try:
            await store.put(HEAD_KEY, value, head.revision)
            return written
        except (CompareFailed, PlatformUnavailable) as exc:
            # The write may have taken effect although its answer was lost.
            found = await read_head(store)
            accepted = accepted_version(found.lineage, written)
            if accepted is not None:
                return stamp(accepted, digest)
            if isinstance(exc, CompareFailed) or found.revision != head.revision:
                raise SheetConflict(found.version, found.digest) from exc
    raise PlatformUnavailable("the head of the sheet could not be written")


async def _write_text(store, version, text, digest) -> int:
    value = {
        "digest": digest,
        "text": base64.b64encode(pack_text(text)).decode(),
    }
    if len(value["text"]) + 200 > MAX_VALUE_BYTES:
        allowed = f"{MAX_VALUE_BYTES} bytes as stored"
        raise InvalidInput([Fault("sheet", 1, "", "too long", allowed)])
    for candidate in range(version, version + MAX_VERSION_TRIES):
        entry = await store.get(text_key(candidate))
        if entry.revision.number == 0:
            try:
                await store.put(text_key(candidate), value, entry.revision)
                return candidate
            except (CompareFailed, PlatformUnavailable):
                # Another host wrote first, or the answer to this write was lost.
                entry = await store.get(text_key(candidate))
        if entry.value and entry.value.get("digest") == digest:
            return candidate
    raise PlatformUnavailable(f"no free version from {version} on")


def _encode_head(publication: Publication, version: int, digest: str) -> dict:
    new_stamp = stamp(version, digest)
    older = (item for item in publication.lineage if item.version < version)
    delta = b""
    if publication.base is not None:
        delta = pack_delta(make_delta(publication.base_text, publication.text))
    if len(delta) > MAX_HEAD_DELTA_BYTES:
        delta = b""
    return {
        "version": version,
        "digest": digest,
        "lineage": [str(item) for item in merge_lineages(tuple(older), (new_stamp,))],
        "base": str(publication.base) if delta else "",
        "delta": base64.b64encode(delta).decode(),
        "again": publication.again,
    }


async def _prune(store, previous: SheetHead, version: int) -> None:
    """Empty the texts of versions older than the last KEPT_VERSIONS."""
    first = max(1, previous.version - KEPT_VERSIONS + 1)
    last = min(version - KEPT_VERSIONS, first + KEPT_VERSIONS)
    # A text is written only once, so its revision is 1 until it is emptied.
    written_once = previous.revision._replace(number=1)
    for number in range(first, last + 1):
        try:
            await store.put(text_key(number), None, written_once)
        except SassafraskeelError:
            continue  # The sheet is accepted; a text that stays only takes up space.


def _last_version(lineage: Lineage, digest: str) -> int:
    stamp_digest = stamp(0, digest).digest
    return max(item.version for item in lineage if item.digest == stamp_digest)
