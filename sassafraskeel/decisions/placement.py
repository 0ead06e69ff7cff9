"""Choosing the replica or the region that is predicted to answer a call first."""

from typing import NamedTuple

from sassafraskeel.core.types import Prompt
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.loads import Load
from sassafraskeel.decisions.prompt_caches import shared_tokens
from sassafraskeel.decisions.routes import ServiceSpec

# Prompt tokens that an engine reads in a second. The deployments' pages state 42 to 51
# a millisecond; decoding shares the engine, and prompts that other hosts have just sent
# are not known. Answers that were predicted for 0.5 to 1 s took 1.2 to 1.5 times that.
PREFILL_TOKENS_PER_SECOND = 30_000.0
# Work in a slot before its first estimate.
DEFAULT_WORK_SECONDS = 0.05
# Plain services keep a few calls waiting, so that a slot is never idle.
PLAIN_OVERCOMMIT = 1.5
# A call to another zone crosses the link twice, at 3 to 4.4 ms each way.
CROSS_ZONE_SECONDS = 0.01
# A call to another region crosses the link twice, at 80 ms each way.
CROSS_REGION_SECONDS = 0.17
# Without an open connection, three more round trips pass before the call is sent.
CONNECT_SECONDS = 0.5
# Another region is used only where it wins by this: its bytes are priced and its
# load is known with a delay.
REGION_MARGIN_SECONDS = 0.1
# One more running request makes each step of an engine 0.03 ms longer.
SECONDS_PER_RUNNING_REQUEST = 0.0004
# Share of the time to read the shared parts that the preferred replica may be slower.
AFFINITY_BONUS_SHARE = 0.5
# While an engine reads a chunk of a prompt, each of its running requests waits for it:
# the time to read a prompt counts so much more for each of them.
INTERFERENCE_SHARE = 0.01
# Predictions that differ by less are taken as equal.
TIE_SECONDS = 0.002


class Option(NamedTuple):
    """A replica with the predicted seconds until its first byte.

    `cached_tokens` of the prompt are believed to be in its memory. `busy` are the
    seconds by which the call delays the next ones.
    """

    replica: Replica
    seconds: float
    cached_tokens: int
    busy: float = 0.0


def slot_limit(replica: Replica, spec: ServiceSpec | None) -> int:
    """Return how many requests all hosts together keep at a replica."""
    if spec is not None and spec.engine is not None:
        return max(replica.slots, 1)
    return max(int(replica.slots * PLAIN_OVERCOMMIT), 1)


def predicted_seconds(
    replica: Replica,
    load: Load,
    spec: ServiceSpec | None,
    prompt: Prompt | None,
    cached_tokens: int,
    work: float,
) -> float:
    """Return the predicted seconds until the first byte of an answer."""
    waiting = max(load.running + 1 - replica.slots, 0) / max(replica.slots, 1)
    seconds = load.running * SECONDS_PER_RUNNING_REQUEST
    if spec is not None and spec.engine is not None and prompt is not None:
        prefill = max(prompt.tokens_in - cached_tokens, 0) / PREFILL_TOKENS_PER_SECOND
        seconds += prefill * (1 + INTERFERENCE_SHARE * load.running)
        queued_prefill = load.pending_tokens / PREFILL_TOKENS_PER_SECOND
        return seconds + queued_prefill + waiting * work
    return seconds + work * load.running / max(replica.slots, 1) + waiting * work


def busy_seconds(
    replica: Replica,
    spec: ServiceSpec | None,
    prompt: Prompt | None,
    cached_tokens,
    work,
) -> float:
    """Return by how much a call delays those that come after it at its replica."""
    if spec is not None and spec.engine is not None and prompt is not None:
        return max(prompt.tokens_in - cached_tokens, 0) / PREFILL_TOKENS_PER_SECOND
    return work / max(replica.slots, 1)


def affinity_bonus_seconds(prompt: Prompt, cached_tokens: int) -> float:
    """Return the head start of the replica that all hosts prefer for a prompt.

    Where no replica keeps the shared parts yet, it brings the next prompts together.
    """
    unread = max(shared_tokens(prompt) - cached_tokens, 0)
    return AFFINITY_BONUS_SHARE * unread / PREFILL_TOKENS_PER_SECOND


def choose_option(options: list[Option], rng) -> Option | None:
    """Return one of the options that are about as good as the best."""
    if not options:
        return None
    best = min(option.seconds for option in options)
    tied = [option for option in options if option.seconds <= best + TIE_SECONDS]
    return rng.choice(tied)


def considers_other_regions(local: float | None, objective: float) -> bool:
    """Return whether other regions are looked at; an answer in time stays here."""
    return local is None or local > objective / 2


def prefers_other_region(local: float | None, remote: float) -> bool:
    """Return whether a call goes to another region.

    `local` and `remote` are the predicted seconds in the own and in the best other
    region, the way there included.
    """
    return local is None or remote + REGION_MARGIN_SECONDS < local
