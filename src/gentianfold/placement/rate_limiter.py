"""Limits the requests that an upstream gets to the rate that it states."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import attrs

UNLIMITED = math.inf
"""Rate limit of an upstream that states none (requests per second)."""
MIN_RATE_PER_S = 0.25
"""Rate at which an upstream gets requests even if it states less (requests per second):
only an answer shows that its limit has changed."""
BURST_S = 0.25
"""Time whose requests may be sent at once (seconds)."""
MIN_TOKENS = -1.0
"""Lower bound of the tokens; requests sent without a token count up to it."""


@attrs.define(eq=False, repr=False)
class RateLimiter:
    """Token bucket for the rate that one upstream states; all times are monotonic.

    The rate holds for all VMs together. A scheduler that serves the whole fleet has a
    share of 1. Others use a token only if they win a draw with the probability of their
    share, one for each token: tokens that many VMs have saved would add up to a burst.
    """

    rate_per_s: float = UNLIMITED
    """Stated rate (requests per second); ``UNLIMITED`` if none is stated."""
    stated_s: float = -math.inf
    """When the rate was last stated (seconds)."""
    share: float = 1.0
    """Fraction of the fleet that this scheduler serves, above 0 to 1."""
    draw: Callable[[], float] = random.random
    """Returns a random number from 0 to below 1."""
    _unlimited_s: float = -math.inf
    _tokens: float = 0.0
    _updated_s: float = 0.0
    _next_draw_s: float = -math.inf
    _has_won: bool = False

    @property
    def is_limited(self) -> bool:
        """Whether the upstream states a limit."""
        return self.rate_per_s != UNLIMITED

    def record_limit(self, rate_per_s: float, stated_s: float, now_s: float) -> bool:
        """Record a stated limit; one that is older than a known statement is ignored.

        Args:
            rate_per_s: The limit (requests per second), 0 or more.
            stated_s: When the answer that states it arrived (seconds).
            now_s: Current time (seconds).

        Returns:
            Whether the limit has changed.
        """
        if stated_s <= max(self.stated_s, self._unlimited_s):
            return False
        if not self.is_limited:
            self._tokens = 0.0
            self._updated_s = now_s
        self._add_tokens(now_s)
        has_changed = self.rate_per_s != rate_per_s
        self.rate_per_s = rate_per_s
        self.stated_s = stated_s
        return has_changed

    def record_no_limit(self, sent_s: float) -> bool:
        """Record an answer without a limit, which ends the limit stated before.

        Args:
            sent_s: When the request was sent (seconds); if a limit was stated later,
                the answer may be older than that statement and is ignored.

        Returns:
            Whether a limit has ended.
        """
        if sent_s <= self.stated_s:
            return False
        was_limited, self.rate_per_s = self.is_limited, UNLIMITED
        self._unlimited_s = max(self._unlimited_s, sent_s)
        return was_limited

    def allows_request(self, now_s: float) -> bool:
        """Tell whether a request may be sent now."""
        if not self.is_limited:
            return True
        self._add_tokens(now_s)
        return self._tokens >= 1 and self._wins_draw(now_s)

    def count_request(self, now_s: float) -> None:
        """Count a sent request."""
        if self.is_limited:
            self._add_tokens(now_s)
            self._tokens = max(self._tokens - 1, MIN_TOKENS)
            self._has_won = False

    def refund_request(self) -> None:
        """Return the token of a request that did not reach the upstream."""
        self._tokens += 1

    def capacity_slots(self, slots: int, slot_time_s: float) -> float:
        """Return how many slots of an upstream can be in use at the stated rate.

        Args:
            slots: Slots of the upstream (count).
            slot_time_s: Usual time for which a request holds a slot (seconds).
        """
        if not self.is_limited:
            return float(slots)
        return min(self._effective_rate_per_s * slot_time_s, float(slots))

    @property
    def _effective_rate_per_s(self) -> float:
        return max(self.rate_per_s, MIN_RATE_PER_S)

    def _add_tokens(self, now_s: float) -> None:
        rate_per_s = self._effective_rate_per_s
        elapsed_s = max(now_s - self._updated_s, 0.0)
        self._updated_s = max(now_s, self._updated_s)
        if self.is_limited:
            capacity = max(BURST_S * rate_per_s, 1.0)
            self._tokens = min(self._tokens + elapsed_s * rate_per_s, capacity)

    def _wins_draw(self, now_s: float) -> bool:
        if self.share >= 1:
            return True
        if now_s >= self._next_draw_s:
            self._has_won = self.draw() < self.share
            self._next_draw_s = now_s + 1 / self._effective_rate_per_s
        return self._has_won
