"""The updates that a host decodes from changes of the store."""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.crash_evidence import CrashTable
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.routes import Manifest
from sassafraskeel.store.interface import Change
from sassafraskeel.store.reading import DocumentPrefixes


class ManifestAccepted(NamedTuple):
    """The operators accepted a new manifest, which was written as `document`."""

    manifest: Manifest
    document: bytes


class ZoneEvacuationChanged(NamedTuple):
    """A failure domain was evacuated and gets no new work, or was reinstated."""

    zone: str
    evacuated: bool


class ReplicaListed(NamedTuple):
    """The entry of a replica was added or changed."""

    replica: Replica


class ReplicaRemoved(NamedTuple):
    """The entry of a replica was removed."""

    name: str


class HostListed(NamedTuple):
    """A host of the gateway registered itself."""

    host: HostInfo


class HostRemoved(NamedTuple):
    """A host of the gateway unregistered itself, or its lease expired."""

    name: str


class CrashTableListed(NamedTuple):
    """A host published the crashes of replicas that it saw."""

    host: str
    table: CrashTable


class CrashTableRemoved(NamedTuple):
    """The crashes that a host published have expired."""

    host: str


class VersionsRecorded(NamedTuple):
    """Hosts recorded which software versions the streams of each service may have.

    The record was made in an era of the store; of another one, it may be outdated.
    """

    era: int
    services: dict[str, tuple[str, ...]]


StoreUpdate = (
    ManifestAccepted
    | ZoneEvacuationChanged
    | ReplicaListed
    | ReplicaRemoved
    | HostListed
    | HostRemoved
    | CrashTableListed
    | CrashTableRemoved
    | VersionsRecorded
)


class ManifestSource(Protocol):
    """The other hosts, which may have a newer manifest than the store."""

    async def ask(self, hosts: Sequence[HostInfo]) -> bytes:
        """Return the document in force on one of some hosts, b"" without an answer."""


class DocumentCodec(Protocol):
    """Decodes and encodes the documents in the store."""

    prefixes: DocumentPrefixes

    def decode(self, change: Change, now: float) -> StoreUpdate | None:
        """Decode a change, None if the key is not used; raise MalformedDocument.

        `now` is a reading of the monotonic clock.
        """

    def decode_manifest(self, document: bytes) -> Manifest:
        """Decode the document of a manifest; raise MalformedDocument."""

    def encode_host(self, host: HostInfo) -> tuple[str, bytes]:
        """Return the key and the value of a host's registration."""

    def encode_crash_table(
        self, host: str, table: CrashTable, now: float
    ) -> tuple[str, bytes]:
        """Return the key and the value of the crashes that a host saw."""

    def encode_versions(self, record: VersionsRecorded) -> tuple[str, bytes]:
        """Return the key and the value of the versions of services."""
