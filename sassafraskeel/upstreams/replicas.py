"""The client of replicas of a service; each request names its replica."""

import math
from typing import NamedTuple, Protocol

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    AnswerTruncated,
    ConnectionLost,
    Outcome,
    ProtocolError,
    Reason,
    Refusal,
    SassafraskeelError,
    TimedOut,
    UpstreamLost,
    UpstreamStalled,
    not_run_refusal,
    unknown_outcome_refusal,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.http_client import ClientConnection
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.names import shorten
from sassafraskeel.core.types import (
    STOP_SECONDS,
    Call,
    CallKind,
    Headers,
    ResponseHead,
)
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.replica_statements import NamedBrittleness, NamedLimit
from sassafraskeel.upstreams.liveness import LivenessChecks
from sassafraskeel.upstreams.pool import ConnectionPool

# A call that must not run twice uses a pooled connection only if it was idle for less
# than this time: the replica may have dropped an older one, which loses the call.
MAX_IDLE_UNREPEATABLE_SECONDS = 2.0
# The body of a rejection is short; its connection is closed if it is not.
MAX_REJECTION_BYTES = 64 * 1024
REJECTION_SECONDS = 0.3
# Copies of answers to earlier calls that may precede the answer to a call.
MAX_SKIPPED_ANSWERS = 4


class ReplicaHead(NamedTuple):
    """The head of a replica's answer and the state that it reports.

    `named` is True if it has the id of the call. `executed` is False if the replica
    states that it did not run the call, and `misdirected` is True if the address now
    belongs to another replica. `requests`
    counts the requests that the replica runs and queues. `cold_seconds` are the
    seconds for which the replica stays cold. `limit`, `leaving`, whether the replica
    leaves, `pause_seconds`, the seconds for which it wants no requests of the local
    host, and `brittleness` are None if they are malformed.
    """

    head: ResponseHead
    named: bool
    executed: bool
    misdirected: bool
    requests: int | None
    cold_seconds: float
    limit: NamedLimit | None
    leaving: bool | None
    pause_seconds: float | None
    brittleness: NamedBrittleness | None


class ReplicaHealth(NamedTuple):
    """The answer of a replica to a health check.

    `rejected` is True if the replica had no room for the check.
    """

    name: str
    healthy: bool
    cold_seconds: float
    limit: NamedLimit | None
    leaving: bool | None
    pause_seconds: float | None
    brittleness: NamedBrittleness | None
    rejected: bool


class ReplicaInterface(Protocol):
    """Encodes calls to replicas and decodes the answers."""

    def request_headers(
        self, call: Call, replica: Replica, remaining: float
    ) -> Headers:
        """Return the headers of a request with its `remaining` time in seconds."""

    def names_other_call(self, call: Call, head: ResponseHead) -> bool:
        """Return whether a head has the id of another call."""

    def read_head(self, call: Call, head: ResponseHead, is_first: bool) -> ReplicaHead:
        """Decode a head; raise ProtocolError if it may belong to another request.

        `is_first` is whether no request was sent on the connection before the call.
        """

    def read_health(self, head: ResponseHead) -> ReplicaHealth:
        """Decode the head of an answer to a health check."""


class ReplicaObserver(Protocol):
    """Receives the state that replicas report and the progress of their answers."""

    def on_head_received(
        self, replica: Replica, head: ReplicaHead, sent_at: float
    ) -> None:
        """Record the load and state in the head of an answer.

        `sent_at` is when its request was sent, in monotonic seconds.
        """

    def on_data_expected(self, replica: Replica) -> None:
        """Record that a replica is expected to send data of a call from now on."""

    def on_data_received(self, replica: Replica) -> None:
        """Record that data of a call has arrived."""

    def on_call_finished(self, replica: Replica) -> None:
        """Record that no more data of a call is expected."""


class ReplicaAnswer:
    """The answer of a replica, read as it arrives."""

    def __init__(
        self,
        head: ResponseHead,
        conn: ClientConnection,
        pool,
        clock,
        expires,
        replica: Replica,
        observer: ReplicaObserver,
    ):
        self.head = head
        self._replica = replica
        self._observer = observer
        self._conn = conn
        self._pool: ConnectionPool = pool
        self._clock: Clock = clock
        self._expires = expires
        self._complete = False
        self._closed = False
        # Seconds without progress after which `read` raises UpstreamStalled; what
        # counts as progress is for the reader to say.
        self.stall_timeout: float | None = None
        self._progress_at = clock.monotonic()

    @property
    def is_close_delimited(self) -> bool:
        """Return whether the end of the connection ends the answer."""
        return self._conn.is_close_delimited

    def record_progress(self) -> None:
        """Record that the data read so far is progress."""
        self._progress_at = self._clock.monotonic()

    def wait_longer(self, seconds: float) -> None:
        """Let `read` raise UpstreamStalled some seconds from now."""
        now = self._clock.monotonic()
        self._progress_at = now + seconds - (self.stall_timeout or 0.0)

    async def read(self) -> bytes:
        """Return the next bytes, or b"" after the end; raise SassafraskeelError.

        Reading may go on after UpstreamStalled.
        """
        if self._complete:
            return b""
        now = self._clock.monotonic()
        remaining = self._expires - now
        if remaining <= 0:
            # A read that need not wait does not notice that its time is over.
            raise TimedOut(0.0)
        stall_after = math.inf
        if self.stall_timeout is not None:
            stall_after = self._progress_at + self.stall_timeout - now
        try:
            async with self._clock.timeout(min(remaining, stall_after)):
                data = await self._conn.receive_data()
        except TimedOut as exc:
            if stall_after < remaining:
                raise UpstreamStalled(self._replica.name) from exc
            raise
        self._observer.on_data_received(self._replica)
        self._complete = not data
        return data

    async def stop(self) -> None:
        """Close the connection once the replica has closed its end, or time is up."""
        if not self._complete:
            remaining = max(self._expires - self._clock.monotonic(), 0.0)
            await self._conn.stop(self._clock, min(STOP_SECONDS, remaining))
        await self.close()

    async def close(self) -> None:
        """Keep the connection of a complete answer, or close it to cancel the work."""
        if self._closed:
            return
        self._closed = True
        self._observer.on_call_finished(self._replica)
        if self._complete:
            await self._pool.release(self._conn)
        else:
            await self._conn.close()


class ReplicaClient:
    """Sends calls to replicas over pooled connections."""

    def __init__(
        self,
        clock: Clock,
        pool: ConnectionPool,
        interface: ReplicaInterface,
        observer: ReplicaObserver,
        log: LogSink,
    ):
        self._log = log
        self._clock = clock
        self._pool = pool
        self._interface = interface
        self._observer = observer
        self._liveness = LivenessChecks(clock, pool)

    async def has_ended(self, replica: Replica) -> bool:
        """Return whether a replica with a lost connection takes no new ones either."""
        return await self._liveness.has_ended(replica.address)

    async def send(
        self,
        replica: Replica,
        call: Call,
        body: bytes,
        check,
        head_timeout: float | None,
    ) -> ReplicaAnswer:
        """Return the answer of a replica; raise Refusal.

        `check` is called right before the first byte and raises Refusal if the replica
        may no longer be used. The attempt fails if no head arrives for `head_timeout`
        seconds. The outcome of a Refusal is "not run" while no byte can have been
        sent or if the replica states it, and otherwise "unknown".
        """
        conn = await self._get_connection(replica, call)
        # The head of a model stream arrives only after the prompts queued before it.
        is_head_expected = call.kind is not CallKind.MODEL
        if is_head_expected:
            self._observer.on_data_expected(replica)
        try:
            check()
            conn.call_ids.add(shorten(call.call_id))
            sent_at = self._clock.monotonic()
            head = await self._exchange(replica, conn, call, body, head_timeout)
            replica_head = self._interface.read_head(
                call, head, is_first=conn.request_count == 1
            )
        except BaseException as exc:
            if is_head_expected:
                self._observer.on_call_finished(replica)
            await conn.close()
            if not isinstance(exc, ProtocolError):
                raise
            raise unknown_outcome_refusal(
                Reason.UPSTREAM_FAILED, f"{replica.name}: {exc}"
            ) from exc
        if not is_head_expected:
            self._observer.on_data_expected(replica)
        self._observer.on_data_received(replica)
        self._observer.on_head_received(replica, replica_head, sent_at)
        replica_answer = ReplicaAnswer(
            replica_head.head,
            conn,
            self._pool,
            self._clock,
            call.expires,
            replica,
            self._observer,
        )
        if not replica_head.executed:
            self._log_rejection(replica, call, conn, replica_head)
            await self._read_rejection(replica, call, replica_answer)
            is_misdirected = replica_head.misdirected
            reason = Reason.NO_UPSTREAM if is_misdirected else Reason.UPSTREAM_REFUSED
            raise not_run_refusal(reason, replica.name)
        return replica_answer

    def _log_rejection(self, replica, call, conn, replica_head: ReplicaHead) -> None:
        self._log.emit(
            Event.CALL_REJECTED,
            call=call.call_id,
            to=replica.name,
            status=replica_head.head.status,
            connection=conn.number,
            earlier=conn.request_count - 1,
            named=replica_head.named,
        )

    async def _get_connection(self, replica, call) -> ClientConnection:
        max_idle = (
            None if call.route_policy.repeatable else MAX_IDLE_UNREPEATABLE_SECONDS
        )
        conn = await self._pool.take(replica.address, max_idle, shorten(call.call_id))
        if conn is not None:
            return conn
        try:
            return await self._pool.open(replica.address)
        except (ConnectionLost, TimedOut) as exc:
            raise not_run_refusal(
                Reason.UPSTREAM_FAILED, f"{replica.name}: {exc}"
            ) from exc

    async def _exchange(self, replica, conn, call, body, head_timeout) -> ResponseHead:
        remaining = call.expires - self._clock.monotonic()
        if remaining <= 0:
            raise not_run_refusal(Reason.DEADLINE, "the deadline has passed")
        headers = self._interface.request_headers(call, replica, remaining)
        timeout = remaining if head_timeout is None else min(remaining, head_timeout)
        try:
            async with self._clock.timeout(timeout):
                await conn.send(call.method, call.path, headers, body)
                return await self._receive_head(conn, call)
        except TimedOut as exc:
            if timeout < remaining and call.kind is CallKind.MODEL:
                # The call may go on elsewhere. The replica may run it already.
                await conn.stop(self._clock, STOP_SECONDS)
            reason = Reason.DEADLINE if timeout == remaining else Reason.UPSTREAM_SILENT
            raise unknown_outcome_refusal(reason, f"{replica.name}: {exc}") from exc
        except (ConnectionLost, AnswerTruncated) as exc:
            detail = f"{replica.name}: {exc}"
            raise UpstreamLost(Outcome.UNKNOWN, Reason.UPSTREAM_FAILED, detail) from exc
        except Refusal:
            raise
        except SassafraskeelError as exc:
            raise unknown_outcome_refusal(
                Reason.UPSTREAM_FAILED, f"{replica.name}: {exc}"
            ) from exc

    async def _receive_head(self, conn, call) -> ResponseHead:
        """Return the head of the answer, after copies of answers to other calls."""
        head = await conn.receive_head(allow_close_delimited=True)
        for _ in range(MAX_SKIPPED_ANSWERS):
            if not self._interface.names_other_call(call, head):
                break
            await conn.skip_answer(MAX_REJECTION_BYTES)
            head = await conn.receive_head(allow_close_delimited=True)
        return head

    async def _read_rejection(self, replica, call, answer: ReplicaAnswer) -> None:
        """Read the short body of a rejection, so that its connection can be reused."""
        size = 0
        try:
            async with self._clock.timeout(REJECTION_SECONDS):
                while data := await answer.read():
                    size += len(data)
                    if size > MAX_REJECTION_BYTES:
                        raise ProtocolError("the body of a rejection is too long")
        except SassafraskeelError as exc:
            # The connection is closed instead of reused; the rejection still holds.
            self._log.emit(
                Event.REJECTION_CUT,
                call=call.call_id,
                to=replica.name,
                detail=str(exc),
            )
        finally:
            await answer.close()
