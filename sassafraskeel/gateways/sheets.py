"""The exchange of the sheet in force between hosts as row-level deltas."""

from sassafraskeel.core.errors import ProtocolError, SassafraskeelError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.precedence import Stamp, parse_stamp, stamp
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.link_manager import LinkManager
from sassafraskeel.gateways.messages import (
    Pong,
    SheetAnnouncement,
    SheetDelta,
    SheetRequest,
    SheetStatus,
)
from sassafraskeel.sheets.delta import apply_delta, pack_text, unpack_delta, unpack_text
from sassafraskeel.sheets.installed import NO_STAMP, InstalledSheet

# A complete sheet of 0.9 MB needs much less, even on a slow link.
SHEET_TIMEOUT_SECONDS = 5.0
MAX_PUSH_ROUNDS = 4
NO_DELTA = SheetDelta(0, "", 0, "", b"", ())


class SheetExchange:
    """Pushes the sheet in force to linked hosts and pulls newer ones from them."""

    def __init__(
        self,
        installed: InstalledSheet,
        links: LinkManager,
        group: SupervisedTaskGroup,
        log: LogSink,
    ):
        self._installed = installed
        self._links = links
        self._group = group
        self._log = log
        self._pushing: set[str] = set()
        self._pulling: set[str] = set()
        links.on_request(SheetAnnouncement, self._answer_announcement)
        links.on_request(SheetRequest, self._answer_request)
        links.on_request(SheetDelta, self._answer_delta)
        links.add_pong_listener(self.on_pong)

    async def announce(self) -> None:
        """Push the sheet in force to all linked hosts in the background."""
        for link in self._links.links():
            if link.peer.name not in self._pushing:
                self._pushing.add(link.peer.name)
                await self._group.spawn(self._push, link)

    async def on_pong(self, link: ControlLink, pong: Pong) -> None:
        """Pull the sheet of a peer if it is newer."""
        if self._installed.should_install(pong.sheet_version):
            await self._start_pull(link)

    async def _start_pull(self, link: ControlLink) -> None:
        if link.peer.name not in self._pulling:
            self._pulling.add(link.peer.name)
            await self._group.spawn(self._pull, link)

    async def _push(self, link: ControlLink) -> None:
        """Announce the sheet in force to a peer and send it if the peer's is older."""
        try:
            announcement = SheetAnnouncement(*self._installed.stamp)
            peer_stamp = await self._request_stamp(link, announcement)
            last_stamp = None
            for _ in range(MAX_PUSH_ROUNDS):
                if peer_stamp.version >= self._installed.version:
                    break
                # A peer that reports the same stamp could not apply the last delta.
                send_complete = peer_stamp == last_stamp
                last_stamp = peer_stamp
                delta = self._delta_for(NO_STAMP if send_complete else peer_stamp)
                peer_stamp = await self._request_stamp(link, delta)
            if self._installed.should_install(*peer_stamp):
                await self._start_pull(link)
        except SassafraskeelError:
            return  # After a lost link, a pong on the next one makes the peer pull.
        finally:
            self._pushing.discard(link.peer.name)

    async def _request_stamp(self, link, message) -> Stamp:
        status = await link.request(message, SHEET_TIMEOUT_SECONDS)
        if not isinstance(status, SheetStatus):
            raise ProtocolError("unexpected reply to a sheet announcement or delta")
        return stamp(status.version, status.digest)

    async def _pull(self, link: ControlLink) -> None:
        try:
            for base in (self._installed.stamp, NO_STAMP):
                request = SheetRequest(*base)
                delta = await link.request(request, SHEET_TIMEOUT_SECONDS)
                if not isinstance(delta, SheetDelta):
                    raise ProtocolError("unexpected reply to a sheet request")
                if not delta.version or await self._install(link.peer, delta):
                    return
        except SassafraskeelError:
            return  # The next pong starts another attempt.
        finally:
            self._pulling.discard(link.peer.name)

    async def _answer_announcement(
        self, peer: HostInfo, announcement: SheetAnnouncement
    ) -> SheetStatus:
        return SheetStatus(*self._installed.stamp)

    async def _answer_request(
        self, peer: HostInfo, request: SheetRequest
    ) -> SheetDelta:
        if request.version >= self._installed.version:
            return NO_DELTA
        return self._delta_for(stamp(request.version, request.digest))

    async def _answer_delta(self, peer: HostInfo, delta: SheetDelta) -> SheetStatus:
        await self._install(peer, delta)
        return SheetStatus(*self._installed.stamp)

    def _delta_for(self, peer_stamp: Stamp) -> SheetDelta:
        """Return a delta from a stamp, or the complete text if that is shorter."""
        sheet = self._installed.current
        data = self._installed.delta_from(peer_stamp)
        base = peer_stamp
        if data is None or len(data) > len(sheet.text):
            base, data = NO_STAMP, pack_text(sheet.text)
        lineage = tuple(str(item) for item in self._installed.lineage_after(base))
        return SheetDelta(*base, sheet.version, sheet.digest, data, lineage)

    async def _install(self, peer: HostInfo, delta: SheetDelta) -> bool:
        """Install the sheet of a peer; return False if the delta does not apply."""
        if not self._installed.should_install(delta.version, delta.digest):
            return True
        lineage = tuple(parse_stamp(item) for item in delta.lineage)
        try:
            text = self._decode_text(delta)
        except ProtocolError as exc:
            self._log.emit(Event.SHEET_DELTA_FAILED, peer=peer.name, detail=str(exc))
            return False
        if self._installed.install(delta.version, text, peer.name, lineage):
            await self.announce()
        return True

    def _decode_text(self, delta: SheetDelta) -> str:
        if not delta.base:
            return unpack_text(delta.data, delta.digest)
        base = self._installed.text_of(stamp(delta.base, delta.base_digest))
        if base is None:
            raise ProtocolError(
                f"the local host has no text of base version {delta.base}"
            )
        return apply_delta(base, unpack_delta(delta.data), delta.digest)
