"""Calls that are bound to a version, and replicas of several versions."""

from sassafraskeel.calls.attempts import AttemptHistory
from sassafraskeel.core.errors import Refusal
from sassafraskeel.core.types import Call, CallKind, RoutePolicy

TWO_REGIONS = {
    "zones": ("north-a", "south-a"),
    "replica_zones": ("north-a", "north-a", "south-a", "south-a"),
}


def bind(host, version):
    """Let all calls that a host gets from its callers run only at a version."""
    run = host.dispatcher.run

    async def run_bound(call, body):
        return await run(call._replace(software_version=version), body)

    host.dispatcher.run = run_bound


async def set_versions(world, *versions, **fields):
    """Register replicas with versions of their software, "" for those that are gone."""
    for replica, version in zip(world.replicas, versions, strict=True):
        if version:
            replica.version = version
            await world.register_replica(replica, **fields)
        else:
            await world.store.write(f"servers/{replica.name}", None)
    await world.clock.sleep(1)


def runs(world):
    """Return the number of runs of each replica."""
    return [len(replica.runs) for replica in world.replicas]


def fail_repeatedly(host, name, now):
    """Let a replica fail so often that a host does not use it for four seconds."""
    for age in (8.0, 7.0, 5.0, 0.0):
        host._routing_state.health.failed(name, now - age)


def call(now, version="", hops=(), **fields):
    """Return a call that placement accepts."""
    values = {
        "call_id": "c-1",
        "workspace": "",
        "service": "desk",
        "kind": CallKind.MODEL,
        "method": "POST",
        "path": "/stream/chat/1",
        "headers": (),
        "expires": now + 5.0,
        "queue_deadline": now + 5.0,
        "route_policy": RoutePolicy("chats", 1, True, True, 4.0, 0.2, 2),
    }
    return Call(**values | fields, software_version=version, hops=hops)


async def place(placement, call):
    """Return the target of a call, or its refusal."""
    try:
        return await placement.find_target(call, AttemptHistory())
    except Refusal as refusal:
        return refusal
