"""Refuses calls that crash replicas, and gathers the evidence for it."""

import hashlib
import hmac

from sassafraskeel.calls.attempts import Target
from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason, not_run_refusal
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import Call
from sassafraskeel.decisions.crash_evidence import (
    REFUSED_CRASHES,
    SUSPECT_CRASHES,
    TRIAL_RETRY_SECONDS,
    CrashEvidence,
    Verdict,
)

# Hashes of features have this many hexadecimal digits.
DIGEST_LENGTH = 16


class FeatureHasher:
    """Hashes requests and the shared parts of their prompts.

    The hashes are keyed with the token of the deployment.
    """

    def __init__(self, token: str):
        self._key = hashlib.sha256(b"features" + token.encode()).digest()

    def __call__(self, call: Call) -> tuple[str, ...]:
        """Return the features of a call; the last part of a prompt is its own."""
        features = [call.fingerprint] if call.fingerprint else []
        prompt = call.route_policy.prompt if call.route_policy else None
        if prompt is not None:
            parts = prompt.parts[:-1]
            features += [self._hash(b"part", part.name.encode()) for part in parts]
        return tuple(features)

    def fingerprint(self, call: Call, body: bytes) -> str:
        """Return the feature of a request that may come again with a new id."""
        fields = (call.service.encode(), call.method.encode(), call.path.encode(), body)
        sized = [len(field).to_bytes(8, "big") + field for field in fields]
        return self._hash(b"request", *sized)

    def _hash(self, *data: bytes) -> str:
        digest = hmac.digest(self._key, b"".join(data), "sha256")
        return digest.hex()[:DIGEST_LENGTH]


class CrashGuard:
    """Decides by the crash evidence whether calls that are placed here may run."""

    def __init__(
        self,
        evidence: CrashEvidence,
        hasher: FeatureHasher,
        clock: Clock,
        log: LogSink,
    ):
        self._evidence = evidence
        self._hasher = hasher
        self._clock = clock
        self._log = log

    def check(self, call: Call) -> None:
        """Raise Refusal if the call may not run now."""
        if not self._evidence.is_empty:
            self._assess(call, self._hasher(call))

    def admit(self, call: Call, target: Target) -> Target:
        """Return the target of a call with its features; raise Refusal.

        The call may have become a suspect while it waited for its slot.
        """
        features = self._hasher(call)
        target = target._replace(features=features)
        if self._assess(call, features) is Verdict.TRIAL:
            trial = self._evidence.begin_trial(call.service, self._clock.monotonic())
            target = target._replace(trial=trial)
        return target

    def call_survived(self, target: Target) -> None:
        """Record that a replica survived a call."""
        self.attempt_ended(target)
        if target.features:
            now = self._clock.monotonic()
            service = target.upstream.service
            suspects = self._suspects(target.features)
            cleared = self._evidence.survived(service, target.features, now)
            for feature in suspects & cleared:
                self._log.emit(
                    Event.CRASH_SUSPECT_CLEARED, feature=feature, replica=target.name
                )

    def replica_lost(self, target: Target) -> None:
        """Record that a replica ended, and may have crashed on a call."""
        self.attempt_ended(target)
        if not target.features:
            return
        now, service = self._clock.monotonic(), target.upstream.service
        before = self._counts(target.features)
        blamed = self._evidence.replica_lost(service, target.name, target.features, now)
        after = self._counts(target.features)
        self._log.emit(
            Event.REPLICA_CRASHED,
            replica=target.name,
            service=service,
            features=len(blamed),
            crashes=max(after.values()),
        )
        for feature, count in after.items():
            if count >= REFUSED_CRASHES and count > before[feature]:
                self._log.emit(
                    Event.CRASH_SUSPECT_REFUSED, feature=feature, crashes=count
                )

    def attempt_ended(self, target: Target) -> None:
        """End the trial of an attempt, if it was one."""
        if target.trial:
            self._evidence.end_trial(target.trial)

    def _assess(self, call: Call, features) -> Verdict:
        now = self._clock.monotonic()
        verdict, retry_after = self._evidence.assess(features, now)
        if verdict is Verdict.REFUSED:
            raise not_run_refusal(
                Reason.CRASHES_UPSTREAM, "such calls crash replicas", retry_after
            )
        running = self._evidence.is_trial_running(call.service, now)
        if verdict is Verdict.TRIAL and running:
            detail = "such calls may crash replicas, and another one is being tried"
            raise not_run_refusal(Reason.CRASHES_UPSTREAM, detail, TRIAL_RETRY_SECONDS)
        return verdict

    def _counts(self, features) -> dict[str, int]:
        return {feature: self._evidence.crash_count(feature) for feature in features}

    def _suspects(self, features) -> set[str]:
        counts = self._counts(features)
        return {name for name, count in counts.items() if count >= SUSPECT_CRASHES}
