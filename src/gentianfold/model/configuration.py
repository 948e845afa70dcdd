"""One published version of routes, services, customers and keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.model.customer import Customer
    from gentianfold.model.route import Route


@attrs.frozen
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    """Largest request line and headers; the size common servers take."""
    max_body_bytes: int = 64 << 20
    """Largest request body."""
    header_timeout_s: float = 3.0
    """Time in which a caller must send the headers."""
    idle_timeout_s: float = 15.0
    """Time for which a connection without a request stays open."""


@attrs.frozen
class Configuration:
    """A version of everything that operators publish; never changed in place."""

    version: int
    """Rises with each change."""
    routes: tuple[Route, ...]
    """All routes."""
    service_names: frozenset[str]
    """Names of all services."""
    customers: dict[str, Customer]
    """Customers by name; empty if requests need no key at all."""
    customer_by_key: dict[str, str]
    """Name of the customer that holds each key."""
    caller_limits: CallerLimits = attrs.field(factory=CallerLimits)
    """Bounds on what callers send."""
    health_paths: dict[str, str] = attrs.field(factory=dict)
    """Path of the health check by service."""
    max_connections: dict[str, int] = attrs.field(factory=dict)
    """Connections that one upstream accepts from all VMs together, by service."""
