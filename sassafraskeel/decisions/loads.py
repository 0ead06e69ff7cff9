"""Load of the replicas: local calls, granted calls of peers, and load reports."""

from typing import NamedTuple

# Loads that another host announced expire after this time; hosts announce them about
# twice a second.
ANNOUNCED_LOAD_TTL_SECONDS = 2.0
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

    def __sub__(self, other):
        return Load(
            self.running - other.running, self.pending_tokens - other.pending_tokens
        )


IDLE = Load(0, 0)


class ReplicaReport(NamedTuple):
    """A load report of a replica.

    `requests` counts its running and waiting requests, `known_requests` those that the
    local host knew of when the report arrived.
    """

    heard_at: float
    requests: int
    known_requests: int


class LoadTable:
    """Sums of loads by replica; replicas without load are not kept."""

    def __init__(self):
        self._loads: dict[str, Load] = {}

    def get(self, name: str) -> Load:
        """Return the load of a replica."""
        return self._loads.get(name, IDLE)

    def add(self, name: str, change: Load) -> None:
        """Add to the load of a replica; a load may be negative for a moment."""
        load = self.get(name) + change
        if load == IDLE:
            self._loads.pop(name, None)
        else:
            self._loads[name] = load

    def items(self) -> dict[str, Load]:
        """Return a copy of all loads by replica."""
        return dict(self._loads)


class ReplicaLoads:
    """Tracks the load of each replica.

    The load consists of the calls of the local host, of the calls that it granted to
    its peers as coordinator, and of those that peers announce because no grant of the
    local host covers them. A lookup costs the same for any number of hosts.
    """

    def __init__(self):
        self._local = LoadTable()
        # The calls of the local host and those that it granted to peers.
        self._known = LoadTable()
        # All known calls, and those that peers announce.
        self._total = LoadTable()
        self._announced_by: dict[str, tuple[float, dict[str, Load]]] = {}
        self._reports: dict[str, ReplicaReport] = {}

    def started(self, name: str, tokens: int) -> None:
        """Count a new local request whose prompt has `tokens` to prefill."""
        self._add_local(name, Load(1, tokens))

    def prefilled(self, name: str, tokens: int) -> None:
        """Record that the `tokens` of a local request's prompt were prefilled."""
        self._add_local(name, Load(0, -tokens))

    def finished(self, name: str) -> None:
        """Count a local request as finished."""
        self._add_local(name, Load(-1, 0))

    def grant(self, name: str, load: Load) -> None:
        """Count a local request as one of the peer to which its slot is granted."""
        self._local.add(name, IDLE - load)

    def change_granted(self, name: str, change: Load) -> None:
        """Change the load of the requests granted to peers."""
        self._known.add(name, change)
        self._total.add(name, change)

    def reported(self, name: str, requests: int, now: float) -> None:
        """Record the number of requests that a replica reported."""
        known_requests = self._known.get(name).running
        self._reports[name] = ReplicaReport(now, requests, known_requests)

    def reported_requests(self, name: str, now: float) -> int | None:
        """Return the number of requests in a fresh report, None if there is none."""
        report = self._reports.get(name)
        if report is None or now - report.heard_at >= REPORT_TTL_SECONDS:
            return None
        return report.requests

    def known_requests(self, name: str) -> int:
        """Return the local requests at a replica and those granted to peers."""
        return self._known.get(name).running

    def local_load(self, name: str) -> Load:
        """Return the local host's load at a replica."""
        return self._local.get(name)

    def total(self, name: str, now: float) -> Load:
        """Return the estimated load of all hosts at a replica.

        A fresh report of the replica, adjusted by the known requests since then,
        replaces the number of requests if it is higher.
        """
        self._expire(now)
        total = self._total.get(name)
        report = self._reports.get(name)
        if report is not None and now - report.heard_at < REPORT_TTL_SECONDS:
            known = self._known.get(name).running
            reported = report.requests + known - report.known_requests
            if reported > total.running:
                total = total._replace(running=reported)
        return total

    def local_loads(self) -> dict[str, Load]:
        """Return the local host's load at each replica."""
        return self._local.items()

    def update_announced(self, host: str, loads: dict[str, Load], now: float) -> None:
        """Replace the loads that another host announced."""
        self._drop_announced(host)
        self._announced_by[host] = (now, loads)
        for name, load in loads.items():
            self._total.add(name, load)
        while len(self._announced_by) > MAX_HOSTS:
            self._drop_announced(next(iter(self._announced_by)))

    def retain(self, names: set[str]) -> None:
        """Forget the reports of replicas that are gone."""
        for name in [name for name in self._reports if name not in names]:
            del self._reports[name]

    def _add_local(self, name: str, change: Load) -> None:
        self._local.add(name, change)
        self._known.add(name, change)
        self._total.add(name, change)

    def _expire(self, now: float) -> None:
        # The announcements are in the order of their arrival.
        while self._announced_by:
            host, (heard_at, _) = next(iter(self._announced_by.items()))
            if now - heard_at < ANNOUNCED_LOAD_TTL_SECONDS:
                return
            self._drop_announced(host)

    def _drop_announced(self, host: str) -> None:
        _, loads = self._announced_by.pop(host, (0.0, {}))
        for name, load in loads.items():
            self._total.add(name, IDLE - load)
