"""Customers and their fleet-wide rate limits."""

from __future__ import annotations

import attrs


@attrs.frozen
class RateLimit:
    """Parameters of a token bucket shared by all VMs."""

    rate_per_s: float
    """Refill rate (tokens per second); a request takes one token."""
    burst: float
    """Capacity of the bucket (tokens)."""


@attrs.frozen
class Customer:
    """A customer, identified by its API keys, and its limits."""

    name: str
    """Unique name of the customer."""
    weight: float = 1.0
    """Relative share of upstream slots when requests compete for them."""
    limit: RateLimit | None = None
    """Rate limit over all routes together; ``None`` for no limit."""
    route_limits: dict[str, RateLimit] = attrs.field(factory=dict)
    """Additional rate limits by route name; a request must pass both limits."""
    priority: int | None = None
    """Priority that replaces the route's, 0 being the most urgent; ``None`` to use the
    route's."""
    homes: frozenset[str] = frozenset()
    """Regions in which requests may run; empty for any. Those of the route also bind."""
    line: int = 0
    """Line number in the rules file, from 1; 0 if not read from a file."""
    comment: str = ""
    """Comment of the rule: who requested it and why."""
