"""The requests in flight at this host and its drain state."""

import curio

from sassafraskeel.core.errors import Reason, Refusal, not_run_refusal


class RequestTracker:
    """Counts the requests that are being served and holds the drain state.

    A draining host refuses new calls of callers at once. It accepts forwarded calls
    until `peers_refused` is set, because peers learn of the drain later.
    """

    def __init__(self):
        self.in_flight = 0
        self.draining = False
        self.peers_refused = False
        self._changed = curio.Event()

    async def __aenter__(self):
        self.in_flight += 1
        return self

    async def __aexit__(self, exc_type, exc, traceback):
        self.in_flight -= 1
        if not self.in_flight:
            await self._changed.set()

    async def wait_idle(self) -> None:
        """Wait without a time limit until no request is being served."""
        while self.in_flight:
            self._changed.clear()
            await self._changed.wait()

    def refuse_all(self) -> None:
        """Refuse all new calls, because the host closes."""
        self.draining = self.peers_refused = True

    def check_caller(self) -> None:
        """Raise Refusal if this host accepts no calls of callers."""
        if self.draining:
            raise draining_refusal()

    def check_peer(self) -> None:
        """Raise Refusal if this host accepts no forwarded calls."""
        if self.peers_refused:
            raise draining_refusal()


def draining_refusal() -> Refusal:
    """Return the refusal of a draining host."""
    return not_run_refusal(Reason.DRAINING, "this host is being stopped", 0.0)
