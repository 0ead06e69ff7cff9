"""Decides which engine gets which control command."""

from typing import NamedTuple

from sassafraskeel.decisions.reports import LoadReport
from sassafraskeel.sheets.model import Fencing, Service, Upstream


class ReportingEngine(NamedTuple):
    """An engine that takes new work, with its latest load report."""

    upstream: Upstream
    report: LoadReport


class LoadCommand(NamedTuple):
    """Load a model on an engine, while one of the others stays ready.

    Each of `others` serves one of `usable_models`.
    """

    upstream: Upstream
    model: str
    others: tuple[Upstream, ...]
    usable_models: frozenset[str]


def next_load(service: Service, engines: list[ReportingEngine]) -> LoadCommand | None:
    """Return the next load command towards the sheet's model, or None.

    An engine is taken out of service only while another ready engine has the same
    model or the wanted one, so that the last ready engine of a model stays.
    """
    if not service.model:
        return None
    ready = [engine for engine in engines if engine.report.ready]
    for engine in sorted(ready, key=lambda entry: entry.report.running):
        model = engine.report.model
        if model in ("", service.model):
            continue  # Engines that do not report a model are left alone.
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
