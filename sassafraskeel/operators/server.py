"""The HTTP server for operators, with one task for each connection."""

import hmac
import json
from collections.abc import Callable
from typing import NamedTuple

import curio
import h11

from sassafraskeel.callers.refusals import JSON_HEADER, encode_refusal
from sassafraskeel.core.accepting import accept_next, listen_when_free
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    Reason,
    Refusal,
    SassafraskeelError,
    not_run_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.held_memory import HeldMemory, MemoryBudget
from sassafraskeel.core.http import HttpConnection, find_header, response_events
from sassafraskeel.core.http_requests import (
    RequestTimeouts,
    linger,
    receive_body,
    receive_request,
    send_with_timeout,
    wait_for_request,
)
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Network, Stream
from sassafraskeel.core.settings import OperatorSection
from sassafraskeel.core.tasks import SupervisedTaskGroup, is_blocked
from sassafraskeel.core.types import ResponseHead
from sassafraskeel.core.watched_stream import WatchedStream

TIMEOUTS = RequestTimeouts(idle=60.0, head=10.0, body=10.0)
MAX_CONNECTIONS = 64
# For the heads of all connections together; requests of operators have no bodies.
MAX_HELD_BYTES = 256 * 1024
METRICS_TEXT_HEADER = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
UNAUTHORIZED = ResponseHead(401, (JSON_HEADER, (b"www-authenticate", b"Bearer")))


class OperatorHandlers(NamedTuple):
    """The functions that handle the requests of operators."""

    status: Callable[[], dict]
    burn: Callable[[], dict]
    metrics: Callable[[], bytes]
    drain: Callable


class OperatorServer:
    """Serves operators that present the token."""

    def __init__(
        self,
        cfg: OperatorSection,
        clock: Clock,
        network: Network,
        log: LogSink,
        handlers: OperatorHandlers,
    ):
        self._cfg = cfg
        self._clock = clock
        self._network = network
        self._log = log
        self._handlers = handlers
        self._memory = MemoryBudget(MAX_HELD_BYTES)
        self._listener = None
        self._open_connections = 0
        # When the tasks began to wait for a request with the token, in monotonic
        # seconds.
        self._waiting_since: dict[curio.Task, float] = {}

    async def listen(self):
        """Open the listener and return its address."""
        self._listener = await listen_when_free(
            self._network, self._cfg.listen, self._clock, self._log
        )
        return self._listener.address

    async def start(self, group: SupervisedTaskGroup) -> None:
        """Start accepting connections."""
        await group.spawn(self._accept, group)

    async def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.close()

    async def _accept(self, group: SupervisedTaskGroup) -> None:
        while True:
            stream = await accept_next(self._listener, self._clock, self._log)
            if stream is None:
                return
            if self._open_connections >= MAX_CONNECTIONS:
                await self._close_longest_waiting()
            if self._open_connections >= MAX_CONNECTIONS:
                await stream.close()
                continue
            self._open_connections += 1
            await group.spawn(self._handle_connection, stream)

    async def _close_longest_waiting(self) -> None:
        """Close the connection that has waited longest for a request with the token.

        Otherwise clients without a token keep operators out.
        """
        waiting = [task for task in self._waiting_since if is_blocked(task)]
        if waiting:
            await min(waiting, key=self._waiting_since.get).cancel()

    async def _handle_connection(self, accepted: Stream) -> None:
        stream = WatchedStream(accepted)
        http = HttpConnection(stream, h11.SERVER, self._clock)
        try:
            with self._memory.hold() as held:
                while await self._serve_request(http, stream, held):
                    http.h11.start_next_cycle()
                    held.clear()
            await linger(http, stream, self._clock)
        except SassafraskeelError:
            return  # The operator disconnected, so that no answer can be sent.
        finally:
            self._open_connections -= 1
            self._waiting_since.pop(await curio.current_task(), None)
            await http.close()

    async def _serve_request(self, http, stream, held: HeldMemory) -> bool:
        self._waiting_since[await curio.current_task()] = self._clock.monotonic()
        if not await wait_for_request(http, stream, self._clock, TIMEOUTS.idle):
            return False
        try:
            request = await receive_request(http, stream, self._clock, TIMEOUTS, held)
            if request is None:
                return False
            head, body = await self._answer(http, request)
        except Refusal as refusal:
            self._log.emit(Event.OPERATOR_REJECTED, detail=refusal.detail)
            head, body = encode_refusal(refusal)
        if not http.is_message_complete():
            head = ResponseHead(head.status, (*head.headers, (b"connection", b"close")))
        events = response_events(head, body)
        await send_with_timeout(http, self._clock, TIMEOUTS.body, *events)
        return http.is_message_complete() and http.h11.our_state is h11.DONE

    async def _answer(self, http, request) -> tuple[ResponseHead, bytes]:
        if not self._is_authorized(request):
            self._log.emit(Event.OPERATOR_REJECTED, detail="missing or wrong token")
            return UNAUTHORIZED, b'{"error": "a bearer token is required"}'
        del self._waiting_since[await curio.current_task()]
        await receive_body(http, self._clock, TIMEOUTS, 0)
        requested = request.method, request.target
        if requested == (b"GET", b"/status"):
            return _json_answer(self._handlers.status())
        if requested == (b"GET", b"/burn"):
            return _json_answer(self._handlers.burn())
        if requested == (b"GET", b"/metrics"):
            return ResponseHead(200, (METRICS_TEXT_HEADER,)), self._handlers.metrics()
        if requested == (b"POST", b"/drain"):
            self._log.emit(Event.DRAIN_REQUESTED)
            await self._handlers.drain()
            return _json_answer({"draining": True}, 202)
        raise not_run_refusal(Reason.BAD_REQUEST, "the path or method is unknown")

    def _is_authorized(self, request) -> bool:
        given = find_header(request.headers, b"authorization")
        expected = f"Bearer {self._cfg.token}"
        return hmac.compare_digest(given.encode(), expected.encode())


def _json_answer(content: dict, status: int = 200) -> tuple[ResponseHead, bytes]:
    return ResponseHead(status, (JSON_HEADER,)), json.dumps(content).encode()
