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
class DemandCount:
    """Decaying counts of some requests and of the unserved ones among them."""

    requests: float = 0.0
    """Requests (count)."""
    unserved: float = 0.0
    """Requests that were refused, failed or were given up by their callers (count)."""
    _decayed_at_s: float = 0.0

    def add(self, now_s: float, requests: int = 0, unserved: int = 0) -> None:
        """Add requests and unserved ones (counts)."""
        self._decay(now_s)
        self.requests += requests
        self.unserved += unserved

    def is_underserved(self, now_s: float) -> bool:
        """Tell whether more than ``MAX_UNSERVED_SHARE`` of the requests go unserved."""
        if not self.unserved:
            return False
        self._decay(now_s)
        return self.unserved >= max(MIN_UNSERVED, MAX_UNSERVED_SHARE * self.requests)

    def _decay(self, now_s: float) -> None:
        age_s = now_s - self._decayed_at_s
        if age_s <= 0:
            return
        factor = math.exp(-age_s / TIME_CONSTANT_S)
        self.requests *= factor
        self.unserved *= factor
        self._decayed_at_s = now_s


@attrs.define
class ServiceDemand:
    """Recent requests of one service, and a bucket for exploration.

    Callers see the requests of a route as those of one service, although parts of them
    may go to others. Which service that is only the callers know, so the requests are
    counted in three ways.
    """

    sent: DemandCount = attrs.field(factory=DemandCount)
    """Requests that go to the service."""
    of_main_routes: DemandCount = attrs.field(factory=DemandCount)
    """Requests, wherever they go, of the routes that go mainly to it."""
    of_all_routes: DemandCount = attrs.field(factory=DemandCount)
    """Requests, wherever they go, of all routes that go to it at times."""
    _idempotent: DemandCount = attrs.field(factory=DemandCount)
    arrivals: ArrivalRates = attrs.field(factory=ArrivalRates)
    """Rates at which requests come that the limits of their customers allow."""
    _explore_tokens: float = MAX_EXPLORE_TOKENS

    def count_request(self, idempotent: bool, now_s: float) -> None:
        """Count the first attempt of a request."""
        self.sent.add(now_s, requests=1)
        self._idempotent.add(now_s, requests=idempotent)
        self._explore_tokens = min(
            self._explore_tokens + EXPLORE_SHARE, MAX_EXPLORE_TOKENS
        )

    def is_underserved(self, now_s: float) -> bool:
        """Tell whether too many requests go unserved, whichever way they are counted."""
        return (
            self.sent.is_underserved(now_s)
            or self.of_main_routes.is_underserved(now_s)
            or self.of_all_routes.is_underserved(now_s)
        )

    def has_idempotent_requests(self) -> bool:
        """Tell whether the service gets idempotent requests that can explore."""
        return self._idempotent.requests >= MIN_IDEMPOTENT_SHARE * self.sent.requests

    def has_explore_token(self) -> bool:
        """Tell whether a request may leave the working sets."""
        return self._explore_tokens >= 1

    def take_explore_token(self) -> None:
        """Count a request that leaves the working sets."""
        self._explore_tokens = max(self._explore_tokens - 1, 0.0)
