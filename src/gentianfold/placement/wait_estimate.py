"""Estimates how long a request waits for a slot."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.upstream_tracker import UpstreamTracker


def estimate_wait_s(
    pool: UpstreamPool, slot_time_s: float, ahead: float, now_s: float
) -> float:
    """Return the estimated wait behind other requests (seconds).

    Args:
        pool: Upstreams of the service that accept new requests.
        slot_time_s: Usual time for which a request holds a slot (seconds).
        ahead: Requests that are served first (count).
        now_s: Current time (seconds).
    """
    return (ahead + 1) * slot_time_s / (pool.held_slots(slot_time_s, now_s) or 1)


def competing_part(
    zones: tuple[str, ...] | None,
    homes: Mapping[tuple[str, ...], int],
    waiting: int,
    pool_part: float,
) -> float:
    """Return the part of the waiting requests that compete with one for its slots.

    Those without homes take slots of its zones as often as all others; those whose
    homes are other zones than its own take none.

    Args:
        zones: Zones in which the request may run; ``None`` for any.
        homes: Waiting requests that have homes (count), by their zones.
        waiting: All waiting requests (count).
        pool_part: Part of the service's upstreams that is in these zones, 0 to 1.
    """
    if zones is None or not waiting:
        return 1.0
    near = sum(
        count for other, count in homes.items() if not set(other).isdisjoint(zones)
    )
    without_homes = waiting - sum(homes.values())
    return (near + without_homes * pool_part) / waiting


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
