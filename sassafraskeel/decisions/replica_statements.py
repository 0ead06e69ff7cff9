"""What replicas say of themselves in their answers.

They name limits, say that they leave or are brittle, and ask for pauses.
"""

from typing import NamedTuple

from sassafraskeel.decisions.fleet import Replica
from sassafraskeel.decisions.rejections import RejectionPacer

MAX_NAMES = 8192
# A replica that takes fewer requests per second than this, or none, still gets a
# request at this rate: only its answers show whether the limit still holds.
MIN_RATE = 0.1
# Requests that may follow one another at once after a pause. Calls wait for a slot in
# steps of 0.2 s, which would cost a part of the rate if it had to be kept exactly.
BURST = 2
# Relayed statements that are newer by less than this are the same: their ages do not
# include the latency between hosts of a region.
RELAY_ERROR_SECONDS = 0.1
# At most one host has a larger share: the coordinator of the hosts that are most of the
# registered ones. All others bound what a brittle replica may reject.
TRUSTED_SHARE = 0.5
# The end of a limit is remembered for this long, so that hosts that have not heard of
# it do not renew the limit.
ENDED_TTL_SECONDS = 30.0
# That a replica leaves is remembered for this long after its entry is gone, because the
# entry may come back when the store does. Replicas that leave serve for their drain
# time and, as the platform has it, at times many seconds more.
LEAVING_TTL_SECONDS = 60.0
# A pause for which a replica asks holds for this long at most, so that a wrong value
# does not take the replica out of use for ever. Replicas ask for some seconds.
MAX_PAUSE_SECONDS = 60.0


class NamedLimit(NamedTuple):
    """What an answer said of the limit of its replica.

    `rate` is the number of requests per second that the replica takes from all hosts
    together, None if it named no limit.
    """

    rate: float | None


class NamedBrittleness(NamedTuple):
    """What an answer said of the brittleness of its replica.

    A replica that rejects more than `rejections` requests in a second for want of room
    crashes. None stands for a replica that is not brittle.
    """

    rejections: float | None


class Statement(NamedTuple):
    """The latest known statement of one run of a replica.

    `said_at` is in local monotonic seconds: when an answer with a limit arrived, or
    when the request was sent whose answer named none. `leaving` is True from the first
    answer that said so to the end of the run. `rejections` are those of the latest
    NamedBrittleness, and `rejections_said_at` is like `said_at`.
    """

    started_at_ms: int
    rate: float | None
    said_at: float
    leaving: bool = False
    rejections: float | None = None
    rejections_said_at: float = 0.0


class _Run(NamedTuple):
    """A run of a replica. Late answers of an earlier run say nothing of a later one."""

    name: str
    started_at_ms: int


class _Allowance(NamedTuple):
    """The requests that could be sent at once at `counted_at`, at most BURST."""

    requests: float
    counted_at: float


class ReplicaStatements:
    """What replicas said, and the rate of the requests placed under their limits.

    A limit holds until the answer to a later request names none, or until the replica
    starts anew, and so does brittleness. The replicas of a service are brittle
    together: a run that has not answered yet counts as brittle if another one is. A
    replica that leaves does so until it starts anew. Only runs that named a limit,
    leave or may be brittle are kept, at most MAX_NAMES of them. A pause holds for the
    local host alone, and as many of them are kept. Arguments called `share` are the
    share of a limit that the local host may use.
    """

    def __init__(self):
        self._statements: dict[_Run, Statement] = {}
        self._allowances: dict[_Run, _Allowance] = {}
        self._leaving: set[_Run] = set()
        self._paused_until: dict[_Run, float] = {}
        self._listed: dict[str, int] = {}
        self._services: dict[str, str] = {}
        # The fewest rejections that a brittle replica of a service has named.
        self._service_rejections: dict[str, float] = {}
        self._pacer = RejectionPacer()
        # Incremented when the set of replicas that leave or are paused may change.
        self.changes = 0

    def is_empty(self) -> bool:
        """Return whether no replica is known to have named a limit or be brittle."""
        return not self._allowances and not self._service_rejections

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a run of a replica has said that it leaves."""
        return bool(self._leaving) and _run(replica) in self._leaving

    def pause_left(self, replica: Replica, now: float) -> float:
        """Return the seconds for which a replica wants nothing from the local host."""
        if not self._paused_until:
            return 0.0
        return max(self._paused_until.get(_run(replica), now) - now, 0.0)

    def cause(self, replica: Replica, now: float) -> str:
        """Return why a replica gets no new work, "" if it may."""
        if self.is_leaving(replica):
            return "leaving"
        return "paused" if self.pause_left(replica, now) else ""

    def refusing(self, now: float) -> list[tuple[str, int]]:
        """Return the name and the start of each run that gets no new work."""
        if self._paused_until:
            self._drop_pauses(now)
        return list(self._leaving.union(self._paused_until))

    def heard_pause(self, replica: Replica, seconds: float, now: float) -> bool:
        """Record that a replica wants no requests for a while.

        Returns whether a pause begins; one that holds is only extended.
        """
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        left = self.pause_left(replica, now)
        if until <= now + left:
            return False
        self._drop_pauses(now)
        if len(self._paused_until) >= MAX_NAMES:
            del self._paused_until[next(iter(self._paused_until))]
        self._paused_until[_run(replica)] = until
        self.changes += 1
        return not left

    def heard_leaving(self, replica: Replica, sent_at: float) -> bool:
        """Record that a replica said that it leaves; return whether that is new.

        `sent_at` is when the request was sent whose answer said so.
        """
        return self._record_leaving(_run(replica), sent_at, sent_at)

    def rate(self, replica: Replica) -> float | None:
        """Return the requests per second that a replica takes, None without a limit."""
        statement = self._statements.get(_run(replica))
        return None if statement is None else statement.rate

    def max_rejections(self, replica: Replica) -> float | None:
        """Return how many rejections in a second a replica survives.

        None stands for a replica that is not brittle.
        """
        if not self._service_rejections:
            return None
        statement = self._statements.get(_run(replica))
        if statement is None or not statement.rejections_said_at:
            return self._service_rejections.get(replica.service)
        return statement.rejections

    def is_restricted(self, replica: Replica) -> bool:
        """Return whether the hosts share what a replica takes."""
        return (
            self.rate(replica) is not None or self.max_rejections(replica) is not None
        )

    def may_send(self, replica: Replica, share: float, now: float) -> bool:
        """Return whether the local host may place a request at a replica now."""
        if self.wait_seconds(replica, share, now) > 0:
            return False
        rejections = self.max_rejections(replica)
        if rejections is None:
            return True
        run = _run(replica)
        if share > TRUSTED_SHARE and self._pacer.is_trusted(run, now):
            return True
        return self._pacer.may_place(run, rejections * share, now)

    def admitted(self, replica: Replica, placed_at: float, now: float) -> None:
        """Record that a replica took a request that was counted at `placed_at`."""
        if self.max_rejections(replica) is not None:
            self._pacer.admitted(_run(replica), placed_at, now)

    def rejected(self, replica: Replica, placed_at: float, now: float) -> None:
        """Record that a replica rejected a request that was counted at `placed_at`."""
        if self.max_rejections(replica) is not None:
            self._pacer.rejected(_run(replica), placed_at, now)

    def is_unused(self, replica: Replica, share: float, now: float) -> bool:
        """Return whether the limit of a replica has not been used up for a while."""
        return self._allowed_requests(replica, share, now) >= BURST

    def wait_seconds(self, replica: Replica, share: float, now: float) -> float:
        """Return the seconds until the limit of a replica allows another request."""
        if self.rate(replica) is None:
            return 0.0
        missing = 1 - self._allowed_requests(replica, share, now)
        return max(missing / self.usable_rate(replica, share), 0.0)

    def usable_rate(self, replica: Replica, share: float) -> float:
        """Return the requests per second that the local host may place at a replica."""
        return max(self.rate(replica), MIN_RATE) * share

    def sent(self, replica: Replica, share: float, now: float) -> None:
        """Count a request that is placed at a replica."""
        if self.rate(replica) is not None:
            requests = self._allowed_requests(replica, share, now) - 1
            self._allowances[_run(replica)] = _Allowance(requests, now)
        if self.max_rejections(replica) is not None:
            self._pacer.placed(_run(replica), now)

    def answered(
        self, replica: Replica, limit: NamedLimit, sent_at: float, now: float
    ) -> bool:
        """Record what an answer said; return whether the limit of its replica changed.

        `sent_at` is when its request was sent. An answer without a limit may have begun
        before an earlier answer named one, and may arrive later, so that it ends the
        limit only if its request was sent after that.
        """
        known = self._statements.get(_run(replica))
        if limit.rate is None and (known is None or sent_at < known.said_at):
            return False
        previous = self.rate(replica)
        said_at = sent_at if limit.rate is None else now
        statement = known or Statement(replica.started_at_ms, None, said_at)
        statement = statement._replace(rate=limit.rate, said_at=said_at)
        self._store(_run(replica), statement, now)
        return limit.rate != previous

    def heard_brittle(
        self,
        replica: Replica,
        brittleness: NamedBrittleness,
        sent_at: float,
        now: float,
    ) -> bool:
        """Record whether an answer said that its replica is brittle.

        Returns whether that changed. As with limits, an answer that does not say so
        counts only if its request was sent after the last answer that did.
        """
        run, rejections = _run(replica), brittleness.rejections
        known = self._statements.get(run)
        if rejections is None:
            if known is None or not known.rejections_said_at:
                if replica.service not in self._service_rejections:
                    return False
            elif sent_at < known.rejections_said_at:
                return False
        self._services.setdefault(replica.name, replica.service)
        statement = known or Statement(replica.started_at_ms, None, 0.0)
        statement = statement._replace(
            rejections=rejections,
            rejections_said_at=sent_at if rejections is None else now,
        )
        self._store(run, statement, now)
        return rejections != (known and known.rejections)

    def relayed(self, name: str, statement: Statement, now: float) -> bool:
        """Record a statement that another host told; return whether the limit changed.

        The newest statement holds, whichever host heard it.
        """
        run = _Run(name, statement.started_at_ms)
        known = self._statements.get(run)
        if known is None:
            if statement.rate is None:
                return False
        elif statement.said_at < known.said_at + RELAY_ERROR_SECONDS:
            return False
        current = known or Statement(run.started_at_ms, None, 0.0)
        current = current._replace(rate=statement.rate, said_at=statement.said_at)
        self._store(run, current, now)
        return known is None or statement.rate != known.rate

    def relayed_brittle(self, name: str, statement: Statement, now: float) -> bool:
        """Record whether a replica is brittle, as told; return whether that changed."""
        run, said_at = _Run(name, statement.started_at_ms), statement.rejections_said_at
        known = self._statements.get(run)
        if known is None or not known.rejections_said_at:
            if not said_at:
                return False
        elif said_at < known.rejections_said_at + RELAY_ERROR_SECONDS:
            return False
        current = known or Statement(run.started_at_ms, None, 0.0)
        current = current._replace(
            rejections=statement.rejections, rejections_said_at=said_at
        )
        self._store(run, current, now)
        return statement.rejections != (known and known.rejections)

    def relayed_leaving(self, name: str, statement: Statement, now: float) -> bool:
        """Record whether a replica leaves, as told; return whether that is new."""
        run = _Run(name, statement.started_at_ms)
        return statement.leaving and self._record_leaving(run, statement.said_at, now)

    def statements(self, now: float) -> list[tuple[str, Statement]]:
        """Return the latest statement of each run, to be told to other hosts."""
        for run, statement in list(self._statements.items()):
            age = now - max(statement.said_at, statement.rejections_said_at)
            is_over = statement.rate is None and statement.rejections is None
            if statement.leaving:
                outdated = age >= LEAVING_TTL_SECONDS and not self._is_listed(run)
            else:
                outdated = is_over and age >= ENDED_TTL_SECONDS
            if outdated:
                self._drop(run)
        return [(run.name, statement) for run, statement in self._statements.items()]

    def retain(
        self, listed: dict[str, int], services: dict[str, str] | None = None
    ) -> None:
        """Forget what runs said that are gone.

        `listed` holds the starts of the listed replicas by their names, `services`
        their services.
        """
        self._listed = listed
        self._services = services or {}
        for run, statement in list(self._statements.items()):
            if not statement.leaving and not self._is_listed(run):
                self._drop(run)
        self._update_services()

    def _update_services(self) -> None:
        """Compute again which services have brittle replicas."""
        self._service_rejections = {}
        for run, statement in self._statements.items():
            if statement.rejections is not None:
                self._add_rejections(run, statement.rejections)

    def _add_rejections(self, run: _Run, rejections: float) -> None:
        service = self._services.get(run.name)
        if service is not None:
            fewest = self._service_rejections.get(service, rejections)
            self._service_rejections[service] = min(fewest, rejections)

    def _drop_pauses(self, now: float) -> None:
        """Forget the pauses that are over."""
        for run in [run for run, until in self._paused_until.items() if now >= until]:
            del self._paused_until[run]
            self.changes += 1

    def _is_listed(self, run: _Run) -> bool:
        return self._listed.get(run.name) == run.started_at_ms

    def _record_leaving(self, run: _Run, said_at: float, now: float) -> bool:
        if run in self._leaving:
            return False
        known = self._statements.get(run)
        statement = known or Statement(run.started_at_ms, None, said_at)
        self._leaving.add(run)
        self.changes += 1
        self._store(run, statement, now)
        return True

    def _allowed_requests(self, replica: Replica, share: float, now: float) -> float:
        requests, counted_at = self._allowances[_run(replica)]
        added = self.usable_rate(replica, share) * (now - counted_at)
        return min(requests + added, BURST)

    def _store(self, run: _Run, statement: Statement, now: float) -> None:
        known = self._statements.get(run)
        self._statements[run] = statement._replace(leaving=run in self._leaving)
        is_limited = known is not None and known.rate is not None
        if statement.rate is not None and not is_limited:
            # The replica has just got more requests than it takes.
            self._allowances[run] = _Allowance(0.0, now)
        former = known and known.rejections
        if former is None and statement.rejections is not None:
            self._add_rejections(run, statement.rejections)
        elif statement.rejections != former:
            self._update_services()
        if len(self._statements) > MAX_NAMES:
            self._drop(next(iter(self._statements)))

    def _drop(self, run: _Run) -> None:
        statement = self._statements.pop(run)
        if statement.rejections is not None:
            self._update_services()
        self._pacer.drop(run)
        self._allowances.pop(run, None)
        if run in self._leaving:
            self._leaving.discard(run)
            self.changes += 1


def _run(replica: Replica) -> _Run:
    return _Run(replica.name, replica.started_at_ms)
