"""Plans the slots of a service ahead, for requests that miss their target latency.

Answers the load of a service that is short of slots for some seconds, while the deadlines
of its callers are several times the target latency. Then slots become free before the
deadline, and a late response is worth more to a caller than none. Under a lasting
overload a longer queue serves no more requests; there what can't meet its target is
refused at once, so that it isn't held in vain.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.placement.queue_entry import QueueEntry
    from gentianfold.placement.upstream_pool import UpstreamPool

HORIZONS_S = (1.0, 4.0, 16.0)
"""Times over which arrivals are averaged (seconds): those for which requests can wait."""
PLAN_FACTOR = 1.1
"""Factor by which what is ahead of a request is multiplied: one that was held in vain is
worse for its caller than one refused at once."""

MIN_SLOT_TIME_S = 0.001
"""Shortest time for which a request holds a slot (seconds); keeps rates finite."""


@attrs.define
class ArrivalRates:
    """Arrivals of first attempts of one service, averaged over several times."""

    _counts: list[float] = attrs.field(factory=lambda: [0.0] * len(HORIZONS_S))
    _counted_s: float = 0.0
    _started_s: float | None = None

    def count(self, now_s: float) -> None:
        """Count an arrival."""
        if self._started_s is None:
            self._started_s = now_s
        self._decay(now_s)
        self._counts = [count + 1 for count in self._counts]

    def per_s(self, ahead_s: float, now_s: float) -> float:
        """Return the rate to expect: that of the last seconds (requests per second).

        Args:
            ahead_s: Time to look ahead (seconds); about twice as long is looked back,
                as crowds are followed by less.
            now_s: Current time (seconds).
        """
        if self._started_s is None:
            return 0.0
        self._decay(now_s)
        index = min(
            range(len(HORIZONS_S)),
            key=lambda index: abs(math.log(HORIZONS_S[index] / max(2 * ahead_s, 0.01))),
        )
        age_s = max(now_s - self._started_s, 0.05)
        known = 1 - math.exp(-age_s / HORIZONS_S[index])
        return self._counts[index] / (HORIZONS_S[index] * known)

    def _decay(self, now_s: float) -> None:
        elapsed_s = now_s - self._counted_s
        if elapsed_s <= 0:
            return
        self._counted_s = now_s
        self._counts = [
            count * math.exp(-elapsed_s / horizon_s)
            for count, horizon_s in zip(self._counts, HORIZONS_S, strict=True)
        ]


@attrs.frozen
class CapacityPlan:
    """What the slots of a service can serve."""

    pool: UpstreamPool
    """Upstreams in which the requests may run."""
    slot_time_s: float
    """Usual time for which a request holds a slot (seconds)."""
    arrivals: ArrivalRates
    """Requests that come, those that can meet their target before all late ones."""
    part: float = 1.0
    """Part of the arrivals that comes to these upstreams, 0 to 1."""

    def has_place(
        self, entry: QueueEntry, ahead: int, expected_s: float, now_s: float
    ) -> bool:
        """Tell whether a request that misses its target is served by its deadline.

        Args:
            entry: The request.
            ahead: Requests that are served first (count).
            expected_s: Expected elapsed time of the request (seconds).
            now_s: Current time (seconds).
        """
        useful_s = entry.last_start_s(expected_s) - now_s
        if useful_s <= 0:
            return False
        slots = self.pool.usable_slots(self.slot_time_s, now_s)
        spare_per_s = slots / max(self.slot_time_s, MIN_SLOT_TIME_S)
        spare_per_s -= self.part * self.arrivals.per_s(useful_s, now_s)
        return (ahead + 1) * PLAN_FACTOR <= spare_per_s * useful_s
