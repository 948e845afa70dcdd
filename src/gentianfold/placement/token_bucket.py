"""Token buckets of customers, counted for the whole fleet or for a part of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.model import Customer, RateLimit


@attrs.define
class TokenBucket:
    """One bucket; refilled when it is looked at."""

    tokens: float
    """Tokens left."""
    filled_at_s: float
    """When it was last refilled."""

    def take(self, limit: RateLimit, share: float, now_s: float) -> bool:
        """Take a token if one is left.

        Args:
            limit: The published limit.
            share: The part of the limit that this bucket may give out, 0 to 1.
            now_s: The present time.
        """
        self.refill(limit, share, now_s)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, limit: RateLimit, share: float, now_s: float) -> None:
        """Add the tokens of the time since the last refill, up to the burst."""
        elapsed_s = max(0.0, now_s - self.filled_at_s)
        self.filled_at_s = now_s
        full = max(limit.burst * share, 1.0)
        self.tokens = min(full, self.tokens + elapsed_s * limit.rate_per_s * share)


@attrs.define
class QuotaTable:
    """The buckets of all customers."""

    share: float = 1.0
    """The part of each limit that may be given out here, 0 to 1."""
    _customers: Mapping[str, Customer] = attrs.field(factory=dict)
    _buckets: dict[str, TokenBucket] = attrs.field(factory=dict)

    def replace_customers(self, customers: Mapping[str, Customer]) -> None:
        """Use the limits of a new configuration; tokens that are left stay."""
        self._customers = customers
        self._buckets = {
            name: bucket for name, bucket in self._buckets.items() if name in customers
        }

    def take(self, name: str, now_s: float) -> bool:
        """Take a token of a customer; true if it has none to respect."""
        customer = self._customers.get(name)
        if customer is None or customer.limit is None:
            return True
        bucket = self._buckets.get(name)
        if bucket is None:
            tokens = max(customer.limit.burst * self.share, 1.0)
            bucket = self._buckets[name] = TokenBucket(tokens, now_s)
        return bucket.take(customer.limit, self.share, now_s)

    def give_back(self, name: str) -> None:
        """Return the token of a request that was refused for another reason."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.tokens += 1

    def wait_s(self, name: str) -> float:
        """Return the time until a customer has its next token (seconds)."""
        customer = self._customers.get(name)
        bucket = self._buckets.get(name)
        if customer is None or customer.limit is None or bucket is None:
            return 0.0
        rate_per_s = max(customer.limit.rate_per_s * self.share, MIN_RATE_PER_S)
        return max(0.0, (1 - bucket.tokens) / rate_per_s)


MIN_RATE_PER_S = 0.01
"""Keeps the computed wait finite for a rate near zero (requests per second)."""
