"""INI settings of a host that serves the routes of a manifest."""

from datetime import timedelta

from pydantic import Field

from sassafraskeel.core.settings import (
    AddressField,
    AddressList,
    Duration,
    HostSection,
    Section,
    UpstreamSection,
)


class RouteHostSection(HostSection):
    """Identity of the host, and how long the platform waits before it kills a host.

    The host gets `cpu_share` of a processor that is `cores` times as fast as the
    smallest one; the fastest host of a region coordinates it.
    """

    memory_mb: float = Field(200, ge=100)
    descriptors: int = Field(4100, ge=400)
    grace: Duration = timedelta(seconds=8)
    cpu_share: float = Field(1.0, gt=0, le=1)
    cores: float = Field(1.0, gt=0, le=1024)


class ListenSection(Section):
    """The addresses on which the host listens."""

    callers: AddressField
    directory: AddressField
    readiness: AddressField
    gateways: AddressField
    metrics: AddressField


class StoreSection(Section):
    """The platform's store."""

    address: AddressField


class PeerSection(Section):
    """Links to other hosts.

    Connections for forwarded calls are kept open to `forward_hosts` hosts of each other
    region.
    """

    token: str = Field("sassafraskeel", min_length=8)
    seeds: AddressList = ()
    ping_interval: Duration = timedelta(milliseconds=400)
    connect_timeout: Duration = timedelta(seconds=1)
    forward_hosts: int = Field(2, ge=1, le=64)
    max_call_connections: int = Field(512, ge=1)


class RouteCallerSection(Section):
    """The interface to callers.

    `max_held_bytes` bounds what the requests and answers of all connections hold. The
    machine may bear less than these limits (see HostSection).
    """

    max_connections: int = Field(2000, ge=1)
    max_held_bytes: int = Field(40_000_000, ge=1_000_000)
    # The platform caps the TTL at a few seconds.
    directory_ttl: Duration = timedelta(seconds=2)


class RetrySection(Section):
    """Retries that all hosts together may make for a service in a window.

    They may make `ratio` retries for each request of a caller, and `extra` more.
    """

    ratio: float = Field(0.2, ge=0, le=1)
    extra: float = Field(50, ge=0)
    window: Duration = timedelta(seconds=10)


class RouteSettings(Section):
    """All settings of a host that serves routes; `regions` maps zones to regions."""

    host: RouteHostSection
    listen: ListenSection
    store: StoreSection
    regions: dict[str, str] = Field(min_length=1)
    peers: PeerSection = PeerSection()
    callers: RouteCallerSection = RouteCallerSection()
    upstreams: UpstreamSection = UpstreamSection(
        connect_timeout=timedelta(milliseconds=400)
    )
    retries: RetrySection = RetrySection()
