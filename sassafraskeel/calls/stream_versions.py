"""Binds streams to the software version of the replica that began them.

What replicas of two versions write does not fit together, and replicas do not check it.
"""

from typing import NamedTuple, Protocol

from sassafraskeel.calls.attempts import AttemptHistory, Target
from sassafraskeel.calls.routing_state import RoutingState
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, StreamNotResumed, not_run_refusal
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Call, CallKind
from sassafraskeel.decisions.fleet import Replica, printable_version
from sassafraskeel.decisions.recent_streams import RecentStream, RecentStreams
from sassafraskeel.decisions.stream_origins import (
    CONFLICTING,
    OriginLookup,
    StreamOrigin,
    is_valid_id,
)
from sassafraskeel.decisions.version_history import MAX_AGE_SECONDS, stream_lifetime

# Origins are kept for this long after the deadline of the call that recorded them,
# because callers take streams up later than that only if they were told to wait.
KEEP_SECONDS = 30.0
# A host that no other host answers may be cut off, and miss versions that others serve.
# It relies on an answer of the store that is younger than this: a stream at a new
# version takes longer to begin, to break off and to be taken up.
FRESH_SECONDS = 0.6


class _Begun(NamedTuple):
    """What takes back the version of a stream; its call with its head is not kept.

    `stream_id` is empty if no host records it. `expires` is when other hosts forget the
    stream, in monotonic seconds.
    """

    stream_id: str
    expires: float
    history: AttemptHistory


class OriginSource(Protocol):
    """Knows where the streams of all hosts began, as far as hosts can be asked."""

    async def began(self, stream_id: str, origin: StreamOrigin, expires: float) -> None:
        """Record an origin until `expires`, in monotonic seconds; tell other hosts."""

    async def take_back(self, stream_id: str, expires: float) -> None:
        """Record that the origin of a stream is not known; tell other hosts."""

    async def wait_flushed(self) -> None:
        """Wait until recorded origins are on their way to other hosts."""

    async def find(self, stream_id: str) -> OriginLookup:
        """Return what this host, and others that it can ask, know of a stream."""


class StreamVersions:
    """Learns at which version streams begin, and binds what goes on with them.

    A stream whose version is not known is not continued: replicas of another version
    would write events that do not fit.
    """

    def __init__(
        self, state: RoutingState, origins: OriginSource, clock: Clock, log: LogSink
    ):
        self._state = state
        self._origins = origins
        self._clock = clock
        self._log = log
        self._recent = RecentStreams()

    async def bind_call(self, call: Call) -> Call:
        """Return a call that takes up a stream bound to its service and version.

        The weights of a route may have changed since the stream began; it goes on at
        its service as long as the route may use that. Other calls are returned as they
        are. Raises Refusal (not run) if service or version are not known, or the route
        no longer uses the service.
        """
        is_taken_up = bool(call.resumes or call.resume_after)
        if call.kind is not CallKind.MODEL or not is_taken_up or call.hops:
            return call
        # A call that names no stream shows at least whether other hosts answer.
        lookup = await self._origins.find(call.resumes or call.call_id)
        origin, source = self._known_origin(call, lookup)
        self._log.emit(
            Event.STREAM_TAKEN_UP,
            call=call.call_id,
            resumes=call.resumes,
            after=call.resume_after,
            service=call.service,
            began_at=origin.service,
            version=printable_version(origin.software_version),
            source=source,
        )
        if origin == CONFLICTING:
            raise not_run_refusal(
                Reason.VERSION_UNKNOWN, "no host knows at which version it began"
            )
        if origin.service not in _usable_services(call):
            raise not_run_refusal(
                Reason.VERSION_GONE,
                f"it began at {origin.service}, which its route does not use",
            )
        return call._replace(
            service=origin.service, software_version=origin.software_version
        )

    def _known_origin(
        self, call: Call, lookup: OriginLookup
    ) -> tuple[StreamOrigin, str]:
        """Return where a stream began, and from what it is known.

        The origin is CONFLICTING if it is not known.
        """
        if lookup.origin is not None:
            is_known = lookup.origin != CONFLICTING
            return lookup.origin, "origin" if is_known else ""
        table, now = self._state.fleet.table, self._clock.monotonic()
        lifetime = stream_lifetime(table)
        if not _is_service_known(call, now - lifetime):
            return CONFLICTING, ""
        max_age = MAX_AGE_SECONDS if lookup.replies else FRESH_SECONDS
        version = self._state.versions.single_version(
            call.service, now, lifetime, max_age
        )
        if not version:
            return CONFLICTING, ""
        return StreamOrigin(call.service, version), "history"

    def bind_rest(self, call: Call, history: AttemptHistory) -> Call:
        """Return a call for the rest of a stream, bound to the version of its events.

        Raises Refusal if events were handed on and their version is not known.
        """
        if history.stream_version is None:
            return call
        if not history.stream_version:
            raise not_run_refusal(
                Reason.VERSION_UNKNOWN, "the version of the first events is not known"
            )
        return call._replace(software_version=history.stream_version)

    async def events_begin(
        self, call: Call, target: Target, version: str, history: AttemptHistory
    ) -> None:
        """Record the version of a stream right before its first events are handed on.

        `version` is that of the target, or empty if a host did not name it. Raises
        StreamNotResumed if the events may be of another version than earlier ones.
        """
        if target.upstream is not None and self._may_have_changed(target.upstream):
            if call.software_version:
                raise StreamNotResumed(f"{target.name} started at another version")
            version = ""
        history.stream_version = version
        if version and not call.hops and call.route_policy.resumable:
            self._record_recent(call, target, version, history)
            origin = StreamOrigin(call.service, version)
            expires = call.expires + KEEP_SECONDS
            await self._origins.began(_stream_id(call), origin, expires)
            # The host may be lost right after its caller has got the first event.
            await self._origins.wait_flushed()

    def _record_recent(self, call: Call, target: Target, version: str, history) -> None:
        if target.upstream is not None:
            region = self._state.fleet.region_of(target.upstream.zone)
            replica = target.name
        else:
            region, replica = self._state.hosts.region_of(target.host), ""
        stream_id = _stream_id(call)
        key = _Begun(
            stream_id if is_valid_id(stream_id) else "",
            call.expires + KEEP_SECONDS,
            history,
        )
        now = self._clock.monotonic()
        stream = RecentStream(now, call.service, version, region, replica, key)
        self._recent.record(stream)

    async def replicas_changed(self) -> None:
        """Take back what was recorded for streams of runs that were not listed yet.

        A replica serves before its entry is read, so that its first streams count as
        those of its former run.
        """
        now, wall_time = self._clock.monotonic(), self._clock.now().timestamp()
        for change in self._state.fleet.take_version_changes():
            region = self._state.fleet.region_of(change.former.zone)
            streams = self._recent.pop_of_new_run(change, region, now, wall_time)
            for stream in streams:
                begun = stream.key
                begun.history.stream_version = ""
                await self._origins.take_back(begun.stream_id, begun.expires)
            if streams:
                self._log.emit(
                    Event.STREAM_VERSIONS_TAKEN_BACK,
                    replica=change.former.name,
                    version=change.former.logged_version,
                    streams=len(streams),
                )

    def _may_have_changed(self, replica: Replica) -> bool:
        """Return whether a connection to a replica may be one to its next run.

        The run that serves a new connection may be listed only after the call was sent.
        """
        known = self._state.fleet.get(replica.name)
        return (
            known is not None
            and known.started_at_ms != replica.started_at_ms
            and known.software_version != replica.software_version
        )


def _stream_id(call: Call) -> str:
    """Return the id of the attempt that brought the first event of a stream."""
    return call.resumes or call.call_id


def _usable_services(call: Call) -> tuple[str, ...]:
    return call.route_services.names if call.route_services else (call.service,)


def _is_service_known(call: Call, since: float) -> bool:
    """Return whether a stream of a route began at the service of `call`.

    `since` is when it began at the earliest. On a route with several services, the
    service follows from the id of the attempt that began the stream.
    """
    services = call.route_services
    if services is None:
        return True
    is_chosen_alike = bool(call.resumes) or len(services.names) == 1
    return is_chosen_alike and services.unchanged_since <= since
