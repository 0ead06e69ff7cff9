"""Processes of hosts that end, or fail, although the run did not ask for it."""

from tools.route_cluster import RouteCluster

FAILURE_MARKS = ('"number": 111,', "Traceback (most recent call last)")


class ProcessWatch:
    """Collects the ends of host processes that nobody asked for, as texts."""

    def __init__(self, cluster: RouteCluster):
        self._cluster = cluster
        self._ended: dict[str, int] = {}
        self._failed_stops: list[str] = []

    def check_running(self, names) -> None:
        """Record the processes of running hosts that have ended."""
        for name in names:
            status = self._cluster.processes[name].poll()
            if status is not None:
                self._ended.setdefault(name, status)

    def stopped(self, name: str, status: int) -> None:
        """Record the exit status of a host after SIGTERM."""
        if status:
            self._failed_stops.append(f"{name} had status {status} after SIGTERM")

    def faults(self) -> list[str]:
        """Return the ends, and the hosts whose logs tell of a failure."""
        ended = [f"{name}: status {status}" for name, status in self._ended.items()]
        logs = {host.name: self._cluster.log(host.name) for host in self._cluster.hosts}
        failed = [
            f"{name} logged a failure"
            for name, text in logs.items()
            if any(mark in text for mark in FAILURE_MARKS)
        ]
        return ended + self._failed_stops + failed
