"""Limits the retries that a service gets from all VMs together."""

from __future__ import annotations

from collections import defaultdict, deque

import attrs

RATIO_USED_FRACTION = 0.6
"""Fraction of the configured ratio that is granted: the rest covers retries of VMs that
can't reach the broker."""
SLACK_USED_FRACTION = 0.4
"""Fraction of the configured slack that is granted, for the same reason."""


@attrs.frozen
class RetryBudgetPolicy:
    """Configured bound on the retries of a service within a window."""

    ratio: float = 0.2
    """Retries allowed per request."""
    slack: float = 50.0
    """Retries allowed in addition, whatever the number of requests (count)."""
    window_s: float = 10.0
    """Length of the sliding window (seconds)."""


@attrs.define
class RetryBudget:
    """Counts requests and retries of each service over a sliding window."""

    policy: RetryBudgetPolicy = attrs.field(factory=RetryBudgetPolicy)
    """Bound on the retries."""
    share: float = 1.0
    """Fraction of the slack that this budget may grant, 0 to 1."""
    _requests: dict[str, deque[float]] = attrs.field(factory=lambda: defaultdict(deque))
    _retries: dict[str, deque[float]] = attrs.field(factory=lambda: defaultdict(deque))

    def count_request(self, service: str, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._requests[service].append(now_s)

    def try_acquire(self, service: str, now_s: float) -> bool:
        """Count a retry if the budget allows it."""
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
        """Drop the times before the window from a queue and return the queue."""
        while times and times[0] < now_s - self.policy.window_s:
            times.popleft()
        return times
