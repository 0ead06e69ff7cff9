"""Tells other hosts which hosts reach the replicas of their regions."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError, TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.hosts import HostTable
from sassafraskeel.decisions.replica_access import HostRun
from sassafraskeel.gateways.codec import decode_field
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.messages import AccessReport
from sassafraskeel.upstreams.access_checks import CHECK_VALID_SECONDS, AccessChecks

FEATURE = "replica-access"
MAX_ROWS = 1024
# The receiver may check its own access first.
REPORT_TIMEOUT_SECONDS = 0.8


class AccessExchange:
    """Reports the access of the local host over its links, and passes on reports.

    Reports go with each heartbeat, and at once after a change. When a host of the
    region reports that it has lost its replicas, the receiver checks its own access.
    A host of an earlier version closes a link on which it gets an unknown message, so
    that only peers that name FEATURE in their hello get any; hosts of earlier versions
    count as reaching their replicas.
    """

    def __init__(
        self,
        hosts: HostTable,
        links: LinkManager,
        checks: AccessChecks,
        clock: Clock,
        log: LogSink,
    ):
        self._hosts = hosts
        self._access = hosts.access
        self._links = links
        self._checks = checks
        self._clock = clock
        self._log = log

    async def report_all(self) -> None:
        """Report the access of the local host over all its links."""
        self._hosts.invalidate()
        for link in self._links.links():
            try:
                await self.report(link)
            except SassafraskeelError:
                continue  # The heartbeat on the link fails as well and logs the loss.

    async def report(self, link: ControlLink) -> None:
        """Report over a link, and record the reply; raise SassafraskeelError.

        A reply that is late is none: reports expire by themselves, and the heartbeats
        show whether the link works.
        """
        if FEATURE not in link.features:
            return
        try:
            await self._ask(link)
        except TimedOut:
            return

    async def confirm(self) -> bool:
        """Return whether another host of the region now says that it reaches replicas.

        If none of them can be asked, it holds what is known of them.
        """
        has_answer = False
        try:
            async with self._clock.timeout(REPORT_TIMEOUT_SECONDS):
                for link in self._links.links():
                    if FEATURE in link.features and self._is_in_region(link.peer):
                        reply = await self._ask(link)
                        has_answer = True
                        if not reply.lost:
                            return True
        except SassafraskeelError:
            pass  # The link manager logs the loss of a link.
        return not has_answer and self._checks.others_reach()

    async def _ask(self, link: ControlLink) -> AccessReport:
        reply = await link.request(self._message(link.peer), REPORT_TIMEOUT_SECONDS)
        if not isinstance(reply, AccessReport):
            raise ProtocolError("the reply to an access report is not valid")
        self._record(link.peer, reply)
        return reply

    async def answer(self, peer: HostInfo, report: AccessReport) -> AccessReport:
        """Record the report of a peer, and return that of the local host."""
        self._record(peer, report)
        if report.lost and self._is_in_region(peer):
            await self._checks.check(self._clock.monotonic() - CHECK_VALID_SECONDS)
        return self._message(peer)

    def _message(self, peer: HostInfo) -> AccessReport:
        hosts, now = self._hosts, self._clock.monotonic()
        local_region = hosts.region_of(hosts.local_host)
        runs = self._access.rows(local_region, hosts.region_of(peer), now)
        rows = [list(run) for run in sorted(runs)[:MAX_ROWS]]
        return AccessReport(self._access.is_lost, rows)

    def _record(self, peer: HostInfo, report: AccessReport) -> bool:
        """Record a report; return whether the state of the peer is new."""
        now, region = self._clock.monotonic(), self._hosts.region_of(peer)
        runs = frozenset(map(_decode_row, report.hosts[:MAX_ROWS]))
        is_new = self._access.reported(peer, report.lost, now)
        if is_new:
            self._log.emit(Event.HOST_ACCESS, host=peer.name, lost=report.lost)
        if self._access.listed(peer, region, runs, now) or is_new:
            self._hosts.invalidate()
        return is_new

    def _is_in_region(self, peer: HostInfo) -> bool:
        hosts = self._hosts
        return hosts.region_of(peer) == hosts.region_of(hosts.local_host)


def _decode_row(row) -> HostRun:
    if not isinstance(row, list) or len(row) != len(HostRun._fields):
        raise ProtocolError("a row of an access report is malformed")
    return HostRun(*(decode_field(value, str) for value in row))
