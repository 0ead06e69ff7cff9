"""The typed rows of the configuration sheet."""

from datetime import datetime
from enum import StrEnum
from typing import NamedTuple

from sassafraskeel.core.net import Address


class ServiceType(StrEnum):
    """The kind of upstreams that serve a service."""

    MODEL = "model"
    PLAIN = "plain"


class Fencing(StrEnum):
    """Whether an engine refuses control commands with an old fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


class Domain(NamedTuple):
    """A failure domain and its region."""

    name: str
    region: str


class Service(NamedTuple):
    """A service and the regions that it may run in."""

    name: str
    type: ServiceType
    regions: frozenset[str]
    home: str
    model: str
    objective_ms: int
    objective: float


class Workspace(NamedTuple):
    """A workspace: its home failure domain, allowed regions and fair share."""

    name: str
    home: str
    regions: frozenset[str]
    share: float


class Upstream(NamedTuple):
    """An upstream of a service."""

    name: str
    domain: str
    address: Address
    service: str
    slots: int
    price: float
    until: datetime | None
    fencing: Fencing

    def is_active(self, now: datetime) -> bool:
        """Return whether the upstream may get new work: `until` has not passed."""
        return self.until is None or now < self.until


class Link(NamedTuple):
    """The price of forwarding one call between two failure domains."""

    name: str
    price: float


class Policy(NamedTuple):
    """The weights of tail latency, cost and calls sent to other domains."""

    weight_tail: float
    weight_cost: float
    weight_away: float


class Sheet(NamedTuple):
    """A complete sheet; its mappings are keyed by name and never modified."""

    version: int
    digest: str
    domains: dict[str, Domain]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    upstreams: dict[str, Upstream]
    links: dict[str, Link]
    policy: Policy
    text: str

    def region_of(self, domain: str) -> str:
        """Return the region of a failure domain, or "" if it is not listed."""
        entry = self.domains.get(domain)
        return entry.region if entry else ""
