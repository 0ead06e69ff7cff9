"""Sending a call to one place after another, for calls of sheets and of routes."""

from typing import NamedTuple, Protocol

from sassafraskeel.core.errors import Outcome, Refusal
from sassafraskeel.core.types import Answer, Call, HostInfo
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.sheets.model import Upstream


class Target(NamedTuple):
    """Where a call runs: a slot of an upstream, or a host elsewhere.

    `work` is the kind of work by which service times are kept. `tokens` are the prompt
    tokens that the upstream is believed to have to read, and `seconds` is the predicted
    time to the first byte.
    """

    name: str
    upstream: Upstream | Replica | None
    host: HostInfo | None
    work_class: str = ""
    prompt_tokens: int = 0
    predicted_seconds: float = 0.0


class AttemptHistory:
    """Where a call was sent before.

    `lost` places are not used again, `failed` ones only for want of a better one.
    `arrivals` counts sends that an upstream may have counted, and `ran` holds the
    upstreams that may have run the call.
    """

    def __init__(self):
        self.excluded: set[str] = set()
        self.penalized: set[str] = set()
        self.may_have_run: set[str] = set()
        self.delivered_sends = 0
        self.sends = 0


class AttemptPolicy(Protocol):
    """What differs between calls of sheets and of routes."""

    async def find_target(
        self, call: Call, body: bytes, history: AttemptHistory
    ) -> Target:
        """Return the next place; raise Refusal (not run) if there is none."""

    async def send_attempt(
        self, target: Target, call: Call, body: bytes, history: AttemptHistory
    ) -> Answer:
        """Return the answer of a place; raise Refusal.

        What a refusal says of the place is noted before its slot is given back, so
        that no waiting call is sent to a place that has just failed.
        """

    def may_retry(self, call: Call, refusal: Refusal, history: AttemptHistory) -> bool:
        """Return whether the call may be sent again after a refusal."""

    def may_retry_answer(
        self, call: Call, answer: Answer, history: AttemptHistory
    ) -> bool:
        """Return whether an answer may be put aside for that of another place."""


async def run_attempts(
    policy: AttemptPolicy, call: Call, body: bytes, history: AttemptHistory
) -> Answer:
    """Return the first good answer, else the first one, else raise Refusal."""
    failed_answer: Answer | None = None
    last: Refusal | None = None
    while True:
        try:
            target = await policy.find_target(call, body, history)
        except Refusal as refusal:
            if failed_answer is not None:
                return failed_answer
            raise overall_refusal(last, refusal, history) from refusal
        history.sends += 1
        try:
            answer = await policy.send_attempt(target, call, body, history)
        except Refusal as refusal:
            history.excluded.add(target.name)
            last = _less_certain(last, refusal)
            may_retry_answer = failed_answer and policy.may_retry_answer(
                call, failed_answer, history
            )
            if failed_answer is not None and not may_retry_answer:
                return failed_answer
            if not policy.may_retry(call, refusal, history):
                raise overall_refusal(last, refusal, history) from refusal
            continue
        if failed_answer is not None or not policy.may_retry_answer(
            call, answer, history
        ):
            return answer  # Most calls that fail twice fail every time.
        history.penalized.add(target.name)
        failed_answer = answer


def overall_refusal(
    last: Refusal | None, refusal: Refusal, history: AttemptHistory
) -> Refusal:
    """Return the refusal that is true of all sends together."""
    chosen = refusal if last is None else _less_certain(last, refusal)
    chosen.attempts = history.sends
    return chosen


def _less_certain(first: Refusal | None, second: Refusal) -> Refusal:
    """Return the refusal that says less about whether the call ran."""
    if first is not None and first.outcome is Outcome.UNKNOWN:
        return first
    return second
