"""Order ids, their dates, and the rendezvous hash that selects an order's owner."""

import hashlib
import uuid
from collections.abc import Iterable
from datetime import UTC, datetime
from typing import NamedTuple

from sassafraskeel.core.errors import Reason, not_run_refusal, unknown_outcome_refusal
from sassafraskeel.core.settings import OrderSection

UUID_VERSION = 7
HASH_BYTES = 8


class OrderId(NamedTuple):
    """An order id in canonical spelling and the date that it contains."""

    text: str
    issued_at: datetime


def parse_order_id(text: str) -> OrderId:
    """Return the order id written as a UUIDv7 (RFC 9562).

    Raise Refusal if the text is not a UUIDv7 with a valid date.
    """
    if not text:
        raise not_run_refusal(Reason.ORDER_ID_MISSING, "Idempotency-Key is required")
    try:
        value = uuid.UUID(text)
    except ValueError as exc:
        raise not_run_refusal(Reason.ORDER_ID_INVALID, "the key is not a UUID") from exc
    if value.version != UUID_VERSION:
        raise not_run_refusal(Reason.ORDER_ID_INVALID, "the key is not a UUIDv7")
    try:
        issued_at = datetime.fromtimestamp((value.int >> 80) / 1000, UTC)
    except (OverflowError, OSError, ValueError) as exc:
        raise not_run_refusal(
            Reason.ORDER_ID_INVALID, "the key has no valid date"
        ) from exc
    return OrderId(str(value), issued_at)


def check_date(order: OrderId, now: datetime, cfg: OrderSection) -> None:
    """Raise Refusal for an id that is too old or dated in the future."""
    time_ahead = order.issued_at - now
    if time_ahead > cfg.clock_skew:
        # A host whose clock is ahead of this one may have accepted the id. Only a date
        # beyond the skew of both hosts shows that the order never ran.
        never_accepted = time_ahead > 2 * cfg.clock_skew
        make_refusal = not_run_refusal if never_accepted else unknown_outcome_refusal
        raise make_refusal(Reason.ORDER_FROM_FUTURE, "the key is dated in the future")
    if -time_ahead > cfg.lifetime:
        raise unknown_outcome_refusal(
            Reason.ORDER_EXPIRED, "the key is older than records are kept"
        )


def rank(order_id: str, incarnations: Iterable[str]) -> list[str]:
    """Return incarnations by descending rendezvous weight for an order id."""

    def weight(incarnation):
        data = f"{incarnation}/{order_id}".encode()
        return hashlib.blake2b(data, digest_size=HASH_BYTES).digest()

    return sorted(incarnations, key=weight, reverse=True)


def owner_and_witness(order_id: str, incarnations: Iterable[str]) -> tuple[str, str]:
    """Return the owner and the witness of an order id; "" where there is none."""
    ranked = rank(order_id, incarnations)
    return (*ranked, "", "")[0], (*ranked, "", "")[1]


def fingerprint_of(
    workspace: str, service: str, method: str, path: str, body: bytes
) -> bytes:
    """Return a hash that differs between different calls with the same order id."""
    digest = hashlib.sha256()
    for part in (workspace, service, method, path):
        digest.update(f"{len(part)}:{part}".encode())
    digest.update(body)
    return digest.digest()
