"""Which service and software version the streams of callers began at."""

import math
from collections import OrderedDict
from typing import NamedTuple

from sassafraskeel.decisions.fleet import UNVERSIONED_PREFIX

MAX_STREAMS = 65_536
MAX_ID_LENGTH = 200
MAX_NAME_LENGTH = 200
# A peer may not keep an entry for longer, whatever it says.
MAX_LIFETIME_SECONDS = 3600.0
MAX_INTERNED_ORIGINS = 1024
# Each hop between hosts rounds a remaining time up to whole seconds, so that a smaller
# difference is no news.
PROLONGED_SECONDS = 2.0


class StreamOrigin(NamedTuple):
    """The service and the software version whose replica began a stream."""

    service: str
    software_version: str


# Stands for the origin of a stream for which different ones were recorded.
CONFLICTING = StreamOrigin("", "")


class OriginLookup(NamedTuple):
    """What is known of a stream: its origin, CONFLICTING, or None if it is unknown.

    `replies` counts the other hosts that were asked and have answered.
    """

    origin: StreamOrigin | None
    replies: int = 0


class StreamRecord(NamedTuple):
    """The origin of a stream, and when it is forgotten, in monotonic seconds."""

    origin: StreamOrigin
    expires: float


class StreamOrigins:
    """The origins of streams by the ids of the attempts that began them.

    At MAX_STREAMS entries, the oldest one is dropped for a new one; a caller that takes
    up its stream is then refused unless another host knows it. Entries are grouped by
    the second in which they expire, so that each is visited once to remove it.
    """

    def __init__(self, max_streams: int = MAX_STREAMS):
        self._max_streams = max_streams
        self._records: OrderedDict[str, StreamRecord] = OrderedDict()
        self._expiring: dict[int, set[str]] = {}
        self._swept_second = 0
        self._interned: dict[StreamOrigin, StreamOrigin] = {}

    def __len__(self):
        return len(self._records)

    def record(
        self, stream_id: str, origin: StreamOrigin, expires: float, now: float
    ) -> bool:
        """Record the origin of a stream; return whether other hosts should learn of it.

        A known stream keeps its origin and the later time, but becomes conflicting if
        the origins differ. Ids and names that are too long, or not printable, are
        not recorded.
        """
        self.drop_expired(now)
        expires = min(expires, now + MAX_LIFETIME_SECONDS)
        if expires <= now or not is_valid_id(stream_id) or not _is_valid_origin(origin):
            return False
        known = self._records.get(stream_id)
        if known is not None and known.expires <= now:
            self._unschedule(stream_id, known.expires)
            del self._records[stream_id]
            known = None
        if known is None:
            if len(self._records) >= self._max_streams:
                oldest, record = self._records.popitem(last=False)
                self._unschedule(oldest, record.expires)
            self._store(stream_id, StreamRecord(self._intern(origin), expires))
            return True
        merged = StreamRecord(
            known.origin if known.origin == origin else CONFLICTING,
            max(known.expires, expires),
        )
        self._unschedule(stream_id, known.expires)
        self._store(stream_id, merged)
        prolonged = merged.expires - known.expires > PROLONGED_SECONDS
        return prolonged or merged.origin != known.origin

    def find(self, stream_id: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is unknown or conflicting."""
        record = self.get(stream_id, now)
        if record is None or record.origin == CONFLICTING:
            return None
        return record.origin

    def get(self, stream_id: str, now: float) -> StreamRecord | None:
        """Return the record of a stream; its origin may be CONFLICTING."""
        self.drop_expired(now)
        record = self._records.get(stream_id)
        return record if record is not None and record.expires > now else None

    def ids(self) -> list[str]:
        """Return the ids of all recorded streams, the oldest first."""
        return list(self._records)

    def drop_expired(self, now: float) -> None:
        """Remove the entries that have expired by the start of this second."""
        second = math.floor(now)
        if second <= self._swept_second:
            return
        due = range(self._swept_second + 1, second + 1)
        if len(due) > len(self._expiring):
            due = [number for number in self._expiring if number <= second]
        for number in due:
            for stream_id in self._expiring.pop(number, ()):
                del self._records[stream_id]
        self._swept_second = second

    def _store(self, stream_id: str, record: StreamRecord) -> None:
        self._records[stream_id] = record
        self._expiring.setdefault(math.ceil(record.expires), set()).add(stream_id)

    def _unschedule(self, stream_id: str, expires: float) -> None:
        second = math.ceil(expires)
        self._expiring[second].discard(stream_id)
        if not self._expiring[second]:
            del self._expiring[second]

    def _intern(self, origin: StreamOrigin) -> StreamOrigin:
        if len(self._interned) >= MAX_INTERNED_ORIGINS:
            self._interned.clear()
        return self._interned.setdefault(origin, origin)


def choose_partner(region: str, others: list[str]) -> str:
    """Return the other region that also records the streams of a region.

    It is the next one by name, and the first after the last: while all regions are
    linked, each records the streams of one other region.
    """
    return min([name for name in others if name > region] or others)


def is_valid_id(stream_id: str) -> bool:
    """Return whether a stream id may be recorded and sent to other hosts."""
    return 0 < len(stream_id) <= MAX_ID_LENGTH and stream_id.isprintable()


def _is_valid_origin(origin: StreamOrigin) -> bool:
    if origin == CONFLICTING:
        return True
    version = origin.software_version.removeprefix(UNVERSIONED_PREFIX)
    return all(
        0 < len(name) <= MAX_NAME_LENGTH and name.isprintable()
        for name in (origin.service, version)
    )
