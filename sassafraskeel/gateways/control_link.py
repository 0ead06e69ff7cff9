"""Requests, responses and notices over a control link."""

from typing import NamedTuple, Protocol

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost, ProtocolError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import HostInfo
from sassafraskeel.gateways.channel import Channel
from sassafraskeel.gateways.codec import from_wire, to_wire
from sassafraskeel.gateways.messages import Notice, Request, Response
from sassafraskeel.gateways.outbox import Outbox

MAX_PENDING_REQUESTS = 4096


class RequestHandler(Protocol):
    """Handles the messages on the control links that other hosts opened."""

    def may_wait(self, message: NamedTuple) -> bool:
        """Return whether the response to a request may take long.

        Such a request gets its own task; the others of a link are answered in order.
        """

    async def handle(self, peer: HostInfo, message: NamedTuple) -> NamedTuple:
        """Return the response to a request."""

    async def handle_notice(self, peer: HostInfo, message: NamedTuple) -> None:
        """Process a message that gets no response."""

    async def link_opened(self, peer: HostInfo) -> None:
        """Record that a host has opened a link."""

    async def link_closed(self, peer: HostInfo) -> None:
        """Record that a link of a host has ended."""


class ControlLink:
    """The dialling end of a control link; `serial` is unique in the process.

    `features` are the optional features that the peer named in its hello. One task runs
    `read_responses` and one `run_outbox`; any task may call `request` and `notify`.
    """

    def __init__(
        self,
        channel: Channel,
        peer: HostInfo,
        clock: Clock,
        serial: int = 0,
        features: frozenset[str] = frozenset(),
    ):
        self.peer = peer
        self.serial = serial
        self.features = features
        self.pinged_at = 0.0
        self._channel = channel
        self._outbox = Outbox(channel)
        self._clock = clock
        self._counter = 0
        self._pending: dict[int, curio.Event] = {}
        self._responses: dict[int, NamedTuple] = {}
        self._lost = False

    async def request(self, message: NamedTuple, timeout: float) -> NamedTuple:
        """Send a request and return its response.

        Raises TimedOut after `timeout` seconds, and ConnectionLost if the link is lost
        or has too many pending requests.
        """
        if self._lost or len(self._pending) >= MAX_PENDING_REQUESTS:
            raise ConnectionLost(f"the link to {self.peer.name} is lost or overloaded")
        self._counter += 1
        number = self._counter
        response_event = self._pending[number] = curio.Event()
        try:
            async with self._clock.timeout(timeout):
                await self._outbox.put(Request(number, to_wire(message)))
                await response_event.wait()
            if number not in self._responses:
                raise ConnectionLost(f"the link to {self.peer.name} was lost")
            return self._responses.pop(number)
        finally:
            self._pending.pop(number, None)
            self._responses.pop(number, None)

    async def notify(self, message: NamedTuple) -> None:
        """Queue a message that gets no response; raise ConnectionLost."""
        if self._lost:
            raise ConnectionLost(f"the link to {self.peer.name} is lost")
        await self._outbox.put(Notice(to_wire(message)))

    async def run_outbox(self) -> None:
        """Send the queued messages; raise ConnectionLost when the link is lost."""
        try:
            await self._outbox.run()
        finally:
            await self._mark_lost()

    async def read_responses(self) -> None:
        """Deliver responses until the link is lost.

        Raises ConnectionLost, or ProtocolError after an unexpected message.
        """
        try:
            while True:
                response = await self._channel.receive()
                if not isinstance(response, Response):
                    raise ProtocolError(
                        "unexpected message on a control link, expected a response"
                    )
                await self._deliver(response)
        finally:
            await self._mark_lost()

    async def _mark_lost(self) -> None:
        self._lost = True
        for response_event in list(self._pending.values()):
            await response_event.set()

    async def _deliver(self, response: Response) -> None:
        response_event = self._pending.get(response.number)
        if response_event is not None:  # A request that timed out no longer waits.
            self._responses[response.number] = from_wire(response.body)
            await response_event.set()

    async def close(self) -> None:
        """Close the connection."""
        self._lost = True
        await self._channel.close()


class AcceptedLink:
    """The accepting end of a control link, served by the task of its connection."""

    def __init__(self, channel: Channel, peer: HostInfo, handler: RequestHandler):
        self._channel = channel
        self._peer = peer
        self._handler = handler
        self._outbox = Outbox(channel)
        self._failure: Exception | None = None
        self._tasks = SupervisedTaskGroup(self._record_failure)

    async def serve(self) -> None:
        """Answer requests until the link is lost.

        Raises ConnectionLost, or ProtocolError after an unexpected message.
        """
        await self._handler.link_opened(self._peer)
        try:
            await self._tasks.spawn(self._outbox.run)
            while self._failure is None:
                await self._handle(await self._channel.receive())
            raise self._failure
        finally:
            await self._tasks.close()
            await self._handler.link_closed(self._peer)

    async def _handle(self, message: NamedTuple) -> None:
        if isinstance(message, Notice):
            await self._handler.handle_notice(self._peer, from_wire(message.body))
            return
        if not isinstance(message, Request):
            raise ProtocolError(
                "unexpected message on a control link, expected a request"
            )
        body = from_wire(message.body)
        if not self._handler.may_wait(body):
            await self._answer(message.number, body)
        elif len(self._tasks) < MAX_PENDING_REQUESTS:
            await self._tasks.spawn(self._answer, message.number, body)
        else:
            raise ProtocolError("too many requests are pending on a control link")

    async def _answer(self, number: int, body: NamedTuple) -> None:
        response = await self._handler.handle(self._peer, body)
        await self._outbox.put(Response(number, to_wire(response)))

    def _record_failure(self, exc: Exception) -> None:
        """Keep the first failure of a task; it ends the link with the next message."""
        if self._failure is None:
            self._failure = exc
