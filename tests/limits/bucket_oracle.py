"""The exact limit that merged admissions are checked against."""

from __future__ import annotations

import attrs

from gentianfold.model import RateLimit

ROUNDING = 1e-6


@attrs.define
class BucketOracle:
    """A token bucket over all admissions of one customer in true time."""

    limit: RateLimit
    at_s: float = 0.0
    level: float = attrs.field(init=False)
    excess: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.level = self.limit.burst

    def admit(self, true_s: float) -> None:
        refill = (true_s - self.at_s) * self.limit.rate_per_s
        self.level = min(self.limit.burst, self.level + refill) - 1.0
        self.at_s = true_s
        self.excess = max(self.excess, -self.level - ROUNDING)


def excess_of(times_s: list[float], limit: RateLimit, since_s: float = 0.0) -> float:
    """Return by how many tokens admissions exceed a limit in the worst window."""
    oracle = BucketOracle(limit, at_s=since_s)
    for true_s in times_s:
        if true_s >= since_s:
            oracle.admit(true_s)
    return oracle.excess
