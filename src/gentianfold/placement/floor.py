"""Finds services that must spread their requests over all healthy upstreams.

While a part of a service's requests goes unserved nobody can tell which upstreams are at
fault, so each healthy one has to get requests. Requests that VMs place on lent slots go
where earlier ones went; only decisions of the broker reach the upstreams left out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianfold.placement.upstream_pool import UpstreamPool

SPREAD_INTERVAL_S = 1.0
"""Time within which each healthy upstream gets a request while requests go unserved
(seconds); half of the window in which none may be left out."""


def leaves_out_upstreams(pool: UpstreamPool, now_s: float) -> bool:
    """Tell whether a healthy upstream with a free slot got no request for a while."""
    return any(
        now_s - tracker.last_used_s >= SPREAD_INTERVAL_S
        for tracker in pool.trackers
        if tracker.suspect_since_s is None and tracker.has_free_slot(now_s)
    )
