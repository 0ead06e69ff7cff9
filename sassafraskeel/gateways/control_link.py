"""Requests and responses over a control link."""

from typing import NamedTuple, Protocol

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ConnectionLost, ProtocolError
from sassafraskeel.core.types import HostInfo
from sassafraskeel.gateways.channel import Channel
from sassafraskeel.gateways.codec import Request, Response, from_wire, to_wire

MAX_PENDING_REQUESTS = 4096


class RequestHandler(Protocol):
    """Answers the requests on the control links that other hosts opened.

    A handler must not wait: one task answers all requests of a link in order.
    """

    async def handle(self, peer: HostInfo, message: NamedTuple) -> NamedTuple:
        """Return the response to a request."""


class ControlLink:
    """The dialling end of a control link.

    One task runs `read_responses`; any task may call `request`.
    """

    def __init__(self, channel: Channel, peer: HostInfo, clock: Clock):
        self.peer = peer
        self.pinged_at = 0.0
        self._channel = channel
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
                await self._channel.send(Request(number, to_wire(message)))
                await response_event.wait()
            if number not in self._responses:
                raise ConnectionLost(f"the link to {self.peer.name} was lost")
            return self._responses.pop(number)
        finally:
            self._pending.pop(number, None)
            self._responses.pop(number, None)

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


async def serve_requests(
    channel: Channel, peer: HostInfo, handler: RequestHandler
) -> None:
    """Answer requests as the accepting end of a control link.

    Raises ConnectionLost when the link is lost, and ProtocolError after an unexpected
    message.
    """
    while True:
        request = await channel.receive()
        if not isinstance(request, Request):
            raise ProtocolError(
                "unexpected message on a control link, expected a request"
            )
        response = await handler.handle(peer, from_wire(request.body))
        await channel.send(Response(request.number, to_wire(response)))
