"""The limits of a host that follow from the memory and descriptors of its machine.

docs/CAPACITY.md has a row for each thing that a client can make a host hold.
"""

from typing import NamedTuple

# A host without calls takes 50 MB, and its tables at their bounds 82 MB, of which
# clients can fill 33 MB with the origins of streams and 15 MB with parts of prompts,
# and the entries of the store 32 MB. Reading a page of the store takes 5 MB.
HOST_BYTES = 137_000_000
# On a machine that is too small for that, tables that are not full leave this much.
MIN_SPARE_BYTES = 20_000_000
# A connection with its tasks, what is read of it at once, what its request holds
# without counting, and what waits in the kernel.
CONNECTION_BYTES = 64_000
# Of the memory beside HOST_BYTES. A long body is copied twice while it is sent on, so
# that the other part bears three times what connections may hold.
CONNECTION_SHARE = 0.4
HELD_COPIES = 3
# The platform leaves these descriptors for files.
FILE_DESCRIPTORS = 200
# Of the other ones; the rest is for hosts, replicas and the store.
SOCKET_SHARE = 0.5
# Of all these connections.
CALLER_SHARE = 0.7
DIRECTORY_SHARE = 0.15
UNVERIFIED_SHARE = 0.15
MIN_CONNECTIONS = 8


class Capacity(NamedTuple):
    """The connections that a host takes, and the bytes that these may hold.

    `unverified` are connections of other hosts whose token has not been checked yet;
    `held_bytes` is the limit of core.held_memory.MemoryBudget.
    """

    callers: int
    directory: int
    unverified: int
    held_bytes: int


def host_capacity(memory_bytes: float, descriptors: int) -> Capacity:
    """Return the limits of a host on a machine."""
    spare = max(memory_bytes - HOST_BYTES, MIN_SPARE_BYTES)
    connections = min(
        CONNECTION_SHARE * spare / CONNECTION_BYTES,
        SOCKET_SHARE * (descriptors - FILE_DESCRIPTORS),
    )
    return Capacity(
        max(int(CALLER_SHARE * connections), MIN_CONNECTIONS),
        max(int(DIRECTORY_SHARE * connections), MIN_CONNECTIONS),
        max(int(UNVERIFIED_SHARE * connections), MIN_CONNECTIONS),
        int((1 - CONNECTION_SHARE) * spare / HELD_COPIES),
    )


def limit_capacity(
    capacity: Capacity, max_connections: int, max_held_bytes: int
) -> Capacity:
    """Return a capacity within the settings; the other connections keep their share."""
    callers = min(capacity.callers, max_connections)
    share = callers / capacity.callers
    return Capacity(
        callers,
        max(int(share * capacity.directory), MIN_CONNECTIONS),
        max(int(share * capacity.unverified), MIN_CONNECTIONS),
        min(capacity.held_bytes, max_held_bytes),
    )
