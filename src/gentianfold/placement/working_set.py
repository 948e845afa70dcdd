"""Selects the upstreams that carry the usual load of a service.

A failure period of an upstream shows only by a failed request. With few requests per
upstream, each upstream in use costs such a failure, and its last accepted request says
little about the next one. So each availability zone uses only as many upstreams as its
load needs: those that accepted requests last. The others get a bounded share of the
idempotent requests.
"""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.upstream_tracker import UpstreamTracker

HEADROOM = 2.0
"""Slots of a working set per slot in use."""
SPARE_SLOTS = 2.0
"""Slots of a working set in addition (count)."""
DEMAND_TIME_CONSTANT_S = 5.0
"""Time constant with which a working set shrinks (seconds); it grows at once."""
MIN_FREE_SHARE = 0.25
"""Free slots of the healthy upstreams of a zone, per slot in use, below which suspect
upstreams are needed."""
REFRESH_S_PER_UPSTREAM = 100e-6
"""Time between two updates for each upstream of all services (seconds): an update costs
one to two microseconds for each, so all of them take about a fiftieth of a core."""
MIN_FREE_SLOTS = 1.0
"""Free slots that a zone needs in addition (count)."""


@attrs.define
class WorkingSets:
    """Working sets of one service, one for each availability zone with upstreams."""

    _slots_used: dict[str, float] = attrs.field(factory=dict)
    _updated_s: float = 0.0
    _short_zones: frozenset[str] = frozenset()

    def is_due(self, upstream_count: int, now_s: float) -> bool:
        """Tell whether the sets are updated: rarely if there are many upstreams.

        Args:
            upstream_count: Upstreams of all services (count).
            now_s: Current time (seconds).
        """
        return now_s - self._updated_s >= upstream_count * REFRESH_S_PER_UPSTREAM

    def update(self, pool: UpstreamPool, slot_time_s: float, now_s: float) -> None:
        """Mark the members among the upstreams that accept new requests.

        Args:
            pool: Upstreams of the service that accept new requests.
            slot_time_s: Usual time for which a request holds a slot (seconds).
            now_s: Current time (seconds).
        """
        by_zone = defaultdict(list)
        for tracker in pool.trackers:
            by_zone[tracker.upstream.zone].append(tracker)
        decay = math.exp(-max(now_s - self._updated_s, 0.0) / DEMAND_TIME_CONSTANT_S)
        self._updated_s = now_s
        slots_used = {}
        short_zones = set()
        for zone, in_zone in by_zone.items():
            in_use = sum(tracker.in_use for tracker in in_zone)
            decayed = self._slots_used.get(zone, 0.0) * decay
            slots_used[zone] = max(float(in_use), decayed)
            healthy_slots, members = _mark_members(
                in_zone, slots_used[zone], slot_time_s, now_s
            )
            pool.zones[zone].preferred = members
            if healthy_slots < (1 + MIN_FREE_SHARE) * in_use + MIN_FREE_SLOTS:
                short_zones.add(zone)
        self._slots_used = slots_used
        self._short_zones = frozenset(short_zones)
        pool.file_all()

    def is_short(self, zone: str) -> bool:
        """Tell whether a zone needs its suspect upstreams to carry its load."""
        return zone in self._short_zones


def _mark_members(
    trackers: list[UpstreamTracker],
    slots_used: float,
    slot_time_s: float,
    now_s: float,
) -> tuple[float, list[UpstreamTracker]]:
    """Mark the members of a zone's working set.

    Args:
        trackers: Upstreams of the zone that accept new requests.
        slots_used: Slots that the load of the zone uses (count).
        slot_time_s: Usual time for which a request holds a slot (seconds).
        now_s: Current time (seconds).

    Returns:
        Slots of the zone's healthy upstreams that can be in use (count), and the
        members, those that accepted requests last at the front.
    """
    needed = HEADROOM * slots_used + SPARE_SLOTS
    healthy = [tracker for tracker in trackers if tracker.suspect_since_s is None]
    healthy.sort(
        key=lambda tracker: (
            tracker.is_slow,
            tracker.rate_limiter.is_limited or tracker.warmup.is_bounded(now_s),
            tracker.recent_failures(now_s) >= 1,
            tracker.share_slots == 0,
            -tracker.last_accepted_s,
        )
    )
    for tracker in trackers:
        tracker.in_working_set = False
    slots = 0.0
    for tracker in healthy:
        tracker.in_working_set = slots < needed
        capacity = tracker.capacity_slots(slot_time_s, now_s)
        slots += min(capacity, tracker.share_slots or capacity)
    return slots, [tracker for tracker in healthy if tracker.in_working_set]
