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
from sassafraskeel.gateways.codec import LoadHeartbeat, compute_host_checksum
from sassafraskeel.gateways.control_link import ControlLink

MAX_ROWS = 8192
MAX_TRACKED_HOSTS = 1024


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
        manifest_version: Callable[[], int],
        draining: Callable[[], bool],
        on_new_host: Callable[[], Awaitable[None]],
    ):
        self._on_new_host = on_new_host
        self._membership = membership
        self._loads = loads
        self._prompts = prompts
        self._kv_cache_tokens = kv_cache_tokens
        self._last_read_sent: dict[str, int] = {}
        self._clock = clock
        self._manifest_version = manifest_version
        self._draining = draining

    def next_message(self, peer: HostInfo) -> LoadHeartbeat:
        """Return the next heartbeat for a host."""
        rows = [[name, *load] for name, load in self._loads.local_loads().items()]
        local_host = self._membership.local_host
        return LoadHeartbeat(
            self._manifest_version(),
            self._draining(),
            compute_host_checksum(local_host),
            rows,
            self._unsent_reads(peer),
        )

    def _unsent_reads(self, peer: HostInfo) -> list:
        reads = self._prompts.prefixes_after(self._last_read_sent.get(peer.name, 0))
        if not reads:
            return []
        if (
            peer.name not in self._last_read_sent
            and len(self._last_read_sent) >= MAX_TRACKED_HOSTS
        ):
            self._last_read_sent.clear()
        self._last_read_sent[peer.name] = reads[-1].number
        return [
            [read.replica, *(field for part in read.parts for field in part)]
            for read in reads
        ]

    async def handle_reply(self, link: ControlLink, reply) -> None:
        """Take the answer to a heartbeat; raise ProtocolError if it is not one."""
        if not isinstance(reply, LoadHeartbeat):
            raise ProtocolError("a heartbeat was not answered by one")
        if reply.host_checksum != compute_host_checksum(link.peer):
            raise ProtocolError("the peer is not the one that said hello")
        await self._apply(link.peer, reply)

    async def answer(self, peer: HostInfo, heartbeat: LoadHeartbeat) -> LoadHeartbeat:
        """Answer the heartbeat of another host."""
        await self._apply(peer, heartbeat)
        return self.next_message(peer)

    async def _apply(self, peer: HostInfo, heartbeat: LoadHeartbeat) -> None:
        now = self._clock.monotonic()
        self._loads.update_remote(peer.name, decode_loads(heartbeat), now)
        for read in decode_reads(heartbeat):
            self._prompts.record_remote(read, self._kv_cache_tokens(read.replica))
        known = self._membership.member(peer.name)
        self._membership.update(
            Member(peer, now, heartbeat.version, heartbeat.draining)
        )
        if known is None or known.info != peer:
            # Connections for forwarded calls are opened at once.
            await self._on_new_host()


def decode_loads(heartbeat: LoadHeartbeat) -> dict[str, Load]:
    """Return the loads of a heartbeat; raise ProtocolError if they are malformed."""
    loads = {}
    for row in heartbeat.loads[:MAX_ROWS]:
        if (
            not isinstance(row, list)
            or len(row) != 3
            or not isinstance(row[0], str)
            or not all(isinstance(number, int) for number in row[1:])
        ):
            raise ProtocolError("a row of loads is malformed")
        loads[row[0]] = Load(row[1], row[2])
    return loads


def decode_reads(heartbeat: LoadHeartbeat) -> list[SentPrefix]:
    """Return the prompts of a heartbeat; raise ProtocolError if they are malformed."""
    reads = []
    for row in heartbeat.prompts[:MAX_ANNOUNCED_PREFIXES]:
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
