"""Estimates how long a request waits for a slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gentianfold.placement.upstream_tracker import UpstreamTracker


def estimate_wait_s(
    trackers: Iterable[UpstreamTracker], slot_time_s: float, ahead: int
) -> float:
    """Return the estimated wait behind other requests (seconds).

    Args:
        trackers: Upstreams of the service that accept new requests.
        slot_time_s: Usual time for which a request holds a slot (seconds).
        ahead: Requests that are served first (count).
    """
    held = sum(
        tracker.rate_limiter.capacity_slots(tracker.upstream.slots, slot_time_s)
        if tracker.rate_limiter.is_limited
        else tracker.in_use
        for tracker in trackers
        if tracker.suspect_since_s is None
    )
    return (ahead + 1) * slot_time_s / (held or 1)


def shortest_pause_s(
    trackers: Sequence[UpstreamTracker], vm: str, now_s: float
) -> float:
    """Return the time until the first upstream wants requests of a VM (seconds)."""
    return min((tracker.pause_s(vm, now_s) for tracker in trackers), default=0.0)
