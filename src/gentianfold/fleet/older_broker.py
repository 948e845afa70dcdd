"""What a VM does itself while its broker runs an older build.

Such a broker knows neither evacuated zones, homes nor bounds of cold upstreams. The VM
returns grants of such upstreams; it names them in its request, too, so that it does not
get them one after the other while the request waits.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import (
    NO_UPSTREAM_RETRY_S,
    GrantReason,
    RefusalReason,
    Refused,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import Upstream
    from gentianfold.placement.slot_request import SlotRequest

MAX_EXCLUDED = 60
"""Upstreams that a request names (count): keeps its datagram near the usual packet size."""


def exclude_withdrawn(
    request: SlotRequest,
    broker: str,
    upstreams: Iterable[Upstream],
    is_withdrawn: Callable[[Placement], bool],
    now_s: float,
) -> SlotRequest | Refused:
    """Exclude the upstreams of which the VM would return a grant.

    Args:
        request: A request for a slot.
        broker: Address of the broker.
        upstreams: All upstreams that the VM knows.
        is_withdrawn: Tells whether the VM returns a grant.
        now_s: Event loop time (seconds).

    Returns:
        The request; a refusal if the VM would return each grant.
    """
    listed = [row for row in upstreams if row.service == request.service]
    withdrawn = [
        upstream.name
        for upstream in listed
        if is_withdrawn(_to_grant(request, broker, upstream, now_s))
    ]
    if not withdrawn:
        return request
    if len(withdrawn) == len(listed):
        return Refused(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
    excluded = tuple(dict.fromkeys((*request.excluded, *withdrawn)))
    return attrs.evolve(request, excluded=excluded[:MAX_EXCLUDED])


def _to_grant(
    request: SlotRequest, broker: str, upstream: Upstream, now_s: float
) -> Placement:
    """Return the grant of an upstream that the broker could send now."""
    return Placement(
        request.slot_request_id,
        upstream.name,
        upstream.host,
        upstream.port,
        0.0,
        GrantReason.BEST,
        broker,
        upstream.start_time_ms,
        now_s,
        request.zones,
    )
