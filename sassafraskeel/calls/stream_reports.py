"""Reports how the answer of a replica to a stream begins, goes on and ends."""

from sassafraskeel.calls.event_streams import EVENT_END, MAX_EVENT_END_BYTES
from sassafraskeel.calls.placement import (
    SURVIVAL_SECONDS,
    AttemptFailure,
    PlacedAttempt,
)
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import AnswerTruncated, ConnectionLost, ProtocolError
from sassafraskeel.upstreams.replicas import ReplicaAnswer


class StreamReporter:
    """The answer of a replica to a stream, with reports to the placement.

    A replica that crashes on a prompt may have sent the head of its answer and a part
    of the first event, so only a whole event shows that it began to answer, and only
    data some time later that it survives. Without `needs_event`, the stream may end
    without an event.
    """

    def __init__(
        self,
        answer: ReplicaAnswer,
        attempt: PlacedAttempt,
        needs_event: bool,
        clock: Clock,
    ):
        self.head = answer.head
        self._answer = answer
        self._attempt = attempt
        self._needs_event = needs_event
        self._clock = clock
        self._began_at: float | None = None
        # The bytes of a match that the end of the first event may begin with.
        self._tail = b""

    @property
    def stall_timeout(self) -> float | None:
        """Return the seconds without progress after which `read` fails."""
        return self._answer.stall_timeout

    @stall_timeout.setter
    def stall_timeout(self, seconds: float | None) -> None:
        self._answer.stall_timeout = seconds

    def record_progress(self) -> None:
        """Record that the data read so far is progress."""
        self._answer.record_progress()

    def wait_longer(self, seconds: float) -> None:
        """Let `read` fail some seconds from now if there is no progress."""
        self._answer.wait_longer(seconds)

    async def record_malformed(self) -> None:
        """Record that the data read so far is no stream of events."""
        await self._attempt.failed(AttemptFailure.FAILED)

    async def read(self) -> bytes:
        try:
            data = await self._answer.read()
        except (AnswerTruncated, ConnectionLost) as exc:
            if isinstance(exc.__cause__, ProtocolError):
                await self.record_malformed()
            else:
                await self._report_lost_connection()
            raise
        if data:
            await self._report_data(data)
        elif self._answer.is_close_delimited and await self._is_cut():
            raise AnswerTruncated("the replica ended with its answer")
        return data

    async def stop(self) -> None:
        await self._answer.stop()

    async def close(self) -> None:
        await self._answer.close()

    async def _report_data(self, data: bytes) -> None:
        now = self._clock.monotonic()
        if self._began_at is not None:
            if now - self._began_at >= SURVIVAL_SECONDS:
                await self._attempt.survived()
            return
        buffered = self._tail + data
        self._tail = buffered[-MAX_EVENT_END_BYTES:]
        if EVENT_END.search(buffered):
            self._began_at = now
            await self._attempt.head_received()

    async def _report_lost_connection(self) -> None:
        if self._began_at is None:
            await self._attempt.failed(AttemptFailure.LOST)
        else:
            await self._attempt.connection_ended()

    async def _is_cut(self) -> bool:
        """Return whether the end of a connection is not the end of its stream."""
        if self._needs_event and self._began_at is None:
            await self._attempt.failed(AttemptFailure.LOST)
            return False  # For its reader, a stream without an event is cut anyway.
        return await self._attempt.answer_cut()
