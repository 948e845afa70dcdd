"""Divides the slots of upstreams among VMs, for placements without a broker.

Answers the load of many VMs that place requests at the same moment and know only their
own: upstreams are full in turns while others are idle. Each slot of a zone's upstreams
is the share of one VM of that zone. A VM uses its share before other slots, so requests
meet a full upstream only where some VM has more requests than its share has slots. The
shares follow from the list of upstreams and the VM's place among the VMs, so they need
no messages while there is no broker. The slots of a share are those of few upstreams:
the VM's evidence on them stays new.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.frozen
class VmPlace:
    """Place of a VM among the VMs of its availability zone."""

    zone: str
    """The availability zone."""
    rank: int
    """Number of VMs of the zone before this one (count)."""
    vm_count: int
    """VMs of the zone (count), at least 1."""


def divide_slots(
    trackers: Iterable[UpstreamTracker], place: VmPlace
) -> Iterator[tuple[UpstreamTracker, int]]:
    """Yield the upstreams of a service with the slots that are the share of a VM.

    The shares of a zone's VMs together hold each slot of the zone once, and differ by
    one slot at most. Upstreams of other zones are in no share.

    Args:
        trackers: Upstreams of the service, the same ones on all VMs.
        place: Place of the VM.

    Yields:
        Upstream and slots (count), 0 for upstreams outside of the share.
    """
    by_name = sorted(trackers, key=lambda tracker: tracker.upstream.name)
    in_zone = [each for each in by_name if each.upstream.zone == place.zone]
    ends = list(itertools.accumulate(each.upstream.slots for each in in_zone))
    total = ends[-1] if ends else 0
    first = place.rank * total // place.vm_count
    end = (place.rank + 1) * total // place.vm_count
    for tracker, tracker_end in zip(in_zone, ends, strict=True):
        tracker_first = tracker_end - tracker.upstream.slots
        yield tracker, max(min(end, tracker_end) - max(first, tracker_first), 0)
    for tracker in by_name:
        if tracker.upstream.zone != place.zone:
            yield tracker, 0
