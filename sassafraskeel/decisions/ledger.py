"""The records of the orders that this host owns or witnesses."""

from enum import IntEnum
from typing import NamedTuple

from sassafraskeel.core.errors import Reason, not_run_refusal
from sassafraskeel.core.settings import OrderSection
from sassafraskeel.core.types import Headers

# The body of a larger answer is sent to the first caller but not stored. A later call
# with the same id gets "unknown" and the detail that the order ran.
MAX_STORED_ANSWER_BYTES = 64 * 1024
MAX_STORED_BYTES = 64 * 1024 * 1024


class AttemptState(IntEnum):
    """The state of an attempt; of two records of an attempt, the higher is newer."""

    INTENT = 0
    RUNNING = 1
    CANCELLED = 2
    RESULT = 3


class StoredAnswer(NamedTuple):
    """The answer of an upstream to an order; `body` is empty unless `body_stored`."""

    status: int
    headers: Headers
    body: bytes
    body_stored: bool = True


class Attempt(NamedTuple):
    """One attempt to run an order; later attempts compare greater.

    Each view has one owner of an id, and the owner starts an attempt only after the
    previous one was closed as not run.
    """

    view: int
    sequence: int


class OrderRecord(NamedTuple):
    """The latest known attempt at an order; `created` is in monotonic seconds."""

    order_id: str
    fingerprint: bytes
    attempt: Attempt
    state: AttemptState
    created: float
    answer: StoredAnswer | None = None

    @property
    def is_unresolved(self) -> bool:
        """Return whether the order may have run without a known result."""
        return self.state in (AttemptState.INTENT, AttemptState.RUNNING)


class Ledger:
    """The records in memory, limited in number, age and bytes of stored bodies."""

    def __init__(self, cfg: OrderSection):
        self._cfg = cfg
        self._records: dict[str, OrderRecord] = {}
        self._bytes = 0

    def __len__(self):
        return len(self._records)

    def clear(self) -> None:
        """Drop all records."""
        self._records.clear()
        self._bytes = 0

    def records(self) -> list[OrderRecord]:
        """Return all records."""
        return list(self._records.values())

    def find(self, order_id: str) -> OrderRecord | None:
        """Return the record of an id, None if there is none."""
        return self._records.get(order_id)

    def begin_attempt(
        self, order_id: str, fingerprint: bytes, view: int, now: float
    ) -> OrderRecord:
        """Record the intent of a new attempt; raise Refusal if the ledger is full."""
        old = self.find(order_id)
        if old is None and not self._has_room(now):
            raise not_run_refusal(
                Reason.LEDGER_FULL, "the ledger of orders is full", 5.0
            )
        sequence = old.attempt.sequence + 1 if old else 1
        attempt = Attempt(max(view, old.attempt.view if old else 0), sequence)
        record = OrderRecord(order_id, fingerprint, attempt, AttemptState.INTENT, now)
        self._store(record)
        return record

    def accept_intent(self, record: OrderRecord, now: float) -> OrderRecord | None:
        """Store an owner's intent, or return the record that forbids it.

        Raise Refusal if the ledger is full.
        """
        old = self.find(record.order_id)
        if old is not None:
            if old.state is AttemptState.RESULT or old.state is AttemptState.RUNNING:
                return old
            if old.attempt >= record.attempt:
                return old
            if old.is_unresolved and old.attempt.view != record.attempt.view:
                return old  # The owner of the earlier view may have dispatched it.
        elif not self._has_room(now):
            raise not_run_refusal(
                Reason.LEDGER_FULL, "the ledger of orders is full", 5.0
            )
        self._store(record)
        return None

    def mark_dispatched(self, record: OrderRecord) -> bool:
        """Mark an intent as running; return False if it was closed meanwhile."""
        if self.find(record.order_id) != record:
            return False
        self._store(record._replace(state=AttemptState.RUNNING))
        return True

    def close_attempt(
        self, record: OrderRecord, answer: StoredAnswer | None
    ) -> OrderRecord:
        """Close an attempt with its answer, or as not run, and return its record."""
        state = AttemptState.RESULT if answer else AttemptState.CANCELLED
        closed = record._replace(state=state, answer=self._drop_large_body(answer))
        self.merge(closed)
        return closed

    def merge(self, record: OrderRecord) -> None:
        """Store a record of another host if it is newer than the local one."""
        old = self.find(record.order_id)
        if old is None or _recency(record) > _recency(old):
            self._store(record._replace(answer=self._drop_large_body(record.answer)))

    def overwrite(self, record: OrderRecord) -> None:
        """Replace the local record by the one with which the witness refused it.

        The witness's record may be that of an earlier attempt, unlike in `merge`.
        """
        self._store(record._replace(answer=self._drop_large_body(record.answer)))

    def cancel_intents(self, is_owned) -> None:
        """Close the undispatched attempts for which `is_owned` is true."""
        for record in self.records():
            if record.state is AttemptState.INTENT and is_owned(record):
                self._store(record._replace(state=AttemptState.CANCELLED))

    def retain(self, is_wanted) -> None:
        """Drop the records of the ids for which `is_wanted` is false."""
        for record in self.records():
            if not is_wanted(record.order_id):
                self._drop(record)

    def expire(self, now: float) -> None:
        """Drop the records of ids that every host refuses as expired.

        Ages are measured with the monotonic clock, so that a step of the wall clock
        drops no record.
        """
        retention_seconds = (
            self._cfg.lifetime + 4 * self._cfg.clock_skew
        ).total_seconds()
        for record in self.records():
            if now - record.created > retention_seconds:
                self._drop(record)

    def _has_room(self, now) -> bool:
        if len(self._records) >= self._cfg.max_records:
            self.expire(now)
        return len(self._records) < self._cfg.max_records

    def _drop_large_body(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        if answer is None or not answer.body_stored:
            return answer
        size = len(answer.body)
        if size > MAX_STORED_ANSWER_BYTES or self._bytes + size > MAX_STORED_BYTES:
            return answer._replace(body=b"", body_stored=False)
        return answer

    def _store(self, record: OrderRecord) -> None:
        old = self._records.get(record.order_id)
        self._bytes += _size(record) - _size(old)
        self._records[record.order_id] = record

    def _drop(self, record: OrderRecord) -> None:
        self._bytes -= _size(self._records.pop(record.order_id))


def _recency(record: OrderRecord):
    return record.attempt, record.state


def _size(record: OrderRecord | None) -> int:
    return len(record.answer.body) if record and record.answer else 0
