"""Counters and latency histograms of one VM, in the text exposition format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

MIN_LATENCY_US = 1
"""Lowest latency recorded (microseconds); shorter ones are clamped."""
MAX_LATENCY_US = 120_000_000
"""Highest latency recorded (microseconds); longer ones are clamped."""
SIGNIFICANT_DIGITS = 2
"""Precision of recorded latencies (significant decimal digits): with one more, a
histogram takes seven times the memory."""
QUANTILES = (0.5, 0.9, 0.99, 0.999)
"""Quantiles exported for each histogram."""


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@attrs.define
class Metrics:
    """Counters, gauges and latency histograms.

    Names and labels must not contain customer keys or caller addresses.
    """

    counters: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Counter values by metric name and formatted labels."""
    gauges: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Current values by metric name and formatted labels."""
    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)
    """Latency histograms (microseconds) by metric name."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Increment a counter; ``name`` excludes the prefix and ``_total``."""
        self.counters[name, _format_labels(labels)] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge; ``name`` excludes the prefix."""
        self.gauges[name, _format_labels(labels)] = value

    def observe(self, name: str, latency_s: float) -> None:
        """Record a latency; ``name`` excludes the prefix and ``_seconds``."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = _new_histogram()
        histogram.record_value(
            min(max(int(latency_s * 1e6), MIN_LATENCY_US), MAX_LATENCY_US)
        )

    def exposition(self) -> str:
        """Return all metrics in the text exposition format, one sample per line."""
        return "\n".join(self._sample_lines()) + "\n"

    def _sample_lines(self) -> Iterator[str]:
        for (name, labels), total in sorted(self.counters.items()):
            yield f"gentianfold_{name}_total{labels} {total}"
        for (name, labels), value in sorted(self.gauges.items()):
            yield f"gentianfold_{name}{labels} {value:g}"
        for name, histogram in sorted(self.histograms.items()):
            for quantile in QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile * 100) / 1e6
                yield f'gentianfold_{name}_seconds{{quantile="{quantile}"}} {value_s:g}'
            yield f"gentianfold_{name}_seconds_count {histogram.total_count}"


def _format_labels(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{_escape(value)}"' for name, value in sorted(labels.items()))
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
