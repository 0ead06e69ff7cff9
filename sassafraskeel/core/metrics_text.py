"""The metrics of a host in the Prometheus text format."""

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from sassafraskeel.core.metrics import GAUGE_TEXTS, CallLabels, Metrics

QUANTILES = (50.0, 95.0, 99.0, 99.9)


class MetricsCollector:
    """Exports counters, gauges and histograms; the library has no mergeable type."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self):
        """Return all metric families."""
        return [self._calls(), *self._gauges(), *self._latencies()]

    def _calls(self):
        calls = CounterMetricFamily(
            "sassafraskeel_calls",
            "Finished calls by source (caller or peer), outcome and reason.",
            labels=CallLabels._fields,
        )
        for labels, count in self._metrics.call_counts().items():
            calls.add_metric(labels, count)
        return calls

    def _gauges(self):
        return [
            GaugeMetricFamily(f"sassafraskeel_{name}", GAUGE_TEXTS[name], value=value)
            for name, value in self._metrics.gauges().items()
        ]

    def _latencies(self):
        labels = ("service", "kind")
        quantiles = GaugeMetricFamily(
            "sassafraskeel_call_latency_seconds",
            "Latency quantiles of answered calls of callers.",
            labels=(*labels, "quantile"),
        )
        counts = GaugeMetricFamily(
            "sassafraskeel_call_latency_seconds_count", "Answered calls.", labels=labels
        )
        sums = GaugeMetricFamily(
            "sassafraskeel_call_latency_seconds_sum", "Sum in seconds.", labels=labels
        )
        for key in self._metrics.series_keys():
            histogram = self._metrics.latency_histogram(key)
            for percent in QUANTILES:
                value = histogram.get_value_at_percentile(percent) / 1000
                quantiles.add_metric((*key, f"{percent / 100:g}"), value)
            counts.add_metric(key, histogram.get_total_count())
            sums.add_metric(key, self._metrics.latency_sum(key))
        return [quantiles, counts, sums]


def prometheus_text(metrics: Metrics) -> bytes:
    """Return all metrics of a host as text."""
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    return generate_latest(registry)
