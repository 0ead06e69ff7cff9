"""Reports of load generator runs: latency, goodput and cost by kind of call."""

from collections import Counter
from typing import NamedTuple, TypedDict

from hdrh.histogram import HdrHistogram

MAX_MILLISECONDS = 600_000
SIGNIFICANT_FIGURES = 3
TENTHS_PER_MILLISECOND = 10  # Histograms count tenths of a millisecond.


class CallResult(NamedTuple):
    """Result of a call; `seconds` is measured from the time the call was due."""

    kind: str
    outcome: str
    reason: str
    seconds: float
    deadline: float
    home: str
    served_by: str
    attempts: int
    cost: float


class KindReport(TypedDict):
    """Figures of one kind of call; percentiles in milliseconds, of answered calls."""

    calls: int
    good: int
    outcomes: dict[str, int]
    p50: float
    p99: float
    p999: float


class Report(TypedDict):
    """Figures of a run.

    `goodput` is the number of complete answers within their deadline per second.
    `p99`, in milliseconds, covers all calls; a call without an answer counts with its
    deadline or its duration, whichever is longer, so that refusing calls does not
    improve the figure. `cost` is the mean price of answered calls, `away` the share
    of answered calls that another region served, and `attempts` the mean per call.
    """

    calls: int
    seconds: float
    goodput: float
    p99: float
    cost: float
    away: float
    attempts: float
    refusals: dict[str, int]
    kinds: dict[str, KindReport]


def histogram() -> HdrHistogram:
    """Return an empty histogram of tenths of a millisecond."""
    return HdrHistogram(
        1, MAX_MILLISECONDS * TENTHS_PER_MILLISECOND, SIGNIFICANT_FIGURES
    )


def record_latency(hist: HdrHistogram, seconds: float) -> None:
    """Record a latency that is measured from the time the call was due.

    The delay of a generator that falls behind thus counts towards the latency, which
    corrects for coordinated omission without synthetic samples.
    """
    tenths = int(seconds * 1000 * TENTHS_PER_MILLISECOND)
    hist.record_value(min(max(tenths, 1), MAX_MILLISECONDS * TENTHS_PER_MILLISECOND))


def percentile(hist: HdrHistogram, percent: float) -> float:
    """Return a percentile in milliseconds."""
    return hist.get_value_at_percentile(percent) / TENTHS_PER_MILLISECOND


def build_report(
    results: list[CallResult], seconds: float, home_region, region_of
) -> Report:
    """Return the report of a run.

    `home_region` and `region_of` return the region of a failure domain: the home of
    the workspace and the domain that served the call.
    """
    by_kind: dict[str, list[CallResult]] = {}
    total = histogram()
    for result in results:
        by_kind.setdefault(result.kind, []).append(result)
        answered = result.outcome == "answered"
        record_latency(total, result.seconds if answered else _penalty_seconds(result))
    answered = [entry for entry in results if entry.outcome == "answered"]
    away = sum(
        home_region(entry.home) != region_of(entry.served_by) for entry in answered
    )
    count = max(len(answered), 1)
    refusals = Counter(
        f"{entry.outcome}: {entry.reason}"
        for entry in results
        if entry.outcome != "answered"
    )
    return Report(
        calls=len(results),
        seconds=seconds,
        goodput=sum(map(is_good, results)) / seconds,
        p99=percentile(total, 99),
        cost=sum(entry.cost for entry in answered) / count,
        away=away / count,
        attempts=sum(entry.attempts for entry in results) / max(len(results), 1),
        refusals=dict(refusals.most_common()),
        kinds={
            name: _kind_report(kind_results)
            for name, kind_results in sorted(by_kind.items())
        },
    )


def is_good(result: CallResult) -> bool:
    """Return whether a call got a complete answer within its deadline."""
    return result.outcome == "answered" and result.seconds <= result.deadline


def format_report(report: Report) -> list[str]:
    """Return a report as lines of text."""
    lines = [
        f"{report['calls']} calls, goodput {report['goodput']:.1f}/s,"
        f" p99 {report['p99']:.0f} ms, cost {report['cost']:.3f},"
        f" away {report['away']:.3f}, attempts {report['attempts']:.3f}"
    ]
    for name, kind in report["kinds"].items():
        lines.append(
            f"{name:<16} {kind['calls']:>6} calls {kind['good']:>6} in time"
            f"  p50 {kind['p50']:.0f} ms  p99 {kind['p99']:.0f} ms"
            f"  p99.9 {kind['p999']:.0f} ms  {kind['outcomes']}"
        )
    lines += [f"{count:>6} {name}" for name, count in report["refusals"].items()]
    return lines


def _penalty_seconds(result: CallResult) -> float:
    return max(result.seconds, result.deadline)


def _kind_report(kind_results: list[CallResult]) -> KindReport:
    hist = histogram()
    for result in kind_results:
        if result.outcome == "answered":
            record_latency(hist, result.seconds)
    return KindReport(
        calls=len(kind_results),
        good=sum(map(is_good, kind_results)),
        outcomes=dict(Counter(result.outcome for result in kind_results)),
        p50=percentile(hist, 50),
        p99=percentile(hist, 99),
        p999=percentile(hist, 99.9),
    )
