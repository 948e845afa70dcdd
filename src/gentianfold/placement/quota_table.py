"""Counts customers' requests against their limits, for the whole fleet or a part."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.model import Customer, RateLimit

DEFAULT_WINDOW_S = 5.0
"""Length of the window in which requests are counted (seconds); that of both sites."""


@attrs.define
class QuotaTable:
    """A sliding window for each customer.

    In any window a customer gets at most its rate times the window and its burst.
    That is how the limit is stated; a token bucket would refuse part of it to a
    customer that stays above its rate.
    """

    window_s: float = DEFAULT_WINDOW_S
    """Length of the window (seconds)."""
    share: float = 1.0
    """The part of each limit that may be given out here, 0 to 1."""
    _customers: Mapping[str, Customer] = attrs.field(factory=dict)
    _taken: dict[str, deque[float]] = attrs.field(factory=dict)

    def replace_customers(self, customers: Mapping[str, Customer]) -> None:
        """Use the limits of a new configuration; what was counted stays."""
        self._customers = customers
        self._taken = {
            name: taken for name, taken in self._taken.items() if name in customers
        }

    def take(self, name: str, now_s: float) -> bool:
        """Count a request of a customer if its limit allows it."""
        limit = self._limit(name)
        if limit is None:
            return True
        taken = self._taken.setdefault(name, deque())
        while taken and taken[0] <= now_s - self.window_s:
            taken.popleft()
        if len(taken) + 1 > self._allowed(limit):
            return False
        taken.append(now_s)
        return True

    def give_back(self, name: str) -> None:
        """Take back the count of a request that was refused for another reason."""
        taken = self._taken.get(name)
        if taken:
            taken.pop()

    def wait_s(self, name: str, now_s: float) -> float:
        """Return the time until a customer has room again (seconds)."""
        taken = self._taken.get(name)
        if not taken:
            return 0.0
        return max(0.0, taken[0] + self.window_s - now_s)

    def _limit(self, name: str) -> RateLimit | None:
        customer = self._customers.get(name)
        return customer.limit if customer is not None else None

    def _allowed(self, limit: RateLimit) -> float:
        """Return the requests that one window may hold; at least one."""
        whole = limit.rate_per_s * self.window_s + limit.burst
        return max(whole * self.share, 1.0)
