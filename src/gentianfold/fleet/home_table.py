"""Finds the homes of requests that VMs of older builds ask for without them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.homes import allowed_zones

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.forwarding.routing_state import RoutingState
    from gentianfold.model import Route


@attrs.define(eq=False, repr=False)
class HomeTable:
    """Homes by the configuration that this VM knows."""

    routing: RoutingState
    """The configuration in force."""
    regions: Mapping[str, str]
    """Region of each availability zone."""
    _version: int = 0
    _routes: dict[str, Route] = attrs.field(factory=dict)

    def zones(self, route: str, customer: str) -> tuple[str, ...] | None:
        """Return the zones in which a request may run; ``None`` for any.

        Args:
            route: Name of its route; one that is not known has no homes.
            customer: Name of its customer; empty if there is none.
        """
        configuration = self.routing.configuration
        if configuration is None:
            return None
        if configuration.version != self._version:
            self._version = configuration.version
            self._routes = {row.name: row for row in configuration.routes}
        known_route = self._routes.get(route)
        known_customer = configuration.customers.get(customer)
        return allowed_zones(
            known_route.homes if known_route is not None else (),
            known_customer.homes if known_customer is not None else (),
            self.regions,
        )
