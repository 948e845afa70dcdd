"""Enforces the rate limits of customers, for the whole fleet or a share of it."""

from __future__ import annotations

import math
import random
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.model import Customer, RateLimit

DEFAULT_WINDOW_S = 5.0
"""Length of the window in which requests are counted (seconds)."""
NEAR_LIMIT_FRACTION = 0.75
"""Fraction of a limit above which a customer counts as near it; customers normally use
three fifths."""
BELOW_LIMIT_SHARE_FACTOR = 1.5
"""Multiple of the even share for a customer that is not near its limit: with a third of
the fleet without a broker, the sum stays within the tolerance of the limit."""
INITIAL_BURST_FRACTION = 0.5
"""Fraction of the burst that a customer starts with if its usage is unknown: after two
changes of the broker within a window, usage exceeds the limit by a fifth at most."""
MIN_RATE_PER_S = 0.01
"""Lowest refill rate (requests per second); keeps the computed wait finite."""


@attrs.define
class _Usage:
    """Usage of one customer."""

    tokens: float
    """Tokens in the bucket; a request takes one."""
    refilled_s: float
    """When the bucket was last refilled (seconds)."""
    accepted_s: deque[float] = attrs.field(factory=deque)
    """Times of the requests accepted within the window (seconds), oldest first."""


@attrs.define
class QuotaTable:
    """A sliding window and a token bucket for each customer.

    In any window a customer gets at most its rate times the window plus its burst.
    The bucket refills with that many tokens per window and holds one burst. So a
    customer above its limit is served evenly, and a new broker, which has no usage
    history and grants half a burst at first, stays near the limit.
    """

    window_s: float = DEFAULT_WINDOW_S
    """Length of the window (seconds)."""
    share: float = 1.0
    """Fraction of each limit that this table may grant, 0 to 1."""
    fleet_near_limit: frozenset[str] = frozenset()
    """Customers near their limit according to the last fleet-wide count."""
    random: random.Random = attrs.field(factory=random.Random)
    """Rounds fractional initial tokens at random, so that small shares add up."""
    _customers: Mapping[str, Customer] = attrs.field(factory=dict)
    _usage: dict[str, _Usage] = attrs.field(factory=dict)

    def replace_customers(self, customers: Mapping[str, Customer]) -> None:
        """Replace the limits; customers in both configurations keep their usage."""
        self._customers = customers
        self._usage = {
            name: usage for name, usage in self._usage.items() if name in customers
        }

    def try_acquire(self, name: str, now_s: float) -> bool:
        """Count a request if the customer's limit allows it; always if it has none."""
        limit = self._limit(name)
        if limit is None:
            return True
        usage = self._refill(name, limit, now_s)
        while usage.accepted_s and usage.accepted_s[0] <= now_s - self.window_s:
            usage.accepted_s.popleft()
        fleet_allowed = limit.rate_per_s * self.window_s + limit.burst
        allowed = max(fleet_allowed * self._share_of(name), 1.0)
        if usage.tokens < 1 or len(usage.accepted_s) + 1 > allowed:
            return False
        usage.tokens -= 1
        usage.accepted_s.append(now_s)
        return True

    def refund(self, name: str) -> None:
        """Undo the count of a request that was refused for another reason."""
        usage = self._usage.get(name)
        if usage is not None and usage.accepted_s:
            usage.accepted_s.pop()
            usage.tokens += 1

    def retry_after_s(self, name: str, now_s: float) -> float:
        """Return the time until the customer's limit allows a request (seconds)."""
        usage, limit = self._usage.get(name), self._limit(name)
        if usage is None or limit is None:
            return 0.0
        if usage.tokens < 1:
            return (1 - usage.tokens) / self._refill_per_s(name, limit)
        if usage.accepted_s:
            return max(0.0, usage.accepted_s[0] + self.window_s - now_s)
        return 0.0

    def reset_usage(self) -> None:
        """Discard all usage, as when the table starts to count for the whole fleet."""
        self._usage.clear()

    def customers_near_limit(self) -> frozenset[str]:
        """Return the customers whose usage is above ``NEAR_LIMIT_FRACTION``."""
        return frozenset(
            name
            for name, usage in self._usage.items()
            if (limit := self._limit(name)) is not None
            and len(usage.accepted_s)
            > NEAR_LIMIT_FRACTION * (limit.rate_per_s * self.window_s + limit.burst)
        )

    def _share_of(self, name: str) -> float:
        """Return the fraction of a customer's limit that this table may grant.

        Callers are spread unevenly over the VMs of a split fleet, so a customer that is
        not near its limit gets more than the even share.
        """
        if name in self.fleet_near_limit:
            return self.share
        return min(1.0, self.share * BELOW_LIMIT_SHARE_FACTOR)

    def _limit(self, name: str) -> RateLimit | None:
        customer = self._customers.get(name)
        return customer.limit if customer is not None else None

    def _refill(self, name: str, limit: RateLimit, now_s: float) -> _Usage:
        """Refill the customer's bucket for the time since its last refill."""
        share = self._share_of(name)
        capacity = max(limit.burst * share, 1.0)
        usage = self._usage.get(name)
        if usage is None:
            initial = INITIAL_BURST_FRACTION * limit.burst * share
            tokens = math.floor(initial + self.random.random())
            if name not in self.fleet_near_limit:
                tokens = max(tokens, 1)
            usage = self._usage[name] = _Usage(float(tokens), now_s)
        elapsed_s = max(0.0, now_s - usage.refilled_s)
        usage.refilled_s = now_s
        filled = usage.tokens + elapsed_s * self._refill_per_s(name, limit)
        usage.tokens = min(capacity, filled)
        return usage

    def _refill_per_s(self, name: str, limit: RateLimit) -> float:
        rate_per_s = limit.rate_per_s + limit.burst / self.window_s
        return max(rate_per_s * self._share_of(name), MIN_RATE_PER_S)
