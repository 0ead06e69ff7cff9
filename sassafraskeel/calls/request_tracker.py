"""What a host does at the moment: its calls in flight and whether it drains."""

import curio

from sassafraskeel.core.errors import Reason, Refusal, not_run


class RequestTracker:
    """Counts the requests that are being served and holds the drain state.

    A draining host refuses new calls of callers at once. It takes forwarded calls
    until `refuse_peers`, because the other hosts learn of the drain later.
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
        """Wait until no request is being served, however long that takes."""
        while self.in_flight:
            self._changed.clear()
            await self._changed.wait()

    def check_caller(self) -> None:
        """Raise Refusal if calls of callers are not taken."""
        if self.draining:
            raise draining_refusal()

    def check_peer(self) -> None:
        """Raise Refusal if forwarded calls are not taken."""
        if self.peers_refused:
            raise draining_refusal()


def draining_refusal() -> Refusal:
    """Return the refusal of a host that drains."""
    return not_run(Reason.DRAINING, "this host is being stopped", 0.0)
