"""The end of a process: one line of the log says why nobody asked for it."""

import traceback
from collections.abc import Iterator
from contextlib import contextmanager

from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink


@contextmanager
def failure_logged(log: LogSink) -> Iterator[None]:
    """Log an exception that ends the process, and raise it again."""
    try:
        yield
    except SystemExit:
        raise
    except BaseException as exc:
        frame = traceback.extract_tb(exc.__traceback__)[-1]
        log.emit(
            Event.PROCESS_FAILED,
            type=type(exc).__name__,
            detail=str(exc),
            where=f"{frame.filename.rpartition('/')[2]}:{frame.lineno}",
        )
        raise
