"""Records in the store which software versions the streams of services may have."""

from collections.abc import Callable

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import PlatformRefused, PlatformUnavailable
from sassafraskeel.decisions.coordination import Coordination
from sassafraskeel.decisions.fleet import Fleet
from sassafraskeel.decisions.version_history import VersionHistory, stream_lifetime
from sassafraskeel.store.interface import Store
from sassafraskeel.store.updates import DocumentCodec, VersionsRecorded

POLL_SECONDS = 0.25
# Another coordinator may write the same, and the change takes a while to come back.
WRITE_INTERVAL_SECONDS = 1.0


class VersionRecorder:
    """Writes the record on coordinators, when versions begin or end.

    The coordinators of regions may overwrite each other; one that lists a version which
    is missing in the record writes it again. `era` returns the era of the store.
    """

    def __init__(
        self,
        versions: VersionHistory,
        fleet: Fleet,
        coordination: Coordination,
        era: Callable[[], int],
        store: Store,
        codec: DocumentCodec,
        clock: Clock,
    ):
        self._versions = versions
        self._fleet = fleet
        self._coordination = coordination
        self._era = era
        self._store = store
        self._codec = codec
        self._clock = clock

    async def run(self) -> None:
        """Write changes of the record for as long as the host runs."""
        while True:
            await self._clock.sleep(POLL_SECONDS)
            now, table = self._clock.monotonic(), self._fleet.table
            if table is None or not self._coordination.is_coordinator(now):
                continue
            services = self._versions.new_record(now, stream_lifetime(table))
            if services is None:
                continue
            record = VersionsRecorded(self._era(), services)
            try:
                await self._store.put(*self._codec.encode_versions(record))
            except (PlatformUnavailable, PlatformRefused):
                pass  # The store follower logs outages; the write is tried again.
            await self._clock.sleep(WRITE_INTERVAL_SECONDS)
