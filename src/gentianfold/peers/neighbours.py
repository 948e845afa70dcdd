"""Chooses the peers that get direct heartbeats.

Up to ``FULL_MESH_VMS`` VMs, all do. Above, VMs stand in a ring ordered by a hash of
their names and each exchanges heartbeats with the VMs at fixed distances, on both
sides. Distances grow geometrically, so news crosses the fleet in a few hops; the
relation is symmetric, so that each direct peer answers directly.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

FULL_MESH_VMS = 64
"""Largest fleet in which all VMs exchange heartbeats directly."""
DISTANCES = 12
"""Ring distances to each side in larger fleets."""


def choose_neighbours(own: str, names: Iterable[str]) -> frozenset[str]:
    """Return the direct peers of ``own`` among all VMs of the list."""
    others = frozenset(names) - {own}
    if len(others) < FULL_MESH_VMS:
        return others
    ring = sorted(others | {own}, key=_ring_key)
    place, size = ring.index(own), len(ring)
    distances = _distances(size)
    places = {(place + sign * d) % size for d in distances for sign in (1, -1)}
    return frozenset(ring[p] for p in places if p != place)


def _ring_key(name: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(name.encode()), name


def _distances(size: int) -> set[int]:
    ratio = (size / 2) ** (1 / (DISTANCES - 1))
    distances: set[int] = set()
    for step in range(DISTANCES):
        distance = round(ratio**step)
        while distance in distances:
            distance += 1
        distances.add(distance)
    return distances
