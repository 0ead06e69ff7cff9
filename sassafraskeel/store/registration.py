"""The task that keeps this host registered in the store."""

from collections.abc import Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    LeaseLost,
    PlatformRefused,
    PlatformUnavailable,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import HostInfo
from sassafraskeel.store.client import Store
from sassafraskeel.store.facts import Decoder

# A host that died must not be named to callers nine seconds later.
LEASE_SECONDS = 4.0
RENEW_SECONDS = 1.3
RETRY_SECONDS = 0.5


class Registration:
    """Registers a host under a lease and renews it; one task."""

    def __init__(
        self,
        store: Store,
        decoder: Decoder,
        own: Callable[[], HostInfo],
        clock: Clock,
        log: LogSink,
    ):
        self._store = store
        self._decoder = decoder
        self._own = own
        self._clock = clock
        self._log = log
        self._lease = 0
        self._leaving = False

    async def run(self) -> None:
        """Stay registered; returns once the host has left."""
        while not self._leaving:
            try:
                if self._lease:
                    await self._store.renew(self._lease)
                else:
                    await self._register()
                await self._clock.sleep(RENEW_SECONDS)
            except LeaseLost:
                self._log.emit(Event.LEASE_ENDED, lease=self._lease)
                self._lease = 0
            except (PlatformUnavailable, PlatformRefused):
                # The task that follows the store logs its outages.
                await self._clock.sleep(RETRY_SECONDS)

    async def leave(self) -> None:
        """End the registration, as far as the store answers."""
        self._leaving = True
        lease, self._lease = self._lease, 0
        if not lease:
            return
        try:
            await self._store.end(lease)
        except (PlatformUnavailable, PlatformRefused, LeaseLost) as exc:
            self._log.emit(Event.LEASE_ENDED, lease=lease, detail=str(exc))

    async def _register(self) -> None:
        lease = await self._store.grant(LEASE_SECONDS)
        own = self._own()
        key, value = self._decoder.host_entry(own)
        revision = await self._store.put(key, value, lease)
        if self._leaving:
            await self._store.end(lease)
            return
        self._lease = lease
        self._log.emit(Event.HOST_REGISTERED, lease=lease, revision=revision)
