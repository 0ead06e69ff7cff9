"""Sending a call to one place after another, for calls of sheets and of routes."""

from typing import NamedTuple, Protocol

from sassafraskeel.core.errors import Outcome, Refusal
from sassafraskeel.core.types import Answer, Call, HostInfo
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.sheets.model import Upstream


class Place(NamedTuple):
    """Where a call runs: a slot of an upstream, or a host elsewhere.

    `work` is the kind of work by which service times are kept. `tokens` are the prompt
    tokens that the upstream is believed to have to read, and `seconds` is the predicted
    time to the first byte.
    """

    name: str
    upstream: Upstream | Replica | None
    host: HostInfo | None
    work: str = ""
    tokens: int = 0
    seconds: float = 0.0


class Tried:
    """Where a call was sent before.

    `lost` places are not used again, `failed` ones only for want of a better one.
    `arrivals` counts sends that an upstream may have counted, and `ran` holds the
    upstreams that may have run the call.
    """

    def __init__(self):
        self.lost: set[str] = set()
        self.failed: set[str] = set()
        self.ran: set[str] = set()
        self.arrivals = 0
        self.sends = 0


class CallRules(Protocol):
    """What differs between calls of sheets and of routes."""

    async def find(self, call: Call, body: bytes, tried: Tried) -> Place:
        """Return the next place; raise Refusal (not run) if there is none."""

    async def carry(
        self, place: Place, call: Call, body: bytes, tried: Tried
    ) -> Answer:
        """Return the answer of a place; raise Refusal.

        What a refusal says of the place is noted before its slot is given back, so
        that no waiting call is sent to a place that has just failed.
        """

    def may_go_on(self, call: Call, refusal: Refusal, tried: Tried) -> bool:
        """Return whether the call may be sent again after a refusal."""

    def may_replace(self, call: Call, answer: Answer, tried: Tried) -> bool:
        """Return whether an answer may be put aside for that of another place."""


async def run_attempts(
    rules: CallRules, call: Call, body: bytes, tried: Tried
) -> Answer:
    """Return the first good answer, else the first one, else raise Refusal."""
    failed: Answer | None = None
    last: Refusal | None = None
    while True:
        try:
            place = await rules.find(call, body, tried)
        except Refusal as refusal:
            if failed is not None:
                return failed
            raise summary(last, refusal, tried) from refusal
        tried.sends += 1
        try:
            answer = await rules.carry(place, call, body, tried)
        except Refusal as refusal:
            tried.lost.add(place.name)
            last = _worse(last, refusal)
            may_replace = failed and rules.may_replace(call, failed, tried)
            if failed is not None and not may_replace:
                return failed
            if not rules.may_go_on(call, refusal, tried):
                raise summary(last, refusal, tried) from refusal
            continue
        if failed is not None or not rules.may_replace(call, answer, tried):
            return answer  # Most calls that fail twice fail every time.
        tried.failed.add(place.name)
        failed = answer


def summary(last: Refusal | None, refusal: Refusal, tried: Tried) -> Refusal:
    """Return the refusal that is true of all sends together."""
    chosen = refusal if last is None else _worse(last, refusal)
    chosen.attempts = tried.sends
    return chosen


def _worse(first: Refusal | None, second: Refusal) -> Refusal:
    """Return the refusal that says less about whether the call ran."""
    if first is not None and first.outcome is Outcome.UNKNOWN:
        return first
    return second
