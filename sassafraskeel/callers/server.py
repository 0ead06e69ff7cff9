"""The HTTP server for callers, with one task for each connection."""

import random

import curio
import h11

from sassafraskeel.callers.connection import (
    AnswerNotTaken,
    BodyNotSent,
    CallerComponents,
    CallerConnection,
    CallerWait,
    OpenConnections,
)
from sassafraskeel.callers.interface import DirectAnswer
from sassafraskeel.calls.answers import SERVED_BY_HEADER
from sassafraskeel.calls.record import CallRecord
from sassafraskeel.core.accepting import accept_next, listen_when_free
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    ConnectionLost,
    Outcome,
    Reason,
    Refusal,
    SassafraskeelError,
    TimedOut,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.held_memory import no_room_refusal
from sassafraskeel.core.http import find_header, response_events
from sassafraskeel.core.http_requests import (
    linger,
    receive_body,
    receive_request,
    send_with_timeout,
    too_large_refusal,
    wait_for_request,
)
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Address, Network, Stream
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.core.types import (
    ANSWER_WRITE_SECONDS,
    ResponseHead,
    is_cancelled_with_caller,
)
from sassafraskeel.core.watched_stream import PeerLeft

# The share of connections over the limit that are answered by a refusal; any beyond
# them are closed without an answer.
REFUSED_SHARE = 0.125
# The longest part of an answer that is sent at once. A caller that takes its answer
# takes a part in a round trip, which is 0.16 s between regions.
SEND_SLICE_BYTES = 16 * 1024
STALLED_SEND_SECONDS = 0.3
# A caller that sends its body may miss some packets in a row.
STALLED_BODY_SECONDS = 1.0
CLOSE_HEADER = (b"connection", b"close")


class CallerServer:
    """Accepts the connections of callers and answers their requests."""

    def __init__(
        self,
        listen: Address,
        max_connections: int,
        clock: Clock,
        network: Network,
        rng: random.Random,
        log: LogSink,
        components: CallerComponents,
    ):
        self._address = listen
        self._max_connections = max_connections
        self._clock = clock
        self._network = network
        self._rng = rng
        self._log = log
        self._components = components
        self._interface = components.interface
        self._listener = None
        self._connection_count = 0
        self._open = OpenConnections(clock)
        components.memory.on_shortage(self._open.cancel_stalled)

    async def listen(self):
        """Open the listener and return its address."""
        self._listener = await listen_when_free(
            self._network, self._address, self._clock, self._log
        )
        return self._listener.address

    async def start(self, group: SupervisedTaskGroup) -> None:
        """Start accepting connections."""
        await group.spawn(self._accept, group)

    async def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            await self._listener.close()

    async def close_idle(self) -> None:
        """Close the connections that wait for their next request."""
        await self._open.close_idle()

    async def wait_closed(self) -> None:
        """Wait without a time limit until no connection is open."""
        await self._open.wait_empty()

    async def _accept(self, group: SupervisedTaskGroup) -> None:
        while True:
            stream = await accept_next(self._listener, self._clock, self._log)
            if stream is None:
                return
            if self._connection_count >= self._max_connections:
                await self._open.close_idlest()
            if self._connection_count >= (1 + REFUSED_SHARE) * self._max_connections:
                await stream.close()
                continue
            self._connection_count += 1
            await group.spawn(self._handle_connection, stream)

    async def _handle_connection(self, accepted: Stream) -> None:
        conn = CallerConnection(accepted, self._clock, self._components)
        self._open.add(conn, await curio.current_task())
        try:
            if self._connection_count > self._max_connections:
                await self._refuse_connection(conn)
                return
            while await self._serve_request(conn):
                conn.http.h11.start_next_cycle()
            if conn.idle:
                return  # A request that arrives during the close was not read.
            conn.held.clear()
            async with self._components.request_tracker:
                await linger(conn.http, conn.stream, self._clock)
        except (SassafraskeelError, PeerLeft) as exc:
            # The caller disconnected or violated HTTP, so it gets no answer.
            if not conn.idle:
                self._log.emit(
                    Event.CALLER_CONNECTION_LOST,
                    call=conn.call_id,
                    type=type(exc).__name__,
                    detail=str(exc),
                )
        finally:
            self._connection_count -= 1
            self._open.remove(conn)
            if conn.is_answer_close_delimited():
                await conn.stream.reset()
            conn.held.clear()
            await conn.http.close()
            await self._open.removed.set()

    async def _refuse_connection(self, conn: CallerConnection) -> None:
        limit = self._max_connections
        self._log.emit(Event.CONNECTION_REFUSED, limit=limit, listener="callers")
        refusal = not_run_refusal(Reason.OVERLOADED, "too many connections", 1.0)
        await self._send_answer(conn, self._interface.refusal_answer(refusal, None, ""))
        await linger(conn.http, conn.stream, self._clock)

    async def _serve_request(self, conn: CallerConnection) -> bool:
        limits = self._interface.limits()
        conn.idle, conn.call_id = True, ""
        conn.idle_since = self._clock.monotonic()
        conn.held.clear()
        if not await wait_for_request(conn.http, conn.stream, self._clock, limits.idle):
            return False
        conn.idle = False
        try:
            request = await receive_request(
                conn.http, conn.stream, self._clock, limits, conn.held
            )
        except Refusal as refusal:
            await self._send_answer(
                conn, self._interface.refusal_answer(refusal, None, "")
            )
            return False
        if request is None:
            return False
        conn.method = request.method
        async with self._components.request_tracker:
            await self._answer_request(conn, request)
        if self._components.request_tracker.draining:
            # The head of this answer may have been sent before the drain began, and
            # then did not announce that the connection will be closed.
            return False
        # After a request whose body was not read, no other one can be read.
        return conn.http.is_message_complete() and conn.http.h11.our_state is h11.DONE

    async def _answer_request(self, conn: CallerConnection, request) -> None:
        call_id = self._interface.call_id(request, f"{self._rng.getrandbits(64):016x}")
        conn.call_id = call_id
        record = CallRecord(call_id, "caller", self._clock.monotonic())
        try:
            await self._dispatch_request(conn, request, record)
        except Refusal as refusal:
            await self._refuse(conn, refusal, record)
        except SassafraskeelError:
            raise
        except Exception as exc:
            self._components.recorder.log_unexpected(record, exc)
            await self._refuse(conn, record.internal_refusal(), record)
        except curio.CancelledError as exc:
            record.set_cancelled(exc)
            if isinstance(exc, PeerLeft):
                self._log.emit(Event.CALLER_LEFT, call=call_id)
                raise
            conn.held.clear()
            if isinstance(exc, BodyNotSent) and not record.dispatched:
                await self._refuse(conn, no_room_refusal(), record)
                return
            if isinstance(exc, AnswerNotTaken):
                # Otherwise the kernel goes on to hold what was not taken.
                await conn.stream.reset()
                raise ConnectionLost("the caller did not take its answer") from exc
            if conn.has_answer_begun():
                raise ConnectionLost("the answer was truncated") from exc
            await self._refuse(conn, record.closing_refusal(), record)
        finally:
            if record.call is not None:
                self._components.recorder.finish(record)

    async def _refuse(self, conn, refusal: Refusal, record: CallRecord) -> None:
        record.set_refusal(refusal)
        self._log.emit(
            Event.CALL_REFUSED,
            call=record.call_id,
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
            detail=refusal.detail,
        )
        if conn.has_answer_begun():
            raise ConnectionLost("the answer was truncated")
        answer = self._interface.refusal_answer(refusal, record.call, record.call_id)
        await self._send_answer(conn, answer)

    async def _dispatch_request(self, conn, request, record: CallRecord) -> None:
        answer = self._interface.answer_directly(request)
        if answer is None:
            await self._serve_call(conn, request, record)
            return
        await receive_body(conn.http, self._clock, self._interface.limits(), 0)
        await self._send_answer(conn, answer)

    async def _serve_call(self, conn, request, record: CallRecord) -> None:
        http = conn.http
        interface, dispatcher = self._interface, self._components.dispatcher
        await interface.wait_ready()
        now = self._clock.monotonic()
        call = interface.read_call(request, record.call_id, now)
        call = record.call = call._replace(held=conn.held)
        dispatcher.check(call)
        limits, max_bytes = interface.limits(), interface.max_body_bytes()
        length = int(find_header(request.headers, b"content-length") or 0)
        if length > max_bytes:
            raise too_large_refusal(max_bytes)
        await conn.held.make_room(length)
        if http.h11.they_are_waiting_for_100_continue:
            await http.send(h11.InformationalResponse(status_code=100, headers=[]))
        body = await self._receive_body(conn, limits, max_bytes)
        await self._run_call(conn, record, body)

    async def _receive_body(self, conn: CallerConnection, limits, max_bytes) -> bytes:
        def expect_data() -> None:
            now = self._clock.monotonic()
            conn.wait = CallerWait(now, STALLED_BODY_SECONDS, BodyNotSent)

        async def count(size: int) -> None:
            expect_data()
            await conn.held.make_room(size)
            conn.held.add(size)

        expect_data()
        try:
            return await receive_body(conn.http, self._clock, limits, max_bytes, count)
        finally:
            conn.wait = None

    async def _run_call(self, conn, record: CallRecord, body: bytes) -> None:
        dispatcher = self._components.dispatcher
        is_cancelled = is_cancelled_with_caller(record.call)
        ahead_bytes = len(conn.http.h11.trailing_data[0])
        async with conn.stream.watch(is_cancelled, ahead_bytes):
            answer = await self._components.recorder.run(record, dispatcher, body)
            try:
                await self._relay_in_time(conn, record, answer)
            finally:
                await answer.close()

    async def _relay_in_time(self, conn, record: CallRecord, answer) -> None:
        """Relay an answer; raise ConnectionLost if its caller takes it too slowly."""
        seconds = record.call.ends_by - self._clock.monotonic()
        try:
            async with self._clock.timeout(seconds + ANSWER_WRITE_SECONDS):
                await self._relay_answer(conn, record, answer)
        except TimedOut as exc:
            raise ConnectionLost("the caller did not read its answer in time") from exc

    async def _relay_answer(self, conn, record: CallRecord, answer) -> None:
        """Relay an answer; a truncated one is sent without the end of the message.

        The caller thus cannot mistake a truncated answer for a complete one.
        """
        record.outcome = Outcome.UNKNOWN
        pending = [self._response_head(record, answer.head)]
        while data := await self._read_answer(answer, record, started=not pending):
            now = self._clock.monotonic()
            if pending:
                record.first_data_at = now
            try:
                await self._send_data(conn, pending, data)
            finally:
                record.send_seconds += self._clock.monotonic() - now
            pending = []
        await self._send_events(conn, *pending, h11.EndOfMessage())
        record.outcome = Outcome.ANSWERED

    async def _send_data(self, conn: CallerConnection, head: list, data: bytes) -> None:
        """Send data of an answer, after its head if it is the first of it."""
        try:
            for start in range(0, len(data), SEND_SLICE_BYTES):
                part = h11.Data(data=data[start : start + SEND_SLICE_BYTES])
                now = self._clock.monotonic()
                conn.wait = CallerWait(now, STALLED_SEND_SECONDS, AnswerNotTaken)
                await self._send_events(conn, *head, part)
                head = []
        finally:
            conn.wait = None

    async def _read_answer(self, answer, record: CallRecord, started: bool) -> bytes:
        try:
            return await answer.read()
        except SassafraskeelError as exc:
            self._log.emit(Event.CALL_FAILED, call=record.call_id, detail=str(exc))
            if started:
                raise ConnectionLost("the answer was truncated") from exc
            raise unknown_outcome_refusal(
                Reason.UPSTREAM_FAILED, "the answer was truncated"
            ) from exc

    def _response_head(self, record: CallRecord, head: ResponseHead) -> h11.Response:
        record.served_by = find_header(head.headers, SERVED_BY_HEADER)
        headers = self._interface.answer_headers(record.call_id, head.headers)
        if self._components.request_tracker.draining:
            headers = (*headers, CLOSE_HEADER)
        return h11.Response(status_code=head.status, headers=headers)

    async def _send_answer(self, conn, answer: DirectAnswer) -> None:
        headers = answer.head.headers
        if (
            not conn.http.is_message_complete()
            or self._components.request_tracker.draining
        ):
            headers = (*headers, CLOSE_HEADER)
        events = response_events(ResponseHead(answer.head.status, headers), answer.body)
        if conn.method == b"HEAD":
            events = (events[0], events[-1])
        await self._send_events(conn, *events)

    async def _send_events(self, conn, *events) -> None:
        await send_with_timeout(
            conn.http, self._clock, self._interface.limits().body, *events
        )
