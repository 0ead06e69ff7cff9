"""Which links and spare connections a host of routes keeps to other hosts."""

from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.route_settings import RouteSettings
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.topology import choose_forward_hosts
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.placement_server import PlacementServer
from sassafraskeel.gateways.route_forwarding import SPARE_CONNECTIONS, RouteForwarder

LINK_INTERVAL_SECONDS = 1.0
# Links are chosen again at most this often while the fleet changes.
MIN_LINK_INTERVAL_SECONDS = 0.2


class LinkComponents(NamedTuple):
    """The parts of a host that its links depend on or serve."""

    hosts: HostTable
    coordination: Coordination
    links: LinkManager
    forwarder: RouteForwarder
    placement_server: PlacementServer


class RouteLinks:
    """Links the coordinators, and keeps connections ready for forwarded calls.

    One task runs `run`, which chooses links and connections again at intervals and
    after `notify_change`.
    """

    def __init__(
        self, cfg: RouteSettings, parts: LinkComponents, clock: Clock, log: LogSink
    ):
        self._cfg = cfg
        self._parts = parts
        self._clock = clock
        self._log = log
        self._changed = curio.Event()
        self._coordinator_name = ""

    async def notify_change(self) -> None:
        """Choose links again soon, because hosts or connections have changed."""
        await self._changed.set()

    def coordinator_link(self) -> ControlLink | None:
        """Return the link to the coordinator, None if there is none or it is local."""
        hosts, now = self._parts.hosts, self._clock.monotonic()
        region = hosts.region_of(hosts.local_host)
        coordinator = self._parts.coordination.candidates(region, now)[0]
        if coordinator.name == hosts.local_host.name:
            return None
        link = self._parts.links.link(coordinator.name)
        if link is None or link.peer.incarnation != coordinator.incarnation:
            return None
        return link

    def other_links(self) -> list[ControlLink]:
        """Return the links to the standby and to the coordinators of other regions."""
        coordinator = self.coordinator_link()
        now = self._clock.monotonic()
        links = [self._parts.links.link(host.name) for host in self._linked_hosts(now)]
        return [link for link in links if link is not None and link is not coordinator]

    async def run(self, group: SupervisedTaskGroup) -> None:
        """Maintain links and connections; never returns."""
        parts = self._parts
        while True:
            now = self._clock.monotonic()
            linked = self._linked_hosts(now)
            await parts.links.set_targets({host.gateways for host in linked})
            hosts, spares = self._spare_hosts(now)
            await parts.forwarder.maintain_spares(hosts, spares, group)
            await parts.placement_server.drop_expired()
            parts.hosts.membership.drop_expired(now)
            await self._clock.sleep(MIN_LINK_INTERVAL_SECONDS)
            try:
                async with self._clock.timeout(LINK_INTERVAL_SECONDS):
                    await self._changed.wait()
            except TimedOut:
                pass  # The interval is over.
            self._changed.clear()

    def _linked_hosts(self, now: float) -> list[HostInfo]:
        """Return the candidates of the local region, and the other coordinators.

        Only a coordinator has links to other regions.
        """
        hosts, coordination = self._parts.hosts, self._parts.coordination
        local_region = hosts.region_of(hosts.local_host)
        chosen = coordination.candidates(local_region, now)
        self._log_coordinator(chosen[0])
        if coordination.is_coordinator(now):
            for region in sorted(set(self._cfg.regions.values()) - {local_region}):
                chosen = chosen + coordination.candidates(region, now)[:1]
        return [host for host in chosen if host.name != hosts.local_host.name]

    def _log_coordinator(self, coordinator: HostInfo) -> None:
        if coordinator.name != self._coordinator_name:
            self._log.emit(
                Event.COORDINATOR_CHANGED,
                name=coordinator.name,
                previous=self._coordinator_name,
            )
            self._coordinator_name = coordinator.name

    def _spare_hosts(self, now: float) -> tuple[list[HostInfo], int]:
        """Return the hosts to keep spare connections to, and how many to each."""
        table = self._parts.hosts
        hosts, spares = [], SPARE_CONNECTIONS
        regions = table.regions(now)
        if table.access.is_lost:
            regions = [table.region_of(table.local_host), *regions]
        for region in regions:
            chosen = choose_forward_hosts(
                table.local_host,
                table.reachable(region, now),
                self._cfg.peers.forward_hosts,
            )
            hosts += chosen
            spares = min(spares, SPARE_CONNECTIONS // max(len(chosen), 1))
        return hosts, spares
