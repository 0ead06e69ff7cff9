"""Which version of the sheet is in force, and how hosts react to the store's head."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.types import HostInfo

STAMP_DIGEST_CHARACTERS = 16
# The lineage is read with the head every 2 s, so its length costs bandwidth: 20
# entries are about 0.6 KB.
MAX_LINEAGE = 20


class Stamp(NamedTuple):
    """The identity of an accepted sheet; `digest` is shortened."""

    version: int
    digest: str

    def __str__(self):
        return f"{self.version} {self.digest}"


Lineage = tuple[Stamp, ...]


class HeadAction(StrEnum):
    """What a host does about the head that it read.

    REPUBLISH: the store was restored to an older state, or an earlier sheet was written
    there again. RENUMBER: a sheet was accepted after such a restore under a version
    that was already in use.
    """

    KEEP = "keep"
    INSTALL = "install"
    REPUBLISH = "republish"
    RENUMBER = "renumber"


class AcceptanceStatus(StrEnum):
    """How a sheet to be accepted relates to the lineage of the head.

    EARLIER: the sheet was in force and has been replaced since.
    """

    NEW = "new"
    IN_FORCE = "in_force"
    EARLIER = "earlier"


def stamp(version: int, digest: str) -> Stamp:
    """Return the stamp for a version and a full or shortened digest."""
    return Stamp(version, digest[:STAMP_DIGEST_CHARACTERS])


def parse_stamp(text: str) -> Stamp:
    """Return the stamp written as text; raise ProtocolError if it is malformed."""
    version, space, digest = text.partition(" ")
    if not space or not (version.isascii() and version.isdecimal()):
        raise ProtocolError(f"{text!r:.40} is not a stamp of a sheet")
    return stamp(int(version), digest)


def merge_lineages(*lineages: Lineage) -> Lineage:
    """Return the last MAX_LINEAGE stamps of all lineages, sorted by version."""
    return tuple(sorted({item for each in lineages for item in each}))[-MAX_LINEAGE:]


def decide_head_action(
    lineage: Lineage, head: Stamp | None, again: bool = False
) -> HeadAction:
    """Return the action for a head.

    The last stamp of `lineage` is that of the sheet in force at this host. `again`
    tells that an operator wants the head although it may have been replaced before.
    """
    if not lineage:
        return HeadAction.INSTALL if head else HeadAction.KEEP
    current = lineage[-1]
    if head == current:
        return HeadAction.KEEP
    if head is not None and head.version > current.version:
        return HeadAction.INSTALL
    if head is None or head in lineage or head.version < lineage[0].version:
        return HeadAction.REPUBLISH
    if not again and any(item.digest == head.digest for item in lineage[:-1]):
        # The acceptance would have been refused, but the store had lost the lineage.
        return HeadAction.REPUBLISH
    return HeadAction.RENUMBER


def classify_acceptance(lineage: Lineage, proposed: Stamp) -> AcceptanceStatus:
    """Return how a sheet relates to a lineage; only digests are compared."""
    if lineage and lineage[-1].digest == proposed.digest:
        return AcceptanceStatus.IN_FORCE
    if any(item.digest == proposed.digest for item in lineage):
        return AcceptanceStatus.EARLIER
    return AcceptanceStatus.NEW


def accepted_version(lineage: Lineage, written: Stamp) -> int | None:
    """Return the accepted version of a write whose answer was lost.

    Return None if another write was accepted instead.
    """
    if written in lineage:
        return written.version
    if lineage and lineage[-1].digest == written.digest:
        return lineage[-1].version
    return None


def is_store_watcher(local_host: HostInfo, live: Iterable[HostInfo]) -> bool:
    """Return whether this host watches the store for its failure domain.

    The live host with the lowest name does.
    """
    return all(
        local_host.name <= host.name
        for host in live
        if host.domain == local_host.domain
    )


def count_domain_hosts(local_host: HostInfo, live: Iterable[HostInfo]) -> int:
    """Return the number of live hosts in the local domain, including this host."""
    return 1 + sum(host.domain == local_host.domain for host in live)
