"""The observations of a run, which the checks judge."""

from typing import NamedTuple


class Writer(NamedTuple):
    """The replica that wrote an event, and the version of its software."""

    replica: str
    version: str


class Outcome(NamedTuple):
    """The result of one call at its caller.

    `status` is 0 if no response head was received. `has_stamp` is whether the
    answer has the response stamp of a replica, and `is_complete` whether its HTTP
    message is complete. `event_ids` holds the ids of a stream's whole events in the
    order of arrival. `timeout` is in seconds; times are monotonic seconds. A call that
    takes a stream up has in `resumes` the call that brought the first event, and in
    `last_event_id` the event after which it goes on. `was_cut` is whether the caller
    closed the connection during the answer. `writers` has one entry for each event.
    """

    call_id: str
    kind: str
    host: str
    status: int
    has_stamp: bool
    is_complete: bool
    event_ids: tuple[int, ...]
    sent_at: float
    ended_at: float
    timeout: float
    resumes: str = ""
    last_event_id: int = 0
    was_cut: bool = False
    writers: tuple[Writer, ...] = ()


class ReplicaRun(NamedTuple):
    """A run of a call at a replica; times are monotonic seconds.

    `ended_at` is None if the replica was still at work when it was asked.
    """

    call_id: str
    replica: str
    started_at: float
    ended_at: float | None = None


class Span(NamedTuple):
    """A period, in monotonic seconds, in which a host or replica had some state."""

    name: str
    since: float
    until: float


class ServingSpan(NamedTuple):
    """A period, in monotonic seconds, in which a replica was listed as ready."""

    replica: str
    version: str
    since: float
    until: float


class LimitedSpan(NamedTuple):
    """A period in which a replica named a limit, and when requests arrived in it.

    `rate` is in requests per second; times are monotonic seconds.
    """

    replica: str
    rate: float
    since: float
    until: float
    arrival_times: list[float]


class Record(NamedTuple):
    """The observations of one run.

    `drained` holds the periods in which a replica must get no new calls, `paused` those
    in which the process of a host, a replica or the store was stopped by SIGSTOP,
    `link_faults` those in which connections to a replica or the store had a fault, and
    `down` those in which a host was stopping, gone or starting. `process_faults` names
    the hosts that ended by themselves.
    """

    outcomes: list[Outcome]
    runs: list[ReplicaRun]
    drained: list[Span]
    paused: list[Span]
    faults_ended_at: float
    events_per_stream: int
    stale_directory_entries: list[str]
    limited: list[LimitedSpan]
    link_faults: list[Span] = []
    down: list[Span] = []
    serving: list[ServingSpan] = []
    process_faults: list[str] = []
