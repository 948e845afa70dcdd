"""Counts the requests of services by where they go and by the routes they come from.

Answers a load in which a route sends a share of its requests to another service and
those are refused there: its own service serves all that it gets, so by its own requests
nothing shows that a tenth of what callers ask of it goes unserved.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.service_demand import DemandCount, ServiceDemand

if TYPE_CHECKING:
    from gentianfold.placement.slot_request import SlotRequest

PART_MEMORY_S = 10.0
"""Time after which a service to which a route sends nothing belongs to it no longer
(seconds): as long as few requests of a small share may stay away."""

MAX_REPORTED = 1000
"""Refused requests that one report of a VM counts at most (count): more than a VM takes
between two reports."""


@attrs.define
class _Part:
    """A service of a route."""

    service: str
    count: DemandCount = attrs.field(factory=DemandCount)
    sent_s: float = 0.0


@attrs.define(eq=False, repr=False)
class DemandTable:
    """Demand of all services, and the services of each route as far as seen."""

    demand_of: Callable[[str], ServiceDemand]
    """Returns the demand of a service."""
    _parts: dict[str, dict[str, _Part]] = attrs.field(factory=dict)

    def count_request(self, request: SlotRequest, now_s: float) -> None:
        """Count the first attempt of a request with all services of its route."""
        self._count_request(request.service, request.route, request.idempotent, now_s)

    def count_refused_elsewhere(
        self, service: str, route: str, idempotent: bool, now_s: float, count: int
    ) -> None:
        """Count requests that a VM refused without a decision of this scheduler.

        Args:
            service: Service of the requests.
            route: Route of the requests.
            idempotent: Whether they may be retried.
            now_s: Current time (seconds).
            count: Their number.
        """
        for _ in range(min(count, MAX_REPORTED)):
            self._count_request(service, route, idempotent, now_s)
        self._count_unserved(service, route, now_s, min(count, MAX_REPORTED))

    def count_unserved(self, request: SlotRequest, now_s: float) -> None:
        """Count a request that was refused, failed or was given up by its caller."""
        self._count_unserved(request.service, request.route, now_s, 1)

    def _count_request(
        self, service: str, route: str, idempotent: bool, now_s: float
    ) -> None:
        self.demand_of(service).count_request(idempotent, now_s)
        parts = self._parts.setdefault(route, {})
        part = parts.get(service)
        if part is None:
            part = parts[service] = _Part(service)
        part.count.add(now_s, requests=1)
        part.sent_s = now_s
        if len(parts) > 1:
            self._forget_parts(route, now_s)
        self._add(route, now_s, requests=1)

    def _count_unserved(
        self, service: str, route: str, now_s: float, count: int
    ) -> None:
        self.demand_of(service).sent.add(now_s, unserved=count)
        self._add(route, now_s, unserved=count)

    def _add(self, route: str, now_s: float, **counts: int) -> None:
        parts = self._parts.get(route)
        if not parts:
            return
        main = max(parts.values(), key=lambda part: part.count.requests).service
        for service in parts:
            demand = self.demand_of(service)
            demand.of_all_routes.add(now_s, **counts)
            if service == main:
                demand.of_main_routes.add(now_s, **counts)

    def _forget_parts(self, route: str, now_s: float) -> None:
        parts = self._parts[route]
        old = [name for name in parts if now_s - parts[name].sent_s > PART_MEMORY_S]
        for name in old:
            del parts[name]
