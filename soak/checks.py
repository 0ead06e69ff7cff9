"""The promises that a run is checked against, from what callers and replicas saw."""

from collections import Counter
from typing import NamedTuple

# Statuses that promise that a call has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
AT_MOST_ONCE_KINDS = frozenset(("order", "draft"))
ANSWER_SLACK_SECONDS = 1.0
# After the end of all faults and this time, calls must be served again.
RECOVERY_SECONDS = 4.0
MIN_SERVED_FRACTION = 0.9
MIN_CALLS = 20
EVACUATE_SECONDS = 5.0
DRAIN_SECONDS = 4.0


class Outcome(NamedTuple):
    """What a caller saw of one call; `status` is 0 without a head.

    `whole` tells whether the answer ended as HTTP says it must, and `ids` are those
    of the events of a stream. Times are monotonic seconds.
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


class ReplicaRun(NamedTuple):
    """A run that a replica began."""

    call_id: str
    replica: str
    started_at: float


class Span(NamedTuple):
    """A time in which a host or replica was in some state."""

    name: str
    since: float
    until: float


class Record(NamedTuple):
    """All that was seen in one run.

    In a span of `closed` a replica must get no new work, in one of `paused` a host
    stood still.
    """

    outcomes: list[Outcome]
    runs: list[ReplicaRun]
    drained: list[Span]
    paused: list[Span]
    faults_ended_at: float
    events_per_stream: int
    stale_directory_entries: list[str]


def check_at_most_once(record: Record) -> list[str]:
    """Return the calls that may run once and ran more often."""
    counts = Counter(run.call_id for run in record.runs)
    return [
        f"{outcome.call_id} ({outcome.kind}) ran {counts[outcome.call_id]} times"
        for outcome in record.outcomes
        if outcome.kind in AT_MOST_ONCE_KINDS and counts[outcome.call_id] > 1
    ]


def check_not_run(record: Record) -> list[str]:
    """Return the calls that were said not to have run although they had."""
    ran = {run.call_id for run in record.runs}
    return [
        f"{outcome.call_id} ({outcome.kind}) got {outcome.status} and ran"
        for outcome in record.outcomes
        if outcome.status in NOT_RUN_STATUSES
        and outcome.kind in AT_MOST_ONCE_KINDS
        and outcome.call_id in ran
    ]


def check_answers(record: Record) -> list[str]:
    """Return the answers that look complete and are not, or are not a replica's."""
    problems = []
    for outcome in record.outcomes:
        if outcome.status != 200:
            continue
        label = f"{outcome.call_id} ({outcome.kind})"
        if not outcome.has_stamp:
            problems.append(f"{label}: a success without a signature")
        expected = tuple(range(1, len(outcome.event_ids) + 1))
        if outcome.event_ids != expected:
            problems.append(f"{label}: events {outcome.event_ids}")
        is_stream = outcome.kind in ("draft", "chat")
        if (
            is_stream
            and outcome.is_complete
            and len(outcome.event_ids) != record.events_per_stream
        ):
            problems.append(f"{label}: complete with {len(outcome.event_ids)} events")
    return problems


def check_deadlines(record: Record) -> list[str]:
    """Return the calls that were held past the time of their route.

    A host that stood still meanwhile is not to blame (seed 3 of 15 s: a pause of 2.8 s
    over the end of a stream).
    """
    problems = []
    for outcome in record.outcomes:
        seconds = outcome.ended_at - outcome.sent_at
        was_paused = any(
            span.name == outcome.host
            and span.since < outcome.ended_at
            and outcome.sent_at < span.until
            for span in record.paused
        )
        if not was_paused and seconds > outcome.timeout + ANSWER_SLACK_SECONDS:
            problems.append(f"{outcome.call_id} ({outcome.kind}): {seconds:.2f} s")
    return problems


def check_drained(record: Record) -> list[str]:
    """Return the runs that began at a replica after it had to be left alone."""
    return [
        f"{run.call_id} ran at {run.replica} {run.started_at - span.since:.2f} s late"
        for run in record.runs
        for span in record.drained
        if run.replica == span.name and span.since < run.started_at < span.until
    ]


def check_recovery(record: Record) -> list[str]:
    """Return a line if too few calls were served after the last fault."""
    since = record.faults_ended_at + RECOVERY_SECONDS
    late = [outcome for outcome in record.outcomes if outcome.sent_at > since]
    served = sum(outcome.status == 200 and outcome.is_complete for outcome in late)
    if len(late) < MIN_CALLS:
        return [f"only {len(late)} calls after the last fault"]
    if served < MIN_SERVED_FRACTION * len(late):
        return [f"{served} of {len(late)} calls served after the last fault"]
    return []


def check_directory(record: Record) -> list[str]:
    """Return the dead hosts that the directory still named."""
    return record.stale_directory_entries


CHECKS = (
    check_at_most_once,
    check_not_run,
    check_answers,
    check_deadlines,
    check_drained,
    check_recovery,
    check_directory,
)


def find_problems(record: Record) -> list[str]:
    """Return what all checks found, with the name of the check."""
    return [
        f"{check.__name__}: {problem}" for check in CHECKS for problem in check(record)
    ]
