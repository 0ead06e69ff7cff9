"""Streams that began lately, for as long as their software version may prove wrong."""

from collections import deque
from typing import NamedTuple

from sassafraskeel.decisions.fleet import VersionChange

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

    def take_misjudged(
        self, change: VersionChange, region: str, now: float, wall_time: float
    ) -> list[RecentStream]:
        """Return, and forget, the streams that may have begun at the new run.

        `region` is that of the replica, and `wall_time` the Unix time in seconds.
        """
        age = wall_time - change.started_at_ms / 1000
        since = now - age - CLOCK_MARGIN_SECONDS
        former = change.former
        found = [
            stream
            for stream in self._streams
            if stream.began_at >= since
            and (stream.service, stream.version)
            == (former.service, former.software_version)
            and (stream.replica == former.name or not stream.replica)
            and stream.region == region
        ]
        for stream in found:
            self._streams.remove(stream)
        return found
