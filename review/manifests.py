"""Manifests of a small deployment, as operators write them."""

import json

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ORDER_PATH, READ_PATH = "/order/", "/read/"


def app_manifest(host_name: str, version: int, added_routes: int) -> bytes:
    """Return a manifest with an order route, a read route and some that were added."""
    defaults = {
        "host": host_name,
        "timeoutMs": 4000,
        "targetLatencyMs": 500,
        "priority": 2,
        "service": "app",
        "sticky": False,
        "canResume": False,
        "gapAimMs": 400,
        "homeRegions": ["serra", "campos", "planalto"],
    }
    routes = [
        {"name": "r-orders", "pathPrefix": ORDER_PATH, "kind": "non_idempotent"},
        {"name": "r-reads", "pathPrefix": READ_PATH, "kind": "safe", "attempts": 2},
    ]
    for number in range(added_routes):
        prefix = f"/added{number:06d}/"
        routes.append(
            {"name": f"r-a{number:06d}", "pathPrefix": prefix, "kind": "safe"}
        )
    service = {
        "name": "app",
        "healthPath": "/healthz",
        "maxConnections": 100,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }
    content = {
        "version": version,
        "routes": [{"attempts": 1} | defaults | route for route in routes],
        "services": [service],
        "limits": LIMITS,
    }
    return json.dumps(content, separators=(",", ":")).encode()
