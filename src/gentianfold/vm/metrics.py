"""Counters and latency histograms of one VM, in the text exposition format."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterator

LOWEST_US = 1
"""Lowest latency that is told apart (microseconds)."""
HIGHEST_US = 120_000_000
"""Highest latency that is recorded (microseconds)."""
SIGNIFICANT_DIGITS = 3
"""Precision of recorded latencies."""
QUANTILES = (0.5, 0.9, 0.99, 0.999)
"""Quantiles that the scrape endpoint shows."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@attrs.define
class Metrics:
    """Counts what happens on this VM; holds no key and no address of a caller."""

    counters: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    """Counts by metric name and label text."""
    gauges: dict[tuple[str, str], float] = attrs.field(factory=dict)
    """Last values by metric name and label text."""
    histograms: dict[str, HdrHistogram] = attrs.field(factory=dict)
    """Latency histograms in microseconds by metric name."""

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add to a counter."""
        self.counters[name, _label_text(labels)] += amount

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        self.gauges[name, _label_text(labels)] = value

    def observe(self, name: str, latency_s: float) -> None:
        """Record a latency."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = _histogram()
        histogram.record_value(min(max(int(latency_s * 1e6), LOWEST_US), HIGHEST_US))

    def exposition(self) -> str:
        """Return all metrics as text, one sample a line."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        for (name, labels), total in sorted(self.counters.items()):
            yield f"gentianfold_{name}_total{labels} {total}"
        for (name, labels), value in sorted(self.gauges.items()):
            yield f"gentianfold_{name}{labels} {value:g}"
        for name, histogram in sorted(self.histograms.items()):
            for quantile in QUANTILES:
                value_s = histogram.get_value_at_percentile(quantile * 100) / 1e6
                yield f'gentianfold_{name}_seconds{{quantile="{quantile}"}} {value_s:g}'
            yield f"gentianfold_{name}_seconds_count {histogram.total_count}"


def _label_text(labels: dict[str, str]) -> str:
    if not labels:
        return ""
    pairs = (f'{name}="{_escape(value)}"' for name, value in sorted(labels.items()))
    return "{" + ",".join(pairs) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
