"""Rate limiting of the requests to cold replicas."""

MAX_NAMES = 4096


class ColdPacer:
    """Spaces the requests that the local host places at cold replicas."""

    def __init__(self):
        self._next_send_at: dict[str, float] = {}

    def may_send(self, replica: str, now: float) -> bool:
        """Return whether a request may be placed at a cold replica now."""
        return now >= self._next_send_at.get(replica, 0.0)

    def sent(self, replica: str, rate: float, now: float) -> None:
        """Record a request; the next one may follow after 1 / `rate` seconds."""
        self._next_send_at.pop(replica, None)
        self._next_send_at[replica] = now + 1 / rate
        if len(self._next_send_at) > MAX_NAMES:
            del self._next_send_at[next(iter(self._next_send_at))]
