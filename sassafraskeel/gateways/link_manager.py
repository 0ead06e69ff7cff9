"""Control links to other hosts: dialling, heartbeats and handlers of requests."""

import itertools
import random
from collections import Counter
from typing import NamedTuple, Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Address, Network
from sassafraskeel.core.settings import GatewaySection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.membership import Member, Membership
from sassafraskeel.gateways.channel import dial
from sassafraskeel.gateways.codec import compute_host_checksum
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.messages import Hello, LinkClosing, Ping, Pong

BACKOFF_MIN_SECONDS = 0.2
BACKOFF_MAX_SECONDS = 5.0
FAILURE_EXPIRY_SECONDS = 30.0
MAX_SEEDS = 1024
INBOUND_EXPIRY_SECONDS = 10.0
MAX_INBOUND_HOSTS = 1024
# Time to send the announcement that a link is closed on purpose.
LINK_CLOSING_SECONDS = 0.5


class Heartbeat(Protocol):
    """The request that the dialling host sends periodically on a control link."""

    def next_message(self, peer: HostInfo) -> NamedTuple:
        """Return the next heartbeat message to a host."""

    async def handle_reply(self, link: ControlLink, reply: NamedTuple) -> None:
        """Process the reply; raise ProtocolError if it is not valid."""


class PingHeartbeat:
    """Sends the version of the sheet and the number of the view as Ping.

    Coroutine functions in `listeners` are called with the link and each Pong.
    """

    def __init__(
        self, membership: Membership, clock: Clock, sheet_version, view_number
    ):
        self._membership = membership
        self._clock = clock
        self._sheet_version = sheet_version
        self._view_number = view_number
        self.listeners = []

    def next_message(self, peer: HostInfo) -> Ping:
        return Ping(self._sheet_version(), self._view_number())

    async def handle_reply(self, link: ControlLink, reply: NamedTuple) -> None:
        if not isinstance(reply, Pong):
            raise ProtocolError("the reply to a ping is not a pong")
        if reply.host_checksum != compute_host_checksum(link.peer):
            raise ProtocolError(
                "the host information of the peer differs from its hello"
            )
        now = self._clock.monotonic()
        self._membership.update(
            Member(link.peer, now, reply.sheet_version, reply.draining)
        )
        for listener in self.listeners:
            await listener(link, reply)


class LinkManager:
    """Maintains control links to other hosts, with one task for each address.

    It also answers the requests on the links that other hosts dial.
    """

    def __init__(
        self,
        cfg: GatewaySection,
        membership: Membership,
        clock: Clock,
        network: Network,
        rng: random.Random,
        log: LogSink,
        group: SupervisedTaskGroup,
        sheet_version,
        view_number=lambda: 0,
        heartbeat: Heartbeat | None = None,
    ):
        self._ping_heartbeat = PingHeartbeat(
            membership, clock, sheet_version, view_number
        )
        self._heartbeat = heartbeat or self._ping_heartbeat
        self._cfg = cfg
        self._membership = membership
        self._clock = clock
        self._network = network
        self._rng = rng
        self._log = log
        self._group = group
        self._sheet_version = sheet_version
        self._links: dict[str, ControlLink] = {}
        self._seeds = set(cfg.seeds)
        self._hosts_by_address: dict[Address, HostInfo] = {}
        self._targets: set[Address] = set()
        self._maintained: set[Address] = set()
        self._inbound: dict[str, tuple[HostInfo, float]] = {}
        self._failed_at: dict[Address, float] = {}
        self._handlers = {}
        self._waiting_types: set[type] = set()
        self._close_listeners = []
        self._accepted: Counter[HostInfo] = Counter()
        self._serials = itertools.count(1)

    def on_request(self, message_type: type, handler, waits: bool = False) -> None:
        """Register the coroutine function that handles messages of a type.

        With `waits`, it may take long to answer a request. What it returns for a notice
        is ignored.
        """
        self._handlers[message_type] = handler
        if waits:
            self._waiting_types.add(message_type)

    def on_link_closed(self, listener) -> None:
        """Register a coroutine function called when no link of a host is left."""
        self._close_listeners.append(listener)

    def may_wait(self, message: NamedTuple) -> bool:
        """Return whether the handler of a request may take long."""
        return type(message) in self._waiting_types

    async def link_opened(self, peer: HostInfo) -> None:
        """Count a link that a host has opened."""
        self._accepted[peer] += 1

    async def link_closed(self, peer: HostInfo) -> None:
        """Tell the listeners when the last link that a host opened has ended."""
        self._accepted -= Counter((peer,))
        if not self._accepted[peer]:
            for listener in self._close_listeners:
                await listener(peer)

    async def handle_notice(self, peer: HostInfo, message: NamedTuple) -> None:
        """Process a notice; raise ProtocolError if its type is not expected."""
        if isinstance(message, LinkClosing):
            self._membership.forget(peer)
            self._inbound.pop(peer.name, None)
        else:
            await self.handle(peer, message)

    def add_pong_listener(self, listener) -> None:
        """Register a coroutine function called with the link and each Pong."""
        self._ping_heartbeat.listeners.append(listener)

    async def handle(self, peer: HostInfo, message: NamedTuple) -> NamedTuple:
        """Return the response of the handler registered for the type of a request.

        Raises ProtocolError if there is none.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            raise ProtocolError(
                f"no handler for requests of type {type(message).__name__}"
            )
        self._record_inbound(peer)
        return await handler(peer, message)

    def inbound_hosts(self, now: float) -> list[HostInfo]:
        """Return the hosts whose last request is at most INBOUND_EXPIRY_SECONDS old."""
        for name, (_, heard_at) in list(self._inbound.items()):
            if now - heard_at > INBOUND_EXPIRY_SECONDS:
                del self._inbound[name]
        return [host for host, _ in self._inbound.values()]

    def _record_inbound(self, peer: HostInfo) -> None:
        if peer.name in self._inbound or len(self._inbound) < MAX_INBOUND_HOSTS:
            self._inbound[peer.name] = (peer, self._clock.monotonic())

    def link(self, host: str) -> ControlLink | None:
        """Return the open link to a host, or None."""
        return self._links.get(host)

    def links(self) -> list[ControlLink]:
        """Return all open links."""
        return list(self._links.values())

    async def start(self) -> None:
        """Start a task for each seed in the settings."""
        await self.set_targets(set())

    def add_seed(self, address: Address) -> None:
        """Dial an address until the name of its host is known."""
        if len(self._seeds) < MAX_SEEDS:
            self._seeds.add(address)

    def recently_failed(self, now: float) -> set[Address]:
        """Return the addresses that failed within the last FAILURE_EXPIRY_SECONDS."""
        return {
            address
            for address, failed_at in self._failed_at.items()
            if now - failed_at < FAILURE_EXPIRY_SECONDS
        }

    async def set_targets(self, targets: set[Address]) -> None:
        """Maintain links to the target addresses and to seeds of unknown hosts.

        Without any open link, all seeds are dialled again.
        """
        unknown = {seed for seed in self._seeds if seed not in self._hosts_by_address}
        seeds = unknown if self._links else self._seeds
        self._targets = (targets | seeds) - {self._membership.local_host.gateways}
        for address in [*self._failed_at, *self._hosts_by_address]:
            if address not in self._targets and address not in self._seeds:
                self._failed_at.pop(address, None)
                self._hosts_by_address.pop(address, None)
        for address in sorted(self._targets - self._maintained):
            self._maintained.add(address)
            await self._group.spawn(self._maintain_link, address)

    async def _maintain_link(self, address: Address) -> None:
        backoff = BACKOFF_MIN_SECONDS
        try:
            while address in self._targets:
                # The local HostInfo may change while the link is being opened.
                local_host = self._membership.local_host
                try:
                    link = await self._open(address, local_host)
                except SassafraskeelError:
                    self._failed_at[address] = self._clock.monotonic()
                    await self._clock.sleep(backoff * (0.5 + self._rng.random()))
                    backoff = min(2 * backoff, BACKOFF_MAX_SECONDS)
                    continue
                backoff = BACKOFF_MIN_SECONDS
                self._failed_at.pop(address, None)
                self._hosts_by_address[address] = link.peer
                await self._run(link, address, local_host)
        finally:
            self._maintained.discard(address)

    async def _open(self, address: Address, local_host: HostInfo) -> ControlLink:
        hello = Hello(local_host, self._cfg.token, self._sheet_version(), "control")
        async with self._clock.timeout(self._cfg.connect_timeout.total_seconds()):
            channel, peer = await dial(self._network, address, hello)
        features = frozenset(peer.purpose.split()[1:])
        return ControlLink(
            channel, peer.host, self._clock, next(self._serials), features
        )

    async def _run(
        self, link: ControlLink, address: Address, local_host: HostInfo
    ) -> None:
        name = link.peer.name
        self._links[name] = link
        self._log.emit(Event.PEER_CONNECTED, peer=name)
        tasks = [
            await self._group.spawn(self._run_until_lost, function)
            for function in (link.run_outbox, link.read_responses)
        ]
        try:
            while True:
                await self._send_heartbeat(link)
                if address not in self._targets:
                    await self._announce_closing(link)
                    return
                if local_host != self._membership.local_host:
                    return
                await self._clock.sleep(self._cfg.ping_interval.total_seconds())
        except SassafraskeelError as exc:
            self._log.emit(Event.PEER_LOST, peer=name, detail=str(exc))
        finally:
            if self._links.get(name) is link:
                del self._links[name]
            for task in tasks:
                await task.cancel()
            await link.close()

    async def _announce_closing(self, link: ControlLink) -> None:
        """Announce that a link is closed on purpose, so that no host seems silent."""
        await link.notify(LinkClosing())
        self._membership.forget(link.peer)
        await self._clock.sleep(LINK_CLOSING_SECONDS)

    async def _run_until_lost(self, function) -> None:
        try:
            await function()
        except SassafraskeelError:
            return  # The heartbeat on the link fails as well and logs the loss.

    async def _send_heartbeat(self, link: ControlLink) -> None:
        interval = self._cfg.ping_interval.total_seconds()
        link.pinged_at = self._clock.monotonic()
        reply = await link.request(
            self._heartbeat.next_message(link.peer), 3 * interval
        )
        await self._heartbeat.handle_reply(link, reply)
