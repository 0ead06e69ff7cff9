"""The parts of a host that talk to upstreams, put together."""

from collections.abc import Callable

from sassafraskeel.calls.models import ModelUpstreams
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import Settings
from sassafraskeel.core.tasks import Group
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.suspects import Fingerprints, Suspects
from sassafraskeel.gateways.codec import Verdicts
from sassafraskeel.gateways.links import Links
from sassafraskeel.gateways.verdicts import VerdictExchange
from sassafraskeel.sheets.model import Sheet
from sassafraskeel.store.hosts import LeavingUpstreams
from sassafraskeel.upstreams.carrier import HttpUpstreams
from sassafraskeel.upstreams.control import ControlStore, EngineControl
from sassafraskeel.upstreams.guard import GuardedUpstreams
from sassafraskeel.upstreams.pool import ConnectionPool
from sassafraskeel.upstreams.reports import UpstreamReports


class UpstreamParts:
    """Reports, carriers, verdicts and control of the upstreams of one host."""

    def __init__(
        self,
        cfg: Settings,
        own: HostInfo,
        clock: Clock,
        network: Network,
        log: LogSink,
        store: ControlStore,
        sheet: Callable[[], Sheet | None],
        links: Links,
        group: Group,
    ):
        self._group = group
        self.leaving = LeavingUpstreams()
        self.reports = UpstreamReports(
            cfg.upstreams, own.domain, clock, network, log, sheet, self.leaving
        )
        self._pool = ConnectionPool(cfg.upstreams, clock, network)
        carrier = HttpUpstreams(cfg.upstreams, clock, network, self._pool, self.reports)
        self.suspects = Suspects()
        timeout = cfg.gateways.connect_timeout.total_seconds()
        verdicts = VerdictExchange(self.suspects, links, group, clock, timeout)
        links.on(Verdicts, verdicts.answer)
        links.on_pong(verdicts.on_pong)
        guarded = GuardedUpstreams(
            carrier, self.reports, self.suspects, clock, log, sheet, verdicts.announce
        )
        fingerprints = Fingerprints(cfg.gateways.token)
        self.carrier = ModelUpstreams(
            guarded, clock, log, sheet, own.domain, fingerprints
        )
        holder = f"{own.name}/{own.incarnation}"
        self._control = EngineControl(
            own.domain, holder, clock, network, log, sheet, self.reports, store
        )

    async def start(self) -> None:
        """Start following reports and the models of the sheet."""
        await self._group.spawn(self.reports.run)
        await self._group.spawn(self._control.run)

    async def close(self) -> None:
        """Close the idle connections; the tasks end with their group."""
        await self._pool.close()
