"""Handing the manifest in force to hosts that know an older one."""

from collections.abc import Callable, Sequence

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError, SassafraskeelError, TimedOut
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network
from sassafraskeel.core.settings import GatewaySection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.affinity import rendezvous
from sassafraskeel.decisions.hosts import LINK_TIMEOUT_SECONDS, HostTable
from sassafraskeel.gateways.channel import dial
from sassafraskeel.gateways.messages import Hello, ManifestDocument

MANIFEST_PURPOSE = "manifest"
# A host of another region answers within three round trips of up to 160 ms each.
MANIFEST_WAIT_SECONDS = 0.7
# Hosts that a starting host asks, of which some may be dead, and how many of them are
# of its own region, which answer first.
MAX_ASKED = 4
MAX_ASKED_IN_REGION = 2
# The store brings a manifest to all hosts within this time; a host that is behind for
# longer asks a peer.
BEHIND_SECONDS = 1.0


class ManifestPeers:
    """Gets the manifest in force from other hosts; `version` is the local one's."""

    def __init__(
        self,
        cfg: GatewaySection,
        hosts: HostTable,
        clock: Clock,
        network: Network,
        log: LogSink,
        version: Callable[[], int],
    ):
        self._cfg = cfg
        self._hosts = hosts
        self._clock = clock
        self._network = network
        self._log = log
        self._version = version

    async def ask(self, hosts: Sequence[HostInfo]) -> bytes:
        """Return the document of the first host that has a manifest, b"" if none has.

        It takes at most MANIFEST_WAIT_SECONDS.
        """
        answers = curio.Queue()
        group = SupervisedTaskGroup(self._log_failure)
        try:
            chosen = self._choose(hosts)
            for host in chosen:
                await group.spawn(self._ask, host, answers)
            async with self._clock.timeout(MANIFEST_WAIT_SECONDS):
                for _ in chosen:
                    if document := await answers.get():
                        return document
        except TimedOut as exc:
            self._log_failure(exc)
        finally:
            await group.close()
        return b""

    async def follow(self, on_document) -> None:
        """Pass on newer documents of hosts with newer versions, forever."""
        behind: str | None = None
        while True:
            await self._clock.sleep(BEHIND_SECONDS)
            newest = self._newest_host()
            if newest is not None and newest.name == behind:
                try:
                    await on_document(await self._fetch(newest), newest.name)
                except SassafraskeelError as exc:
                    self._log_failure(exc, newest.name)
            behind = None if newest is None else newest.name

    def _newest_host(self) -> HostInfo | None:
        """Return a host that was just heard with the newest version, if it is newer."""
        now = self._clock.monotonic()
        members = [
            member
            for member in self._hosts.membership.members()
            if now - member.heard_at < LINK_TIMEOUT_SECONDS
            and member.sheet_version > self._version()
        ]
        newest = max(members, key=lambda member: member.sheet_version, default=None)
        return None if newest is None else newest.info

    def _choose(self, hosts: Sequence[HostInfo]) -> list[HostInfo]:
        """Return the hosts to ask, which differ between the hosts that ask."""
        table = self._hosts
        by_name = {host.name: host for host in hosts if host.name != self._local.name}
        names = rendezvous(self._local.name.encode(), sorted(by_name))
        ranked = [by_name[name] for name in names]
        region = table.region_of(self._local)
        near = [host for host in ranked if table.region_of(host) == region]
        near = near[:MAX_ASKED_IN_REGION]
        far = [host for host in ranked if table.region_of(host) != region]
        return near + far[: MAX_ASKED - len(near)]

    @property
    def _local(self) -> HostInfo:
        return self._hosts.local_host

    async def _ask(self, host: HostInfo, answers: curio.Queue) -> None:
        document = b""
        try:
            document = await self._fetch(host)
        except SassafraskeelError as exc:
            self._log_failure(exc, host.name)
        await answers.put(document)

    async def _fetch(self, host: HostInfo) -> bytes:
        """Return the document of a host; raise ConnectionLost or ProtocolError."""
        token, version = self._cfg.token, self._version()
        hello = Hello(self._local, token, version, MANIFEST_PURPOSE)
        async with self._clock.timeout(self._cfg.connect_timeout.total_seconds()):
            channel, _ = await dial(self._network, host.gateways, hello)
            try:
                message = await channel.receive()
            finally:
                await channel.close()
        if not isinstance(message, ManifestDocument):
            raise ProtocolError("unexpected message, expected a manifest")
        return message.data

    def _log_failure(self, exc: Exception, peer: str = "") -> None:
        self._log.emit(Event.MANIFEST_UNANSWERED, peer=peer, detail=str(exc))
