"""Keeps a share of the slots for routes and customers that others would displace.

Answers the load of urgent routes, or customers of high priority, that alone fill all
slots of a service for seconds: in the strict order of priorities the others would get
none. Each route and each customer is served at least a fraction as often as all, of what
it asks. A less urgent one stays well below the others, so order is not turned round.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.placement.slot_request import SlotRequest

FLOOR = 0.35
"""Least served fraction of a route or customer, relative to that of all requests: above
the quarter below which callers count as shut out, since they fail otherwise too."""
TIME_CONSTANT_S = 5.0
"""Time constant of the decay of the counts (seconds)."""
MIN_ASKED = 3.0
"""Decayed number of requests below which nothing is said (count)."""
UPDATE_S = 0.1
"""Time for which those below the floor are not looked for again (seconds)."""
MAX_NAMES = 4000
"""Routes and customers that are counted in one service (count); more than a service
has at a time."""


@attrs.define
class _Counts:
    asked: float = 0.0
    served: float = 0.0

    def served_part(self) -> float:
        return self.served / max(self.asked, 1e-9)


@attrs.define
class ShareFloor:
    """Requests asked and served of one service, by route and by customer."""

    _all: _Counts = attrs.field(factory=_Counts)
    _counts: dict[tuple[str, str], _Counts] = attrs.field(factory=dict)
    _below: frozenset[tuple[str, str]] = frozenset()
    _updated_s: float = -math.inf

    def count_asked(self, request: SlotRequest, now_s: float) -> None:
        """Count a first attempt."""
        if len(self._counts) >= MAX_NAMES:
            # Without a queue nobody else lets the counts decay.
            self.update(now_s)
        for counts in self._counts_of(request):
            counts.asked += 1

    def count_served(self, request: SlotRequest) -> None:
        """Count a slot for a first attempt."""
        if request.attempt == 1:
            for counts in self._counts_of(request):
                counts.served += 1

    @property
    def below_count(self) -> int:
        """Number of routes and customers below the floor."""
        return len(self._below)

    def is_below(self, request: SlotRequest) -> bool:
        """Tell whether the route or the customer of a request is below the floor."""
        return bool(self._below) and not self._below.isdisjoint(_names(request))

    def update(self, now_s: float) -> None:
        """Let the counts decay, and find those below the floor, if it is time."""
        elapsed_s = now_s - self._updated_s
        if elapsed_s < UPDATE_S:
            return
        self._updated_s = now_s
        factor = math.exp(-elapsed_s / TIME_CONSTANT_S)
        for counts in (self._all, *self._counts.values()):
            counts.asked *= factor
            counts.served *= factor
        least = FLOOR * self._all.served_part()
        self._below = frozenset(
            name
            for name, counts in self._counts.items()
            if counts.asked >= MIN_ASKED and counts.served_part() < least
        )
        if len(self._counts) >= MAX_NAMES:
            self._counts = {
                name: counts
                for name, counts in self._counts.items()
                if counts.asked >= 1
            }

    def _counts_of(self, request: SlotRequest) -> tuple[_Counts, ...]:
        return (
            self._all,
            *(self._counts.setdefault(name, _Counts()) for name in _names(request)),
        )


def _names(request: SlotRequest) -> tuple[tuple[str, str], ...]:
    """Return route and customer of a request, as they are counted."""
    if not request.customer:
        return (("route", request.route),)
    return ("route", request.route), ("customer", request.customer)
