"""Load reports of upstreams."""

from typing import NamedTuple, Protocol


class LoadReport(NamedTuple):
    """The load that an upstream reported at `heard_at`, in monotonic seconds.

    `leaving` is set while the upstream is being drained. `instance` changes with every
    start of the upstream, and `model` is the loaded model; both are "" if the upstream
    does not report them.
    """

    running: int
    queued: int
    slots: int
    leaving: bool
    heard_at: float
    ready: bool = True
    model: str = ""
    instance: str = ""


class LoadReports(Protocol):
    """Provides the latest report of each upstream in the local failure domain."""

    def report(self, upstream: str) -> LoadReport | None:
        """Return the latest report, or None if the upstream has not answered."""
