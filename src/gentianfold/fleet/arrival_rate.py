"""Recent rates of arrivals, by key."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

TIME_CONSTANT_S = 2.0
"""Time constant of the decay of the rates (seconds): a few interarrival times of a VM
that has a request or two a second."""
NEGLIGIBLE_PER_S = 0.05
"""Rate below which a key is forgotten (arrivals per second)."""


@attrs.define
class _Rate:
    """Decaying rate of one key."""

    per_s: float
    updated_s: float


@attrs.define(eq=False, repr=False)
class ArrivalRates:
    """Exponentially decaying rate of arrivals of each key."""

    _rates: dict[str, _Rate] = attrs.field(factory=dict)

    def record(self, key: str, now_s: float, count: int = 1) -> None:
        """Count arrivals."""
        per_s = self.per_s(key, now_s) + count / TIME_CONSTANT_S
        self._rates[key] = _Rate(per_s, now_s)

    def per_s(self, key: str, now_s: float) -> float:
        """Return the recent rate of a key (arrivals per second)."""
        rate = self._rates.get(key)
        if rate is None:
            return 0.0
        age_s = max(now_s - rate.updated_s, 0.0)
        return rate.per_s * math.exp(-age_s / TIME_CONSTANT_S)

    def recent(self, now_s: float) -> Iterator[tuple[str, float]]:
        """Yield the keys that had arrivals lately with their rates; forget others."""
        for key in list(self._rates):
            per_s = self.per_s(key, now_s)
            if per_s < NEGLIGIBLE_PER_S:
                del self._rates[key]
            else:
                yield key, per_s
