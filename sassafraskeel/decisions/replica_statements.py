"""Limits on the rate of requests that replicas name in their answers."""

from typing import NamedTuple

from sassafraskeel.decisions.fleet import Replica

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
# The end of a limit is remembered for this long, so that hosts that have not heard of
# it do not renew the limit.
ENDED_TTL_SECONDS = 30.0


class NamedLimit(NamedTuple):
    """What an answer said of the limit of its replica.

    `rate` is the number of requests per second that the replica takes from all hosts
    together, None if it named no limit.
    """

    rate: float | None


class Statement(NamedTuple):
    """The latest known statement of one run of a replica.

    `said_at` is in local monotonic seconds: when an answer with a limit arrived, or
    when the request was sent whose answer named none.
    """

    started_at_ms: int
    rate: float | None
    said_at: float


class _Allowance(NamedTuple):
    """The requests that could be sent at once at `counted_at`, at most BURST."""

    requests: float
    counted_at: float


class ReplicaStatements:
    """The limits that replicas named, and the rate of the requests placed under them.

    A limit holds until the answer to a later request names none, or until the replica
    starts anew. Only replicas that named a limit are kept, at most MAX_NAMES of them.
    Arguments called `share` are the share of a limit that the local host may use.
    """

    def __init__(self):
        self._statements: dict[str, Statement] = {}
        self._allowances: dict[str, _Allowance] = {}

    def is_empty(self) -> bool:
        """Return whether no replica is known to have named a limit."""
        return not self._statements

    def rate(self, replica: Replica) -> float | None:
        """Return the requests per second that a replica takes, None without a limit."""
        statement = self._statements.get(replica.name)
        if statement is None or statement.started_at_ms != replica.started_at_ms:
            return None
        return statement.rate

    def may_send(self, replica: Replica, share: float, now: float) -> bool:
        """Return whether the local host may place a request at a replica now."""
        return self.wait_seconds(replica, share, now) <= 0

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
            self._allowances[replica.name] = _Allowance(requests, now)

    def answered(
        self, replica: Replica, limit: NamedLimit, sent_at: float, now: float
    ) -> bool:
        """Record what an answer said; return whether the limit of its replica changed.

        `sent_at` is when its request was sent. An answer without a limit may have begun
        before an earlier answer named one, and may arrive later, so that it ends the
        limit only if its request was sent after that.
        """
        known = self._statements.get(replica.name)
        if limit.rate is None:
            is_known = (
                known is not None and known.started_at_ms == replica.started_at_ms
            )
            if not is_known or sent_at < known.said_at:
                return False
        previous = self.rate(replica)
        said_at = sent_at if limit.rate is None else now
        statement = Statement(replica.started_at_ms, limit.rate, said_at)
        self._store(replica.name, statement, now)
        return limit.rate != previous

    def relayed(self, name: str, statement: Statement, now: float) -> bool:
        """Record a statement that another host told; return whether the limit changed.

        The newest statement holds, whichever host heard it.
        """
        known = self._statements.get(name)
        if known is None:
            if statement.rate is None:
                return False
        elif statement.said_at < known.said_at + RELAY_ERROR_SECONDS:
            return False
        self._store(name, statement, now)
        return known is None or statement[:2] != known[:2]

    def statements(self, now: float) -> list[tuple[str, Statement]]:
        """Return the latest statement of each replica, to be told to other hosts."""
        for name, statement in list(self._statements.items()):
            age = now - statement.said_at
            if statement.rate is None and age >= ENDED_TTL_SECONDS:
                self._drop(name)
        return list(self._statements.items())

    def retain(self, names: set[str]) -> None:
        """Forget the limits of replicas that are gone."""
        for name in [name for name in self._statements if name not in names]:
            self._drop(name)

    def _allowed_requests(self, replica: Replica, share: float, now: float) -> float:
        requests, counted_at = self._allowances[replica.name]
        added = self.usable_rate(replica, share) * (now - counted_at)
        return min(requests + added, BURST)

    def _store(self, name: str, statement: Statement, now: float) -> None:
        known = self._statements.get(name)
        self._statements[name] = statement
        if known is None or known.rate is None:
            # The replica has just got more requests than it takes.
            self._allowances[name] = _Allowance(0.0, now)
        if len(self._statements) > MAX_NAMES:
            self._drop(next(iter(self._statements)))

    def _drop(self, name: str) -> None:
        del self._statements[name]
        self._allowances.pop(name, None)
