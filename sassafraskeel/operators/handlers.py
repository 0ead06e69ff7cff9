"""The handlers of a host for requests of operators."""

from typing import TYPE_CHECKING

from sassafraskeel.decisions.membership import Liveness
from sassafraskeel.operators.server import OperatorHandlers

if TYPE_CHECKING:
    from sassafraskeel.host import Host


def build_handlers(host: "Host") -> OperatorHandlers:
    """Return the handlers of a host."""
    return OperatorHandlers(
        status=lambda: status(host),
        burn=lambda: burn(host),
        metrics=lambda: metrics(host),
        drain=host.drain_requested.set,
    )


def status(host: "Host") -> dict:
    """Return the state of a host, which consists of names and numbers only."""
    local_host, now = host.membership.local_host, host.clock.monotonic()
    view = host.order_context.view_state.view
    return {
        "host": local_host.name,
        "domain": local_host.domain,
        "incarnation": local_host.incarnation,
        "callers": str(local_host.callers),
        "gateways": str(local_host.gateways),
        "sheet_version": host.installed.version,
        "draining": host.request_tracker.draining,
        "in_flight": host.request_tracker.in_flight,
        "platform_available": host.is_platform_available(),
        "view": view.number if view else 0,
        "view_members": [member.host for member in view.members] if view else [],
        "members": [
            {
                "host": member.info.name,
                "domain": member.info.domain,
                "liveness": host.membership.liveness(member.info.name, now).value,
                "sheet_version": member.sheet_version,
                "draining": member.draining,
            }
            for member in host.membership.members()
        ],
        "upstreams": _upstreams(host),
    }


def burn(host: "Host") -> dict:
    """Return the objectives, and the minutes of the last hour with their histograms."""
    local_host, sheet = host.membership.local_host, host.installed.current
    return {
        "host": local_host.name,
        "domain": local_host.domain,
        "region": sheet.region_of(local_host.domain) if sheet else "",
        "minute": host.metrics.current_minute(),
        "objectives": {
            service.name: [service.objective_ms, service.objective]
            for service in (sheet.services.values() if sheet else ())
        },
        "slots": [burn_minute._asdict() for burn_minute in host.metrics.burn_minutes()],
    }


def metrics(host: "Host") -> bytes:
    """Return the metrics in the Prometheus text format."""
    now = host.clock.monotonic()
    live = [
        member
        for member in host.membership.members()
        if host.membership.liveness(member.info.name, now) is Liveness.LIVE
    ]
    host.metrics.set_gauges(
        calls_in_flight=host.request_tracker.in_flight,
        draining=host.request_tracker.draining,
        sheet_version=host.installed.version,
        members_live=len(live),
        log_events_dropped=getattr(host.log, "dropped", 0),
        long_turns=host.turns.long_turns,
        longest_turn_seconds=host.turns.longest_seconds,
    )
    return host.metrics.prometheus_text()


def _upstreams(host: "Host") -> list[dict]:
    sheet = host.installed.current
    rows = []
    for upstream in sheet.upstreams.values() if sheet else ():
        if upstream.domain != host.membership.local_host.domain:
            continue
        report = host.upstreams.reports.report(upstream.name)
        rows.append(
            {
                "upstream": upstream.name,
                "service": upstream.service,
                "slots": upstream.slots,
                "in_flight": host.in_flight(upstream.name),
                "running": report.running if report else None,
                "queued": report.queued if report else None,
                "leaving": report.leaving if report else None,
            }
        )
    return rows
