"""Checks of streams that callers take up again."""

import itertools
from typing import NamedTuple

from soak.record import Outcome, Record, Span, Writer

# A host is in touch after this time without faults of its own or of the store.
STABLE_SECONDS = 6.0
# Hosts know after this time that a replica is listed as ready.
LISTED_SECONDS = 2.0
# The promise for streams that are taken up holds for this many or more, while this many
# replicas of their version serve; this part of the share of new streams must go on.
MIN_TAKEN_UP = 12
MIN_REPLICAS = 2
MIN_PART = 0.5


class Streams(NamedTuple):
    """The streams of callers that were sent to hosts in touch.

    `new` are the first attempts, and `taken_up` those that took a stream up while
    enough replicas of its version served.
    """

    new: list[Outcome]
    taken_up: list[Outcome]


def check_versions(record: Record) -> list[str]:
    """Return the streams with events from replicas of two software versions."""
    streams: dict[str, list[Writer]] = {}
    for outcome in record.outcomes:
        name = outcome.resumes or outcome.call_id
        streams.setdefault(name, []).extend(outcome.writers)
    return [
        f"{name} went on at {after.replica} of {after.version}, "
        f"from {before.replica} of {before.version}"
        for name, writers in streams.items()
        for before, after in itertools.pairwise(writers)
        if before.version != after.version
    ]


def check_taken_up(record: Record) -> list[str]:
    """Return a problem if too few of the streams that were taken up went on."""
    new, taken_up = find_streams(record)
    if len(taken_up) < MIN_TAKEN_UP or not new:
        return []
    went_on, began = _count_progress(taken_up), _count_progress(new)
    if went_on / len(taken_up) >= MIN_PART * began / len(new):
        return []
    return [_describe(Streams(new, taken_up))]


def describe_streams(record: Record) -> str:
    """Return how many streams went on, and how many held events of two versions."""
    mixed = len(check_versions(record))
    return f"{_describe(find_streams(record))}, {mixed} times at another version"


def find_streams(record: Record) -> Streams:
    """Return the streams by which the promise for streams taken up is judged."""
    versions = {
        outcome.call_id: outcome.writers[0].version
        for outcome in record.outcomes
        if outcome.writers
    }
    new, taken_up = [], []
    for outcome in record.outcomes:
        if outcome.kind != "chat" or not _is_in_touch(outcome, record):
            continue
        if not outcome.resumes:
            new.append(outcome)
        elif _is_served(versions[outcome.resumes], outcome, record):
            taken_up.append(outcome)
    return Streams(new, taken_up)


def _describe(streams: Streams) -> str:
    return (
        f"{_count_progress(streams.taken_up)} of {len(streams.taken_up)} streams that "
        f"were taken up went on, {_count_progress(streams.new)} of {len(streams.new)} "
        "new ones began"
    )


def _count_progress(outcomes: list[Outcome]) -> int:
    return sum(
        bool(outcome.event_ids) or (outcome.status == 200 and outcome.is_complete)
        for outcome in outcomes
    )


def _is_in_touch(outcome: Outcome, record: Record) -> bool:
    since = outcome.sent_at - STABLE_SECONDS
    spans = (*record.down, *record.paused, *record.link_faults)
    return not any(
        span.name in (outcome.host, "store") and _overlaps(span, since, outcome)
        for span in spans
    )


def _is_served(version: str, outcome: Outcome, record: Record) -> bool:
    """Return whether enough sound replicas of a version serve during a call."""
    faulty = {
        span.name
        for span in (*record.paused, *record.link_faults)
        if _overlaps(span, outcome.sent_at, outcome)
    }
    serving = {
        span.replica
        for span in record.serving
        if span.version == version
        and span.since + LISTED_SECONDS <= outcome.sent_at
        and outcome.ended_at <= span.until
    }
    return len(serving - faulty) >= MIN_REPLICAS


def _overlaps(span: Span, since: float, outcome: Outcome) -> bool:
    return span.since < outcome.ended_at and since < span.until
