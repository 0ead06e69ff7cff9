"""Structured logging of numbered events to a sink."""

import logging
import os
from typing import IO, Protocol

import structlog

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.events import Event, Level

RATE_WINDOW_SECONDS = 10.0
# A host under attack or without its platform repeats a few events; more lines of the
# same event add no information.
MAX_EVENTS_IN_WINDOW = 50
MAX_DEBUG_EVENTS_IN_WINDOW = 5000
# For the events of single calls; a host serves some tens of calls per second.
MAX_CALL_EVENTS_IN_WINDOW = 1000
# Ids and paths of callers may be as long as a head. The faults of changed settings
# fit into this, too, unless there are many.
MAX_FIELD_LENGTH = 2048
CALL_EVENT_NUMBERS = frozenset((201, 202, 205, 207, 208, 304, 310, 314))


class LogSink(Protocol):
    """A destination of log events."""

    def emit(self, event: Event, **fields) -> None:
        """Record an event; must not block or raise."""


class StructuredLog:
    """A sink that writes one JSON object or console line per event."""

    def __init__(self, clock: Clock, host: str, output: IO, json: bool = True):
        renderer = (
            structlog.processors.JSONRenderer(default=str)
            if json
            else structlog.dev.ConsoleRenderer(colors=False)
        )
        self._clock = clock
        self._logger = structlog.wrap_logger(
            structlog.WriteLogger(output), processors=[renderer]
        ).bind(host=host)

    def emit(self, event: Event, **fields) -> None:
        spec = event.value
        getattr(self._logger, spec.level.value)(
            spec.message,
            number=spec.number,
            level=spec.level.value,
            at=self._clock.now().isoformat(timespec="milliseconds"),
            **{name: _shorten_field(value) for name, value in fields.items()},
        )


def _shorten_field(value):
    if not isinstance(value, str) or len(value) <= MAX_FIELD_LENGTH:
        return value
    return f"{value[:MAX_FIELD_LENGTH]}... ({len(value)} characters)"


class NonBlockingOutput:
    """Writes lines to a file descriptor and drops those that would block.

    A terminal is left as it is, because it shares its mode with other programs.
    """

    def __init__(self, fd: int):
        if not os.isatty(fd):
            os.set_blocking(fd, False)
        self._fd = fd
        self._unwritten = b""
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write complete lines, or count them as dropped."""
        try:
            if self._unwritten:
                self._unwritten = self._unwritten[os.write(self._fd, self._unwritten) :]
            if self._unwritten:
                self.dropped += 1
                return
            data = text.encode(errors="backslashreplace")
            # The unwritten rest of a line is written before the next line.
            self._unwritten = data[os.write(self._fd, data) :]
        except OSError:
            self.dropped += 1

    def flush(self) -> None:
        """Do nothing; only the rest of a partly written line is buffered."""


class RateLimitedLog:
    """Forwards a limited number of each event per window and counts the rest."""

    def __init__(self, sink: LogSink, clock: Clock, debug: bool = False):
        self._sink = sink
        self._clock = clock
        self._debug = debug
        self._window_started_at = 0.0
        self._counts: dict[Event, int] = {}
        self.dropped = 0

    def emit(self, event: Event, **fields) -> None:
        level = event.value.level
        if level is Level.DEBUG and not self._debug:
            return
        self.report_dropped()
        count = self._counts[event] = self._counts.get(event, 0) + 1
        if count <= _max_events(event):
            self._sink.emit(event, **fields)
        else:
            self.dropped += 1

    def report_dropped(self) -> None:
        """At the end of a window, log how many events were dropped in it."""
        now = self._clock.monotonic()
        if now - self._window_started_at < RATE_WINDOW_SECONDS:
            return
        counts, self._counts, self._window_started_at = self._counts, {}, now
        for event, count in counts.items():
            if count > _max_events(event):
                self._sink.emit(
                    Event.EVENTS_DROPPED,
                    repeated=event.value.number,
                    dropped=count - _max_events(event),
                )


def _max_events(event: Event) -> int:
    if event.value.level is Level.DEBUG:
        return MAX_DEBUG_EVENTS_IN_WINDOW
    if event.value.number in CALL_EVENT_NUMBERS:
        return MAX_CALL_EVENTS_IN_WINDOW
    return MAX_EVENTS_IN_WINDOW


class LibraryHandler(logging.Handler):
    """Logs the messages of libraries as numbered events."""

    def __init__(self, log: LogSink):
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        self._log.emit(
            Event.LIBRARY_MESSAGE, library=record.name, detail=record.getMessage()
        )


class NullLog:
    """A sink that discards every event."""

    def emit(self, event: Event, **fields) -> None:
        return None
