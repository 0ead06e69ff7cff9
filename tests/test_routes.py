"""Tests of routes: longest prefix, traffic split, and the home regions of a host."""

import math
from collections import Counter
from unittest import TestCase

from sassafraskeel.core.types import CallKind
from sassafraskeel.decisions.routes import (
    CallerLimits,
    Manifest,
    Route,
    RouteTable,
    TrafficShare,
    choose_service,
)


def route(name, prefix="/", home_regions=(), shares=(("desk", 1.0),)):
    return Route(
        name,
        "app.example",
        prefix,
        CallKind.READ,
        tuple(TrafficShare(*share) for share in shares),
        timeout=1.0,
        objective=0.5,
        max_pause=0.5,
        priority=1,
        max_upstreams=1,
        may_resume=False,
        home_regions=frozenset(home_regions),
    )


def table(*routes, former=None, now=-math.inf):
    manifest = Manifest(1, routes, {}, CallerLimits(1, 1, 1.0, 1.0))
    return RouteTable(manifest, former, now)


class RouteTableTest(TestCase):
    def test_longest_prefix(self):
        """Guards against a route that takes precedence over a longer prefix."""
        routes = table(route("short", "/a/"), route("long", "/a/b/"))
        self.assertEqual(routes.match("app.example", "/a/b/c").name, "long")
        self.assertEqual(routes.match("app.example", "/a/c").name, "short")
        self.assertIsNone(routes.match("app.example", "/ab"))
        self.assertIsNone(routes.match("other.example", "/a/"))

    def test_homes(self):
        """Guards against directing callers to a region that is home to no route.

        Seed 634389325516 of trouble-2: the routes of the host had no home region
        in common, so callers were directed to a region that is no home.
        """
        routes = table(
            route("a", "/a/", ("north", "east")),
            route("b", "/b/", ("north", "east")),
            route("c", "/c/", ("south",)),
            route("d", "/d/"),
        )
        self.assertEqual(routes.home_regions("app.example"), {"north", "east"})

    def test_split(self):
        """Guards against a split that does not follow the weights."""
        split = route("a", shares=(("one", 90.0), ("two", 10.0)))
        chosen = Counter(choose_service(split, f"id-{n}") for n in range(2000))
        self.assertAlmostEqual(chosen["two"] / 2000, 0.1, delta=0.03)
        self.assertEqual(choose_service(split, "x"), choose_service(split, "x"))

    def test_share_of_zero(self):
        """Guards against requests for the last service of a split without a share."""
        split = route("a", shares=(("one", 0.1), ("two", 0.2), ("three", 0.0)))
        chosen = Counter(choose_service(split, f"id-{n}") for n in range(2000))
        self.assertEqual(set(chosen), {"one", "two"})
        self.assertEqual(table(split).services(split).names, ("one", "two"))


class ServiceChangeTest(TestCase):
    """When requests of a route may last have gone to other services."""

    def check(self, before, after, path, expected):
        """Check when the route of a path changed, if that was at 5.0 s at all."""
        former = table(*before)
        current = table(*after, former=former, now=5.0)
        found = current.match("app.example", path)
        self.assertEqual(current.services(found).unchanged_since, expected)

    def test_other_shares(self):
        """Guards against a change of weights that goes unnoticed."""
        halves = route("a", shares=(("one", 1.0), ("two", 1.0)))
        rest = route("a", shares=(("one", 1.0), ("two", 3.0)))
        self.check([halves], [rest], "/", 5.0)
        self.check([halves], [halves._replace(timeout=9.0)], "/", -math.inf)

    def test_longer_prefix(self):
        """Guards against a route that takes over requests, or leaves them to another,
        without a change of weights.
        """
        short, long = route("a", "/"), route("b", "/b/", shares=(("two", 1.0),))
        self.check([short], [short, long], "/b/x", 5.0)
        self.check([short], [short, long], "/", -math.inf)
        self.check([short, long], [short], "/b/x", 5.0)

    def test_later_manifest(self):
        """Guards against a change that is forgotten with the next manifest."""
        one, two = route("a"), route("a", shares=(("two", 1.0),))
        changed = table(two, former=table(one), now=5.0)
        later = table(two, former=changed, now=6.0)
        self.assertEqual(later.services(two).unchanged_since, 5.0)
