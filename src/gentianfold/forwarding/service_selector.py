"""Spreads the requests of a route over services by weight."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.model import Route, WeightedService


@attrs.define
class ServiceSelector:
    """Gives each service its share with the smallest possible deviation.

    Each route counts what its parts are owed (weighted round robin); the first
    count is random, so that many VMs with few requests don't all begin alike.
    """

    random: random.Random = attrs.field(factory=random.Random)
    """Source of the first counts."""
    _owed: dict[tuple[str, tuple[WeightedService, ...]], list[float]] = attrs.field(
        factory=dict
    )

    def select(self, route: Route) -> str:
        """Return the service of the next request of a route."""
        parts = route.split
        if not parts:
            return route.service
        total = sum(part.weight for part in parts)
        owed = self._owed.get((route.name, parts))
        if owed is None:
            owed = self._owed[route.name, parts] = self._first(parts, total)
        for index, part in enumerate(parts):
            owed[index] += part.weight / total
        best = max(range(len(parts)), key=owed.__getitem__)
        owed[best] -= 1
        return parts[best].service

    def _first(self, parts: tuple[WeightedService, ...], total: float) -> list[float]:
        weights = [part.weight for part in parts]
        chosen = self.random.choices(range(len(parts)), weights)[0]
        point = self.random.random()
        return [
            point * (part.weight / total - (index == chosen))
            for index, part in enumerate(parts)
        ]
