"""Sizes and lifetimes of the lots that a home hands out."""

from __future__ import annotations

import math
from typing import Protocol

import attrs

from gentianfold.limits.timing import LOT_LIFETIME_S

SINGLE_USE_S = 0.1
"""Lifetime of a lot for requests that wait already."""

HOME_WAIT_S = 0.05
"""Time for which an ask may wait at its home for the bucket to refill."""

MAX_QUEUE = 64
"""Most asks that wait for one bucket."""


@attrs.frozen
class Offer:
    """A lot that a home may hand out."""

    tokens: int
    """Tokens of the lot; 0 for none."""
    lifetime_ms: int
    """Time in which they may be spent."""
    report_at_once: bool
    """Whether the home wants to know of each spent token without delay."""


class LotPolicy(Protocol):
    """Sizes lots by the state of the bucket."""

    def offer(
        self, level: float, burst: float, rate_per_s: float, need: int, want: int
    ) -> Offer:
        """Return the lot for an ask.

        Args:
            level: Tokens that the home may hand out.
            burst: Part of the burst that is pledged to the home.
            rate_per_s: Part of the rate that is pledged to the home.
            need: Tokens for requests that wait.
            want: Tokens for requests that are expected.
        """
        ...


class StandardLotPolicy:
    """Serves waiting requests first, and spares tokens of a bucket that is low."""

    def offer(
        self, level: float, burst: float, rate_per_s: float, need: int, want: int
    ) -> Offer:
        """Return the lot for an ask."""
        whole = math.floor(level + 1e-9)
        needed = min(need, whole)
        # Tokens that are out hold up the refill of a full bucket: they must come
        # back, or be reported, within a fraction of the time that fills it.
        lifetime_s = min(LOT_LIFETIME_S, 0.25 * burst / max(rate_per_s, 1e-9))
        spare = math.floor((level - needed - 0.5 * burst) / 8.0)
        extra = min(want, max(0, spare)) if lifetime_s >= SINGLE_USE_S else 0
        if extra:
            return Offer(needed + extra, math.floor(1e3 * lifetime_s), False)
        return Offer(needed, round(1e3 * SINGLE_USE_S), lifetime_s < SINGLE_USE_S)
