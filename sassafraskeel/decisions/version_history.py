"""Evidence that the replicas of a service had a single software version."""

from collections import Counter
from typing import NamedTuple

from sassafraskeel.decisions.fleet import MAX_REPLICAS, Replica
from sassafraskeel.decisions.routes import RouteTable

# The store answers a watch without changes after 1.5 s. A host that follows it directly
# has an answer that is younger than this unless one is late.
MAX_AGE_SECONDS = 2.0
# A host that follows the store through its coordinator may hear of no answer for a
# second longer. After a longer silence, changes may have been missed: of the changes of
# a key during an outage, only the latest may be read.
MAX_SILENCE_SECONDS = 3.0
MAX_SERVICES = 256
# Stands in a record for versions that may have served before it was begun.
UNKNOWN_VERSION = ""
# Of more versions, the first ones are recorded, since two show no single one either.
MAX_RECORDED_VERSIONS = 8
# Other hosts may send calls to a replica for this long after its entry has ended here.
LINGER_SECONDS = 5.0


class _Ended(NamedTuple):
    """A version whose last replica was dropped at `ended_at`."""

    version: str
    ended_at: float


class _Service:
    """The versions of a service that was first listed at `since`.

    `listed` counts the replicas by version. `ended` holds the two versions that ended
    last, so that one of them differs from any given version.
    """

    def __init__(self, since: float):
        self.since = since
        self.listed: Counter[str] = Counter()
        self.ended: list[_Ended] = []

    def drop(self, version: str, now: float) -> None:
        """Remove a replica of a version."""
        self.listed[version] -= 1
        if not self.listed[version]:
            del self.listed[version]
            others = [entry for entry in self.ended if entry.version != version]
            self.ended = [*others[-1:], _Ended(version, now)]

    def last_other(self, version: str) -> float:
        """Return when the last replica of another version was dropped."""
        times = [e.ended_at for e in self.ended if e.version != version]
        return max(times, default=float("-inf"))


def stream_lifetime(table: RouteTable) -> float:
    """Return for how many seconds streams of a version may be taken up after its end.

    They break off with its last replica, and callers take them up before the time of
    their route is over.
    """
    timeouts = [route.timeout for route in table.manifest.routes]
    return max(timeouts, default=0.0) + LINGER_SECONDS


class VersionHistory:
    """The versions of each service's replicas, while the store was followed.

    Replicas of all regions count, also those that get no new work, until they are
    dropped. The history begins anew when the store is read as a whole, when its answers
    fail to come for MAX_SILENCE_SECONDS, and when a replica is removed that was not
    known. At most MAX_REPLICAS replicas are counted; with more, no version is shown
    until the store is read again. Beyond MAX_SERVICES services, those without replicas
    are forgotten; their history begins anew with their next replica.

    Coordinators record in the store which versions the streams of each service may
    have, for hosts that start. A version that serves too shortly to be recorded is
    missing there.
    """

    def __init__(self):
        self._since = float("inf")
        self._answered_at = float("-inf")
        self._is_complete = False
        self._is_read = True
        self._replicas: dict[str, tuple[str, str]] = {}
        self._services: dict[str, _Service] = {}
        self._recorded: dict[str, tuple[str, ...]] = {}

    def restart(self, now: float) -> None:
        """Begin anew with an answer that lists all replicas."""
        self._since = self._answered_at = now
        self._is_complete = True
        self._recorded = {}

    def begin_reading(self, now: float) -> None:
        """Begin anew; the replicas are listed in parts until `finish_reading`."""
        self.restart(now)
        self._is_read = False

    def finish_reading(self, now: float) -> None:
        """Record that all replicas have been listed."""
        self._is_read = True
        self._since = self._answered_at = now

    def gap(self, now: float) -> None:
        """Begin anew because replicas may have been listed that were not seen."""
        self._since = now

    def answered(self, at: float) -> None:
        """Record that the changes up to a time have been applied."""
        if at - self._answered_at > MAX_SILENCE_SECONDS:
            self.gap(at)
        self._answered_at = max(self._answered_at, at)

    def listed(self, replica: Replica, now: float) -> None:
        """Record the entry of a replica."""
        known = self._replicas.get(replica.name)
        entry = (replica.service, replica.software_version)
        if known == entry:
            return
        if known is None and len(self._replicas) >= MAX_REPLICAS:
            self._is_complete = False
            return
        self._replicas[replica.name] = entry
        service = self._services.get(replica.service)
        if service is None:
            service = self._add_service(replica.service, now)
        service.listed[replica.software_version] += 1
        if known is not None:
            self._end(*known, now)

    def dropped(self, name: str, now: float) -> None:
        """Record that a replica is gone."""
        known = self._replicas.pop(name, None)
        if known is not None:
            self._end(*known, now)

    def recorded(self, services: dict[str, tuple[str, ...]]) -> None:
        """Replace the versions of each service that the store has on record."""
        self._recorded = services

    def new_record(
        self, now: float, seconds: float
    ) -> dict[str, tuple[str, ...]] | None:
        """Return the versions of each service to be recorded, None if they are.

        A version stays on record until a service had another one alone for `seconds`.
        At most MAX_SERVICES services are recorded. Those without replicas make room
        for others; those that are recorded don't.
        """
        if not self._is_current(now, MAX_AGE_SECONDS):
            return None
        record = dict(self._recorded)
        listed = {name: s for name, s in self._services.items() if s.listed}
        idle = [name for name in record if name not in listed]
        for name, service in listed.items():
            if name not in record and len(record) >= MAX_SERVICES:
                if not idle:
                    continue
                del record[idle.pop(0)]
            known = self._recorded.get(name, (UNKNOWN_VERSION,))
            versions = {*service.listed, *known}
            if self._shows_single(service, now, seconds):
                versions = set(service.listed)
            record[name] = tuple(sorted(versions))[:MAX_RECORDED_VERSIONS]
        return None if record == self._recorded else record

    def single_version(
        self,
        service: str,
        now: float,
        seconds: float,
        max_age: float = MAX_AGE_SECONDS,
    ) -> str:
        """Return the only version that a service had in the last seconds, or "".

        It is "" also if that is not known: the history is shorter and the record in the
        store does not rule other versions out, or the last answer of the store is older
        than `max_age` seconds. Other hosts may have used a version for some seconds
        after it ended here, which the caller adds to `seconds`.
        """
        known = self._services.get(service)
        if known is None or len(known.listed) != 1:
            return ""
        if not self._is_current(now, max_age):
            return ""
        [version] = known.listed
        if self._shows_single(known, now, seconds):
            return version
        is_recorded = self._recorded.get(service) == (version,)
        has_ended = now - known.last_other(version) >= seconds
        return version if is_recorded and has_ended else ""

    def _is_current(self, now: float, max_age: float) -> bool:
        is_known = self._is_read and self._is_complete
        return is_known and now - self._answered_at <= max_age

    def _shows_single(self, service: _Service, now: float, seconds: float) -> bool:
        """Return whether the history of a service has one version for some time."""
        if len(service.listed) != 1:
            return False
        [version] = service.listed
        since = max(self._since, service.since, service.last_other(version))
        return now - since >= seconds

    def _add_service(self, name: str, now: float) -> _Service:
        if len(self._services) >= MAX_SERVICES:
            for other in [key for key, s in self._services.items() if not s.listed]:
                del self._services[other]
        service = self._services[name] = _Service(now)
        return service

    def _end(self, service: str, version: str, now: float) -> None:
        self._services[service].drop(version, now)
