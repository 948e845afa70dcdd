"""Tracks the bytes that a request of a route and its response take."""

from __future__ import annotations

import attrs

SMOOTHING = 0.05
"""Weight of the newest request; about the last forty count."""
INITIAL_KILOBYTES = 1.0
"""Size assumed until a request of the route ends (kilobytes)."""


@attrs.define
class TransferTable:
    """Exponentially smoothed size of requests with their responses, by route."""

    _kilobytes: dict[str, float] = attrs.field(factory=dict)

    def record(self, route: str, transferred_bytes: int) -> None:
        """Record the size of a request and its response (bytes)."""
        kilobytes = transferred_bytes / 1000
        old = self._kilobytes.get(route, kilobytes)
        self._kilobytes[route] = old + SMOOTHING * (kilobytes - old)

    def expected_kilobytes(self, route: str) -> float:
        """Return the expected size of a request and its response (kilobytes)."""
        return self._kilobytes.get(route, INITIAL_KILOBYTES)
