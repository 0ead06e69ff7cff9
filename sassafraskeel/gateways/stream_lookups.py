"""Requests to other hosts for where a stream began."""

from typing import NamedTuple

import curio

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.tasks import SupervisedTaskGroup
from sassafraskeel.decisions.stream_origins import (
    StreamOrigin,
    StreamOrigins,
    StreamRecord,
)
from sassafraskeel.gateways.control_link import ControlLink
from sassafraskeel.gateways.messages import StreamFound, StreamLookup

MAX_LOOKUPS = 1024


class LookupReply(NamedTuple):
    """What hosts answered: the record of a stream, and how many hosts answered.

    `region` is that of the first host that knows the stream. The record is None if
    nobody knows it.
    """

    record: StreamRecord | None = None
    region: str = ""
    count: int = 0


class _Lookup:
    """Requests that are under way for one stream.

    `replies` counts the hosts that have answered, and `regions` are those of the hosts
    that know the stream, in the order of their answers.
    """

    def __init__(self, pending: int):
        self.pending = pending
        self.replies = 0
        self.regions: list[str] = []
        self.done = curio.Event()


class StreamLookups:
    """Asks hosts for streams, and records the answers in a table.

    At MAX_LOOKUPS lookups under way, further ones find nothing.
    """

    def __init__(
        self, origins: StreamOrigins, clock: Clock, group: SupervisedTaskGroup
    ):
        self._origins = origins
        self._clock = clock
        self._group = group
        self._lookups: dict[StreamLookup, _Lookup] = {}

    def __len__(self):
        return len(self._lookups)

    async def ask(
        self,
        message: StreamLookup,
        links: list[ControlLink],
        region_links: list[ControlLink],
        seconds: float,
    ) -> LookupReply:
        """Ask hosts at the same time, until one knows the stream or all have answered.

        Hosts on `region_links` ask no further ones. Lookups of the same stream share
        their requests.
        """
        lookup = self._lookups.get(message)
        if lookup is None:
            narrow = message._replace(other_regions=False)
            requests = [(link, message) for link in links]
            requests += [(link, narrow) for link in region_links]
            if len(self._lookups) >= MAX_LOOKUPS or not requests:
                return LookupReply()
            lookup = self._lookups[message] = _Lookup(len(requests))
            for link, sent in requests:
                await self._group.spawn(
                    self._request, lookup, message, link, sent, seconds
                )
        await lookup.done.wait()
        if not lookup.regions:
            return LookupReply(count=lookup.replies)
        record = self._origins.get(message.stream_id, self._clock.monotonic())
        return LookupReply(record, lookup.regions[0], lookup.replies)

    async def _request(
        self,
        lookup: _Lookup,
        key: StreamLookup,
        link: ControlLink,
        message: StreamLookup,
        seconds: float,
    ) -> None:
        try:
            reply = await link.request(message, seconds)
            lookup.replies += isinstance(reply, StreamFound)
            if isinstance(reply, StreamFound) and reply.seconds > 0:
                self._record(message.stream_id, reply)
                lookup.regions.append(reply.region)
        except SassafraskeelError:
            pass  # The exchange logs which hosts it asked, if none of them knows.
        finally:
            lookup.pending -= 1
            if lookup.regions or not lookup.pending:
                if self._lookups.get(key) is lookup:
                    del self._lookups[key]
                await lookup.done.set()

    def _record(self, stream_id: str, found: StreamFound) -> None:
        now = self._clock.monotonic()
        origin = StreamOrigin(found.service, found.software_version)
        self._origins.record(stream_id, origin, now + found.seconds, now)
