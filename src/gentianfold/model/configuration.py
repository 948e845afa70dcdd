"""The published configuration: routes, services, customers and API keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.model.customer import Customer
    from gentianfold.model.route import Route
    from gentianfold.model.service import Warmup


@attrs.frozen
class CallerLimits:
    """Size limits and timeouts for the requests of callers."""

    max_header_bytes: int = 16_384
    """Largest size of request line and headers together (bytes); the size that
    common servers accept."""
    max_body_bytes: int = 64 << 20
    """Largest request body (bytes)."""
    header_timeout_s: float = 3.0
    """Timeout for receiving the headers of a request (seconds)."""
    idle_timeout_s: float = 15.0
    """Time after which an idle connection is closed (seconds)."""


@attrs.frozen
class Configuration:
    """One immutable version of the configuration that operators publish."""

    version: int
    """Version number; increases with each published change."""
    routes: tuple[Route, ...]
    """All routes, in the order in which they were published."""
    service_names: frozenset[str]
    """Names of all services that the configuration defines."""
    customers: dict[str, Customer]
    """Customers by name; empty if no request needs an API key."""
    customer_by_key: dict[str, str]
    """Customer name by API key."""
    caller_limits: CallerLimits = attrs.field(factory=CallerLimits)
    """Limits for the requests of all callers."""
    health_paths: dict[str, str] = attrs.field(factory=dict)
    """Health check path by service name."""
    warmups: dict[str, Warmup] = attrs.field(factory=dict)
    """Warm-up by service name; others have no bound while they are cold."""
    max_connections: dict[str, int] = attrs.field(factory=dict)
    """Connections that one upstream accepts from all VMs together, by service name."""
