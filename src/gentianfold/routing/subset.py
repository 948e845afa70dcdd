"""Deterministic subsets of upstreams, so that connections stay within budgets."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import Upstream

IMBALANCE_SIGMAS = 4.0
"""Standard deviations above the mean that budgets leave room for."""


def subset_size(upstreams: int, vms: int, least: int, spare_fraction: float) -> int:
    """Return how many upstreams of a service each VM connects to.

    Args:
        upstreams: Upstreams of the service.
        vms: VMs of the fleet.
        least: Least number of upstreams, for choice and for failures.
        spare_fraction: Connections for each slot over all VMs, at most 1 needed.
    """
    if spare_fraction >= 1.0 or vms <= 1:
        return upstreams
    return min(upstreams, max(least, math.ceil(upstreams * spare_fraction)))


def choose_subset(
    vm: str, upstreams: Iterable[Upstream], vms: int, least: int
) -> list[Upstream]:
    """Return the upstreams that a VM connects to, by rendezvous hash.

    A service whose servers accept a connection for each slot from every VM is
    used whole.
    """
    by_service: defaultdict[str, list[Upstream]] = defaultdict(list)
    for upstream in upstreams:
        by_service[upstream.service].append(upstream)
    chosen: list[Upstream] = []
    for group in by_service.values():
        needed = vms * max(upstream.slots for upstream in group)
        accepted = min(upstream.max_connections for upstream in group)
        size = subset_size(len(group), vms, least, accepted / needed)
        if size < len(group):
            group = sorted(group, key=lambda u: _rank(vm, u.name))[:size]
        chosen.extend(group)
    return chosen


def connection_budget(upstream: Upstream, upstreams: int, vms: int, least: int) -> int:
    """Return how many connections one VM may open to an upstream.

    The number of VMs that share the upstream is binomial; the budget leaves room
    for the ones above the mean.
    """
    spare_fraction = upstream.max_connections / max(1, vms * upstream.slots)
    size = subset_size(upstreams, vms, least, spare_fraction)
    if size >= upstreams:
        sharers = float(vms)
    else:
        share = size / upstreams
        sigma = math.sqrt(vms * share * (1.0 - share))
        sharers = vms * share + IMBALANCE_SIGMAS * sigma
    return max(
        1, min(upstream.slots, int(upstream.max_connections / max(1.0, sharers)))
    )


def _rank(vm: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{vm}\0{upstream}".encode())
