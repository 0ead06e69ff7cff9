"""Listening, and accepting connections for as long as a listener is open."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import AcceptFailed, AddressUnavailable, ConnectionLost
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.net import Address, Listener, Network, Stream

# Without a free descriptor, each attempt fails at once.
ACCEPT_RETRY_SECONDS = 0.1
# An address may be that of a process that is being stopped, which keeps its listeners
# for the platform's grace period of some seconds, or the local end of a connection,
# which Linux keeps in TIME_WAIT for 60 s after its close.
LISTEN_WAIT_SECONDS = 90.0
LISTEN_RETRY_SECONDS = 0.1


async def listen_when_free(
    network: Network, address: Address, clock: Clock, log: LogSink
) -> Listener:
    """Listen on an address, and wait for LISTEN_WAIT_SECONDS if it is not free.

    Raises AddressUnavailable after that time, and UserError.
    """
    give_up_at = clock.monotonic() + LISTEN_WAIT_SECONDS
    is_logged = False
    while True:
        try:
            return await network.listen(address)
        except AddressUnavailable as exc:
            if clock.monotonic() >= give_up_at:
                raise
            if not is_logged:
                log.emit(Event.ADDRESS_IN_USE, address=str(address), detail=str(exc))
                is_logged = True
        await clock.sleep(LISTEN_RETRY_SECONDS)


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
