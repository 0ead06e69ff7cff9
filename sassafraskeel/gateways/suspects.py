"""Sharing what hosts find on requests that end upstreams."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.suspects import MAX_REPORTS, CrashReport, Suspects
from sassafraskeel.gateways.codec import SuspectUpdate
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager

MAX_NAME_LENGTH = 256


class SuspectExchange:
    """Sends changes over all control links, and everything over a new one.

    News of a peer are passed on once, so that they reach hosts without a direct
    link. A message that is lost is made up for when its link is opened again.
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

    async def announce(self, news: list[CrashReport], source: str = "") -> None:
        """Tell all peers but the source of the news."""
        if news:
            message = encode_update(news)
            for link in self._links.links():
                if link.peer.name != source:
                    await self._group.spawn(self._send, link, message)

    async def answer(self, peer: HostInfo, message: SuspectUpdate) -> SuspectUpdate:
        """Take what a peer sends and pass on what is new."""
        blames = decode_update(message)
        changes = self._suspects.merge(blames, self._clock.monotonic())
        await self.announce(changes, peer.name)
        return SuspectUpdate([])

    async def on_pong(self, link: ControlLink, pong) -> None:
        """Send all verdicts to a peer whose link is new."""
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
        blames = self._suspects.recent_reports(self._clock.monotonic())
        if blames:
            await self._send(link, encode_update(blames))

    async def _send(self, link: ControlLink, message: SuspectUpdate) -> None:
        try:
            await link.request(message, self._timeout)
        except SassafraskeelError:
            return  # The task of the link sees and logs its loss.


def encode_update(blames: list[CrashReport]) -> SuspectUpdate:
    """Return the message that carries some blames."""
    return SuspectUpdate([list(blame) for blame in blames[:MAX_REPORTS]])


def decode_update(message: SuspectUpdate) -> list[CrashReport]:
    """Return the blames of a message; raise ProtocolError if it is malformed."""
    if len(message.entries) > MAX_REPORTS:
        raise ProtocolError("too many verdicts in a message")
    return [_decode_blame(entry) for entry in message.entries]


def _decode_blame(entry) -> CrashReport:
    kinds = (str, str, float, bool, float)
    if not isinstance(entry, list) or len(entry) != len(kinds):
        raise ProtocolError("a verdict is not an array of five")
    if not all(map(isinstance, entry, kinds)):
        raise ProtocolError("a verdict has a field of the wrong type")
    blame = CrashReport(*entry)
    if max(len(blame.fingerprint), len(blame.crash_id)) > MAX_NAME_LENGTH:
        raise ProtocolError("a verdict has a name that is too long")
    return blame
