"""Wires the components of a host that talk to upstreams."""

from collections.abc import Callable

from sassafraskeel.calls.model_streams import ResumingUpstreamClient
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import Settings
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.suspects import Fingerprinter, Suspects
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.reservations import ReservationExchange, ReservationServer
from sassafraskeel.gateways.suspect_messages import (
    ReplicaReservation,
    SuspectUpdate,
)
from sassafraskeel.gateways.suspects import SuspectExchange
from sassafraskeel.sheets.model import Sheet
from sassafraskeel.store.host_list import LeavingUpstreams
from sassafraskeel.upstreams.client import HttpUpstreamClient
from sassafraskeel.upstreams.control import ControlStore, EngineControl
from sassafraskeel.upstreams.isolation import IsolatingUpstreamClient
from sassafraskeel.upstreams.pool import ConnectionPool
from sassafraskeel.upstreams.reports import UpstreamReports


class UpstreamComponents:
    """The load reports, clients, crash isolation and engine control of one host."""

    def __init__(
        self,
        cfg: Settings,
        local_host: HostInfo,
        clock: Clock,
        network: Network,
        log: LogSink,
        store: ControlStore,
        sheet: Callable[[], Sheet | None],
        links: LinkManager,
        group: SupervisedTaskGroup,
    ):
        self._group = group
        self.leaving = LeavingUpstreams(clock)
        self.reports = UpstreamReports(
            cfg.upstreams, local_host.domain, clock, network, log, sheet, self.leaving
        )
        self._pool = ConnectionPool(cfg.upstreams, clock, network)
        http_client = HttpUpstreamClient(
            cfg.upstreams, clock, network, self._pool, self.reports
        )
        self.suspects = Suspects(local_host.name)
        isolating_client = self._isolate(
            http_client, cfg, local_host, clock, log, sheet, links
        )
        fingerprints = Fingerprinter(cfg.gateways.token)
        self.client = ResumingUpstreamClient(
            isolating_client, clock, log, sheet, local_host.domain, fingerprints
        )
        holder = f"{local_host.name}/{local_host.incarnation}"
        self._control = EngineControl(
            local_host.domain, holder, clock, network, log, sheet, self.reports, store
        )

    def _isolate(
        self, client, cfg, local_host, clock, log, sheet, links
    ) -> IsolatingUpstreamClient:
        """Return a client that isolates suspects, and register its message handlers."""
        timeout = cfg.gateways.connect_timeout.total_seconds()
        exchange = SuspectExchange(self.suspects, links, self._group, clock, timeout)
        links.on_request(SuspectUpdate, exchange.answer)
        links.add_pong_listener(exchange.on_pong)
        isolating_client = IsolatingUpstreamClient(
            client,
            self.reports,
            self.suspects,
            clock,
            log,
            sheet,
            exchange.announce,
            ReservationExchange(links, self._group, local_host.domain, timeout),
        )
        server = ReservationServer(self.suspects, isolating_client, clock)
        links.on_request(ReplicaReservation, server.answer, waits=True)
        links.on_link_closed(server.link_closed)
        return isolating_client

    async def start(self) -> None:
        """Start polling load reports and controlling engines."""
        await self._group.spawn(self.reports.run)
        await self._group.spawn(self._control.run)

    async def close(self) -> None:
        """Close the idle connections; the tasks end with their task group."""
        await self._pool.close()
