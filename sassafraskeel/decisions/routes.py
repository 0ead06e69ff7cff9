"""The manifest as typed data, and the choice of route and service for a request."""

import math
import zlib
from collections import Counter
from typing import NamedTuple

from sassafraskeel.core.types import CallKind, RouteServices

SPLIT_BUCKETS = 10_000
# Callers abandon a stream without an event for the longest of these times.
ABANDON_SECONDS = 2.0
ABANDON_OBJECTIVES = 4
ABANDON_MAX_PAUSES = 8


class TrafficShare(NamedTuple):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """A rule that selects the service of a request and limits how it is run.

    `host` is the host name in the requests, not a host of the gateway. A `prefix`
    begins and ends with a slash. `timeout`, `objective` and `max_pause` are in seconds.
    `home_regions` are the regions in which a request may run; if it is empty, all
    regions are allowed.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[TrafficShare, ...]
    timeout: float
    objective: float
    max_pause: float
    priority: int
    max_upstreams: int
    may_resume: bool
    home_regions: frozenset[str]


def abandon_seconds(objective: float, max_pause: float) -> float:
    """Return the seconds after which callers abandon a stream without an event.

    `objective` is that of its first event and `max_pause` the longest pause between two
    events for which it is in time, both in seconds.
    """
    by_objective = ABANDON_OBJECTIVES * objective
    return max(ABANDON_SECONDS, by_objective, ABANDON_MAX_PAUSES * max_pause)


class EngineSpec(NamedTuple):
    """The engine of each replica of a model service."""

    slots: int
    kv_cache_tokens: int


class ServiceSpec(NamedTuple):
    """A service of the manifest.

    A cold replica is slow for `cold_seconds` and may get `cold_rate` requests a second
    from all hosts together; 0 means no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """Limits on the requests of callers, in bytes and seconds."""

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class Manifest(NamedTuple):
    """A version of the operators' configuration of routes and services."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits


class RouteTable:
    """The routes of a manifest by host name, the longest prefix first.

    It was installed at `now`, in monotonic seconds, in place of the table `former`.
    """

    def __init__(
        self,
        manifest: Manifest,
        former: "RouteTable | None" = None,
        now: float = -math.inf,
    ):
        self.manifest = manifest
        self._routes: dict[str, list[Route]] = {}
        for route in sorted(manifest.routes, key=lambda entry: -len(entry.prefix)):
            self._routes.setdefault(route.host, []).append(route)
        # When requests of a route may last have gone to other services, by host name
        # and prefix.
        self._changed_at: dict[tuple[str, str], float] = {}
        if former is not None:
            self._find_changes(former, now)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host name with the longest matching prefix, or None."""
        for route in self._routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def services(self, route: Route) -> RouteServices:
        """Return the services that a route of this table may use."""
        changed_at = self._changed_at.get((route.host, route.prefix), -math.inf)
        names = tuple(share.service for share in weighted_shares(route))
        return RouteServices(names, changed_at)

    def _find_changes(self, former: "RouteTable", now: float) -> None:
        """Record which routes may choose other services than `former` did."""
        changed_at = self._changed_at
        known = {(route.host, route.prefix): route for route in former.manifest.routes}
        for route in self.manifest.routes:
            key = route.host, route.prefix
            old = known.pop(key, None)
            if old is None or old.shares != route.shares:
                changed_at[key] = now
            elif key in former._changed_at:
                changed_at[key] = former._changed_at[key]
        for host, prefix in known:
            # The requests of a route that is gone may match a shorter prefix.
            fallback = self.match(host, prefix)
            if fallback is not None:
                changed_at[fallback.host, fallback.prefix] = now

    def home_regions(self, host: str) -> frozenset[str]:
        """Return the regions that are home to the most routes of a host name."""
        counts = Counter(
            region
            for route in self._routes.get(host, ())
            for region in route.home_regions
        )
        most = max(counts.values(), default=0)
        return frozenset(region for region in counts if counts[region] == most)


def weighted_shares(route: Route) -> tuple[TrafficShare, ...]:
    """Return the shares of a route that get traffic, all if none has a weight."""
    return tuple(share for share in route.shares if share.weight > 0) or route.shares


def choose_service(route: Route, request_id: str) -> str:
    """Return the service of a request; the same request id gets the same service."""
    shares = weighted_shares(route)
    total = sum(share.weight for share in shares)
    bucket = zlib.crc32(request_id.encode()) % SPLIT_BUCKETS / SPLIT_BUCKETS * total
    for share in shares:
        bucket -= share.weight
        if bucket < 0:
            return share.service
    return shares[-1].service
