"""Counters and latency histograms of one host.

Histograms are of type HdrHistogram, so that those of several hosts can be added.
Latencies are in milliseconds in the histograms and in seconds in the Prometheus text.
"""

from collections import Counter, OrderedDict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from sassafraskeel.core.clock import Clock
from sassafraskeel.core.errors import Reason

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_FIGURES = 2
SECONDS_PER_MINUTE = 60
MAX_BURN_MINUTES = 60
# Services beyond this number share the series OTHER_SERVICES, so that a sheet cannot
# make the metrics grow without bound.
MAX_SERIES = 256
OTHER_SERVICES = "other"
# Refusals for these reasons are caused by the caller and do not affect an objective.
CALLER_ERROR_REASONS = frozenset(
    reason.value
    for reason in (
        Reason.BAD_REQUEST,
        Reason.TOO_LARGE,
        Reason.UNKNOWN_WORKSPACE,
        Reason.UNKNOWN_SERVICE,
        Reason.RESIDENCY,
        Reason.WRONG_HOST,
        Reason.DRAINING,
        Reason.ORDER_ID_MISSING,
        Reason.ORDER_ID_INVALID,
        Reason.ORDER_EXPIRED,
        Reason.ORDER_FROM_FUTURE,
        Reason.ORDER_MISMATCH,
        Reason.ORDER_IN_PROGRESS,
    )
)


GAUGE_TEXTS = {
    "calls_in_flight": "Requests that are being served.",
    "draining": "1 while the host drains.",
    "sheet_version": "Version of the sheet in force.",
    "members_live": "Other hosts that are live.",
    "log_events_dropped": "Log events dropped by the rate limit.",
    "long_turns": "Turns in which one task kept all others waiting for over 0.1 s.",
    "longest_turn_seconds": "The longest of these turns since the start.",
    "stream_origins": "Streams whose software version the host knows.",
    "stream_origins_unsent": "Streams that other hosts were not told of: queue full.",
    "stream_lookups_local": "Lookups of streams that the host knew itself.",
    "stream_lookups_region": "Lookups answered by a host of the region.",
    "stream_lookups_other_region": "Lookups answered by another region.",
    "stream_lookups_unknown": "Lookups that found no single origin.",
}


class CallLabels(NamedTuple):
    """What finished calls are counted by; `source` is caller or peer."""

    source: str
    service: str
    kind: str
    outcome: str
    reason: str


class SeriesKey(NamedTuple):
    """The service and the call kind of a series."""

    service: str
    kind: str


class BurnMinute(NamedTuple):
    """One minute of a series; `histogram` encodes the latencies of answered calls."""

    minute: int
    service: str
    kind: str
    failed: int
    histogram: str


class _Series:
    def __init__(self):
        self.all_answered = new_histogram()
        self.latency_sum = 0.0
        self.minute = 0
        self.failed = 0
        self.current_histogram = None
        self.closed_minutes: OrderedDict[int, BurnMinute] = OrderedDict()


def new_histogram() -> HdrHistogram:
    """Return an empty latency histogram."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_FIGURES)


def merge_histograms(encoded: list[str]) -> HdrHistogram:
    """Return the sum of encoded histograms."""
    total = new_histogram()
    for text in encoded:
        total.decode_and_add(text)
    return total


def count_at_most(histogram: HdrHistogram, milliseconds: float) -> int:
    """Return how many recorded values are at most `milliseconds`."""
    return sum(
        item.count_at_value_iterated_to
        for item in histogram.get_recorded_iterator()
        if item.value_iterated_to <= milliseconds
    )


class Metrics:
    """The metrics of one host, in a separate registry."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._series: dict[SeriesKey, _Series] = {}
        self._calls: Counter[CallLabels] = Counter()
        self._gauges = dict.fromkeys(GAUGE_TEXTS, 0.0)

    def count_call(
        self,
        source: str,
        service: str,
        kind: str,
        outcome: str,
        reason: str,
        seconds: float,
    ) -> None:
        """Count a finished call; only calls of callers count towards an objective."""
        key = self._series_key(service, kind)
        self._calls[CallLabels(source, *key, outcome, reason)] += 1
        if source != "caller" or not service or reason in CALLER_ERROR_REASONS:
            return
        series = self._current_series(key)
        if outcome != "answered":
            series.failed += 1
            return
        milliseconds = min(max(round(seconds * 1000), LOWEST_MS), HIGHEST_MS)
        series.all_answered.record_value(milliseconds)
        series.current_histogram.record_value(milliseconds)
        series.latency_sum += seconds

    def set_gauges(self, **values: float) -> None:
        """Set gauges by name."""
        self._gauges |= values

    def prometheus_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        # Imported at the first request: the library brings an HTTP server, and a host
        # that starts again spends a tenth of its start on it.
        from sassafraskeel.core.metrics_text import prometheus_text

        return prometheus_text(self)

    def call_counts(self) -> dict["CallLabels", int]:
        """Return the number of finished calls by their labels."""
        return dict(self._calls)

    def gauges(self) -> dict[str, float]:
        """Return the gauges by name."""
        return dict(self._gauges)

    def burn_minutes(self) -> list[BurnMinute]:
        """Return the minutes of the last hour, oldest first in each series."""
        now = self.current_minute()
        minutes = []
        for key in sorted(self._series):
            series = self._current_series(key)
            minutes.extend(series.closed_minutes.values())
            minutes.append(self._encode_minute(key, series))
        return [
            burn_minute
            for burn_minute in minutes
            if now - burn_minute.minute < MAX_BURN_MINUTES
        ]

    def latency_histogram(self, key: SeriesKey) -> HdrHistogram:
        """Return the latencies of a series since the start of the host."""
        return self._series[key].all_answered

    def latency_sum(self, key: SeriesKey) -> float:
        """Return the sum of the latencies of a series in seconds."""
        return self._series[key].latency_sum

    def series_keys(self) -> list[SeriesKey]:
        """Return the keys of all series."""
        return sorted(self._series)

    def _series_key(self, service, kind) -> SeriesKey:
        key = SeriesKey(service, kind)
        if key in self._series or not service:
            return key
        if len(self._series) >= MAX_SERIES:
            key = SeriesKey(OTHER_SERVICES, kind)
        self._series.setdefault(key, _Series())
        return key

    def _current_series(self, key) -> _Series:
        series = self._series[key]
        minute = self.current_minute()
        if series.current_histogram is None or series.minute != minute:
            self._close_minute(key, series)
            series.minute, series.failed = minute, 0
            series.current_histogram = new_histogram()
        return series

    def _close_minute(self, key, series) -> None:
        if series.current_histogram is not None:
            series.closed_minutes[series.minute] = self._encode_minute(key, series)
        while len(series.closed_minutes) > MAX_BURN_MINUTES:
            series.closed_minutes.popitem(last=False)

    def _encode_minute(self, key, series) -> BurnMinute:
        encoded = series.current_histogram.encode().decode()
        return BurnMinute(series.minute, *key, series.failed, encoded)

    def current_minute(self) -> int:
        """Return the current time in minutes since 1970."""
        return int(self._clock.now().timestamp()) // SECONDS_PER_MINUTE
