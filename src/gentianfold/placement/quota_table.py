"""Counts customers' requests against their limits, for the whole fleet or a part."""

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
"""Length of the window in which requests are counted (seconds); that of both sites."""


@attrs.define
class _Usage:
    """What a customer has used."""

    tokens: float
    """Requests that it may send at once."""
    refilled_s: float
    """When the tokens were last counted."""
    accepted_s: deque[float] = attrs.field(factory=deque)
    """Times of its requests within the window."""


@attrs.define
class QuotaTable:
    """A sliding window for each customer, smoothed by a bucket of tokens.

    In any window a customer gets at most its rate times the window and its burst.
    The bucket is filled at the rate which that comes to, and holds one burst: so a
    customer above its limit is served evenly, and a broker that starts without a
    history, with half a burst, stays near the limit whatever was used before it.
    """

    window_s: float = DEFAULT_WINDOW_S
    """Length of the window (seconds)."""
    share: float = 1.0
    """The part of each limit that may be given out here, 0 to 1."""
    fleet_near_limit: frozenset[str] = frozenset()
    """Customers that were near their limit when the whole fleet was last counted."""
    random: random.Random = attrs.field(factory=random.Random)
    """Rounds the initial tokens of a part that is smaller than one request."""
    _customers: Mapping[str, Customer] = attrs.field(factory=dict)
    _usage: dict[str, _Usage] = attrs.field(factory=dict)

    def replace_customers(self, customers: Mapping[str, Customer]) -> None:
        """Use the limits of a new configuration; what was counted stays."""
        self._customers = customers
        self._usage = {
            name: usage for name, usage in self._usage.items() if name in customers
        }

    def try_acquire(self, name: str, now_s: float) -> bool:
        """Count a request of a customer if its limit allows it."""
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
        """Take back the count of a request that was refused for another reason."""
        usage = self._usage.get(name)
        if usage is not None and usage.accepted_s:
            usage.accepted_s.pop()
            usage.tokens += 1

    def retry_after_s(self, name: str, now_s: float) -> float:
        """Return the time until a customer has room again (seconds)."""
        usage, limit = self._usage.get(name), self._limit(name)
        if usage is None or limit is None:
            return 0.0
        if usage.tokens < 1:
            return (1 - usage.tokens) / self._refill_per_s(name, limit)
        if usage.accepted_s:
            return max(0.0, usage.accepted_s[0] + self.window_s - now_s)
        return 0.0

    def reset_usage(self) -> None:
        """Begin anew, as when the table is to count for the whole fleet."""
        self._usage.clear()

    def customers_near_limit(self) -> frozenset[str]:
        """Return the customers that used much of their limit in the last window."""
        return frozenset(
            name
            for name, usage in self._usage.items()
            if (limit := self._limit(name)) is not None
            and len(usage.accepted_s)
            > NEAR_LIMIT_FRACTION * (limit.rate_per_s * self.window_s + limit.burst)
        )

    def _share_of(self, name: str) -> float:
        """Return a customer's part of its limit here.

        Where only a part is given out, callers are spread unevenly over the parts; a
        customer that uses little of its limit gets more than its even part.
        """
        if name in self.fleet_near_limit:
            return self.share
        return min(1.0, self.share * BELOW_LIMIT_SHARE_FACTOR)

    def _limit(self, name: str) -> RateLimit | None:
        customer = self._customers.get(name)
        return customer.limit if customer is not None else None

    def _refill(self, name: str, limit: RateLimit, now_s: float) -> _Usage:
        """Return the customer's usage with the tokens of the time that has passed."""
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


NEAR_LIMIT_FRACTION = 0.75
"""Use of a limit above which a customer counts as near it; customers of both sites
use three fifths as a rule."""
BELOW_LIMIT_SHARE_FACTOR = 1.5
"""Multiple of its even part that another customer gets from a VM on its own: with a
third of the fleet on its own, the sum stays within the tolerance of the limit."""
INITIAL_BURST_FRACTION = 0.5
"""Part of the burst that a customer has when its usage is not known: after two changes
of the broker within a window it is still within a fifth of its limit."""
MIN_RATE_PER_S = 0.01
"""Keeps the computed wait finite for a rate near zero (requests per second)."""
