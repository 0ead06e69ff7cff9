"""The report commands: service-level burn of all reachable hosts."""

import html
import re
from collections import defaultdict
from pathlib import Path
from typing import Annotated, NamedTuple

import cappa
import pygal
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, ValidationError

from sassafraskeel.core.errors import ProtocolError, UserError
from sassafraskeel.core.metrics import count_at_most, merge_histograms
from sassafraskeel.decisions.burn import (
    WINDOWS_MINUTES,
    BurnRow,
    Objective,
    Sample,
    burn_by_minute,
    burn_rows,
)
from sassafraskeel.operators.client import HostAnswers
from sassafraskeel.operators.results import EXIT_DONE, EXIT_NOT_DONE, CommandResult
from sassafraskeel.operators.status_commands import EXIT_CODES, OperatorCommand

PAGE_STYLE = """body{font-family:sans-serif;margin:2em;max-width:70em}
table{border-collapse:collapse}td,th{padding:.3em .8em;text-align:right}
th:first-child,td:first-child{text-align:left}tr.over{background:#fdd}
svg{max-width:100%;height:auto}"""
SCRIPTS_AND_COMMENTS = re.compile(r"<script.*?</script>|<!--.*?-->", re.DOTALL)
CHART_STYLE = pygal.style.Style(background="white", plot_background="white")


class ReportedMinute(BaseModel):
    """One minute of a series, as reported by a host."""

    model_config = ConfigDict(extra="ignore")
    minute: int
    service: str
    kind: str
    failed: int
    histogram: str


class HostBurn(BaseModel):
    """The answer of a host to /burn."""

    model_config = ConfigDict(extra="ignore")
    host: str
    domain: str
    region: str
    minute: int
    objectives: dict[str, tuple[int, float]]
    slots: list[ReportedMinute]


class BurnSummary(NamedTuple):
    """The burn of all reachable hosts."""

    rows: list[BurnRow]
    series: dict[tuple[str, str], list[float | None]]
    objectives: dict[str, Objective]
    latencies: dict[str, HdrHistogram]
    hosts: list[str]
    missing: dict[str, str]


def collect_burn(answers: HostAnswers) -> BurnSummary:
    """Return the combined burn of the hosts that answered."""
    missing = {str(address): reason for address, reason in answers.missing.items()}
    hosts: list[HostBurn] = []
    for address, content in answers.received.items():
        try:
            hosts.append(HostBurn.model_validate(content))
        except ValidationError:
            missing[str(address)] = "the answer is not a burn report"
    objectives = {
        service: Objective(*entry)
        for host in hosts
        for service, entry in host.objectives.items()
    }
    # Clocks differ slightly, so the latest minute of any host is the current one.
    now = max((host.minute for host in hosts), default=0)
    samples = [sample for host in hosts for sample in _samples(host, objectives)]
    encoded = defaultdict(list)
    for host in hosts:
        for reported in host.slots:
            encoded[reported.service].append(reported.histogram)
    return BurnSummary(
        burn_rows(samples, objectives, now),
        burn_by_minute(samples, objectives, now),
        objectives,
        {service: merge_histograms(texts) for service, texts in encoded.items()},
        sorted(host.host for host in hosts),
        missing,
    )


def _samples(host: HostBurn, objectives) -> list[Sample]:
    samples = []
    for reported in host.slots:
        objective = objectives.get(reported.service)
        if objective is None:
            continue
        histogram = merge_histograms([reported.histogram])
        answered = histogram.get_total_count()
        good = count_at_most(histogram, objective.milliseconds)
        calls, bad = answered + reported.failed, answered - good + reported.failed
        samples.append(
            Sample(reported.service, host.region, reported.minute, calls, bad)
        )
    return samples


def burn_result(burn: BurnSummary) -> CommandResult:
    """Return the burn as a table and as JSON."""
    lines = [
        f"{'service':<20} {'region':<12} {'window':<6} {'calls':>8} {'bad':>7}"
        f" {'burn':>7}"
    ]
    for row in burn.rows:
        lines.append(
            f"{row.service:<20} {row.region:<12} {row.window:<6} {row.calls:>8}"
            f" {row.bad:>7} {row.burn:>7.2f}"
        )
    lines += [
        f"{address}: missing: {reason}" for address, reason in burn.missing.items()
    ]
    content = {
        "rows": [row._asdict() for row in burn.rows],
        "objectives": {
            service: entry._asdict() for service, entry in burn.objectives.items()
        },
        "hosts": burn.hosts,
        "missing": burn.missing,
    }
    return CommandResult(
        EXIT_NOT_DONE if burn.missing else EXIT_DONE, content, tuple(lines)
    )


def burn_page(burn: BurnSummary) -> str:
    """Return the report as a self-contained HTML page."""
    rows = "".join(
        f"<tr{' class=over' if row.burn > 1 else ''}>"
        f"<td>{html.escape(row.service)}</td><td>{html.escape(row.region)}</td>"
        f"<td>{row.window}</td><td>{row.calls}</td>"
        f"<td>{row.bad}</td><td>{row.burn:.2f}</td></tr>"
        for row in burn.rows
    )
    missing = "".join(
        f"<li>{html.escape(address)}: {html.escape(reason)}</li>"
        for address, reason in burn.missing.items()
    )
    return (
        "<!DOCTYPE html><html lang=en><head><meta charset=utf-8>"
        f"<title>Service-level burn</title><style>{PAGE_STYLE}</style></head><body>"
        f"<h1>Service-level burn</h1><p>Hosts: {html.escape(', '.join(burn.hosts))}</p>"
        f"<h2>Missing hosts: {len(burn.missing)}</h2><ul>{missing}</ul>"
        "<table><tr><th>service<th>region<th>window<th>calls<th>bad<th>burn</tr>"
        f"{rows}</table>{_burn_chart(burn)}{_latency_chart(burn)}</body></html>"
    )


def _burn_chart(burn: BurnSummary) -> str:
    chart = pygal.Line(_chart_config("Burn by minute; at 1 the objective is just met"))
    span = WINDOWS_MINUTES["1h"]
    chart.x_labels = [str(index - span + 1) for index in range(span)]
    chart.x_labels_major = [label for label in chart.x_labels if int(label) % 10 == 0]
    chart.x_title, chart.y_title = "minutes ago", "burn"
    for (service, region), points in sorted(burn.series.items()):
        chart.add(f"{service} {region}", points)
    return _render_static(chart)


def _latency_chart(burn: BurnSummary) -> str:
    chart = pygal.Bar(_chart_config("Latency of answered calls in the last hour, ms"))
    percentiles = (50.0, 95.0, 99.0, 99.9)
    chart.x_labels = [f"{value:g}%" for value in percentiles]
    for service, histogram in sorted(burn.latencies.items()):
        values = [histogram.get_value_at_percentile(value) for value in percentiles]
        chart.add(service, values)
    return _render_static(chart)


def _render_static(chart) -> str:
    """Return a chart without the scripts and comments that pygal adds."""
    return SCRIPTS_AND_COMMENTS.sub("", chart.render(is_unicode=True))


def _chart_config(title: str) -> pygal.Config:
    config = pygal.Config()
    config.js = ()  # The page must not load external scripts.
    config.title = title
    config.style = CHART_STYLE
    config.show_minor_x_labels = False
    config.width, config.height = 900, 360
    config.dots_size = 2
    config.disable_xml_declaration = True
    return config


@cappa.command(
    name="burn",
    help="Show how fast services use up their objectives.",
    description=(
        "Example: sassafraskeel report burn --settings host.ini --page burn.html."
        " Burn 1 means that exactly the allowed share of calls fails. Hosts that do"
        f" not answer are named and make the exit status 1. {EXIT_CODES}"
    ),
)
class BurnReport(OperatorCommand):
    """The report burn command."""

    page: Annotated[
        Path | None,
        cappa.Arg(long=True, default=None, help="Also write an HTML page with plots."),
    ] = None

    async def run(self, cfg, client, hosts):
        burn = collect_burn(await client.request_all(hosts, "/burn"))
        if not burn.hosts:
            raise ProtocolError("no host answers")
        if self.page is not None:
            try:
                self.page.write_text(burn_page(burn), encoding="utf-8")
            except OSError as exc:
                raise UserError(f"cannot write {self.page}: {exc}") from exc
        return burn_result(burn)


@cappa.command(name="report", help="Report on all hosts.")
class ReportCommands(BaseModel):
    """The report commands."""

    command: cappa.Subcommands[BurnReport]
