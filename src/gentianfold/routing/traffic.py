"""Shares of routes and customers in the work of a service."""

from __future__ import annotations

import attrs

MAX_RECORDS = 256
"""Records at which older ones are halved."""
MIN_COUNT = 0.25
"""Count below which a key is forgotten."""


@attrs.define
class TrafficMix:
    """How much of recent work each key accounts for."""

    counts: dict[int, float] = attrs.field(factory=dict)
    """Recent records by key."""
    total: float = 0.0
    """Recent records of all keys."""

    def record(self, key: int) -> None:
        """Count one attempt."""
        self.counts[key] = self.counts.get(key, 0.0) + 1.0
        self.total += 1.0
        if self.total >= MAX_RECORDS:
            halves = {key: count / 2 for key, count in self.counts.items()}
            self.counts = {k: count for k, count in halves.items() if count > MIN_COUNT}
            self.total = sum(self.counts.values())

    def share(self, key: int) -> float:
        """Return the share of a key, from 0 to 1."""
        return self.counts.get(key, 0.0) / self.total if self.total else 0.0
