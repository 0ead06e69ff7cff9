"""How much work replicas have, from own sends and the news of other hosts."""

from typing import NamedTuple

# News of another host count for this long; hosts send them several times a second.
REMOTE_LOAD_TTL_SECONDS = 2.0
# A replica's own figure is used while it is this young.
REPORT_TTL_SECONDS = 0.5
MAX_HOSTS = 512


class Load(NamedTuple):
    """Requests at a replica, and the prompt tokens that it still has to read."""

    running: int
    pending_tokens: int

    def __add__(self, other):
        return Load(
            self.running + other.running, self.pending_tokens + other.pending_tokens
        )


IDLE = Load(0, 0)


class ReplicaReport(NamedTuple):
    """Requests running and waiting as a replica said, and those of this host then."""

    heard_at: float
    requests: int
    local_requests: int


class ReplicaLoads:
    """Requests in flight by replica; replicas without any are not kept."""

    def __init__(self):
        self._local: dict[str, Load] = {}
        self._remote: dict[str, tuple[float, dict[str, Load]]] = {}
        self._reports: dict[str, ReplicaReport] = {}
        self.changes = 0

    def started(self, name: str, tokens: int) -> None:
        """Count a request with some prompt tokens to read."""
        self._add(name, Load(1, tokens))

    def prefilled(self, name: str, tokens: int) -> None:
        """Count the prompt of a request as read."""
        self._add(name, Load(0, -tokens))

    def finished(self, name: str) -> None:
        """Count a request as over."""
        self._add(name, Load(-1, 0))

    def reported(self, name: str, requests: int, now: float) -> None:
        """Take the number of requests that a replica said it has."""
        self._reports[name] = ReplicaReport(
            now, requests, self._local.get(name, IDLE).running
        )

    def local_load(self, name: str) -> Load:
        """Return what this host has at a replica."""
        return self._local.get(name, IDLE)

    def total(self, name: str, now: float) -> Load:
        """Return what all hosts have at a replica, as far as is known."""
        total = local_load = self._local.get(name, IDLE)
        for heard_at, loads in self._remote.values():
            if now - heard_at < REMOTE_LOAD_TTL_SECONDS and name in loads:
                total += loads[name]
        report = self._reports.get(name)
        if report is not None and now - report.heard_at < REPORT_TTL_SECONDS:
            reported = report.requests + local_load.running - report.local_requests
            if reported > total.running:
                total = total._replace(running=reported)
        return total

    def local_loads(self) -> dict[str, Load]:
        """Return what this host has at each replica."""
        return dict(self._local)

    def update_remote(self, host: str, loads: dict[str, Load], now: float) -> None:
        """Replace what another host has at replicas."""
        self._remote.pop(host, None)
        self._remote[host] = (now, loads)
        while len(self._remote) > MAX_HOSTS:
            del self._remote[next(iter(self._remote))]

    def retain(self, names: set[str]) -> None:
        """Forget the reports of replicas that are gone."""
        for name in [name for name in self._reports if name not in names]:
            del self._reports[name]

    def _add(self, name: str, change: Load) -> None:
        self.changes += 1
        load = self._local.get(name, IDLE) + change
        if load.running <= 0 and load.pending_tokens <= 0:
            self._local.pop(name, None)
        else:
            self._local[name] = load
