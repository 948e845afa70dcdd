"""Latency quantiles over recent requests."""

from __future__ import annotations

import math

import attrs

BUCKETS_PER_OCTAVE = 6
"""Resolution: buckets for each doubling of the latency."""
MIN_LATENCY_S = 1e-4
"""Upper edge of the first bucket."""
BUCKETS = 128
"""Number of buckets; the last one holds everything above 200 s."""
MAX_SAMPLES = 512
"""Samples at which older ones are halved."""


@attrs.define
class LatencyHistogram:
    """A histogram with logarithmic buckets in which old samples fade."""

    counts: list[float] = attrs.field(factory=lambda: [0.0] * BUCKETS)
    """Samples by bucket."""
    total: float = 0.0
    """Samples in all buckets."""

    def record(self, latency_s: float) -> None:
        """Add one sample."""
        ratio = max(latency_s, MIN_LATENCY_S) / MIN_LATENCY_S
        bucket = min(int(math.log2(ratio) * BUCKETS_PER_OCTAVE), BUCKETS - 1)
        self.counts[bucket] += 1.0
        self.total += 1.0
        if self.total >= MAX_SAMPLES:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile_s(self, fraction: float) -> float:
        """Return the upper edge of the bucket that holds the quantile."""
        remaining = self.total * fraction
        for bucket, count in enumerate(self.counts):
            remaining -= count
            if remaining <= 0:
                return float(MIN_LATENCY_S * 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE))
        return float(MIN_LATENCY_S * 2 ** (BUCKETS / BUCKETS_PER_OCTAVE))
