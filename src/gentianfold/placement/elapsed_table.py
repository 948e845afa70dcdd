"""Tracks the usual elapsed time of requests, by route and by service."""

from __future__ import annotations

import attrs

SMOOTHING = 0.05
"""Weight of the newest elapsed time; about the last forty requests count."""
INITIAL_TARGET_FRACTION = 0.35
"""Initial estimate of a route's elapsed time as a fraction of its target latency:
targets are about three times the usual work."""
DEFAULT_SLOT_TIME_S = 0.3
"""Usual slot time assumed until a request of the service succeeds (seconds): the
middle of the usual slot times of services."""


@attrs.define
class ElapsedTable:
    """Exponentially smoothed elapsed times of successful requests."""

    _by_route: dict[str, float] = attrs.field(factory=dict)
    _by_service: dict[str, float] = attrs.field(factory=dict)

    def record(self, service: str, route: str, elapsed_s: float) -> None:
        """Record the elapsed time of a successful request (seconds)."""
        for table, key in ((self._by_route, route), (self._by_service, service)):
            old_s = table.get(key, elapsed_s)
            table[key] = old_s + SMOOTHING * (elapsed_s - old_s)

    def expected_s(self, route: str, target_s: float) -> float:
        """Return the expected elapsed time of a request on a route (seconds)."""
        return self._by_route.get(route, target_s * INITIAL_TARGET_FRACTION)

    def slot_time_s(self, service: str) -> float:
        """Return the usual time for which a request holds a slot (seconds)."""
        return self._by_service.get(service, DEFAULT_SLOT_TIME_S)
