"""Keeps the local host registered in the store."""

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
from sassafraskeel.store.interface import Store
from sassafraskeel.store.updates import DocumentCodec

# A failed host must be gone from the directory within nine seconds.
LEASE_SECONDS = 5.5
RENEW_SECONDS = 1.8
RETRY_SECONDS = 0.5


class Registration:
    """Registers the local host under a lease and renews the lease, in one task."""

    def __init__(
        self,
        store: Store,
        codec: DocumentCodec,
        get_host: Callable[[], HostInfo],
        clock: Clock,
        log: LogSink,
    ):
        self._store = store
        self._codec = codec
        self._get_host = get_host
        self._clock = clock
        self._log = log
        self._lease = 0
        self._unregistered = False

    async def run(self) -> None:
        """Stay registered until `unregister` is called."""
        while not self._unregistered:
            try:
                if self._lease:
                    await self._store.renew_lease(self._lease)
                else:
                    await self._register()
                await self._clock.sleep(RENEW_SECONDS)
            except LeaseLost:
                self._log.emit(Event.LEASE_ENDED, lease=self._lease)
                self._lease = 0
            except (PlatformUnavailable, PlatformRefused):
                # The store follower logs outages of the store.
                await self._clock.sleep(RETRY_SECONDS)

    async def unregister(self) -> None:
        """Revoke the lease; a failure is logged, and the lease expires by itself."""
        self._unregistered = True
        lease, self._lease = self._lease, 0
        if not lease:
            return
        try:
            await self._store.revoke_lease(lease)
        except (PlatformUnavailable, PlatformRefused, LeaseLost) as exc:
            self._log.emit(Event.LEASE_ENDED, lease=lease, detail=str(exc))

    async def _register(self) -> None:
        lease = await self._store.grant_lease(LEASE_SECONDS)
        host = self._get_host()
        key, value = self._codec.encode_host(host)
        revision = await self._store.put(key, value, lease)
        if self._unregistered:
            await self._store.revoke_lease(lease)
            return
        self._lease = lease
        self._log.emit(Event.HOST_REGISTERED, lease=lease, **revision.log_fields())
