"""Estimates how long a request waits for a slot."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.upstream_tracker import UpstreamTracker


def estimate_wait_s(pool: UpstreamPool, slot_time_s: float, ahead: int) -> float:
    """Return the estimated wait behind other requests (seconds).

    Args:
        pool: Upstreams of the service that accept new requests.
        slot_time_s: Usual time for which a request holds a slot (seconds).
        ahead: Requests that are served first (count).
    """
    return (ahead + 1) * slot_time_s / (pool.held_slots(slot_time_s) or 1)


def shortest_pause_s(
    trackers: Iterable[UpstreamTracker], vm: str, now_s: float
) -> float:
    """Return the time until the first upstream wants requests of a VM (seconds)."""
    shortest_s = math.inf
    for tracker in trackers:
        shortest_s = min(tracker.pause_s(vm, now_s), shortest_s)
        if not shortest_s:
            break
    return shortest_s if shortest_s < math.inf else 0.0
