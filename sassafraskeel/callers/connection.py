"""A connection of a caller, with what is known of it while it is served."""

from typing import NamedTuple

import curio
import h11

from sassafraskeel.callers.interface import CallerInterface
from sassafraskeel.calls.record import CallDispatcher, CallRecorder
from sassafraskeel.calls.request_tracker import RequestTracker
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.held_memory import MemoryBudget
from sassafraskeel.core.http import HttpConnection
from sassafraskeel.core.net import Stream
from sassafraskeel.core.tasks import is_blocked
from sassafraskeel.core.watched_stream import WatchedStream
from sassafraskeel.core.work_limits import WorkLimit


class AnswerNotTaken(curio.CancelledError):
    """Cancels a task whose caller takes no answer while others need its room."""


class BodyNotSent(curio.CancelledError):
    """Cancels a task whose caller sends no more of its body while others need room."""


class CallerWait(NamedTuple):
    """A wait for a caller to send or take data, since a time in monotonic seconds.

    The caller has stalled after `limit` seconds; its task is then cancelled with
    `cancellation` if others need room.
    """

    since: float
    limit: float
    cancellation: type[curio.CancelledError]


class CallerComponents(NamedTuple):
    """The components of a caller server; it serves no calls without a dispatcher."""

    interface: CallerInterface
    dispatcher: CallDispatcher | None
    request_tracker: RequestTracker
    recorder: CallRecorder | None
    memory: MemoryBudget
    work: WorkLimit


class CallerConnection:
    """A connection of a caller, with the method and id of its current request."""

    def __init__(self, accepted: Stream, clock: Clock, components: CallerComponents):
        self.held = components.memory.hold()
        self.stream = WatchedStream(accepted)
        self.http = HttpConnection(self.stream, h11.SERVER, clock, components.work)
        self.method = b""
        self.idle = False
        self.idle_since = clock.monotonic()
        self.call_id = ""
        # What the caller is expected to do now, or None.
        self.wait: CallerWait | None = None

    def has_answer_begun(self) -> bool:
        """Return whether the head of the current answer has been sent."""
        return self.http.h11.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def is_answer_close_delimited(self) -> bool:
        """Return whether a close would now end an unfinished answer as complete.

        Callers that speak HTTP/1.0 know no chunks, so that the end of the connection
        ends a stream.
        """
        state = self.http.h11
        is_old = (state.their_http_version or b"1.1") < b"1.1"
        return is_old and state.our_state is h11.SEND_BODY


def is_idle(conn: CallerConnection, task: curio.Task) -> bool:
    """Return whether a connection waits for a request, of which nothing has arrived.

    A task that is about to run may have bytes of a request to read, and would be
    cancelled in the middle of that call.
    """
    return conn.idle and is_blocked(task)


def has_stalled(conn: CallerConnection, task: curio.Task, now: float) -> bool:
    """Return whether a connection waits for a caller that has stalled.

    A task that is about to run would be cancelled later, as for an idle connection.
    """
    if conn.wait is None or not is_blocked(task):
        return False
    return now - conn.wait.since >= conn.wait.limit
