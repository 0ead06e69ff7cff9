"""Exchanging the requests in flight with the other hosts, as their heartbeat."""

from collections.abc import Awaitable, Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.loads import Load, Loads
from sassafraskeel.decisions.membership import Member, Membership
from sassafraskeel.gateways.codec import LoadNews, identity_of
from sassafraskeel.gateways.link import ControlLink

MAX_ROWS = 8192


class LoadExchange:
    """Sends own loads with each heartbeat and takes those of the answer.

    `wake` is called when a host, or a new run of it, is heard for the first time.
    """

    def __init__(
        self,
        membership: Membership,
        loads: Loads,
        clock: Clock,
        version: Callable[[], int],
        draining: Callable[[], bool],
        wake: Callable[[], Awaitable[None]],
    ):
        self._wake = wake
        self._membership = membership
        self._loads = loads
        self._clock = clock
        self._version = version
        self._draining = draining

    def message(self) -> LoadNews:
        """Return the heartbeat of this host."""
        rows = [[name, *load] for name, load in self._loads.news().items()]
        own = self._membership.own
        return LoadNews(self._version(), self._draining(), identity_of(own), rows)

    async def answered(self, link: ControlLink, answer) -> None:
        """Take the answer to a heartbeat; raise ProtocolError if it is not one."""
        if not isinstance(answer, LoadNews):
            raise ProtocolError("a heartbeat was not answered by one")
        if answer.identity != identity_of(link.peer):
            raise ProtocolError("the peer is not the one that said hello")
        await self._take(link.peer, answer)

    async def answer(self, peer: HostInfo, news: LoadNews) -> LoadNews:
        """Answer the heartbeat of another host."""
        await self._take(peer, news)
        return self.message()

    async def _take(self, peer: HostInfo, news: LoadNews) -> None:
        now = self._clock.monotonic()
        self._loads.take_news(peer.name, loads_of(news), now)
        known = self._membership.member(peer.name)
        self._membership.heard(Member(peer, now, news.version, news.draining))
        if known is None or known.info != peer:
            # Connections for forwarded calls are opened at once.
            await self._wake()


def loads_of(news: LoadNews) -> dict[str, Load]:
    """Return the loads of a heartbeat; raise ProtocolError if they are malformed."""
    loads = {}
    for row in news.rows[:MAX_ROWS]:
        if (
            not isinstance(row, list)
            or len(row) != 3
            or not isinstance(row[0], str)
            or not all(isinstance(number, int) for number in row[1:])
        ):
            raise ProtocolError("a row of loads is malformed")
        loads[row[0]] = Load(row[1], row[2])
    return loads
