"""Accepting connections for as long as a listener is open."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import AcceptFailed, ConnectionLost
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Listener, Stream

# Without a free descriptor, each attempt fails at once.
ACCEPT_RETRY_SECONDS = 0.1


async def accept_next(listener: Listener, clock: Clock, log: LogSink) -> Stream | None:
    """Return the next connection of a listener, None once it is closed.

    Failures such as a lack of descriptors are logged and tried again.
    """
    while True:
        try:
            return await listener.accept()
        except AcceptFailed as exc:
            address = str(listener.address)
            log.emit(Event.ACCEPT_FAILED, listener=address, detail=str(exc))
            await clock.sleep(ACCEPT_RETRY_SECONDS)
        except ConnectionLost:
            return None
