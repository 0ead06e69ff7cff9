"""The heartbeat between hosts that serve routes: exchanges replica loads."""

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
    """Sends local loads in each heartbeat and records the loads in the reply.

    A heartbeat also announces the long prompt prefixes that the local host has sent to
    replicas, each of them once to each peer. `on_new_host` is called after the first
    message of a host or of a new incarnation of it.
    """

    def __init__(
        self,
        membership: Membership,
        loads: ReplicaLoads,
        prompt_caches: PromptCaches,
        kv_cache_tokens: Callable[[str], int],
        clock: Clock,
        manifest_version: Callable[[], int],
        draining: Callable[[], bool],
        on_new_host: Callable[[], Awaitable[None]],
    ):
        self._on_new_host = on_new_host
        self._membership = membership
        self._loads = loads
        self._prompt_caches = prompt_caches
        self._kv_cache_tokens = kv_cache_tokens
        self._last_prefix_sent: dict[str, int] = {}
        self._clock = clock
        self._manifest_version = manifest_version
        self._draining = draining

    def next_message(self, peer: HostInfo) -> LoadHeartbeat:
        """Return the next heartbeat message to a host."""
        encoded_loads = [
            [name, *load] for name, load in self._loads.local_loads().items()
        ]
        local_host = self._membership.local_host
        return LoadHeartbeat(
            self._manifest_version(),
            self._draining(),
            compute_host_checksum(local_host),
            encoded_loads,
            self._unsent_prefixes(peer),
        )

    def _unsent_prefixes(self, peer: HostInfo) -> list:
        prefixes = self._prompt_caches.prefixes_after(
            self._last_prefix_sent.get(peer.name, 0)
        )
        if not prefixes:
            return []
        if (
            peer.name not in self._last_prefix_sent
            and len(self._last_prefix_sent) >= MAX_TRACKED_HOSTS
        ):
            self._last_prefix_sent.clear()
        self._last_prefix_sent[peer.name] = prefixes[-1].number
        return [
            [prefix.replica, *(field for part in prefix.parts for field in part)]
            for prefix in prefixes
        ]

    async def handle_reply(self, link: ControlLink, reply) -> None:
        """Process the reply; raise ProtocolError if it is not valid."""
        if not isinstance(reply, LoadHeartbeat):
            raise ProtocolError("the reply to a heartbeat is not a heartbeat")
        if reply.host_checksum != compute_host_checksum(link.peer):
            raise ProtocolError(
                "the host information of the peer differs from its hello"
            )
        await self._apply(link.peer, reply)

    async def answer(self, peer: HostInfo, heartbeat: LoadHeartbeat) -> LoadHeartbeat:
        """Process the heartbeat of a peer and return the reply."""
        await self._apply(peer, heartbeat)
        return self.next_message(peer)

    async def _apply(self, peer: HostInfo, heartbeat: LoadHeartbeat) -> None:
        now = self._clock.monotonic()
        self._loads.update_remote(peer.name, decode_loads(heartbeat), now)
        for prefix in decode_prefixes(heartbeat):
            self._prompt_caches.record_remote(
                prefix, self._kv_cache_tokens(prefix.replica)
            )
        known = self._membership.member(peer.name)
        self._membership.update(
            Member(peer, now, heartbeat.version, heartbeat.draining)
        )
        if known is None or known.info != peer:
            # The callback opens spare connections for forwarded calls without delay.
            await self._on_new_host()


def decode_loads(heartbeat: LoadHeartbeat) -> dict[str, Load]:
    """Return the loads in a heartbeat; raise ProtocolError if they are malformed."""
    loads = {}
    for row in heartbeat.loads[:MAX_ROWS]:
        if (
            not isinstance(row, list)
            or len(row) != 3
            or not isinstance(row[0], str)
            or not all(isinstance(number, int) for number in row[1:])
        ):
            raise ProtocolError("a row of loads in a heartbeat is malformed")
        loads[row[0]] = Load(row[1], row[2])
    return loads


def decode_prefixes(heartbeat: LoadHeartbeat) -> list[SentPrefix]:
    """Return the prefixes in a heartbeat; raise ProtocolError if they are malformed."""
    prefixes = []
    for row in heartbeat.prompts[:MAX_ANNOUNCED_PREFIXES]:
        if not isinstance(row, list) or len(row) % 2 == 0:
            raise ProtocolError("a row of prompts in a heartbeat is malformed")
        replica, names, tokens = row[0], row[1::2], row[2::2]
        if not all(isinstance(name, str) for name in (replica, *names)) or not all(
            isinstance(number, int) for number in tokens
        ):
            raise ProtocolError("a row of prompts in a heartbeat is malformed")
        parts = tuple(map(PromptPart, names, tokens))
        prefixes.append(SentPrefix(0, replica, parts))
    return prefixes
