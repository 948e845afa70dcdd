"""Limits the further attempts that a service gets from all VMs together."""

from __future__ import annotations

from collections import defaultdict, deque

import attrs

RATIO_USED_FRACTION = 0.6
"""Part of the published ratio that is used: the rest covers attempts that other VMs
make while they cannot ask."""
SLACK_USED_FRACTION = 0.4
"""Part of the published slack that is used, for the same reason."""


@attrs.frozen
class RetryBudgetPolicy:
    """The published bound on further attempts."""

    ratio: float = 0.2
    """Further attempts for each request."""
    slack: float = 50.0
    """Further attempts allowed on top."""
    window_s: float = 10.0
    """Length of the sliding window (seconds)."""


@attrs.define
class RetryBudget:
    """Counts requests and further attempts by service over a sliding window."""

    policy: RetryBudgetPolicy = attrs.field(factory=RetryBudgetPolicy)
    """The bound."""
    share: float = 1.0
    """Part of the slack that may be used here, 0 to 1."""
    _requests: dict[str, deque[float]] = attrs.field(factory=lambda: defaultdict(deque))
    _retries: dict[str, deque[float]] = attrs.field(factory=lambda: defaultdict(deque))

    def count_request(self, service: str, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._requests[service].append(now_s)

    def try_acquire(self, service: str, now_s: float) -> bool:
        """Take a further attempt from the budget if there is one left."""
        requests = self._recent(self._requests[service], now_s)
        retries = self._recent(self._retries[service], now_s)
        allowed = (
            self.policy.ratio * RATIO_USED_FRACTION * len(requests)
            + self.policy.slack * SLACK_USED_FRACTION * self.share
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now_s)
        return True

    def _recent(self, times: deque[float], now_s: float) -> deque[float]:
        while times and times[0] < now_s - self.policy.window_s:
            times.popleft()
        return times
