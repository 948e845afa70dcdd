"""Decides in which availability zones a request may run.

Routes and customers may have homes: regions outside of which none of their requests may
run. It answers operators whose data must not leave a region.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping


def allowed_zones(
    route_homes: Collection[str],
    customer_homes: Collection[str],
    regions: Mapping[str, str],
) -> tuple[str, ...] | None:
    """Return the zones in which a request may run; ``None`` for any.

    Args:
        route_homes: Regions of the route; empty for any.
        customer_homes: Regions of the customer; empty for any. Both bind.
        regions: Region of each known zone; a zone that is not known is in no home.

    Returns:
        The zones, which may be none at all. A tuple, as it is sent between VMs.
    """
    if not route_homes and not customer_homes:
        return None
    return tuple(
        zone
        for zone, region in sorted(regions.items())
        if (not route_homes or region in route_homes)
        and (not customer_homes or region in customer_homes)
    )
