"""Corrects estimated waits by the ratio of measured to estimated waits."""

from __future__ import annotations

import math
from typing import TypeAlias

import attrs

SMOOTHING = 0.1
"""Weight of the newest wait; about the last twenty count."""
MAX_FACTOR = 8.0
"""Upper bound of the factor: more urgent requests take at most about nine tenths of the
slots of an overloaded service."""
FACTOR_TIME_CONSTANT_S = 5.0
"""Time constant of the decay of a factor towards 1 (seconds): requests that are refused
at once yield no measurement, so the factor must fall until requests queue again."""
NEGLIGIBLE_WAIT_S = 0.03
"""Wait that counts as none (seconds), added to both waits in the ratio: a few ticks and
round trips."""

WaitClass: TypeAlias = tuple[str, int, bool, int]
"""Service, priority, whether the customer is over its fair share, route priority."""


@attrs.frozen
class _Factor:
    """Smoothed ratio of measured to estimated waits, and when it was recorded."""

    value: float
    recorded_s: float


@attrs.define
class WaitTable:
    """Correction factors of estimated waits, by wait class.

    The position in the queue does not account for later requests that overtake: more
    urgent ones and those of customers with fewer slots. Measured waits do, including
    waits that ended without a slot.
    """

    _factors: dict[WaitClass, _Factor] = attrs.field(factory=dict)

    def factor(self, wait_class: WaitClass, now_s: float) -> float:
        """Return the factor by which to multiply an estimate; at least 1."""
        known = self._factors.get(wait_class)
        if known is None:
            return 1.0
        return 1 + (known.value - 1) * math.exp(
            -(now_s - known.recorded_s) / FACTOR_TIME_CONSTANT_S
        )

    def record(
        self, wait_class: WaitClass, estimated_s: float, waited_s: float, now_s: float
    ) -> None:
        """Record a finished wait.

        Args:
            wait_class: Wait class of the request.
            estimated_s: Estimated wait before the correction (seconds).
            waited_s: Measured wait, whether or not a slot was granted (seconds).
            now_s: Current time (seconds).
        """
        ratio = (waited_s + NEGLIGIBLE_WAIT_S) / (estimated_s + NEGLIGIBLE_WAIT_S)
        old = self.factor(wait_class, now_s)
        new = old + SMOOTHING * (min(ratio, MAX_FACTOR) - old)
        self._factors[wait_class] = _Factor(max(new, 1.0), now_s)
