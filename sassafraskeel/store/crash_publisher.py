"""Publishes the crash evidence of the local host in the store."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import LeaseLost, PlatformRefused, PlatformUnavailable
from sassafraskeel.decisions.crash_evidence import EXPIRY_SECONDS, CrashEvidence
from sassafraskeel.store.interface import Lease, Store
from sassafraskeel.store.updates import DocumentCodec

# Calls to the store are billed, so changes within this time are written together.
MIN_INTERVAL_SECONDS = 1.0
POLL_SECONDS = 0.1
# A lease this old is renewed after a write. Doing so before each write would keep other
# regions waiting for one more round trip.
RENEW_SECONDS = 60.0
NOT_PUBLISHED = -1


class CrashPublisher:
    """Writes the evidence of a host under a lease that ends when it has expired."""

    def __init__(
        self,
        host: str,
        evidence: CrashEvidence,
        store: Store,
        codec: DocumentCodec,
        clock: Clock,
    ):
        self._host = host
        self._evidence = evidence
        self._store = store
        self._codec = codec
        self._clock = clock
        self._lease: Lease | None = None
        self._leased_at = 0.0
        self._published = evidence.version

    async def run(self) -> None:
        """Publish changes for as long as the host runs."""
        while True:
            if self._evidence.version == self._published:
                await self._clock.sleep(POLL_SECONDS)
                continue
            try:
                await self._publish()
            except LeaseLost:
                self._lease = None
            except (PlatformUnavailable, PlatformRefused):
                pass  # The store follower logs outages; the write is tried again.
            await self._clock.sleep(MIN_INTERVAL_SECONDS)

    def store_restored(self) -> None:
        """Publish again, since the store may have an older table or none."""
        if self._lease is not None:
            self._lease = None
            self._published = NOT_PUBLISHED

    async def _publish(self) -> None:
        if self._lease is None:
            self._leased_at = self._clock.monotonic()
            self._lease = await self._store.grant_lease(EXPIRY_SECONDS)
        now = self._clock.monotonic()
        table, version = self._evidence.table(now), self._evidence.version
        key, value = self._codec.encode_crash_table(self._host, table, now)
        await self._store.put(key, value, self._lease)
        self._published = version
        if now - self._leased_at >= RENEW_SECONDS:
            self._leased_at = now
            await self._store.renew_lease(self._lease)
