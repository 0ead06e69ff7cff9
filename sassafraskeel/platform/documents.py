"""Decodes the documents of operators, replicas and hosts in the platform's store."""

import json

from sassafraskeel.core.errors import MalformedDocument, ProtocolError, UserError
from sassafraskeel.core.net import parse_address
from sassafraskeel.core.types import CallKind, HostInfo
from sassafraskeel.decisions.crash_evidence import CrashTable
from sassafraskeel.decisions.fleet import UNKNOWN_SEQUENCE, UNVERSIONED_PREFIX, Replica
from sassafraskeel.decisions.routes import (
    CallerLimits,
    EngineSpec,
    Manifest,
    Route,
    ServiceSpec,
    TrafficShare,
)
from sassafraskeel.decisions.version_history import (
    MAX_RECORDED_VERSIONS,
    MAX_SERVICES,
    UNKNOWN_VERSION,
)
from sassafraskeel.gateways.codec import decode_host_info
from sassafraskeel.platform import wire
from sassafraskeel.platform.crash_documents import (
    decode_crash_table,
    encode_crash_table,
)
from sassafraskeel.platform.document_fields import (
    is_ip,
    is_name,
    is_text,
    shorten_detail,
)
from sassafraskeel.store.interface import Change
from sassafraskeel.store.reading import DocumentPrefixes
from sassafraskeel.store.updates import (
    CrashTableListed,
    CrashTableRemoved,
    HostListed,
    HostRemoved,
    ManifestAccepted,
    ReplicaListed,
    ReplicaRemoved,
    StoreUpdate,
    VersionsRecorded,
    ZoneEvacuationChanged,
)

CALL_KINDS = {
    "safe": CallKind.READ,
    "non_idempotent": CallKind.ORDER,
    "streaming": CallKind.MODEL,
}
DEFAULT_TIMEOUT_MS = 60_000
DEFAULT_OBJECTIVE_MS = 1_000
DEFAULT_MAX_PAUSE_MS = 500
LOWEST_PRIORITY = 9
# Larger numbers are not exact in JSON (RFC 8259, section 6).
MAX_NUMBER = 2**53
DRAINING_BY_STATE = {"ready": False, "draining": True}
MAX_SLOTS = 1_000_000
MAX_HOST_CORES = 10_000
# One that stands for an entry without a usable version has the name of its replica.
MAX_RECORDED_VERSION_LENGTH = 256


class PlatformDocumentCodec:
    """Implements DocumentCodec for the platform's keys and JSON documents."""

    prefixes = DocumentPrefixes(
        manifest=wire.MANIFEST_KEY,
        evacuations=wire.EVACUATION_PREFIX,
        hosts=wire.HOST_PREFIX,
        replicas=wire.REPLICA_PREFIX,
        versions=wire.VERSIONS_KEY,
        crashes=wire.CRASH_PREFIX,
    )

    def decode(self, change: Change, now: float) -> StoreUpdate | None:
        """Decode a change, None if the key is not used; raise MalformedDocument.

        `now` is a reading of the monotonic clock.
        """
        key, value = change.key, change.value
        if key == wire.MANIFEST_KEY:
            if not value:
                return None
            return ManifestAccepted(self.decode_manifest(value), value)
        if key.startswith(wire.EVACUATION_PREFIX):
            zone = _decode_key_name(key, wire.EVACUATION_PREFIX)
            return ZoneEvacuationChanged(zone, value is not None)
        if key.startswith(wire.REPLICA_PREFIX):
            name = _decode_key_name(key, wire.REPLICA_PREFIX)
            if value is None:
                return ReplicaRemoved(name)
            return ReplicaListed(decode_replica(name, value, now))
        if key.startswith(wire.HOST_PREFIX):
            name = _decode_key_name(key, wire.HOST_PREFIX)
            if value is None:
                return HostRemoved(name)
            return HostListed(decode_host(name, value))
        if key.startswith(wire.CRASH_PREFIX):
            name = _decode_key_name(key, wire.CRASH_PREFIX)
            if value is None:
                return CrashTableRemoved(name)
            return CrashTableListed(name, decode_crash_table(value, now))
        if key == wire.VERSIONS_KEY and value:
            return decode_versions(value)
        return None

    def decode_manifest(self, document: bytes) -> Manifest:
        """Decode the document of a manifest; raise MalformedDocument."""
        return decode_manifest(document)

    def encode_host(self, host: HostInfo) -> tuple[str, bytes]:
        """Return the key and the value of a host's registration."""
        return wire.HOST_PREFIX + host.name, json.dumps(host).encode()

    def encode_crash_table(
        self, host: str, table: CrashTable, now: float
    ) -> tuple[str, bytes]:
        """Return the key and the value of the crashes that a host saw."""
        return wire.CRASH_PREFIX + host, encode_crash_table(table, now)

    def encode_versions(self, record: VersionsRecorded) -> tuple[str, bytes]:
        """Return the key and the value of the versions of services."""
        return wire.VERSIONS_KEY, json.dumps(record._asdict()).encode()


def decode_manifest(value: bytes) -> Manifest:
    """Decode the operators' manifest; raise MalformedDocument."""
    content = _parse_object(value)
    try:
        services = [_decode_service(entry) for entry in content["services"]]
        return Manifest(
            int(content["version"]),
            tuple(_decode_route(entry) for entry in content["routes"]),
            {service.name: service for service in services},
            _decode_limits(content.get("limits") or {}),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        ArithmeticError,
        RecursionError,
    ) as exc:
        detail = shorten_detail(f"{type(exc).__name__} {exc}")
        raise MalformedDocument(f"manifest: {detail}") from exc


def decode_replica(name: str, value: bytes, now: float) -> Replica:
    """Decode the entry of a replica; raise MalformedDocument.

    `now` is a reading of the monotonic clock.
    """
    content = _parse_object(value)
    remaining_ms = content.get("remainingMs")
    # The time for which the replica stays cold, not the time since its start.
    cold_ms = content.get("coldRemainingMs", 0)
    started_at_ms = content.get("born", 0)
    sequence = content.get("seqNo", UNKNOWN_SEQUENCE)
    numbers = [content.get("slots"), cold_ms, started_at_ms, sequence]
    if remaining_ms is not None:
        numbers.append(remaining_ms)
    if any(not _is_number(number) for number in numbers):
        raise MalformedDocument(f"replica {name}: a number is missing or malformed")
    if not 0 <= content["slots"] <= MAX_SLOTS:
        raise MalformedDocument(f"replica {name}: the slots are out of range")
    texts = [content.get("service"), content.get("zone"), content.get("address")]
    if not all(map(is_text, texts)):
        raise MalformedDocument(f"replica {name}: a text field is missing or malformed")
    state = content.get("state")
    if not isinstance(state, str) or state not in DRAINING_BY_STATE:
        raise MalformedDocument(f"replica {name}: unknown state")
    try:
        address = parse_address(texts[2])
    except UserError as exc:
        raise MalformedDocument(f"replica {name}: {exc}") from exc
    if not is_ip(address.ip):
        raise MalformedDocument(f"replica {name}: the address is not an IP address")
    return Replica(
        name=name,
        started_at_ms=int(started_at_ms),
        service=texts[0],
        zone=texts[1],
        address=address,
        slots=int(content["slots"]),
        draining=DRAINING_BY_STATE[state],
        cold_until=now + cold_ms / 1000 if cold_ms > 0 else 0.0,
        terminates_at=None if remaining_ms is None else now + remaining_ms / 1000,
        sequence=int(sequence),
        software_version=_decode_version(content, name, int(started_at_ms)),
    )


def _decode_version(content: dict, name: str, started_at_ms: int) -> str:
    """Return the version of a replica's software.

    A replica whose entry names none gets a version that equals no other.
    """
    version = content.get("version")
    if is_text(version) and not version.startswith(UNVERSIONED_PREFIX):
        return version
    return f"{UNVERSIONED_PREFIX}{name}/{started_at_ms}"


def decode_host(name: str, value: bytes) -> HostInfo:
    """Decode the registration of a host; raise MalformedDocument."""
    try:
        host = decode_host_info(json.loads(value))
    except (ValueError, RecursionError, ProtocolError) as exc:
        raise MalformedDocument(f"host: {exc}") from exc
    if host.name != name:
        # The removal of the key would not end the registration of the other name.
        raise MalformedDocument("host: the name differs from that of the key")
    if not is_name(host.domain) or not is_name(host.incarnation):
        raise MalformedDocument("host: a text is malformed")
    if not is_ip(host.callers.ip) or not is_ip(host.gateways.ip):
        raise MalformedDocument("host: an address is not an IP address")
    if not 0 <= host.capacity <= MAX_HOST_CORES:
        raise MalformedDocument("host: the capacity is out of range")
    return host


def decode_versions(value: bytes) -> VersionsRecorded:
    """Decode the versions of services; raise MalformedDocument."""
    content = _parse_object(value)
    era, services = content.get("era"), content.get("services")
    if not isinstance(era, int) or not isinstance(services, dict):
        raise MalformedDocument("versions: a field is missing or malformed")
    if len(services) > MAX_SERVICES or not all(map(is_text, services)):
        raise MalformedDocument("versions: the services are malformed or too many")
    for versions in services.values():
        if not isinstance(versions, list) or len(versions) > MAX_RECORDED_VERSIONS:
            raise MalformedDocument("versions: the versions of a service are malformed")
        if not all(map(_is_recorded_version, versions)):
            raise MalformedDocument("versions: a version is malformed")
    return VersionsRecorded(
        era, {name: tuple(versions) for name, versions in services.items()}
    )


def _is_recorded_version(version) -> bool:
    if version == UNKNOWN_VERSION:
        return True
    return is_text(version, MAX_RECORDED_VERSION_LENGTH)


def _decode_route(entry) -> Route:
    kind = CALL_KINDS[entry["kind"]]
    if entry.get("trafficSplit"):
        shares = tuple(
            TrafficShare(str(share["service"]), float(share["weight"]))
            for share in entry["trafficSplit"]
        )
    else:
        shares = (TrafficShare(str(entry["service"]), 1.0),)
    return Route(
        name=str(entry["name"]),
        host=str(entry["host"]).lower(),
        prefix=str(entry["pathPrefix"]),
        kind=kind,
        shares=shares,
        timeout=_decode_seconds(entry, "timeoutMs", DEFAULT_TIMEOUT_MS),
        objective=_decode_seconds(entry, "targetLatencyMs", DEFAULT_OBJECTIVE_MS),
        max_pause=_decode_seconds(entry, "gapAimMs", DEFAULT_MAX_PAUSE_MS),
        priority=int(entry.get("priority", LOWEST_PRIORITY)),
        # The number of replicas to which a request may be sent, including the first.
        max_upstreams=max(int(entry.get("attempts", 1)), 1),
        may_resume=bool(entry.get("canResume", False)),
        home_regions=frozenset(
            str(region) for region in entry.get("homeRegions") or ()
        ),
    )


def _decode_service(entry) -> ServiceSpec:
    engine = entry.get("engine")
    return ServiceSpec(
        name=str(entry["name"]),
        health_path=str(entry.get("healthPath", "/")),
        max_connections=int(entry.get("maxConnections", 0)),
        cold_seconds=float(entry.get("coldStartS", 0)),
        cold_rate=float(entry.get("coldPerS", 0)),
        engine=None
        if engine is None
        else EngineSpec(int(engine["slots"]), int(engine["kvCapacityTokens"])),
    )


def _decode_limits(entry) -> CallerLimits:
    return CallerLimits(
        int(entry.get("maxHeaderBytes", 16384)),
        int(entry.get("maxBodyBytes", 4 * 1024 * 1024)),
        _decode_seconds(entry, "headerTimeoutMs", 3000),
        _decode_seconds(entry, "idleTimeoutMs", 15000),
    )


def _decode_seconds(entry, name, default) -> float:
    value = entry.get(name)
    return float(default if value is None else value) / 1000


def _parse_object(value: bytes) -> dict:
    try:
        content = json.loads(value)
    except (ValueError, RecursionError) as exc:
        raise MalformedDocument("the document is not JSON") from exc
    if not isinstance(content, dict):
        raise MalformedDocument("the document is not an object")
    return content


def _decode_key_name(key: str, prefix: str) -> str:
    name = key.removeprefix(prefix)
    if not is_name(name):
        raise MalformedDocument("the name in the key is empty or malformed")
    return name


def _is_number(value) -> bool:
    if not isinstance(value, int | float) or isinstance(value, bool):
        return False
    return abs(value) <= MAX_NUMBER  # NaN compares as false.
