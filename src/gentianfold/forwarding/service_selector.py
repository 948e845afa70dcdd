"""Distributes the requests of a route over its services by weight."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.model import Route, WeightedService


@attrs.define
class ServiceSelector:
    """Selects services by smooth weighted round robin.

    Each service of a route has a credit, and the one with the highest credit is
    selected, so that its share of the requests deviates as little as possible from
    its weight. The initial credits are random, so that many VMs with few requests
    each don't all start with the same service.
    """

    random: random.Random = attrs.field(factory=random.Random)
    """Random number generator for the initial credits."""
    _credits: dict[tuple[str, tuple[WeightedService, ...]], list[float]] = attrs.field(
        factory=dict
    )

    def select(self, route: Route) -> str:
        """Return the name of the service for the next request of a route."""
        parts = route.split
        if not parts:
            return route.service
        total = sum(part.weight for part in parts)
        credits = self._credits.get((route.name, parts))
        if credits is None:
            credits = self._credits[route.name, parts] = self._initial_credits(
                parts, total
            )
        for index, part in enumerate(parts):
            credits[index] += part.weight / total
        best = max(range(len(parts)), key=credits.__getitem__)
        credits[best] -= 1
        return parts[best].service

    def _initial_credits(
        self, parts: tuple[WeightedService, ...], total: float
    ) -> list[float]:
        weights = [part.weight for part in parts]
        chosen = self.random.choices(range(len(parts)), weights)[0]
        phase = self.random.random()
        return [
            phase * (part.weight / total - (index == chosen))
            for index, part in enumerate(parts)
        ]
