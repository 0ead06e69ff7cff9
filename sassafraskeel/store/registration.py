"""Keeps the local host registered in the store."""

from collections.abc import Callable

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import (
    CompareFailed,
    LeaseLost,
    PlatformRefused,
    PlatformUnavailable,
    TimedOut,
)
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import HostInfo
from sassafraskeel.store.interface import Lease, Store, StoreRevision
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
        self._lease: Lease | None = None
        # A lease that was granted; the write under it may still arrive at the store.
        self._granted: Lease | None = None
        self._revision: StoreRevision | None = None
        self._unregistered = False
        self._restored = curio.Event()

    async def run(self) -> None:
        """Stay registered until `unregister` is called."""
        while not self._unregistered:
            try:
                if self._lease is not None:
                    await self._store.renew_lease(self._lease)
                else:
                    await self._register()
                await self._wait()
            except LeaseLost as exc:
                self._log.emit(Event.LEASE_ENDED, detail=str(exc))
                self._lease = self._granted = None
            except (PlatformUnavailable, PlatformRefused):
                # The store follower logs outages of the store.
                await self._clock.sleep(RETRY_SECONDS)

    async def store_restored(self) -> None:
        """Register again at once, since leases do not outlast an era."""
        await self._restored.set()

    async def unregister(self) -> None:
        """Remove the registration; a failure is logged, and the lease expires.

        The lease itself is not ended: after a restore that this host has not noticed,
        it may be the lease of another host.
        """
        self._unregistered = True
        revision, self._revision = self._revision, None
        if revision is None:
            return
        key, _ = self._codec.encode_host(self._get_host())
        try:
            await self._store.remove(key, revision)
        except (PlatformUnavailable, PlatformRefused, CompareFailed) as exc:
            self._log.emit(Event.LEASE_ENDED, detail=str(exc))

    async def _wait(self) -> None:
        """Wait until the lease is to be renewed or the store was restored."""
        try:
            async with self._clock.timeout(RENEW_SECONDS):
                await self._restored.wait()
        except TimedOut:
            pass  # The lease is to be renewed.
        self._restored.clear()

    async def _register(self) -> None:
        if self._granted is None:
            self._granted = await self._store.grant_lease(LEASE_SECONDS)
        lease = self._granted
        key, value = self._codec.encode_host(self._get_host())
        # A write without an answer may be executed after the next one. Under another
        # lease, it would take the key with it when its own lease ends.
        revision = await self._store.put(key, value, lease)
        self._lease, self._revision = lease, revision
        if self._unregistered:
            await self.unregister()
            return
        self._log.emit(
            Event.HOST_REGISTERED, lease=lease.number, **revision.log_fields()
        )
