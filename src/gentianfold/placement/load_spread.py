"""How evenly the load of a service is spread over its upstreams."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from gentianfold.model import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

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


def measure_spreads(
    trackers: Iterable[UpstreamTracker],
) -> Iterator[tuple[str, LoadSpread]]:
    """Yield the services with the spread over their healthy upstreams.

    Upstreams that are suspect or take no new requests don't count.

    Args:
        trackers: Upstreams of all services.
    """
    healthy = defaultdict(list)
    for tracker in trackers:
        upstream = tracker.upstream
        is_live = upstream.state is UpstreamState.LIVE and upstream.slots > 0
        if is_live and tracker.suspect_since_s is None:
            healthy[upstream.service].append(tracker)
    for service, of_service in healthy.items():
        yield service, _measure_spread(of_service)


def _measure_spread(trackers: Sequence[UpstreamTracker]) -> LoadSpread:
    uses = [tracker.in_use / tracker.upstream.slots for tracker in trackers]
    in_use = sum(tracker.in_use for tracker in trackers)
    slots = sum(tracker.upstream.slots for tracker in trackers)
    full = sum(use >= 1 for use in uses)
    return LoadSpread(in_use / slots, max(uses), full / len(trackers))
