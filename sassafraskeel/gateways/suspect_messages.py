"""The messages between hosts on requests that crash upstreams (design 5.7)."""

from typing import NamedTuple


class SuspectUpdate(NamedTuple):
    """Crash reports on requests (see gateways.suspects); the reply has no entries."""

    entries: list


class ReplicaReservation(NamedTuple):
    """Reserves a replica for a suspect of the sender; answered by ReservationReply.

    `seconds` is the time after which the reservation ends by itself; 0 releases the
    replica.
    """

    replica: str
    seconds: float


class ReservationReply(NamedTuple):
    """Whether a replica is reserved.

    It is sent when the receiver's requests on the replica have ended, or after
    DRAIN_SECONDS.
    """

    reserved: bool
