"""The connections of callers, with what is known of each while it is served."""

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


class OpenConnections:
    """The open connections of a server and their tasks."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._tasks: dict[CallerConnection, curio.Task] = {}
        # Set after a connection was removed and closed.
        self.removed = curio.Event()

    def add(self, conn: CallerConnection, task: curio.Task) -> None:
        """Add a connection that a task serves."""
        self._tasks[conn] = task

    def remove(self, conn: CallerConnection) -> None:
        """Remove a connection; set `removed` once it is closed."""
        del self._tasks[conn]

    async def wait_empty(self) -> None:
        """Wait without a time limit until no connection is open."""
        while self._tasks:
            self.removed.clear()
            await self.removed.wait()

    async def close_idle(self) -> None:
        """Close the connections that wait for their next request."""
        unchecked = list(self._tasks.items())
        while unchecked:
            ready = []
            for conn, task in unchecked:
                if is_idle(conn, task):
                    await task.cancel(blocking=False)
                elif conn.idle:
                    ready.append((conn, task))
            unchecked = ready
            if unchecked:
                await curio.sleep(0)

    async def close_idlest(self) -> None:
        """Close the connection that has waited longest for a request, if there is one.

        Otherwise connections that send nothing keep all others out. Clients send their
        request at once, or again if their connection was closed before.
        """
        idle = [conn for conn, task in self._tasks.items() if is_idle(conn, task)]
        if idle:
            conn = min(idle, key=lambda conn: conn.idle_since)
            conn.idle = False
            await self._tasks[conn].cancel(blocking=False)

    async def cancel_stalled(self) -> None:
        """Cancel the call whose caller has stalled for the longest time, if any."""
        now = self._clock.monotonic()
        stalled = [
            conn for conn, task in self._tasks.items() if has_stalled(conn, task, now)
        ]
        if stalled:
            conn = min(stalled, key=lambda conn: conn.wait.since)
            cancellation, conn.wait = conn.wait.cancellation, None
            await self._tasks[conn].cancel(exc=cancellation, blocking=False)
            await curio.sleep(0)  # The task gives its memory back.
