"""Requests that crash the upstreams that run them (design 5.7).

A request that is sent one copy at a time crashes at most three replicas. The first
crash is shared with the other requests on the replica, the second one makes the request
a suspect, which runs alone, and after the third one the request is refused. The limit
is five crashes if requests of other hosts happen to run on the same replicas each time.
"""

import hashlib
import hmac
from collections import Counter
from enum import Enum
from typing import NamedTuple

from sassafraskeel.core.types import Call

EXPIRY_SECONDS = 600.0
MAX_FINGERPRINTS = 4096
MAX_REPORTS = 256
SUSPECT_SHARE = 0.5
SUSPECT_CRASHES = 2
REFUSED_CRASHES_ALONE = 2
REFUSED_CRASHES = 3
# Requests of other hosts may run on every replica on which a suspect runs.
REFUSED_CRASHES_SHARED = 5
DIGEST_LENGTH = 32


class RequestStatus(Enum):
    """How a request may run: with others, alone, or not at all."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class CrashAttribution(NamedTuple):
    """The share of a request in one crash of a replica.

    `share` is 0 once the request has completed elsewhere. `alone` is true if the
    request ran alone as a suspect. `at` is in monotonic seconds.
    """

    share: float
    alone: bool
    at: float


class CrashReport(NamedTuple):
    """A crash attribution as sent between hosts; `age` is in seconds."""

    fingerprint: str
    crash_id: str
    share: float
    alone: bool
    age: float


class Fingerprinter:
    """Identifies requests by a hash that is keyed with the token of the deployment."""

    def __init__(self, token: str):
        self._key = hashlib.sha256(b"suspects" + token.encode()).digest()

    def __call__(self, call: Call, body: bytes) -> str:
        """Return the fingerprint of a request, equal for all calls that carry it."""
        fields = (call.workspace, call.service, call.method, call.path)
        parts = (*(word.encode() for word in fields), body)
        data = b"".join(len(part).to_bytes(8, "big") + part for part in parts)
        return hmac.new(self._key, data, hashlib.sha256).hexdigest()[:DIGEST_LENGTH]


class Suspects:
    """Crash attributions by request, and the requests of this host on each replica.

    At most MAX_FINGERPRINTS requests are kept; the one to which a crash was attributed
    longest ago is dropped first.
    """

    def __init__(self):
        self._attributions: dict[str, dict[str, CrashAttribution]] = {}
        self._running: dict[str, Counter] = {}
        self._reserved: dict[str, str] = {}

    def status(self, fingerprint: str, now: float) -> RequestStatus:
        """Return how a request may run."""
        attributions = self._active_attributions(fingerprint, now)
        if not attributions:
            return RequestStatus.CLEAR
        crashes = len(attributions)
        request_counts = {
            crash_id: self._request_count(crash_id) for crash_id in attributions
        }
        # Requests of another host may have run on the replica as well.
        alone = sum(
            attributions[crash_id].alone and request_counts[crash_id] == 1
            for crash_id in attributions
        )
        if alone >= REFUSED_CRASHES_ALONE or (alone and crashes >= REFUSED_CRASHES):
            return RequestStatus.REFUSED
        if crashes >= REFUSED_CRASHES_SHARED:
            return RequestStatus.REFUSED
        share = sum(
            min(attribution.share, 1 / request_counts[crash_id])
            for crash_id, attribution in attributions.items()
        )
        if share >= SUSPECT_SHARE or crashes >= SUSPECT_CRASHES:
            return RequestStatus.SUSPECT
        return RequestStatus.CLEAR

    def choose_replica(
        self, fingerprint: str, preferred: str, others: list[str], now: float
    ) -> str | None:
        """Return the replica on which a request may start, or None if it must wait.

        `others` are the other replicas that take work. A suspect gets a replica that
        is reserved for it, one suspect at a time, so that at most one replica is
        reserved. Two requests with the same crash attributed to them do not share a
        replica while there is another choice.
        """
        replicas = [preferred, *others]
        if self.status(fingerprint, now) is RequestStatus.SUSPECT:
            return self._choose_exclusive(fingerprint, replicas)
        free = [replica for replica in replicas if replica not in self._reserved]
        if not free:
            return None
        crashes = self._active_attributions(fingerprint, now).keys()
        unrelated = [
            name for name in free if not self._shares_crash(crashes, name, now)
        ]
        choice = unrelated or free
        return preferred if preferred in choice else min(choice, key=self.load)

    def _choose_exclusive(self, fingerprint, replicas) -> str | None:
        reserved = {name: replica for replica, name in self._reserved.items()}
        replica = reserved.get(fingerprint)
        if replica not in replicas:
            self.release_replica(fingerprint)
            if self._reserved:
                return None
            replica = min(replicas, key=self.load)
            self._reserved[replica] = fingerprint
        return None if self.load(replica) else replica

    def release_replica(self, fingerprint: str) -> None:
        """Release the replica reserved for a suspect unless the suspect runs there."""
        for replica, name in list(self._reserved.items()):
            if name == fingerprint and fingerprint not in self.running(replica):
                del self._reserved[replica]

    def load(self, replica: str) -> int:
        """Return how many requests of this host run on a replica."""
        return self._running.get(replica, Counter()).total()

    def record_start(self, fingerprint: str, replica: str) -> None:
        """Record that a request runs on a replica."""
        self._running.setdefault(replica, Counter())[fingerprint] += 1

    def record_end(self, fingerprint: str, replica: str) -> None:
        """Record that a request no longer runs on a replica."""
        running = self._running[replica]
        running[fingerprint] -= 1
        if not running[fingerprint]:
            del running[fingerprint]
        if not running:
            del self._running[replica]

    def running(self, replica: str) -> tuple[str, ...]:
        """Return the requests of this host that run on a replica."""
        return tuple(self._running.get(replica, Counter()).elements())

    def record_crash(
        self, crash_id: str, fingerprints: tuple[str, ...], now: float
    ) -> list[CrashReport]:
        """Attribute a crash to the requests on the replica; return new reports."""
        reports = []
        for fingerprint in set(fingerprints):
            share = 1.0 / len(fingerprints)
            status = self.status(fingerprint, now)
            alone = len(fingerprints) == 1 and status is RequestStatus.SUSPECT
            attribution = CrashAttribution(share, alone, now)
            if self._add(fingerprint, crash_id, attribution):
                reports.append(CrashReport(fingerprint, crash_id, share, alone, 0.0))
        return reports

    def record_completion(self, fingerprint: str, now: float) -> list[CrashReport]:
        """Clear the attributions of an answered request; return them as reports."""
        reports = []
        attributions = self._attributions.get(fingerprint, {})
        for crash_id, attribution in attributions.items():
            if attribution.share:
                attributions[crash_id] = attribution._replace(share=0.0, alone=False)
                age = now - attribution.at
                reports.append(CrashReport(fingerprint, crash_id, 0.0, False, age))
        return reports

    def merge(self, reports: list[CrashReport], now: float) -> list[CrashReport]:
        """Store the reports of another host; return those that were new.

        A cleared attribution stays cleared.
        """
        return [
            entry
            for entry in reports[:MAX_REPORTS]
            if 0 <= entry.age < EXPIRY_SECONDS
            and self._add(
                entry.fingerprint,
                entry.crash_id,
                CrashAttribution(entry.share, entry.alone, now - entry.age),
            )
        ]

    def recent_reports(self, now: float) -> list[CrashReport]:
        """Return the newest attributions as reports, at most MAX_REPORTS."""
        entries = [
            CrashReport(
                fingerprint,
                crash_id,
                attribution.share,
                attribution.alone,
                max(now - attribution.at, 0.0),
            )
            for fingerprint, attributions in self._attributions.items()
            for crash_id, attribution in attributions.items()
            if now - attribution.at < EXPIRY_SECONDS
        ]
        return sorted(entries, key=lambda entry: entry.age)[:MAX_REPORTS]

    def _add(self, fingerprint, crash_id, attribution) -> bool:
        attributions = self._attributions.pop(fingerprint, {})
        self._attributions[fingerprint] = attributions
        existing = attributions.get(crash_id)
        if existing is not None and existing.share <= attribution.share:
            return False
        attributions[crash_id] = attribution
        while len(attributions) > MAX_REPORTS:
            del attributions[next(iter(attributions))]
        while len(self._attributions) > MAX_FINGERPRINTS:
            del self._attributions[next(iter(self._attributions))]
        return True

    def _active_attributions(self, fingerprint, now) -> dict[str, CrashAttribution]:
        return {
            crash_id: attribution
            for crash_id, attribution in self._attributions.get(fingerprint, {}).items()
            if attribution.share and now - attribution.at < EXPIRY_SECONDS
        }

    def _request_count(self, crash_id) -> int:
        return sum(
            crash_id in attributions for attributions in self._attributions.values()
        )

    def _shares_crash(self, crashes, replica, now) -> bool:
        return any(
            crashes & self._active_attributions(other, now).keys()
            for other in self.running(replica)
        )
