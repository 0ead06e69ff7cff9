"""Tests of routes: longest prefix, traffic split, and the home regions of a host."""

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


def table(*routes):
    return RouteTable(Manifest(1, routes, {}, CallerLimits(1, 1, 1.0, 1.0)))


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
