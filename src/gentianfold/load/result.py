"""What came of a load run."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from pathlib import Path

LOWEST_US = 1
"""Lowest latency that is told apart (microseconds)."""
HIGHEST_US = 60_000_000
"""Highest latency that is recorded (microseconds)."""
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
"""Percentiles in reports."""


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, 3)


@attrs.define
class LoadResult:
    """Latencies from the planned arrival to the whole answer, and counts."""

    histogram: HdrHistogram = attrs.field(factory=_histogram)
    """Latencies of answered requests (microseconds)."""
    statuses: Counter[str] = attrs.field(factory=Counter)
    """Answers by status, with the error number if there is one."""
    elapsed_s: float = 0.0
    """Length of the run."""

    def record(self, outcome: str, latency_s: float) -> None:
        """Count one request."""
        self.statuses[outcome] += 1
        latency_us = min(max(int(latency_s * 1e6), LOWEST_US), HIGHEST_US)
        self.histogram.record_value(latency_us)

    def latencies_ms(self) -> dict[str, float]:
        """Return the latency at each percentile in milliseconds."""
        return {
            f"p{percentile:g}": self.histogram.get_value_at_percentile(percentile) / 1e3
            for percentile in PERCENTILES
        }

    def as_dict(self) -> dict[str, Any]:
        """Return the result for programs."""
        return {
            "requests": self.statuses.total(),
            "elapsed_s": round(self.elapsed_s, 3),
            "latency_ms": self.latencies_ms(),
            "outcomes": dict(self.statuses),
        }

    def text(self) -> str:
        """Return the result for people."""
        total = self.statuses.total()
        rate_per_s = total / self.elapsed_s if self.elapsed_s else 0.0
        latencies = "  ".join(
            f"{name} {value:.2f}" for name, value in self.latencies_ms().items()
        )
        outcomes = (
            f"  {name}: {count}" for name, count in sorted(self.statuses.items())
        )
        head = f"{total} requests in {self.elapsed_s:.1f} s, {rate_per_s:.0f}/s"
        return "\n".join((head, f"latency ms: {latencies}", "outcomes:", *outcomes))

    def plot(self, path: Path) -> None:
        """Write the latency distribution as a picture.

        Raises:
            ImportError: The ``plots`` extra is not installed.
        """
        from matplotlib.figure import Figure

        figure = Figure(figsize=(7, 4), layout="constrained")
        axes = figure.subplots()
        shares = [index / 1000 for index in range(1, 1000)]
        values_ms = [
            self.histogram.get_value_at_percentile(share * 100) / 1e3
            for share in shares
        ]
        axes.plot([1 / (1 - share) for share in shares], values_ms)
        axes.set_xscale("log")
        axes.set_xlabel("one request in N is slower")
        axes.set_ylabel("latency (ms)")
        axes.grid(visible=True, alpha=0.3)
        figure.savefig(path)
