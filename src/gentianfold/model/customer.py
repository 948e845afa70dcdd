"""Customers and the limits that count over the whole fleet."""

from __future__ import annotations

import attrs


@attrs.frozen
class RateLimit:
    """A token bucket that is counted over all VMs together."""

    rate_per_s: float
    """Tokens refilled each second."""
    burst: float
    """Most tokens that the bucket holds."""


@attrs.frozen
class Customer:
    """A party that holds keys and sends requests."""

    name: str
    """The unique name."""
    weight: float = 1.0
    """Share of scarce upstream slots relative to other customers."""
    limit: RateLimit | None = None
    """Limit over all routes; ``None`` for no limit."""
    route_limits: dict[str, RateLimit] = attrs.field(factory=dict)
    """Further limits by route name; a request must pass both."""
    priority: int | None = None
    """Rank before scarce slots, instead of the route's; ``None`` for the route's."""
    line: int = 0
    """Line in the rules file; 0 for defaults."""
    comment: str = ""
    """Who asked for the rule and why."""
