"""Which features of calls crash replicas, from the crashes that hosts saw (no I/O).

A feature is a keyed hash of a part of a prompt, or of a whole request. A crash blames
all features of the calls that the replica was not known to survive: it may have sent
the first events of an answer. A call that a replica survived takes the blame off its
features, so what is left after some crashes is what they have in common.
"""

from collections import Counter
from enum import Enum
from typing import NamedTuple

from sassafraskeel.decisions.affinity import rendezvous

EXPIRY_SECONDS = 600.0
# Calls that are lost with one replica are reported by several hosts and connections.
SAME_CRASH_SECONDS = 2.0
# Replicas that are lost within this time, as when zones or all connections are cut,
# have another cause in common than a call, and count once.
SAME_EVENT_SECONDS = 0.3
SUSPECT_CRASHES = 2
REFUSED_CRASHES = 3
# Replicas of all regions may be lost together, and the times of losses that different
# hosts saw can't be compared closely. So one host must have seen this many of the
# crashes, and they must span this time; otherwise suspects still get a trial.
MIN_CRASHES_OF_ONE_HOST = 2
MIN_REFUSAL_SPAN_SECONDS = 0.5
# From this many crashes, more than half of the features that always crashed together
# are enough for a refusal. Otherwise a caller could add features to its calls and leave
# out one of them each time.
MANY_CRASHES = 5
# A call with only a part of those features is tried this long after the latest crash,
# PARTIAL_TRIAL_FACTOR times as long after each further one, since it may be as sound as
# calls without any.
FIRST_PARTIAL_TRIAL_SECONDS = 2.0
PARTIAL_TRIAL_FACTOR = 3
# A refused feature is tried again after this time, doubled with each further crash.
# Each host waits for a share of RETRIAL_SPREAD times as long in addition, so that one
# tries before the others and they learn of its result.
FIRST_RETRIAL_SECONDS = 30.0
RETRIAL_SPREAD = 1.0
# A trial that has no result after this time no longer blocks the next one.
MAX_TRIAL_SECONDS = 10.0
# A trial usually has its result within this time.
TRIAL_RETRY_SECONDS = 0.5
MAX_CRASHES = 32
MAX_FEATURES = 256
MAX_CLEARED = 8192
MAX_SURVIVED = 8192
MAX_TABLES = 256
# The latest crashes of all tables that count.
MAX_MERGED_CRASHES = 256
# The texts in all tables of other hosts. A table at the bounds of a host has 24,608.
MAX_TABLE_TEXTS = 32_768
# Crashes of earlier runs that are remembered after they were taken over.
MAX_TAKEN_OVER = 1024
MAX_INCARNATION_LENGTH = 12


class Crash(NamedTuple):
    """A crash of a replica at a monotonic time, and the features that it blames."""

    crash_id: str
    service: str
    replica: str
    at: float
    features: frozenset[str]


class CrashTable(NamedTuple):
    """The evidence that one host publishes.

    `cleared` has the features, by crash id, of calls that a replica survived after a
    crash that another host published.
    """

    crashes: tuple[Crash, ...]
    cleared: dict[str, frozenset[str]]

    @property
    def text_count(self) -> int:
        """Return the number of features and crash ids, each of which is a text."""
        found = sum(len(crash.features) for crash in self.crashes)
        cleared = sum(map(len, self.cleared.values()))
        return len(self.crashes) + found + len(self.cleared) + cleared


class Verdict(Enum):
    """How a call may run: with others, as the only trial, or not at all."""

    CLEAR = "clear"
    TRIAL = "trial"
    REFUSED = "refused"


class Assessment(NamedTuple):
    """A verdict on a call; a refused call may be tried after `retry_after` seconds."""

    verdict: Verdict
    retry_after: float = 0.0


class _Trial(NamedTuple):
    number: int
    expires: float


class _Event:
    """Crashes that count as one; `crash` is the latest of them."""

    def __init__(self, host: str, crash: Crash):
        self.started_at = crash.at
        self.crash = crash
        self.hosts = {host}
        self.replicas: set[str] = set()
        self.features: set[str] = set()

    def includes(self, host: str, crash: Crash) -> bool:
        """Return whether a crash that a host saw belongs to this event.

        The times of crashes that different hosts published can't be compared closely,
        since their ages are those of the last write.
        """
        limit = SAME_EVENT_SECONDS if host in self.hosts else 0.0
        if crash.replica in self.replicas:
            limit = SAME_CRASH_SECONDS
        return crash.at - self.started_at < limit

    def add(self, host: str, crash: Crash, features: frozenset[str]) -> None:
        """Add a crash that blames some features."""
        self.crash = crash
        self.hosts.add(host)
        self.replicas.add(crash.replica)
        self.features |= features


class CrashEvidence:
    """The evidence of all hosts, merged, and the trials of the local region.

    Each host keeps MAX_CRASHES crashes that it saw, with MAX_FEATURES features each,
    MAX_CLEARED clearances, and the MAX_SURVIVED features that replicas survived last,
    for EXPIRY_SECONDS. Crashes without a suspect are dropped first, then the oldest.
    Of the tables of other hosts, those that were written last are kept, MAX_TABLES with
    MAX_TABLE_TEXTS in all.
    `version` changes with the table to publish.
    """

    def __init__(self, host: str, incarnation: str):
        self._host = host
        self._incarnation = incarnation[:MAX_INCARNATION_LENGTH]
        self._crashes: dict[str, Crash] = {}
        self._cleared: dict[str, set[str]] = {}
        # When replicas last survived a feature, by service and feature.
        self._survived_at: dict[tuple[str, str], float] = {}
        # Crashes of earlier runs; a copy of the store may list cleared ones again.
        self._taken_over: dict[str, None] = {}
        self._tables: dict[str, CrashTable] = {}
        self._table_texts = 0
        # When a table was merged that the events lack, None if they are complete. They
        # are merged anew for the next call, not for each table that is read.
        self._merged_at: float | None = None
        self._events: list[_Event] = []
        self._events_of: dict[str, frozenset[int]] = {}
        self._inseparable: dict[str, frozenset[str]] = {}
        self._trials: dict[str, _Trial] = {}
        self._number = 0
        self._started_at: float | None = None
        self.version = 0

    @property
    def is_empty(self) -> bool:
        """Return whether no feature is blamed for a crash."""
        self._refresh()
        return not self._events_of

    def crash_count(self, feature: str) -> int:
        """Return the number of crashes since a replica survived a feature."""
        self._refresh()
        return len(self._events_of.get(feature, ()))

    def replica_lost(
        self, service: str, replica: str, features, now: float
    ) -> frozenset[str]:
        """Record that a replica ended that was not known to survive a call.

        Returns the features that the crash blames so far.
        """
        self._refresh()
        crash = next(
            (
                crash
                for crash in self._crashes.values()
                if crash.replica == replica and now - crash.at < SAME_CRASH_SECONDS
            ),
            None,
        )
        if crash is None:
            self._number += 1
            crash_id = f"{self._incarnation}-{self._number}"
            crash = Crash(crash_id, service, replica, now, frozenset())
        added = sorted(frozenset(features) - crash.features)
        added = added[: MAX_FEATURES - len(crash.features)]
        if added:
            crash = crash._replace(features=crash.features.union(added))
            self._crashes[crash.crash_id] = crash
            self._drop_oldest()
            self._changed(now)
        return crash.features

    def survived(self, service: str, features, now: float) -> frozenset[str]:
        """Record that a replica of a service survived a call.

        Returns its features that crashes of replicas of the service had been blamed on.
        """
        self._refresh()
        for feature in features:
            self._survived_at.pop((service, feature), None)
            self._survived_at[service, feature] = now
        while len(self._survived_at) > MAX_SURVIVED:
            del self._survived_at[next(iter(self._survived_at))]
        blamed = frozenset(features) & self._events_of.keys()
        if not blamed:
            return blamed
        cleared = set()
        count = sum(len(names) for names in self._cleared.values())
        for crash in list(self._crashes.values()):
            if crash.service == service:
                cleared |= crash.features & blamed
                self._remove_features(crash, blamed)
        for crash in self._other_crashes():
            if crash.service != service or crash.features.isdisjoint(blamed):
                continue
            found = self._blamed_features(crash) & blamed
            if found and count < MAX_CLEARED:
                cleared |= found
                count += len(found)
                self._cleared.setdefault(crash.crash_id, set()).update(found)
        if cleared:
            self._changed(now)
        return frozenset(cleared)

    def assess(self, features, now: float) -> Assessment:
        """Return how a call with some features may run."""
        if self.is_empty:
            return Assessment(Verdict.CLEAR)
        self._drop_expired(now)
        features = frozenset(features)
        suspects = [f for f in features if self.crash_count(f) >= SUSPECT_CRASHES]
        if not suspects:
            return Assessment(Verdict.CLEAR)
        waits = [self._refused_for(feature, features, now) for feature in suspects]
        longest = max(waits)
        if longest > 0:
            return Assessment(Verdict.REFUSED, longest)
        return Assessment(Verdict.TRIAL, TRIAL_RETRY_SECONDS)

    def begin_trial(self, service: str, now: float) -> int:
        """Return the number of a new trial, 0 while another one of the service runs.

        Suspects of a service run one at a time, since a crash blames all calls that
        the replica was not known to survive.
        """
        running = self._trials.get(service)
        if running is not None and now < running.expires:
            return 0
        self._number += 1
        self._trials[service] = _Trial(self._number, now + MAX_TRIAL_SECONDS)
        return self._number

    def is_trial_running(self, service: str, now: float) -> bool:
        """Return whether a trial of a service has no result yet."""
        running = self._trials.get(service)
        return running is not None and now < running.expires

    def end_trial(self, number: int) -> None:
        """End a trial; an unknown number is ignored."""
        for service, trial in list(self._trials.items()):
            if trial.number == number:
                del self._trials[service]

    def table(self, now: float) -> CrashTable:
        """Return the evidence of the local host, to be published."""
        self._drop_expired(now)
        cleared = {key: frozenset(names) for key, names in self._cleared.items()}
        return CrashTable(tuple(self._crashes.values()), cleared)

    def merge(self, host: str, table: CrashTable, now: float) -> None:
        """Take over the table of a host; an earlier run of this host had its name."""
        if host == self._host:
            self._refresh()
            for crash in table.crashes:
                own = crash.crash_id.startswith(f"{self._incarnation}-")
                if not own and crash.crash_id not in self._taken_over:
                    self._taken_over[crash.crash_id] = None
                    self._crashes[crash.crash_id] = crash
            while len(self._taken_over) > MAX_TAKEN_OVER:
                del self._taken_over[next(iter(self._taken_over))]
            self._take_over_cleared(table.cleared)
            self._drop_oldest()
        else:
            previous = self._drop_table(host)
            self._tables[host] = _with_first_times(table, previous)
            self._table_texts += table.text_count
            while len(self._tables) > MAX_TABLES or self._table_texts > MAX_TABLE_TEXTS:
                self._drop_table(next(iter(self._tables)))
            for crash in list(self._crashes.values()):
                names = table.cleared.get(crash.crash_id, frozenset())
                self._remove_features(crash, names)
        if self._started_at is None:
            self._started_at = now
        self._merged_at = now

    def table_removed(self, host: str) -> None:
        """Have the local table published again after the store removed it.

        The crashes that other hosts published count until they expire, since a lease
        may also end because the store was away.
        """
        if host == self._host and (self._crashes or self._cleared):
            self.version += 1

    def _drop_table(self, host: str) -> CrashTable | None:
        table = self._tables.pop(host, None)
        if table is not None:
            self._table_texts -= table.text_count
        return table

    def _take_over_cleared(self, cleared: dict[str, frozenset[str]]) -> None:
        """Add the clearances of an earlier run of this host, at most MAX_CLEARED."""
        count = sum(len(names) for names in self._cleared.values())
        for crash_id, names in cleared.items():
            if count + len(names) <= MAX_CLEARED:
                self._cleared.setdefault(crash_id, set()).update(names)
                count += len(names)

    def _refused_for(self, feature: str, features, now: float) -> float:
        """Return for how many seconds a feature keeps a call refused, 0 if it may run.

        Features that crashed whenever this one did explain its crashes as well as it
        does, so a call without them does not have to crash. Those that replicas have
        survived earlier explain them less.
        """
        score = self.crash_count(feature)
        if score < REFUSED_CRASHES:
            return 0.0
        events = [self._events[number] for number in sorted(self._events_of[feature])]
        if self._may_be_one_failure(events):
            return 0.0
        last = events[-1]
        causes = self._possible_causes(feature, last.crash.service, now)
        found = len(causes & features)
        wait = FIRST_RETRIAL_SECONDS * 2 ** (score - REFUSED_CRASHES)
        if found < len(causes):
            if score < MANY_CRASHES or found <= len(causes) // 2:
                return 0.0
            wait = FIRST_PARTIAL_TRIAL_SECONDS * PARTIAL_TRIAL_FACTOR ** (
                score - MANY_CRASHES
            )
        wait = min(wait * (1 + RETRIAL_SPREAD * self._share(feature)), EXPIRY_SECONDS)
        return max(last.crash.at + wait - now, 0.0)

    def _possible_causes(
        self, feature: str, service: str, now: float
    ) -> frozenset[str]:
        """Return the features that may have caused all crashes of a feature.

        Features that replicas survived earlier are left out, unless none is left: a
        part may turn deadly.
        """
        inseparable = self._inseparable_features(feature)
        since = now - EXPIRY_SECONDS
        unknown = frozenset(
            name
            for name in inseparable
            if self._survived_at.get((service, name), since) <= since
        )
        return unknown or inseparable

    def _may_be_one_failure(self, events: list[_Event]) -> bool:
        """Return whether crashes may have one cause, such as the loss of a zone.

        Crashes from before the start of this host have no times to judge by.
        """
        if self._started_at is None or events[-1].crash.at <= self._started_at:
            return False
        counts = Counter(host for event in events for host in event.hosts)
        if max(counts.values()) < MIN_CRASHES_OF_ONE_HOST:
            return True
        span = events[-1].crash.at - events[0].started_at
        return span < MIN_REFUSAL_SPAN_SECONDS

    def _share(self, feature: str) -> float:
        """Return a number below 1 that differs between the hosts with evidence."""
        names = rendezvous(feature.encode(), sorted({self._host, *self._tables}))
        return names.index(self._host) / len(names)

    def _inseparable_features(self, feature: str) -> frozenset[str]:
        found = self._inseparable.get(feature)
        if found is None:
            crashes = self._events_of[feature]
            found = frozenset(
                name for name, other in self._events_of.items() if other >= crashes
            )
            self._inseparable[feature] = found
        return found

    def _remove_features(self, crash: Crash, names) -> None:
        rest = crash.features - names
        if not rest:
            self._crashes.pop(crash.crash_id, None)
        elif rest != crash.features:
            self._crashes[crash.crash_id] = crash._replace(features=rest)

    def _drop_oldest(self) -> None:
        def rank(crash: Crash) -> tuple[bool, float]:
            counts = (self.crash_count(feature) for feature in crash.features)
            return max(counts, default=0) >= SUSPECT_CRASHES, crash.at

        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[min(self._crashes.values(), key=rank).crash_id]

    def _drop_expired(self, now: float) -> None:
        self._refresh()
        if self._events and now - self._events[0].started_at >= EXPIRY_SECONDS:
            self._rebuild(now)

    def _refresh(self) -> None:
        """Have the events include the tables that were merged last."""
        if self._merged_at is not None:
            self._rebuild(self._merged_at)

    def _changed(self, now: float) -> None:
        self.version += 1
        self._rebuild(now)

    def _rebuild(self, now: float) -> None:
        """Merge all tables into events, and note the events of each feature."""
        if self._started_at is None:
            self._started_at = now
        self._merged_at = None
        since = now - EXPIRY_SECONDS
        self._crashes = {
            key: crash for key, crash in self._crashes.items() if crash.at > since
        }
        others = self._other_crashes()
        listed = {crash.crash_id for crash in others if crash.at > since}
        self._cleared = {k: v for k, v in self._cleared.items() if k in listed}
        rows = [(self._host, crash) for crash in self._crashes.values()]
        for host, table in self._tables.items():
            rows += [(host, crash) for crash in table.crashes if crash.at > since]
        rows.sort(key=lambda row: row[1].at)
        self._events = []
        for host, crash in rows[-MAX_MERGED_CRASHES:]:
            features = self._blamed_features(crash)
            if not features:
                continue
            event = next((e for e in self._events if e.includes(host, crash)), None)
            if event is None:
                event = _Event(host, crash)
                self._events.append(event)
            event.add(host, crash, features)
        self._index_events()

    def _other_crashes(self) -> list[Crash]:
        return [crash for table in self._tables.values() for crash in table.crashes]

    def _blamed_features(self, crash: Crash) -> frozenset[str]:
        names = crash.features
        cleared_tables = [table.cleared for table in self._tables.values()]
        for cleared in (self._cleared, *cleared_tables):
            if crash.crash_id in cleared:
                names = names - cleared[crash.crash_id]
        return names

    def _index_events(self) -> None:
        self._events_of = {}
        for number, event in enumerate(self._events):
            # Features of the same events share a set; there may be 65,536 of them.
            extended: dict[frozenset[int], frozenset[int]] = {}
            for feature in event.features:
                known = self._events_of.get(feature, frozenset())
                if known not in extended:
                    extended[known] = known | {number}
                self._events_of[feature] = extended[known]
        self._inseparable = {}


def _with_first_times(table: CrashTable, previous: CrashTable | None) -> CrashTable:
    """Return a table in which known crashes keep their times.

    A table that is read again later makes its crashes seem younger.
    """
    known = {crash.crash_id: crash.at for crash in previous.crashes} if previous else {}
    crashes = tuple(
        crash._replace(at=min(crash.at, known.get(crash.crash_id, crash.at)))
        for crash in table.crashes
    )
    return table._replace(crashes=crashes)
