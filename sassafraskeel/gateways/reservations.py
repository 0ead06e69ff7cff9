"""The reservation of replicas for suspects at other hosts (design 5.7)."""

from typing import Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError, TimedOut
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.suspects import EXPIRY_SECONDS, Suspects
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.suspect_messages import ReplicaReservation, ReservationReply
from sassafraskeel.gateways.suspects import MAX_NAME_LENGTH

# The longest wait for the requests of other hosts on a reserved replica. A suspect then
# starts beside them, so that a long answer does not cost a harmless suspect its
# deadline.
DRAIN_SECONDS = 10.0


class LocalRequests(Protocol):
    """Tells when the requests of the local host on a replica end."""

    async def wait_until_idle(self, replica: str) -> None:
        """Wait until no request of the local host runs on a replica."""

    async def wake(self) -> None:
        """Let the requests that wait for a replica choose again."""


class ReservationExchange:
    """Reserves replicas at the hosts of the failure domain, which alone use them.

    A host that cannot be reached is left out: if its requests run on the replica as
    well, a crash is not attributed to the suspect alone.
    """

    def __init__(
        self,
        links: LinkManager,
        group: SupervisedTaskGroup,
        domain: str,
        timeout: float,
    ):
        self._links = links
        self._group = group
        self._domain = domain
        self._timeout = timeout

    async def reserve(self, replica: str, seconds: float) -> bool:
        """Return whether no host refuses a reservation, once the replica is idle."""
        message = ReplicaReservation(replica, seconds)
        replies = []
        async with SupervisedTaskGroup() as group:
            for link in self._peer_links():
                await group.spawn(self._ask, link, message, replies)
            await group.join()  # Here, a cancellation ends the requests as well.
        return all(replies)

    async def release(self, replica: str) -> None:
        """Release a replica at the other hosts without waiting for them."""
        for link in self._peer_links():
            message = ReplicaReservation(replica, 0.0)
            await self._group.spawn(self._ask, link, message, [])

    def _peer_links(self) -> list[ControlLink]:
        links = self._links.links()
        return [link for link in links if link.peer.domain == self._domain]

    async def _ask(self, link: ControlLink, message, replies: list[bool]) -> None:
        try:
            reply = await link.request(message, DRAIN_SECONDS + self._timeout)
        except SassafraskeelError:
            return  # The task that maintains the link logs its loss.
        replies.append(isinstance(reply, ReservationReply) and reply.reserved)


class ReservationServer:
    """Answers the reservations of other hosts, which end with their last link."""

    def __init__(self, suspects: Suspects, local: LocalRequests, clock: Clock):
        self._suspects = suspects
        self._local = local
        self._clock = clock

    async def answer(
        self, peer: HostInfo, message: ReplicaReservation
    ) -> ReservationReply:
        """Reserve or release a replica; raise ProtocolError if the name is too long."""
        replica = message.replica
        if len(replica) > MAX_NAME_LENGTH:
            raise ProtocolError("the name of a reserved replica is too long")
        now = self._clock.monotonic()
        if message.seconds <= 0:
            self._suspects.release_for_peer(peer.name, replica)
            await self._local.wake()
            return ReservationReply(False)
        until = now + min(message.seconds, EXPIRY_SECONDS)
        reserved = self._suspects.reserve_for_peer(peer.name, replica, until, now)
        if reserved:
            await self._local.wake()
            await self._drain(replica)
        return ReservationReply(reserved)

    async def _drain(self, replica: str) -> None:
        try:
            async with self._clock.timeout(DRAIN_SECONDS):
                await self._local.wait_until_idle(replica)
        except TimedOut:
            return

    async def link_closed(self, peer: HostInfo) -> None:
        """Release the replica reserved for a host to which no link is left."""
        self._suspects.release_for_peer(peer.name)
        await self._local.wake()
