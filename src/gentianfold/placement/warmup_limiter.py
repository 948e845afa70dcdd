"""Keeps the fleet to the request rate that upstreams tolerate while they are cold.

An upstream that has just started, or became cold again, crashes under its usual load.
Its bound holds for all VMs together. So its tokens come with the shares of fleet-wide
limits, which have one user each: a share brings tokens for the time for which it is
held, and none that its last holder may have used. A VM whose part of the burst is under
one request sends nothing to a cold upstream, so there is no floor that adds up.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from gentianfold.model import Warmup

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_BURST, MAX_BURST = 1.5, 2.0
"""Bounds of the requests that a cold upstream gets at once (count). The lower one lets a
broker send that holds two thirds of the shares, as after the loss of a VM."""
MAX_RATE_ERROR = 0.1
"""Distance kept from the first count of requests that is too high (count): clocks of two
holders of a share may differ in speed."""
RAMP = 0.25
"""Rise of the rate towards the end of a warm-up, as a fraction of the stated rate."""
MAX_SEND_DELAY_S = 0.5
"""Age up to which a grant of a cold upstream is used (seconds): longer than a VM takes
to connect, and short beside the second in which requests are counted."""
MIN_RATE_PER_S = 0.01
"""Rate below which the time to the next token is not told apart (requests per second)."""
MIN_TOKENS = -2.0
"""Lower bound of the tokens; requests that another scheduler granted count up to it."""


@attrs.frozen
class WarmupPolicy:
    """What a cold upstream gets beyond the rate that its service states."""

    overshoot: float = 1.0
    """Multiple of the stated rate up to which no harm is done, 1 or more."""
    slack: float = 0.0
    """Requests in one second in addition (count)."""

    @property
    def burst(self) -> float:
        """Requests that may be sent at once (count)."""
        return min(max(self.slack / 4, MIN_BURST), MAX_BURST)

    def rate_per_s(self, stated_per_s: float, progress: float) -> float:
        """Return the rate at which a cold upstream gets requests (requests per second).

        With the burst, and grants that are used late, it stays inside the bound of any
        second: below the next whole number, as requests are counted.

        Args:
            stated_per_s: Rate that the service states (requests per second).
            progress: Part of the warm-up that is over, 0 to 1.
        """
        allowed = math.floor(stated_per_s * self.overshoot + self.slack)
        left = allowed + 1 - MAX_RATE_ERROR - self.burst if allowed else 0.0
        ramp = min(RAMP, max(self.overshoot - 1, 0.0) / 2)
        wanted_per_s = stated_per_s * (1 + ramp * progress)
        return max(min(wanted_per_s, left / (1 + MAX_SEND_DELAY_S)), 0.0)


@attrs.define(eq=False, repr=False)
class WarmupBudget:
    """Share of one scheduler in the requests of all cold upstreams."""

    policy: WarmupPolicy = attrs.field(factory=WarmupPolicy)
    """Bound of the requests that a cold upstream gets."""
    warmups: Mapping[str, Warmup] = attrs.field(factory=dict)
    """Warm-ups by service; others have no bound."""
    _share: float = 1.0
    _share_s: float = 0.0
    _updated_s: float = 0.0
    _valid_until_s: float = math.inf
    _limiters: list[WarmupLimiter] = attrs.field(factory=list)

    @property
    def share(self) -> float:
        """Fraction of the tokens of each cold upstream, 0 to 1."""
        return self._share

    def set_share(self, share: float, now_s: float, valid_s: float = math.inf) -> None:
        """Set the fraction of the tokens that this scheduler may use.

        Args:
            share: The fraction, 0 to 1.
            now_s: Current time (seconds).
            valid_s: Time after which the fraction ends unless it is set again (seconds).
        """
        self._advance(now_s)
        has_shrunk, self._share = share < self._share, share
        self._valid_until_s = now_s + valid_s
        if has_shrunk:
            for limiter in self._limiters:
                limiter.refill(now_s)

    def share_s(self, now_s: float) -> float:
        """Return the integral of the share over time (seconds)."""
        self._advance(now_s)
        return self._share_s

    def is_valid(self, now_s: float) -> bool:
        """Tell whether the share holds now."""
        return now_s <= self._valid_until_s

    def register(self, limiter: WarmupLimiter) -> None:
        """Add the limiter of an upstream that is cold now."""
        self._limiters.append(limiter)

    def expire(self, now_s: float) -> None:
        """Forget the upstreams whose warm-up has ended."""
        for limiter in self._limiters:
            limiter.is_started = limiter.is_cold(now_s)
        self._limiters = [limiter for limiter in self._limiters if limiter.is_started]

    def _advance(self, now_s: float) -> None:
        """Integrate the share up to now, or to the end of its validity."""
        elapsed_s = min(now_s, self._valid_until_s) - self._updated_s
        if elapsed_s > 0:
            self._share_s += self._share * elapsed_s
        self._updated_s = max(self._updated_s, now_s)


@attrs.define(eq=False, repr=False)
class WarmupLimiter:
    """Token bucket of one upstream while it is cold; all times are monotonic."""

    service: str = ""
    """Name of the service."""
    budget: WarmupBudget = attrs.field(factory=WarmupBudget)
    """Share and bound that hold for all cold upstreams."""
    until_s: float = -math.inf
    """When the warm-up ends (seconds)."""
    is_started: bool = False
    """Whether it has been cold and was not seen to be warm since."""
    _tokens: float = 0.0
    _refilled_share_s: float = 0.0
    # Before this time there is no token, whatever the share.
    _empty_until_s: float = -math.inf

    def is_cold(self, now_s: float) -> bool:
        """Tell whether the upstream is cold."""
        return now_s < self.until_s

    def is_bounded(self, now_s: float) -> bool:
        """Tell whether the upstream is cold and its service states a rate for that."""
        return self.is_cold(now_s) and self.service in self.budget.warmups

    def start(self, until_s: float, now_s: float) -> bool:
        """Record that the upstream is cold until a time; tell whether it was not.

        Other schedulers may have used the tokens of the time before.
        """
        was_cold = self.is_cold(now_s)
        self.until_s = max(until_s, self.until_s) if was_cold else until_s
        if was_cold or not self.is_cold(now_s):
            return False
        self._tokens, self._refilled_share_s = 0.0, self.budget.share_s(now_s)
        self._empty_until_s = -math.inf
        if not self.is_started:
            self.is_started = True
            self.budget.register(self)
        return True

    def start_unseen(self, now_s: float) -> bool:
        """Record that the upstream may have become cold just before now.

        Returns:
            Whether it was not known to be cold.
        """
        warmup = self.budget.warmups.get(self.service)
        if warmup is None:
            return False
        return self.start(now_s + warmup.duration_s, now_s)

    def allows_request(self, now_s: float) -> bool:
        """Tell whether a request may be sent now.

        A broker asks for each cold upstream at each choice, so that one without a token
        is not computed again before the whole share could have brought one.
        """
        if now_s < self._empty_until_s:
            return False
        warmup = self.budget.warmups.get(self.service)
        if warmup is None or not self.is_bounded(now_s):
            return True
        self.refill(now_s)
        if self._tokens >= 1:
            return self.budget.is_valid(now_s)
        highest_per_s = self.budget.policy.rate_per_s(warmup.rate_per_s, 1.0)
        missing_s = (1 - self._tokens) / max(highest_per_s, MIN_RATE_PER_S)
        self._empty_until_s = min(now_s + missing_s, self.until_s)
        return False

    def count_request(self, now_s: float) -> None:
        """Count a granted request.

        It is not taken back if the upstream was not reached: that may be down, and cold
        when it is back.
        """
        if self.is_cold(now_s):
            self.refill(now_s)
            self._tokens = max(self._tokens - 1, MIN_TOKENS)

    def refill(self, now_s: float) -> None:
        """Add the tokens of the share that was held since the last time."""
        share_s, rate_per_s = self.budget.share_s(now_s), self.rate_per_s(now_s)
        if rate_per_s == math.inf:
            return
        added = (share_s - self._refilled_share_s) * rate_per_s
        self._refilled_share_s = share_s
        burst = self.budget.policy.burst * self.budget.share
        self._tokens = min(self._tokens + added, burst)

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate at which the fleet may send requests now.

        Infinite if the upstream is not cold or its service states no rate (requests per
        second).
        """
        warmup = self.budget.warmups.get(self.service)
        if warmup is None or not self.is_cold(now_s):
            return math.inf
        left = (self.until_s - now_s) / max(warmup.duration_s, 0.1)
        return self.budget.policy.rate_per_s(warmup.rate_per_s, 1 - min(left, 1.0))

    def capacity_slots(self, slot_time_s: float, now_s: float) -> float:
        """Return how many slots can be in use at the present rate; infinite if warm.

        Args:
            slot_time_s: Usual time for which a request holds a slot (seconds).
            now_s: Current time (seconds).
        """
        return self.rate_per_s(now_s) * max(slot_time_s, 0.001)
