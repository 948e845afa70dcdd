"""Learns how much longer requests wait than their place in the queue tells."""

from __future__ import annotations

import math
from typing import TypeAlias

import attrs

SMOOTHING = 0.1
"""Weight of the newest wait; about the last twenty count."""
MAX_FACTOR = 8.0
"""Bound of the factor: more urgent requests take at most about nine tenths of what a
crowded service has."""
FACTOR_TIME_CONSTANT_S = 5.0
"""Time in which a factor fades to a third of its distance from 1 (seconds): a request
that is refused at once teaches nothing, so the queue must be tried again."""
NEGLIGIBLE_WAIT_S = 0.03
"""Wait that is taken for none (seconds): a few ticks and round trips."""

WaitClass: TypeAlias = tuple[str, int, bool, int]
"""Service, priority, whether the customer holds more than its share, route priority."""


@attrs.frozen
class _Factor:
    """Waits over their estimates."""

    value: float
    recorded_s: float


@attrs.define
class WaitTable:
    """Corrects estimated waits by wait_class.

    The place in the queue does not tell who will come and go before a request: more
    urgent ones, and those of customers with fewer slots. What waits really took, also
    those that ended without a slot, tells it.
    """

    _factors: dict[WaitClass, _Factor] = attrs.field(factory=dict)

    def factor(self, wait_class: WaitClass, now_s: float) -> float:
        """Return by what an estimate is to be multiplied."""
        known = self._factors.get(wait_class)
        if known is None:
            return 1.0
        return 1 + (known.value - 1) * math.exp(
            -(now_s - known.recorded_s) / FACTOR_TIME_CONSTANT_S
        )

    def record(
        self, wait_class: WaitClass, estimated_s: float, waited_s: float, now_s: float
    ) -> None:
        """Take a wait that ended.

        Args:
            wait_class: The request's wait_class.
            estimated_s: What was estimated without a factor (seconds).
            waited_s: How long it waited, whether or not it got a slot (seconds).
            now_s: The present time.
        """
        ratio = (waited_s + NEGLIGIBLE_WAIT_S) / (estimated_s + NEGLIGIBLE_WAIT_S)
        old = self.factor(wait_class, now_s)
        new = old + SMOOTHING * (min(ratio, MAX_FACTOR) - old)
        self._factors[wait_class] = _Factor(max(new, 1.0), now_s)
