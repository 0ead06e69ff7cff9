"""The exchange of reports on requests that crash upstreams (design 5.7)."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.suspects import MAX_REPORTS, CrashReport, Suspects
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.suspect_messages import SuspectUpdate

MAX_NAME_LENGTH = 256


class SuspectExchange:
    """Sends changed crash reports on all control links, and all reports on a new one.

    Changes received from a peer are forwarded once, so that they reach hosts without
    a direct link. The reports of a lost message reach the peer when the link
    is reopened, because all recent reports are sent on it.
    """

    def __init__(
        self,
        suspects: Suspects,
        links: LinkManager,
        group: SupervisedTaskGroup,
        clock: Clock,
        timeout,
    ):
        self._suspects = suspects
        self._links = links
        self._group = group
        self._clock = clock
        self._timeout = timeout
        self._synced_links: dict[str, ControlLink] = {}

    async def announce(self, reports: list[CrashReport], source: str = "") -> None:
        """Send changed reports to all peers but the one named `source`."""
        if reports:
            message = encode_update(reports)
            for link in self._links.links():
                if link.peer.name != source:
                    await self._group.spawn(self._send, link, message)

    async def answer(self, peer: HostInfo, message: SuspectUpdate) -> SuspectUpdate:
        """Merge the reports of a peer and forward the changes to other peers."""
        reports = decode_update(message)
        changes = self._suspects.merge(reports, self._clock.monotonic())
        await self.announce(changes, peer.name)
        return SuspectUpdate([])

    async def on_pong(self, link: ControlLink, pong) -> None:
        """Send all recent reports to a peer whose link is new."""
        open_links = self._links.links()
        for name in [
            name
            for name, known_link in self._synced_links.items()
            if known_link not in open_links
        ]:
            del self._synced_links[name]
        if self._synced_links.get(link.peer.name) is link:
            return
        self._synced_links[link.peer.name] = link
        reports = self._suspects.recent_reports(self._clock.monotonic())
        if reports:
            await self._send(link, encode_update(reports))

    async def _send(self, link: ControlLink, message: SuspectUpdate) -> None:
        try:
            await link.request(message, self._timeout)
        except SassafraskeelError:
            return  # The task that maintains the link logs its loss.


def encode_update(reports: list[CrashReport]) -> SuspectUpdate:
    """Return the message that carries crash reports, at most MAX_REPORTS."""
    return SuspectUpdate([list(report) for report in reports[:MAX_REPORTS]])


def decode_update(message: SuspectUpdate) -> list[CrashReport]:
    """Return the reports in a message; raise ProtocolError if it is malformed."""
    if len(message.entries) > MAX_REPORTS:
        raise ProtocolError("a message has too many crash reports")
    return [_decode_report(entry) for entry in message.entries]


def _decode_report(entry) -> CrashReport:
    field_types = (str, str, float, bool, float)
    if not isinstance(entry, list) or len(entry) != len(field_types):
        raise ProtocolError("a crash report is not an array of five fields")
    if not all(map(isinstance, entry, field_types)):
        raise ProtocolError("a crash report has a field of a wrong type")
    report = CrashReport(*entry)
    if max(len(report.fingerprint), len(report.crash_id)) > MAX_NAME_LENGTH:
        raise ProtocolError(
            "a crash report has a fingerprint or crash id that is too long"
        )
    return report
