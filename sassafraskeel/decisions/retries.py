"""Decides whether a refused call is retried."""

from typing import Protocol

from sassafraskeel.core.errors import Reason, Refusal
from sassafraskeel.core.types import Call, CallKind

# A host that has just started may retry a few calls before it has seen any traffic.
INITIAL_RETRIES = 2.0
# Retries saved during quiet periods must not add to the attempts during an outage.
MAX_AVAILABLE_RETRIES = 3.0
RETRYABLE = frozenset(
    (
        Reason.UPSTREAM_FAILED,
        Reason.UPSTREAM_REFUSED,
        Reason.PEER_UNREACHABLE,
        Reason.OVERLOADED,
        Reason.DRAINING,
        Reason.NO_UPSTREAM,
        Reason.NO_SHEET,
    )
)


class RetryPolicy(Protocol):
    """Decides on retries; asked only before any byte of an answer was forwarded."""

    def record_call(self) -> None:
        """Count a call as traffic of this host."""

    def allows(self, call: Call, refusal: Refusal, attempts: int) -> bool:
        """Return whether to retry after `attempts` attempts; count an allowed retry."""


def is_retryable(call: Call, refusal: Refusal) -> bool:
    """Return whether a retry is safe and may have a different outcome.

    Only the entry host retries, so that attempts do not multiply along the hops.
    Orders are never retried here: the owner of an order decides on new dispatches.
    """
    return (
        call.kind is not CallKind.ORDER
        and not call.hops
        and refusal.reason in RETRYABLE
    )


class RetryBudget:
    """Allows retries up to a share of the traffic."""

    def __init__(self, share: float, max_attempts: int):
        self._share = share
        self._max_attempts = max_attempts
        self._available_retries = INITIAL_RETRIES if share else 0.0

    def record_call(self) -> None:
        self._available_retries = min(
            self._available_retries + self._share, MAX_AVAILABLE_RETRIES
        )

    def allows(self, call: Call, refusal: Refusal, attempts: int) -> bool:
        if not is_retryable(call, refusal) or attempts >= self._max_attempts:
            return False
        if self._available_retries < 1:
            return False
        self._available_retries -= 1
        return True
