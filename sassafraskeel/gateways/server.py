"""The server of control links and forwarded calls for other gateway hosts."""

from collections.abc import Callable
from typing import NamedTuple

import curio

from sassafraskeel.calls.answers import SERVED_BY_HEADER
from sassafraskeel.calls.record import CallDispatcher, CallRecord, CallRecorder
from sassafraskeel.calls.request_tracker import RequestTracker
from sassafraskeel.core.accepting import accept_next, listen_when_free
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    Outcome,
    ProtocolError,
    Refusal,
    SassafraskeelError,
    TimedOut,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.held_memory import HeldMemory, MemoryBudget
from sassafraskeel.core.http import find_header
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import LINK_BUFFERS, Address, Network
from sassafraskeel.core.settings import GatewaySection
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import (
    ANSWER_WRITE_SECONDS,
    HostInfo,
    is_cancelled_with_caller,
)
from sassafraskeel.core.watched_stream import PeerLeft, WatchedStream
from sassafraskeel.gateways.channel import Channel, accept_channel
from sassafraskeel.gateways.control_link import AcceptedLink, RequestHandler
from sassafraskeel.gateways.forwarding import (
    MAX_CONNECTION_AGE_SECONDS,
    MAX_PART_BYTES,
    offer_to_call,
    refusal_to_message,
)
from sassafraskeel.gateways.manifests import MANIFEST_PURPOSE
from sassafraskeel.gateways.messages import (
    Accept,
    AnswerData,
    AnswerEnd,
    AnswerFail,
    AnswerHead,
    Body,
    BodyPart,
    Hello,
    ManifestDocument,
    Offer,
    RouteAnswerHead,
    RouteOffer,
)
from sassafraskeel.gateways.route_forwarding import route_offer_to_call

MAX_CONTROL_LINKS = 512
# The upper bound of the setting max_body_bytes of callers.
MAX_FORWARDED_BODY_BYTES = 64 * 1024 * 1024
BODY_TIMEOUT_SECONDS = 30.0
# The dialling host uses no connection beyond its maximum age, so after a longer wait
# the connection is considered lost.
CALL_IDLE_SECONDS = 2 * MAX_CONNECTION_AGE_SECONDS


class _Displaced(curio.CancelledError):
    """Cancels the task of a connection that makes room for a newer one."""


class PeerComponents(NamedTuple):
    """The parts of a host that serve the requests of other hosts.

    `manifest` returns the document of the manifest in force, b"" if there is none.
    `features` are the names in hellos, separated by spaces (see messages.Hello). For
    more than `max_unverified` connections whose token has not been checked yet, the
    oldest is closed; a peer sends its token in its first round trips.
    """

    dispatcher: CallDispatcher
    request_tracker: RequestTracker
    recorder: CallRecorder
    requests: RequestHandler
    memory: MemoryBudget
    max_unverified: int
    manifest: Callable[[], bytes] = bytes
    features: str = ""


class GatewayServer:
    """Accepts connections of other hosts, with one task for each connection."""

    def __init__(
        self,
        cfg: GatewaySection,
        clock: Clock,
        network: Network,
        log: LogSink,
        components: PeerComponents,
        sheet_version,
        listen: Address | None = None,
    ):
        self._address = listen or cfg.listen
        self._cfg = cfg
        self._clock = clock
        self._network = network
        self._log = log
        self._components = components
        self._sheet_version = sheet_version
        self._local_host: HostInfo | None = None
        self._listener = None
        self._open_connections = 0
        # The tasks of connections whose token has not been checked, the oldest first.
        self._unverified: dict[WatchedStream, curio.Task] = {}

    async def listen(self):
        """Open the listener and return its address."""
        self._listener = await listen_when_free(
            self._network, self._address, self._clock, self._log
        )
        return self._listener.address

    async def start(self, local_host: HostInfo, group: SupervisedTaskGroup) -> None:
        """Start accepting connections; hellos identify the server as `local_host`."""
        self._local_host = local_host
        await group.spawn(self._accept, group)

    def set_local_host(self, local_host: HostInfo) -> None:
        """Replace the HostInfo of the local host in later hellos."""
        self._local_host = local_host

    async def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.close()

    async def _accept(self, group: SupervisedTaskGroup) -> None:
        limit = self._cfg.max_call_connections + MAX_CONTROL_LINKS
        while True:
            stream = await accept_next(self._listener, self._clock, self._log)
            if stream is None:
                return
            if self._open_connections >= limit:
                self._log.emit(
                    Event.CONNECTION_REFUSED, limit=limit, listener="gateways"
                )
                await stream.close()
                continue
            if len(self._unverified) >= self._components.max_unverified:
                oldest = self._unverified.pop(next(iter(self._unverified)))
                await oldest.cancel(exc=_Displaced)
            self._open_connections += 1
            watched = WatchedStream(stream)
            task = await group.spawn(self._handle_connection, watched)
            if not task.terminated:
                self._unverified[watched] = task

    async def _handle_connection(self, stream: WatchedStream) -> None:
        try:
            await self._serve(stream)
        except (SassafraskeelError, PeerLeft, _Displaced):
            return  # The dialling host logs the loss and reopens the link.
        finally:
            self._open_connections -= 1
            self._unverified.pop(stream, None)
            await stream.close()

    async def _serve(self, stream: WatchedStream) -> None:
        hello = Hello(
            self._local_host,
            self._cfg.token,
            self._sheet_version(),
            self._components.features,
        )
        try:
            async with self._clock.timeout(self._cfg.connect_timeout.total_seconds()):
                channel, peer = await accept_channel(stream, hello)
        except SassafraskeelError as exc:
            self._log.emit(Event.PEER_REJECTED, detail=str(exc))
            return
        self._unverified.pop(stream, None)
        stream.set_buffers(LINK_BUFFERS)
        if peer.purpose == "control":
            await AcceptedLink(channel, peer.host, self._components.requests).serve()
        elif peer.purpose == MANIFEST_PURPOSE:
            async with self._clock.timeout(BODY_TIMEOUT_SECONDS):
                await channel.send(ManifestDocument(self._components.manifest()))
        else:
            await self._serve_calls(channel, peer.host, stream)

    async def _serve_calls(
        self, channel: Channel, peer: HostInfo, stream: WatchedStream
    ) -> None:
        while not self._components.request_tracker.peers_refused:
            async with self._clock.timeout(CALL_IDLE_SECONDS):
                offer = await channel.receive()
            if not isinstance(offer, Offer | RouteOffer):
                raise ProtocolError(
                    "unexpected message on a call connection, expected an offer"
                )
            if not offer.hops or offer.hops[-1] != peer.name:
                raise ProtocolError("the last hop of an offer is not its sender")
            async with self._components.request_tracker:
                await self._serve_call(channel, stream, offer)

    async def _serve_call(self, channel, stream, offer: Offer | RouteOffer) -> None:
        record = self._components.recorder.begin(offer.call_id, "peer")
        has_body = isinstance(offer, RouteOffer)
        to_call = route_offer_to_call if has_body else offer_to_call
        record.call = to_call(offer, self._clock.monotonic())
        try:
            with self._components.memory.hold() as held:
                record.call = record.call._replace(held=held)
                body = await self._read_body(channel, held) if has_body else None
                await self._run_call(channel, stream, record, body, held)
        except Refusal as refusal:
            record.set_refusal(refusal)
            await channel.send(refusal_to_message(refusal))
        except curio.CancelledError as exc:
            record.set_cancelled(exc)
            if isinstance(exc, PeerLeft):
                self._log.emit(Event.CALLER_LEFT, call=offer.call_id)
            raise
        finally:
            self._components.recorder.finish(record)

    async def _read_body(self, channel: Channel, held: HeldMemory) -> bytes:
        async with self._clock.timeout(BODY_TIMEOUT_SECONDS):
            return await _receive_body(channel, held)

    async def _run_call(
        self, channel, stream, record, body: bytes | None, held: HeldMemory
    ) -> None:
        self._components.request_tracker.check_peer()
        self._components.dispatcher.check(record.call)
        await channel.send(Accept(self._sheet_version()))
        if body is None:
            body = await self._read_body(channel, held)
        async with stream.watch(is_cancelled_with_caller(record.call)):
            answer = await self._components.recorder.run(
                record, self._components.dispatcher, body
            )
            try:
                await self._relay_in_time(channel, record, answer)
            finally:
                await answer.close()

    async def _relay_in_time(self, channel: Channel, record, answer) -> None:
        """Relay an answer; raise ConnectionLost if its host takes it too slowly."""
        seconds = record.call.ends_by - self._clock.monotonic()
        try:
            async with self._clock.timeout(seconds + ANSWER_WRITE_SECONDS):
                await self._relay(channel, record, answer)
        except TimedOut as exc:
            detail = "the forwarding host did not read the answer in time"
            self._log.emit(Event.CALL_FAILED, call=record.call_id, detail=detail)
            raise ConnectionLost(detail) from exc

    async def _relay(self, channel: Channel, record: CallRecord, answer) -> None:
        record.outcome = Outcome.UNKNOWN
        record.served_by = find_header(answer.head.headers, SERVED_BY_HEADER)
        head = AnswerHead(*answer.head)
        if record.call.route_policy is not None:
            head = RouteAnswerHead(*answer.head, answer.software_version)
        await channel.send(head)
        while data := await self._read_answer(channel, answer, record):
            started_at = self._clock.monotonic()
            try:
                for start in range(0, len(data), MAX_PART_BYTES):
                    await channel.send(AnswerData(data[start : start + MAX_PART_BYTES]))
            finally:
                record.send_seconds += self._clock.monotonic() - started_at
        if data is not None:
            await channel.send(AnswerEnd())
            record.outcome = Outcome.ANSWERED

    async def _read_answer(self, channel: Channel, answer, record) -> bytes | None:
        try:
            return await answer.read()
        except SassafraskeelError as exc:
            self._log.emit(Event.CALL_FAILED, call=record.call_id, detail=str(exc))
            await channel.send(AnswerFail(type(exc).__name__))
            return None


async def _receive_body(channel: Channel, held: HeldMemory) -> bytes:
    """Return the body of a call; raise Refusal after its end if it has no room."""
    parts = []
    size = 0
    refusal = None
    while True:
        message = await channel.receive()
        if not isinstance(message, Body | BodyPart):
            raise ProtocolError("unexpected message, expected the body of a call")
        size += len(message.data)
        if size > MAX_FORWARDED_BODY_BYTES:
            raise ProtocolError("the body of a forwarded call is too long")
        if refusal is None:
            try:
                held.add(len(message.data))
                parts.append(message.data)
            except Refusal as exc:
                refusal = exc
                parts.clear()
        if isinstance(message, Body):
            if refusal is not None:
                raise refusal
            return b"".join(parts)
