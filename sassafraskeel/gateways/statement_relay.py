"""Tells the other hosts of a region what replicas said of themselves, in heartbeats."""

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import ProtocolError
from sassafraskeel.core.events import Event
from sassafraskeel.core.log import LogSink
from sassafraskeel.core.types import HostInfo
from sassafraskeel.decisions.replica_statements import ReplicaStatements, Statement
from sassafraskeel.gateways.codec import decode_field
from sassafraskeel.gateways.messages import NO_LIMIT

# Heartbeats are sent every 0.4 s, so that 16 rows of 64 bytes take about 2.5 KB a
# second. If there are more rows, successive heartbeats to a host take turns with them.
MAX_ROWS = 16
MAX_PEERS = 1024
ROW_TYPES = (str, int, float, float, bool, float, float)
# Hosts of earlier versions send and take rows without the last two fields.
PLAIN_FIELDS = 5
# Stands for the age of what a replica has not said.
NEVER = -1.0


class StatementRelay:
    """Encodes the statements of replicas for a peer, and records those of peers.

    Every host hears the answers to its own calls only, while a limit holds for all
    hosts together, so do the rejections that a brittle replica survives, and a replica
    that leaves is to get no more work of any. A host that
    starts to coordinate its region, or that reaches no coordinator, therefore has to
    know what others heard.
    """

    def __init__(self, statements: ReplicaStatements, clock: Clock, log: LogSink):
        self._statements = statements
        self._clock = clock
        self._log = log
        self._next_rows: dict[str, int] = {}

    def rows(self, peer: HostInfo) -> list:
        """Return the rows for the next heartbeat to a host."""
        now = self._clock.monotonic()
        statements = self._statements.statements(now)
        if len(statements) > MAX_ROWS:
            if peer.name not in self._next_rows and len(self._next_rows) >= MAX_PEERS:
                self._next_rows.clear()
            start = self._next_rows.get(peer.name, 0) % len(statements)
            self._next_rows[peer.name] = start + MAX_ROWS
            statements = (statements[start:] + statements[:start])[:MAX_ROWS]
        return [
            _encode_statement(name, statement, now) for name, statement in statements
        ]

    def record(self, peer: HostInfo, rows: list) -> None:
        """Record the rows of a heartbeat; raise ProtocolError if one is malformed."""
        now = self._clock.monotonic()
        for row in rows[:MAX_ROWS]:
            name, statement = _decode_statement(row, now)
            if self._statements.relayed_leaving(name, statement, now):
                self._log.emit(
                    Event.REPLICA_LEAVING,
                    replica=name,
                    started_at_ms=statement.started_at_ms,
                    source=peer.name,
                )
            if self._statements.relayed(name, statement, now):
                self._log.emit(
                    Event.LIMIT_CHANGED,
                    replica=name,
                    rate=statement.rate,
                    source=peer.name,
                )
            if self._statements.relayed_brittle(name, statement, now):
                self._log.emit(
                    Event.BRITTLENESS_CHANGED,
                    replica=name,
                    rejections=statement.rejections,
                    source=peer.name,
                )


def _encode_statement(name: str, statement: Statement, now: float) -> list:
    rate = NO_LIMIT if statement.rate is None else statement.rate
    rejections = NO_LIMIT if statement.rejections is None else statement.rejections
    age = max(now - statement.said_at, 0.0)
    row = [name, statement.started_at_ms, rate, age, statement.leaving]
    if not statement.rejections_said_at:
        return row
    return [*row, rejections, max(now - statement.rejections_said_at, 0.0)]


def _decode_statement(row, now: float) -> tuple[str, Statement]:
    if not isinstance(row, list) or len(row) not in (PLAIN_FIELDS, len(ROW_TYPES)):
        raise ProtocolError("a row with a statement of a replica is malformed")
    row = [*row, NO_LIMIT, NEVER][: len(ROW_TYPES)]
    fields = map(decode_field, row, ROW_TYPES)
    name, started_at_ms, rate, age, leaving, rejections, rejections_age = fields
    return name, Statement(
        started_at_ms,
        None if rate < 0 else rate,
        now - max(age, 0.0),
        leaving,
        None if rejections < 0 else rejections,
        0.0 if rejections_age < 0 else now - rejections_age,
    )
