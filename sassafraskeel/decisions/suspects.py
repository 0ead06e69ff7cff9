"""Requests that crash the upstreams that run them (design 5.7).

A request that is sent one copy at a time crashes at most three replicas. The first
crash is shared with the other requests on the replica, the second one makes the request
a suspect, which runs alone, and after the third one the request is refused. The replica
of a suspect is reserved at the other hosts, whose requests have ended before it starts.

Only crashes for which no other request can be to blame lead to a refusal. Two suspects
of different hosts that run beside each other cannot be told apart by counting crashes.
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
# Applies to a request that never ran alone, after all other requests in these crashes
# have completed since.
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


class PeerReservation(NamedTuple):
    """The replica that another host reserved for a suspect, until a monotonic time."""

    replica: str
    until: float


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
    longest ago is dropped first. `host` is the name of the local host.
    """

    def __init__(self, host: str = ""):
        self._host = host
        self._attributions: dict[str, dict[str, CrashAttribution]] = {}
        self._running: dict[str, Counter] = {}
        self._reserved: dict[str, str] = {}
        self._peer_reservations: dict[str, PeerReservation] = {}

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
        certain = [
            attribution
            for crash_id, attribution in attributions.items()
            if self._active_count(crash_id) == 1
        ]
        alone = sum(attribution.alone for attribution in certain)
        if alone >= REFUSED_CRASHES_ALONE or (alone and crashes >= REFUSED_CRASHES):
            return RequestStatus.REFUSED
        if len(certain) >= REFUSED_CRASHES_SHARED:
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
        is reserved for it, one suspect at a time, so that each host reserves at most
        one replica. Two requests with the same crash attributed to them do not share a
        replica, and no request runs on a replica that another host reserved, while
        there is another choice.
        """
        replicas = [preferred, *others]
        peer_replicas = self._peer_replicas(now)
        if self.status(fingerprint, now) is RequestStatus.SUSPECT:
            return self._choose_exclusive(fingerprint, replicas, peer_replicas)
        free = [replica for replica in replicas if replica not in self._reserved]
        if not free:
            return None
        free = [replica for replica in free if replica not in peer_replicas] or free
        crashes = self._active_attributions(fingerprint, now).keys()
        unrelated = [
            name for name in free if not self._shares_crash(crashes, name, now)
        ]
        choice = unrelated or free
        return preferred if preferred in choice else min(choice, key=self.load)

    def _choose_exclusive(self, fingerprint, replicas, peer_replicas) -> str | None:
        replica = self.reserved_replica(fingerprint)
        if replica not in replicas:
            self.release_replica(fingerprint)
            free = [name for name in replicas if name not in peer_replicas]
            # The hosts together reserve one replica, or at most half of them.
            reserved = len(replicas) - len(free)
            if self._reserved or (reserved and 2 * (reserved + 1) > len(replicas)):
                return None
            replica = min(free, key=self.load)
            self._reserved[replica] = fingerprint
        return None if self.load(replica) else replica

    def reserved_replica(self, fingerprint: str) -> str | None:
        """Return the replica that this host has reserved for a suspect, or None."""
        replicas = {name: replica for replica, name in self._reserved.items()}
        return replicas.get(fingerprint)

    def reserve_for_peer(
        self, peer: str, replica: str, until: float, now: float
    ) -> bool:
        """Reserve a replica for a suspect of another host; return whether it may.

        If both hosts have reserved the replica, the one whose suspect runs there has
        it, else the one whose name comes first. A reservation replaces the earlier one
        of the same host.
        """
        suspect = self._reserved.get(replica)
        if suspect is not None:
            if self._host < peer or suspect in self.running(replica):
                return False
            del self._reserved[replica]
        self._peer_reservations = {
            name: reservation
            for name, reservation in self._peer_reservations.items()
            if reservation.until > now
        }
        self._peer_reservations[peer] = PeerReservation(replica, until)
        return True

    def release_for_peer(self, peer: str, replica: str | None = None) -> None:
        """Release the replica reserved for another host, if it is `replica` or any."""
        reservation = self._peer_reservations.get(peer)
        if reservation and replica in (None, reservation.replica):
            del self._peer_reservations[peer]

    def _peer_replicas(self, now) -> set[str]:
        return {
            reservation.replica
            for reservation in self._peer_reservations.values()
            if reservation.until > now
        }

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

    def _active_count(self, crash_id) -> int:
        """Return how many requests may be to blame for a crash."""
        return sum(
            crash_id in attributions and attributions[crash_id].share > 0
            for attributions in self._attributions.values()
        )

    def _shares_crash(self, crashes, replica, now) -> bool:
        return any(
            crashes & self._active_attributions(other, now).keys()
            for other in self.running(replica)
        )
