"""Rate limiting of the requests to cold replicas."""

from sassafraskeel.decisions.affinity import rendezvous

MAX_NAMES = 4096


class ColdPacer:
    """Spaces the requests to cold replicas; one host of a region sends them all.

    The platform's bound holds for all hosts together. Rendezvous hashing over the live
    hosts selects the sending host of each replica. While two hosts disagree about which
    hosts are live, both may send; the bound has room for twice the rate.
    """

    def __init__(self, host_name: str):
        self._host_name = host_name
        self._next_send_at: dict[str, float] = {}

    def may_send(self, replica: str, hosts: set[str], now: float) -> bool:
        """Return whether the local host may send a request to a cold replica now."""
        if (
            rendezvous(replica.encode(), sorted(hosts | {self._host_name}))[0]
            != self._host_name
        ):
            return False
        return now >= self._next_send_at.get(replica, 0.0)

    def sent(self, replica: str, rate: float, now: float) -> None:
        """Record a request; the next one may follow after 1 / `rate` seconds."""
        self._next_send_at.pop(replica, None)
        self._next_send_at[replica] = now + 1 / rate
        if len(self._next_send_at) > MAX_NAMES:
            del self._next_send_at[next(iter(self._next_send_at))]
