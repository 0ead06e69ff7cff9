"""Streams that began lately, for as long as their software version may prove wrong."""

from collections import deque
from typing import NamedTuple

from sassafraskeel.decisions.fleet import Replica, VersionChange

# The entry of a run that has begun is late by a heartbeat of the replica, and by as
# long as the store is away.
KEEP_SECONDS = 60.0
MAX_STREAMS = 8192
# The clocks of replicas and hosts differ by less than this. A replica takes longer to
# start again, so that no stream of its former run began in this time.
CLOCK_MARGIN_SECONDS = 0.5


class RecentStream(NamedTuple):
    """A stream and where its first events came from.

    `began_at` is in monotonic seconds. `replica` is empty if the stream was forwarded
    to a host of `region`, which does not tell the replica. `key` is what the caller of
    `record` wants back.
    """

    began_at: float
    service: str
    version: str
    region: str
    replica: str
    key: object


class RecentStreams:
    """The streams of the last KEEP_SECONDS, at most MAX_STREAMS."""

    def __init__(self):
        self._streams: deque[RecentStream] = deque(maxlen=MAX_STREAMS)

    def record(self, stream: RecentStream) -> None:
        """Record a stream right before its first events are handed on."""
        while self._streams and (
            stream.began_at - self._streams[0].began_at > KEEP_SECONDS
        ):
            self._streams.popleft()
        self._streams.append(stream)

    def pop_of_new_run(
        self, change: VersionChange, region: str, now: float, wall_time: float
    ) -> list[RecentStream]:
        """Remove and return the streams that may have begun at the new run.

        `region` is that of the replica, and `wall_time` the Unix time in seconds.
        """
        age = wall_time - change.started_at_ms / 1000
        since = now - age - CLOCK_MARGIN_SECONDS
        found, kept = [], []
        for stream in self._streams:
            is_new = stream.began_at >= since and stream.region == region
            if is_new and _is_of_run(stream, change.former):
                found.append(stream)
            else:
                kept.append(stream)
        if found:
            self._streams = deque(kept, maxlen=MAX_STREAMS)
        return found


def _is_of_run(stream: RecentStream, replica: Replica) -> bool:
    """Return whether a stream counts as one of a replica, or may be a forwarded one."""
    return (
        stream.service == replica.service
        and stream.version == replica.software_version
        and stream.replica in ("", replica.name)
    )
