"""Attempts of a call at one target after another, for sheets and for routes."""

from typing import NamedTuple, Protocol

import curio

from sassafraskeel.calls.request_tracker import draining_refusal
from sassafraskeel.core.errors import Outcome, Refusal
from sassafraskeel.core.types import Answer, Call, HostInfo
from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.sheets.model import Upstream


class Grant(NamedTuple):
    """A slot that the coordinator of the region granted.

    It came over the link with the serial number `link`; `number` is unique at the
    local host. A grant is used right after it arrived, but not after `expires`, a time
    of the local monotonic clock in seconds.
    """

    coordinator: str
    link: int
    number: int
    expires: float


class Target(NamedTuple):
    """Where an attempt goes: a slot of an upstream or replica, or a remote host.

    Service times are kept by `work_class`. `prompt_tokens` is the estimated number of
    prompt tokens that are not in the KV cache of the replica. `predicted_seconds` is
    the predicted time to the first byte. `requests` counts the requests at the replica
    when the slot was taken, at the monotonic time `placed_at` of the host that assigned
    it. `features` and `trial` are those of
    decisions.crash_evidence, for a slot that the local host assigned.
    """

    name: str
    upstream: Upstream | Replica | None
    host: HostInfo | None
    work_class: str = ""
    prompt_tokens: int = 0
    predicted_seconds: float = 0.0
    requests: int = 0
    grant: Grant | None = None
    features: tuple[str, ...] = ()
    trial: int = 0
    placed_at: float = 0.0

    @property
    def logged_version(self) -> str:
        """Return the software version of a replica for the log, "" for a host."""
        replica = self.upstream
        return replica.logged_version if isinstance(replica, Replica) else ""


class AttemptHistory:
    """The earlier attempts of a call.

    `excluded` targets are not used again; `penalized` targets answered with a failure
    and are used again only if no other target is better. `runs` holds the targets that
    may have run the call, by the number of the attempt. `attempts` counts all attempts,
    and `delivered_attempts` those that may have reached an upstream. `target` is the
    target of the latest attempt. `round_attempts` counts the attempts since the call
    began or was last resumed, and `rounds` how often it was tried to resume the call.
    `charged_at` is when the latest attempt was charged to a retry budget, in monotonic
    seconds, None if it was not. `stream_version` is the software version of the replica
    whose events were handed on, empty if it is not known, None before the first event.
    `region_full` says whether a host of the local region refused the call for want of
    a slot of its replicas.
    """

    def __init__(self):
        self.excluded: set[str] = set()
        self.penalized: set[str] = set()
        self.runs: dict[int, Target] = {}
        self.delivered_attempts = 0
        self.attempts = 0
        self.target: Target | None = None
        self.round_attempts = 0
        self.rounds = 0
        self.charged_at: float | None = None
        self.stream_version: str | None = None
        self.region_full = False

    def start_round(self) -> None:
        """Begin to resume a stream; replicas that may have run it are not used.

        Hosts that cut it are left out by their own state: they may have been started
        again since.
        """
        self.excluded = {
            run.name for run in self.runs.values() if run.upstream is not None
        }
        self.penalized.clear()
        self.region_full = False
        self.round_attempts = 0
        self.rounds += 1

    def targets_left(self) -> "AttemptHistory":
        """Return a history that excludes all targets which may have run the call."""
        left = AttemptHistory()
        left.excluded = self.excluded | {run.name for run in self.runs.values()}
        return left

    def record_run(self, target: Target) -> None:
        """Record that the target of the latest attempt may have run the call."""
        self.runs[self.attempts] = target


class AttemptPolicy(Protocol):
    """The decisions that differ between calls of sheets and of routes."""

    async def find_target(
        self, call: Call, body: bytes, history: AttemptHistory
    ) -> Target:
        """Return the next target; raise Refusal (not run) if there is none."""

    async def send_attempt(
        self, target: Target, call: Call, body: bytes, history: AttemptHistory
    ) -> Answer:
        """Return the answer of a target; raise Refusal.

        A failure of the target is recorded before its slot is released, so that no
        waiting call is sent to a target that has just failed.
        """

    def may_retry(self, call: Call, refusal: Refusal, history: AttemptHistory) -> bool:
        """Return whether the call may be retried after a refusal."""

    def may_retry_answer(
        self, call: Call, answer: Answer, history: AttemptHistory
    ) -> bool:
        """Return whether the call may be retried at another target after an answer."""


async def run_attempts(
    policy: AttemptPolicy, call: Call, body: bytes, history: AttemptHistory
) -> Answer:
    """Return the answer to a call after as many attempts as the policy allows.

    The first answer that needs no retry is returned. After a failed answer, the answer
    of a further attempt is returned whatever its status, or the failed answer if no
    further attempt is answered. Raises Refusal if there is no answer, also if the task
    is cancelled before the call has a target.
    """
    failed_answer: Answer | None = None
    last: Refusal | None = None
    while True:
        try:
            target = await policy.find_target(call, body, history)
        except Refusal as refusal:
            if failed_answer is not None:
                return failed_answer
            last = overall_refusal(last, refusal, history)
            break
        except curio.TaskCancelled as exc:
            # The host closes while the call waits for a target; a caller that leaves
            # cancels its call with PeerLeft.
            raise overall_refusal(last, draining_refusal(), history) from exc
        history.attempts += 1
        history.round_attempts += 1
        history.target = target
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
                last = overall_refusal(last, refusal, history)
                break
            continue
        if failed_answer is not None or not policy.may_retry_answer(
            call, answer, history
        ):
            return answer  # Most calls that fail twice fail at every target.
        history.penalized.add(target.name)
        failed_answer = answer
    try:
        raise last
    finally:
        # A refusal that is its own cause, or in a frame of its traceback, would keep
        # what the call held until the next garbage collection.
        del last


def overall_refusal(
    last: Refusal | None, refusal: Refusal, history: AttemptHistory
) -> Refusal:
    """Return the refusal that holds for all attempts together."""
    chosen = refusal if last is None else _less_certain(last, refusal)
    chosen.attempts = history.attempts
    return chosen


def _less_certain(first: Refusal | None, second: Refusal) -> Refusal:
    """Return the first refusal if its outcome is unknown, otherwise the second.

    A later refusal does not rule out that an earlier attempt ran the call.
    """
    if first is not None and first.outcome is Outcome.UNKNOWN:
        return first
    return second
