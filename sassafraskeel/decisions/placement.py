"""Chooses the replica or region with the earliest predicted answer to a call."""

from typing import NamedTuple

from sassafraskeel.core.types import Prompt
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.loads import Load
from sassafraskeel.decisions.prompt_caches import shared_tokens
from sassafraskeel.decisions.routes import ServiceSpec

# Prompt tokens that an engine prefills per second. Deployments state 42,000 to 51,000.
# This rate is lower because decoding shares the engine and this host does not know the
# prompts that other hosts have just sent: answers predicted after 0.5 to 1 s took 1.2
# to 1.5 times as long.
PREFILL_TOKENS_PER_SECOND = 30_000.0
# Assumed time in a slot before the first call of a service has finished.
DEFAULT_WORK_SECONDS = 0.05
# Calls per slot at a replica without an engine. A few calls are queued, so that no slot
# is idle.
PLAIN_OVERCOMMIT = 1.5
# A call to another zone crosses the link twice, at 3 to 4.4 ms each way.
CROSS_ZONE_SECONDS = 0.01
# A call to another region crosses the link twice, at 80 ms each way.
CROSS_REGION_SECONDS = 0.17
# Another region must be faster by this much: traffic to it is charged for, and its load
# is known only with a delay.
REGION_MARGIN_SECONDS = 0.1
# Delay of the first byte for each running request, which makes every step of an engine
# 0.03 ms longer.
SECONDS_PER_RUNNING_REQUEST = 0.0004
# The preferred replica may be slower by this share of the time to prefill the shared
# parts of a prompt.
AFFINITY_BONUS_SHARE = 0.5
# The running requests of an engine wait while it prefills a chunk of a prompt, and the
# pauses in their streams grow with the number of chunks in a row. Each request adds
# this share to the cost of prefilling more than one chunk.
INTERFERENCE_SHARE = 0.05
CHUNK_TOKENS = 2048
# Predictions that differ by less are treated as equal.
TIE_SECONDS = 0.002


class Option(NamedTuple):
    """A replica with the predicted seconds until the first byte of its answer.

    `cached_tokens` is the estimated number of prompt tokens in its KV cache, `busy`
    the number of seconds by which the call delays later ones.
    """

    replica: Replica
    seconds: float
    cached_tokens: int
    busy: float = 0.0


def slot_limit(replica: Replica, spec: ServiceSpec | None) -> int:
    """Return how many requests all hosts together may have at a replica."""
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
    """Return the predicted seconds until the first byte of an answer.

    `load` is the load of all hosts at the replica, and `work` the expected seconds for
    which a call of the service holds a slot.
    """
    waiting = max(load.running + 1 - replica.slots, 0) / max(replica.slots, 1)
    seconds = load.running * SECONDS_PER_RUNNING_REQUEST
    if spec is not None and spec.engine is not None:
        prefill = prefill_seconds(prompt, cached_tokens)
        later_chunks = max(prefill - CHUNK_TOKENS / PREFILL_TOKENS_PER_SECOND, 0.0)
        interference = INTERFERENCE_SHARE * load.running * later_chunks
        queued_prefill = load.pending_tokens / PREFILL_TOKENS_PER_SECOND
        return seconds + prefill + interference + queued_prefill + waiting * work
    return seconds + work * load.running / max(replica.slots, 1) + waiting * work


def prefill_seconds(prompt: Prompt | None, cached_tokens: int) -> float:
    """Return the seconds that an engine takes to prefill the uncached tokens."""
    if prompt is None:
        return 0.0
    return max(prompt.input_tokens - cached_tokens, 0) / PREFILL_TOKENS_PER_SECOND


def busy_seconds(
    replica: Replica,
    spec: ServiceSpec | None,
    prompt: Prompt | None,
    cached_tokens,
    work,
) -> float:
    """Return by how many seconds a call delays later calls at its replica."""
    if spec is not None and spec.engine is not None:
        return prefill_seconds(prompt, cached_tokens)
    return work / max(replica.slots, 1)


def affinity_bonus_seconds(prompt: Prompt, cached_tokens: int) -> float:
    """Return the bonus in seconds for the replica that all hosts prefer for a prompt.

    While no replica has the shared parts cached, the bonus directs the prompts that
    share them to one replica.
    """
    uncached = max(shared_tokens(prompt) - cached_tokens, 0)
    return AFFINITY_BONUS_SHARE * uncached / PREFILL_TOKENS_PER_SECOND


def choose_option(options: list[Option], rng) -> Option | None:
    """Return a random one of the options within TIE_SECONDS of the best, or None."""
    if not options:
        return None
    best = min(option.seconds for option in options)
    tied = [option for option in options if option.seconds <= best + TIE_SECONDS]
    return rng.choice(tied)


def considers_other_regions(local: float | None, objective: float) -> bool:
    """Return whether other regions are considered for a call.

    A call stays local if its answer is predicted within half of the objective.
    """
    return local is None or local > objective / 2


def prefers_other_region(local: float | None, remote: float) -> bool:
    """Return whether a call is forwarded to another region.

    `local` is the prediction in seconds for the local region, or None if it has no
    usable replica. `remote` is the prediction for the best other region, including the
    forwarding.
    """
    return local is None or remote + REGION_MARGIN_SECONDS < local
