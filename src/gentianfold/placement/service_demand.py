"""Tracks the recent load of one service and how much of it is not served."""

from __future__ import annotations

import math

import attrs

from gentianfold.placement.capacity_plan import ArrivalRates

TIME_CONSTANT_S = 2.0
"""Time constant of the decay of the counts (seconds): failing requests must not keep
upstreams without requests for longer than that."""
MAX_UNSERVED_SHARE = 0.06
"""Share of unserved requests from which requests are spread over all upstreams, 0 to 1;
below the tenth from which healthy upstreams must not be left out."""
MIN_UNSERVED = 1.5
"""Decayed number of unserved requests below which the share says nothing (count)."""
MIN_IDEMPOTENT_SHARE = 0.03
"""Share of idempotent requests from which exploration is left to them, 0 to 1."""
EXPLORE_SHARE = 0.1
"""Requests to upstreams outside the working sets, as a share of all requests, while
all requests are served; their failures stay within a small part of the retry budget."""
MAX_EXPLORE_TOKENS = 3.0
"""Such requests that may follow each other at once (count)."""


@attrs.define
class ServiceDemand:
    """Decaying counts of the requests of one service, and a bucket for exploration."""

    arrivals: ArrivalRates = attrs.field(factory=ArrivalRates)
    """Rates at which requests come."""
    _requests: float = 0.0
    _idempotent: float = 0.0
    _unserved: float = 0.0
    _decayed_at_s: float = 0.0
    _explore_tokens: float = MAX_EXPLORE_TOKENS

    def count_request(self, idempotent: bool, now_s: float) -> None:
        """Count the first attempt of a request."""
        self._decay(now_s)
        self.arrivals.count(now_s)
        self._requests += 1
        self._idempotent += idempotent
        self._explore_tokens = min(
            self._explore_tokens + EXPLORE_SHARE, MAX_EXPLORE_TOKENS
        )

    def count_unserved(self, now_s: float) -> None:
        """Count a request that was refused, failed or was given up by its caller."""
        self._decay(now_s)
        self._unserved += 1

    def is_underserved(self, now_s: float) -> bool:
        """Tell whether more than ``MAX_UNSERVED_SHARE`` of the requests go unserved."""
        self._decay(now_s)
        return self._unserved >= max(MIN_UNSERVED, MAX_UNSERVED_SHARE * self._requests)

    def has_idempotent_requests(self) -> bool:
        """Tell whether the service gets idempotent requests that can explore."""
        return self._idempotent >= MIN_IDEMPOTENT_SHARE * self._requests

    def has_explore_token(self) -> bool:
        """Tell whether a request may leave the working sets."""
        return self._explore_tokens >= 1

    def take_explore_token(self) -> None:
        """Count a request that leaves the working sets."""
        self._explore_tokens = max(self._explore_tokens - 1, 0.0)

    def _decay(self, now_s: float) -> None:
        age_s = now_s - self._decayed_at_s
        if age_s <= 0:
            return
        factor = math.exp(-age_s / TIME_CONSTANT_S)
        self._requests *= factor
        self._idempotent *= factor
        self._unserved *= factor
        self._decayed_at_s = now_s
