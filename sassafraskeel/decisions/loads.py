"""Load of the replicas, from local requests, peers' heartbeats and load reports."""

from typing import NamedTuple

# Loads of another host expire after this time; hosts announce them several times a
# second.
REMOTE_LOAD_TTL_SECONDS = 2.0
# A load report of a replica is used for this long.
REPORT_TTL_SECONDS = 0.5
MAX_HOSTS = 512


class Load(NamedTuple):
    """Requests at a replica, and the prompt tokens that it has yet to prefill."""

    running: int
    pending_tokens: int

    def __add__(self, other):
        return Load(
            self.running + other.running, self.pending_tokens + other.pending_tokens
        )


IDLE = Load(0, 0)


class ReplicaReport(NamedTuple):
    """A load report of a replica.

    `requests` counts its running and waiting requests, `local_requests` those of the
    local host when the report arrived.
    """

    heard_at: float
    requests: int
    local_requests: int


class ReplicaLoads:
    """Tracks the load of each replica; replicas without requests are not kept."""

    def __init__(self):
        self._local: dict[str, Load] = {}
        self._remote: dict[str, tuple[float, dict[str, Load]]] = {}
        self._reports: dict[str, ReplicaReport] = {}
        self.changes = 0

    def started(self, name: str, tokens: int) -> None:
        """Count a new request whose prompt has `tokens` to prefill."""
        self._add(name, Load(1, tokens))

    def prefilled(self, name: str, tokens: int) -> None:
        """Record that the `tokens` of a request's prompt were prefilled."""
        self._add(name, Load(0, -tokens))

    def finished(self, name: str) -> None:
        """Count a request as finished."""
        self._add(name, Load(-1, 0))

    def reported(self, name: str, requests: int, now: float) -> None:
        """Record the number of requests that a replica reported."""
        self._reports[name] = ReplicaReport(
            now, requests, self._local.get(name, IDLE).running
        )

    def local_load(self, name: str) -> Load:
        """Return the local host's load at a replica."""
        return self._local.get(name, IDLE)

    def total(self, name: str, now: float) -> Load:
        """Return the estimated load of all hosts at a replica.

        A fresh report of the replica, adjusted by the local requests since then,
        replaces the number of requests if it is higher.
        """
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
        """Return the local host's load at each replica."""
        return dict(self._local)

    def update_remote(self, host: str, loads: dict[str, Load], now: float) -> None:
        """Replace the loads of another host."""
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
