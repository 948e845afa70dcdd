"""Decides when a VM sends a slot request again that its broker has not answered.

Answers a broker that is behind: repeating each request every 50 ms doubles its load
when it is slowest, so that it stays behind after the cause has gone.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

REQUEST_RETRY_S = 0.05
"""Time after which an unacknowledged slot request is sent again (seconds): more than
ten round trips between zones."""
MAX_REQUEST_RETRY_S = 0.4
"""Longest time until an unacknowledged slot request is sent again (seconds)."""
QUEUED_RETRY_S = 0.25
"""Time between repeated requests for a slot that the broker has queued (seconds)."""
MAX_QUEUED_RETRY_S = 1.0
"""The same at a broker that is far behind (seconds)."""
BEHIND_FACTOR = 2.0
"""Multiple of the broker's delay for which an answer is awaited."""
BEHIND_VALID_S = 1.0
"""Time for which a told delay counts (seconds): two heartbeats and more."""
JITTER = 0.5
"""Width of the random factor around 1, so that VMs don't repeat together."""
RESEND_SHARE = 0.5
"""Repeats for each new request: enough for links that lose a third of the datagrams."""
MAX_RESEND_TOKENS = 20.0
"""Repeats that may follow each other without new requests (count)."""


@attrs.define(eq=False, repr=False)
class ResendPace:
    """Backoff and budget of the repeated slot requests of one VM."""

    draw: Callable[[], float] = random.random
    """Returns a random number from 0 to below 1."""
    _behind_s: float = 0.0
    _told_s: float = -1e9
    _tokens: float = MAX_RESEND_TOKENS

    def record_behind(self, behind_s: float, now_s: float) -> None:
        """Record how far the broker says that it is behind (seconds)."""
        self._behind_s, self._told_s = behind_s, now_s

    def count_request(self) -> None:
        """Count a request that is sent for the first time."""
        self._tokens = min(self._tokens + RESEND_SHARE, MAX_RESEND_TOKENS)

    def try_resend(self) -> bool:
        """Take a token for a repeated request, if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def delay_s(self, unanswered: int, now_s: float) -> float:
        """Return how long an answer is awaited (seconds).

        Args:
            unanswered: Tries that the broker has left unanswered (count).
            now_s: Current time (seconds).
        """
        delay_s = REQUEST_RETRY_S * 2**unanswered
        delay_s = max(delay_s, BEHIND_FACTOR * self._known_behind_s(now_s))
        return self._spread(min(delay_s, MAX_REQUEST_RETRY_S))

    def queued_delay_s(self, now_s: float) -> float:
        """Return the time until a queued request is confirmed again (seconds)."""
        delay_s = QUEUED_RETRY_S + 4 * BEHIND_FACTOR * self._known_behind_s(now_s)
        return self._spread(min(delay_s, MAX_QUEUED_RETRY_S))

    def _known_behind_s(self, now_s: float) -> float:
        return self._behind_s if now_s - self._told_s < BEHIND_VALID_S else 0.0

    def _spread(self, delay_s: float) -> float:
        return delay_s * (1 + JITTER * (self.draw() - 0.5))
