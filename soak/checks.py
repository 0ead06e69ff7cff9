"""Checks of a run, from the observations of callers and replicas."""

import itertools
from collections import Counter

from soak.record import Record, ReplicaRun
from soak.streams import check_taken_up, check_versions

# Statuses that guarantee that the call did not run and will not run later.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
AT_MOST_ONCE_KINDS = frozenset(("order", "draft"))
# A replica may work this long on a call after another one has begun to go on with it.
MAX_OVERLAP_SECONDS = 0.4
MAX_SOUND_SILENCE_SECONDS = 1.5
ANSWER_SLACK_SECONDS = 1.0
# Calls that are sent later than this after the last fault must be served.
RECOVERY_SECONDS = 4.0
MIN_SERVED_FRACTION = 0.9
MIN_CALLS = 20
# After this time, an evacuated or drained replica must get no new calls.
EVACUATE_SECONDS = 5.0
DRAIN_SECONDS = 4.0
# Hosts know a limit this long after a replica has named it first. From then on it gets
# at most one and a half times its limit in a window, and five requests.
LIMIT_KNOWN_SECONDS = 6.0
LIMIT_WINDOW_SECONDS = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


def check_at_most_once(record: Record) -> list[str]:
    """Return the at-most-once calls that ran more than once."""
    counts = Counter(run.call_id for run in record.runs)
    return [
        f"{outcome.call_id} ({outcome.kind}) ran {counts[outcome.call_id]} times"
        for outcome in record.outcomes
        if outcome.kind in AT_MOST_ONCE_KINDS and counts[outcome.call_id] > 1
    ]


def check_one_replica(record: Record) -> list[str]:
    """Return the streams that ran at a replica while another one went on with them.

    A sound replica may fall silent for a while. Left out are runs at replicas that were
    silent for longer or had a fault of their link, and runs during which any host was
    paused, since it could not end what it had sent.
    """
    hosts = {outcome.host for outcome in record.outcomes}
    long_pauses = [
        span
        for span in record.paused
        if span.name in hosts or span.until - span.since > MAX_SOUND_SILENCE_SECONDS
    ]
    runs: dict[str, list[ReplicaRun]] = {}
    for run in sorted(record.runs, key=lambda run: run.started_at):
        runs.setdefault(run.call_id, []).append(run)
    problems = []
    for call_id, found in runs.items():
        for before, after in itertools.pairwise(found):
            if before.ended_at is None:
                continue  # The replica was asked during its run.
            overlap = before.ended_at - after.started_at
            excused = any(
                span.name in (before.replica, *hosts)
                and span.since < before.ended_at
                and before.started_at < span.until
                for span in (*long_pauses, *record.link_faults)
            )
            if overlap > MAX_OVERLAP_SECONDS and not excused:
                problems.append(
                    f"{call_id} ran at {before.replica} for {overlap:.2f} s after "
                    f"{after.replica} had begun"
                )
    return problems


def check_not_run(record: Record) -> list[str]:
    """Return the at-most-once calls that were refused as not run although they ran."""
    ran = {run.call_id for run in record.runs}
    return [
        f"{outcome.call_id} ({outcome.kind}) got {outcome.status} and ran"
        for outcome in record.outcomes
        if outcome.status in NOT_RUN_STATUSES
        and outcome.kind in AT_MOST_ONCE_KINDS
        and outcome.call_id in ran
    ]


def check_answers(record: Record) -> list[str]:
    """Return the successful answers with missing or repeated events, or no stamp."""
    problems = []
    for outcome in record.outcomes:
        if outcome.status != 200:
            continue
        label = f"{outcome.call_id} ({outcome.kind})"
        if not outcome.has_stamp:
            problems.append(f"{label}: a success without a response stamp")
        first = outcome.last_event_id + 1
        expected = tuple(range(first, first + len(outcome.event_ids)))
        if outcome.event_ids != expected:
            problems.append(f"{label}: events {outcome.event_ids}")
        is_stream = outcome.kind in ("draft", "chat")
        event_count = outcome.last_event_id + len(outcome.event_ids)
        if (
            is_stream
            and outcome.is_complete
            and event_count != record.events_per_stream
        ):
            problems.append(f"{label}: complete with {event_count} events")
    return problems


def check_deadlines(record: Record) -> list[str]:
    """Return the calls that ended after their deadline.

    Calls at a host that was paused during the call are left out: in seed 3 of a run
    of 15 s, a pause of 2.8 s covered the end of a stream.
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
    """Return the runs that started at a replica while it was drained."""
    return [
        f"{run.call_id} ran at {run.replica} {run.started_at - span.since:.2f} s late"
        for run in record.runs
        for span in record.drained
        if run.replica == span.name and span.since < run.started_at < span.until
    ]


def check_recovery(record: Record) -> list[str]:
    """Return a problem if too few calls were sent or served after the last fault."""
    since = record.faults_ended_at + RECOVERY_SECONDS
    late = [
        outcome
        for outcome in record.outcomes
        if outcome.sent_at > since and not outcome.was_cut
    ]
    served = sum(outcome.status == 200 and outcome.is_complete for outcome in late)
    if len(late) < MIN_CALLS:
        return [f"only {len(late)} calls after the last fault"]
    if served < MIN_SERVED_FRACTION * len(late):
        return [f"{served} of {len(late)} calls served after the last fault"]
    return []


def check_directory(record: Record) -> list[str]:
    """Return the stopped hosts that the directory listed for too long."""
    return record.stale_directory_entries


def check_processes(record: Record) -> list[str]:
    """Return the hosts whose processes ended by themselves, or failed."""
    return record.process_faults


def check_limits(record: Record) -> list[str]:
    """Return the periods in which replicas got more than the limits that they named."""
    problems = []
    for span in record.limited:
        first = span.since + LIMIT_KNOWN_SECONDS
        times = sorted(time for time in span.arrival_times if time < span.until)
        allowed = EXCESS_FACTOR * span.rate * LIMIT_WINDOW_SECONDS + EXCESS_REQUESTS
        for start in (time for time in times if time >= first):
            count = sum(start <= time < start + LIMIT_WINDOW_SECONDS for time in times)
            if count > allowed:
                seconds = start - span.since
                problems.append(
                    f"{span.replica} got {count} requests at {span.rate:g} a second, "
                    f"{seconds:.2f} s after it had named its limit"
                )
                break
    return problems


CHECKS = (
    check_at_most_once,
    check_one_replica,
    check_not_run,
    check_answers,
    check_deadlines,
    check_drained,
    check_recovery,
    check_directory,
    check_processes,
    check_limits,
    check_versions,
    check_taken_up,
)


def find_problems(record: Record) -> list[str]:
    """Return the problems that the checks found, prefixed with the check's name."""
    return [
        f"{check.__name__}: {problem}" for check in CHECKS for problem in check(record)
    ]
