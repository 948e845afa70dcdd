"""Sums up what several VMs say of upstreams and customers."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gentianfold.cli._vm_status import CustomerStatus, UpstreamStatus, VmStatus


@attrs.frozen
class UpstreamView:
    """An upstream, as all VMs together see it."""

    name: str
    """Name of the upstream."""
    service: str | None
    """Name of its service."""
    zone: str | None
    """Its availability zone."""
    states: dict[str, int]
    """Number of VMs by the state that they see."""
    weight: float | None
    """Mean weight."""
    in_flight: int
    """Attempts that run, over all VMs."""
    reasons: tuple[str, ...]
    """The reasons given, each once."""


@attrs.frozen
class CustomerView:
    """A customer, as all VMs together see it."""

    name: str
    """Name of the customer."""
    rate_per_s: float | None
    """Its rate over the fleet."""
    burst: float | None
    """Its burst over the fleet."""
    admitted: int
    """Requests admitted by all VMs since their start."""
    refused: int
    """Requests refused by all VMs since their start."""
    refused_by: dict[str, int]
    """Refused requests by result code."""


def view_upstreams(statuses: Iterable[VmStatus]) -> list[UpstreamView]:
    """Sum up the upstreams, sorted by service and name."""
    rows: dict[str, list[UpstreamStatus]] = defaultdict(list)
    for status in statuses:
        for upstream in status.upstreams or ():
            rows[upstream.name].append(upstream)
    views = [_view_upstream(name, seen) for name, seen in rows.items()]
    return sorted(views, key=lambda view: (view.service or "", view.name))


def view_customers(statuses: Iterable[VmStatus]) -> list[CustomerView]:
    """Sum up the customers, sorted by name."""
    rows: dict[str, list[CustomerStatus]] = defaultdict(list)
    for status in statuses:
        for customer in status.customers or ():
            rows[customer.name].append(customer)
    return [_view_customer(name, seen) for name, seen in sorted(rows.items())]


def _view_upstream(name: str, seen: Sequence[UpstreamStatus]) -> UpstreamView:
    """Sum up one upstream."""
    weights = [row.weight for row in seen if row.weight is not None]
    return UpstreamView(
        name=name,
        service=next((row.service for row in seen if row.service), None),
        zone=next((row.zone for row in seen if row.zone), None),
        states=dict(Counter(row.state or "?" for row in seen).most_common()),
        weight=sum(weights) / len(weights) if weights else None,
        in_flight=sum(row.in_flight or 0 for row in seen),
        reasons=tuple(dict.fromkeys(row.reason for row in seen if row.reason)),
    )


def _view_customer(name: str, seen: Sequence[CustomerStatus]) -> CustomerView:
    """Sum up one customer."""
    refused_by: Counter[str] = Counter()
    for row in seen:
        refused_by.update(row.refused_by or {})
    return CustomerView(
        name=name,
        rate_per_s=next((row.rate_per_s for row in seen if row.rate_per_s), None),
        burst=next((row.burst for row in seen if row.burst), None),
        admitted=sum(row.admitted or 0 for row in seen),
        refused=sum(row.refused or 0 for row in seen),
        refused_by=dict(sorted(refused_by.items())),
    )
