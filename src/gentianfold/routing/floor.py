"""The capacity floor that every removal of an upstream passes through."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen
class Removal:
    """An upstream that some system wants to take out of service."""

    upstream: str
    """Name of the upstream."""
    slots: int
    """Slots that the removal would take away."""
    badness: float
    """How bad it looks; the least bad stay in."""


def floor_slots(published_slots: int, floor_fraction: float) -> int:
    """Return the slots that removals must leave in use.

    Slots of draining upstreams count as published: while operators drain part
    of a service, fewer upstreams may be ejected. At least one slot is left.
    """
    return max(1, math.ceil(published_slots * floor_fraction - 1e-9))


def admit_removals(
    wanted: Iterable[Removal],
    *,
    published_slots: int,
    live_slots: int,
    floor_fraction: float,
) -> frozenset[str]:
    """Return the upstreams that may be removed, the worst first.

    Args:
        wanted: Live upstreams that some system wants to remove.
        published_slots: Slots of all published upstreams, draining ones included.
        live_slots: Slots of the upstreams that aren't draining.
        floor_fraction: Fraction of the published slots that must stay in use.
    """
    spare_slots = live_slots - floor_slots(published_slots, floor_fraction)
    admitted: list[str] = []
    for removal in sorted(wanted, key=lambda r: (-r.badness, r.upstream)):
        if removal.slots > spare_slots:
            break
        spare_slots -= removal.slots
        admitted.append(removal.upstream)
    return frozenset(admitted)
