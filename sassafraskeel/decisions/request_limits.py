"""Limits on the rate of requests that replicas name in their answers."""

from typing import NamedTuple

from sassafraskeel.decisions.fleet import Replica

MAX_NAMES = 8192


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


class RequestLimits:
    """The limits that replicas named, by the name of the replica.

    A limit holds until the answer to a later request names none, or until the replica
    starts anew. Only replicas that named a limit are kept, at most MAX_NAMES of them.
    """

    def __init__(self):
        self._statements: dict[str, Statement] = {}

    def rate(self, replica: Replica) -> float | None:
        """Return the requests per second that a replica takes, None without a limit."""
        statement = self._statements.get(replica.name)
        if statement is None or statement.started_at_ms != replica.started_at_ms:
            return None
        return statement.rate

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
        self._store(replica.name, Statement(replica.started_at_ms, limit.rate, said_at))
        return limit.rate != previous

    def retain(self, names: set[str]) -> None:
        """Forget the limits of replicas that are gone."""
        for name in [name for name in self._statements if name not in names]:
            del self._statements[name]

    def _store(self, name: str, statement: Statement) -> None:
        self._statements.pop(name, None)
        self._statements[name] = statement
        if len(self._statements) > MAX_NAMES:
            del self._statements[next(iter(self._statements))]
