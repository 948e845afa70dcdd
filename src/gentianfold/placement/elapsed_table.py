"""Learns how long requests take, by route and by service."""

from __future__ import annotations

import attrs

SMOOTHING = 0.05
"""Weight of the newest time; about the last forty requests count."""
INITIAL_TARGET_FRACTION = 0.35
"""First guess of a route's time as a fraction of its target latency: the targets of
both sites are about three times the usual work."""


@attrs.define
class ElapsedTable:
    """Smoothed elapsed times of requests that succeeded."""

    _by_route: dict[str, float] = attrs.field(factory=dict)
    _by_service: dict[str, float] = attrs.field(factory=dict)

    def record(self, service: str, route: str, elapsed_s: float) -> None:
        """Take the time of a request that succeeded."""
        for table, key in ((self._by_route, route), (self._by_service, service)):
            old_s = table.get(key, elapsed_s)
            table[key] = old_s + SMOOTHING * (elapsed_s - old_s)

    def expected_s(self, route: str, target_s: float) -> float:
        """Return the expected time of a request (seconds)."""
        return self._by_route.get(route, target_s * INITIAL_TARGET_FRACTION)

    def slot_time_s(self, service: str) -> float:
        """Return the usual time that a slot of a service is held (seconds)."""
        return self._by_service.get(service, DEFAULT_SLOT_TIME_S)


DEFAULT_SLOT_TIME_S = 0.3
"""Time that a slot is held before any was seen (seconds): the middle of both sites."""
