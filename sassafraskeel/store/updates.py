"""What a change of the store tells a host."""

from typing import NamedTuple, Protocol

from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.routes import Manifest
from sassafraskeel.store.interface import Change


class ManifestAccepted(NamedTuple):
    """The operators put a manifest in force."""

    manifest: Manifest


class ZoneEvacuationChanged(NamedTuple):
    """A failure domain gets no new work, or is taken back."""

    zone: str
    evacuated: bool


class ReplicaListed(NamedTuple):
    """A replica entered or changed its entry."""

    replica: Replica


class ReplicaRemoved(NamedTuple):
    """The entry of a replica is gone."""

    name: str


class HostListed(NamedTuple):
    """A host of the gateway registered itself."""

    host: HostInfo


class HostRemoved(NamedTuple):
    """A host of the gateway left, or its lease ran out."""

    name: str


StoreUpdate = (
    ManifestAccepted
    | ZoneEvacuationChanged
    | ReplicaListed
    | ReplicaRemoved
    | HostListed
    | HostRemoved
)


class DocumentCodec(Protocol):
    """How documents are written in the store."""

    def decode(self, change: Change, now: float) -> StoreUpdate | None:
        """Return what a change says; raise MalformedDocument."""

    def encode_host(self, host: HostInfo) -> tuple[str, bytes]:
        """Return key and value under which a host registers itself."""
