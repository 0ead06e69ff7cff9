"""Exchanging the requests in flight with the other hosts, as their heartbeat."""

from collections.abc import Awaitable, Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.types import HostInfo, PromptPart
from sassafraskeel.decisions.loads import Load, ReplicaLoads
from sassafraskeel.decisions.membership import Member, Membership
from sassafraskeel.decisions.prompt_caches import (
    MAX_ANNOUNCED_PREFIXES,
    PromptCaches,
    SentPrefix,
)
from sassafraskeel.gateways.codec import LoadNews, identity_of
from sassafraskeel.gateways.link import ControlLink

MAX_ROWS = 8192
MAX_TOLD_HOSTS = 1024


class LoadExchange:
    """Sends own loads with each heartbeat and takes those of the answer.

    A heartbeat also tells which large shared parts of prompts this host has sent to
    which replicas, once to each host. `wake` is called when a host, or a new run of
    it, is heard for the first time.
    """

    def __init__(
        self,
        membership: Membership,
        loads: ReplicaLoads,
        prompts: PromptCaches,
        kv_cache_tokens: Callable[[str], int],
        clock: Clock,
        version: Callable[[], int],
        draining: Callable[[], bool],
        wake: Callable[[], Awaitable[None]],
    ):
        self._wake = wake
        self._membership = membership
        self._loads = loads
        self._prompts = prompts
        self._kv_cache_tokens = kv_cache_tokens
        self._told: dict[str, int] = {}
        self._clock = clock
        self._version = version
        self._draining = draining

    def message(self, peer: HostInfo) -> LoadNews:
        """Return the next heartbeat for a host."""
        rows = [[name, *load] for name, load in self._loads.local_loads().items()]
        own = self._membership.local_host
        return LoadNews(
            self._version(),
            self._draining(),
            identity_of(own),
            rows,
            self._reads_for(peer),
        )

    def _reads_for(self, peer: HostInfo) -> list:
        reads = self._prompts.prefixes_after(self._told.get(peer.name, 0))
        if not reads:
            return []
        if peer.name not in self._told and len(self._told) >= MAX_TOLD_HOSTS:
            self._told.clear()
        self._told[peer.name] = reads[-1].number
        return [
            [read.replica, *(field for part in read.parts for field in part)]
            for read in reads
        ]

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
        return self.message(peer)

    async def _take(self, peer: HostInfo, news: LoadNews) -> None:
        now = self._clock.monotonic()
        self._loads.update_remote(peer.name, loads_of(news), now)
        for read in reads_of(news):
            self._prompts.record_remote(read, self._kv_cache_tokens(read.replica))
        known = self._membership.member(peer.name)
        self._membership.update(Member(peer, now, news.version, news.draining))
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


def reads_of(news: LoadNews) -> list[SentPrefix]:
    """Return the prompts of a heartbeat; raise ProtocolError if they are malformed."""
    reads = []
    for row in news.reads[:MAX_ANNOUNCED_PREFIXES]:
        if not isinstance(row, list) or len(row) % 2 == 0:
            raise ProtocolError("a row of prompts is malformed")
        replica, names, tokens = row[0], row[1::2], row[2::2]
        if not all(isinstance(name, str) for name in (replica, *names)) or not all(
            isinstance(number, int) for number in tokens
        ):
            raise ProtocolError("a row of prompts is malformed")
        parts = tuple(map(PromptPart, names, tokens))
        reads.append(SentPrefix(0, replica, parts))
    return reads
