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


def subset_size(upstream: Upstream, upstreams: int, vms: int, least: int) -> int:
    """Return how many upstreams of a service each VM connects to.

    Args:
        upstream: The server of the service that accepts the fewest connections.
        upstreams: Upstreams of the service.
        vms: VMs of the fleet.
        least: Wanted number of upstreams, for choice and for failures.
    """
    needed = vms * upstream.slots
    if needed <= upstream.max_connections:
        return upstreams
    fitting = math.ceil(upstreams * upstream.max_connections / needed)
    size = min(upstreams, max(least, fitting))
    while size > 1 and _sharers(size, upstreams, vms) > upstream.max_connections:
        size -= 1
    return size


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
        strictest = min(group, key=lambda u: u.max_connections / u.slots)
        size = subset_size(strictest, len(group), vms, least)
        if size < len(group):
            group = sorted(group, key=lambda u: _rank(vm, u.name))[:size]
        chosen.extend(group)
    return chosen


def connection_budget(upstream: Upstream, upstreams: int, vms: int, least: int) -> int:
    """Return how many connections one VM may open to an upstream."""
    size = subset_size(upstream, upstreams, vms, least)
    each = int(upstream.max_connections / _sharers(size, upstreams, vms))
    return max(1, min(upstream.slots, each))


def _sharers(size: int, upstreams: int, vms: int) -> float:
    """Return how many VMs share an upstream; their number is binomial."""
    if size >= upstreams:
        return float(vms)
    share = size / upstreams
    sigma = math.sqrt(vms * share * (1.0 - share))
    return vms * share + IMBALANCE_SIGMAS * sigma


def _rank(vm: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{vm}\0{upstream}".encode())
