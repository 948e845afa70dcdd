"""How evenly the load of a service is spread over its upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.frozen
class LoadSpread:
    """Slots in use of a service's healthy upstreams, as one scheduler knows them."""

    mean_use: float
    """Slots in use of all of them, as a fraction of their slots, 0 to 1."""
    busiest_use: float
    """The same of the one with the highest fraction, 0 to 1."""
    full_share: float
    """Fraction of them that have no unused slot, 0 to 1."""


def measure_spread(trackers: Sequence[UpstreamTracker]) -> LoadSpread:
    """Return the spread over the upstreams of a service; suspect ones don't count."""
    healthy = [
        tracker
        for tracker in trackers
        if tracker.suspect_since_s is None and tracker.upstream.slots
    ]
    if not healthy:
        return LoadSpread(0.0, 0.0, 0.0)
    uses = [tracker.in_use / tracker.upstream.slots for tracker in healthy]
    in_use = sum(tracker.in_use for tracker in healthy)
    slots = sum(tracker.upstream.slots for tracker in healthy)
    full = sum(use >= 1 for use in uses)
    return LoadSpread(in_use / slots, max(uses), full / len(healthy))
