"""Which engine gets which control command."""

from typing import NamedTuple

from sassafraskeel.decisions.reports import LoadReport
from sassafraskeel.sheets.model import Fencing, Service, Upstream


class ReportingEngine(NamedTuple):
    """An engine that takes work, with its latest report."""

    upstream: Upstream
    report: LoadReport


class LoadCommand(NamedTuple):
    """Load a model on a replica, while one of the others stays ready."""

    upstream: Upstream
    model: str
    others: tuple[Upstream, ...]
    usable_models: frozenset[str]


def next_load(service: Service, engines: list[ReportingEngine]) -> LoadCommand | None:
    """Return the next load that the sheet's model column asks for, if it may be done.

    A replica is taken out of service only while another ready one has the same model
    or the wanted one, so that the last ready replica of a model stays.
    """
    if not service.model:
        return None
    ready = [engine for engine in engines if engine.report.ready]
    for engine in sorted(ready, key=lambda entry: entry.report.running):
        model = engine.report.model
        if model in ("", service.model):
            continue  # Replicas that do not say what they run are left alone.
        usable = frozenset((model, service.model))
        others = tuple(
            other.upstream
            for other in ready
            if other is not engine and other.report.model in usable
        )
        if others:
            return LoadCommand(engine.upstream, service.model, others, usable)
    return None


def ignores_fencing(upstreams: list[Upstream]) -> bool:
    """Return whether any engine would run a command with an old fencing number."""
    return any(upstream.fencing is Fencing.IGNORED for upstream in upstreams)
