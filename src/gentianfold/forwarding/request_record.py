"""One line of the log for each request: what decided it and how it ended."""

from __future__ import annotations

import attrs


@attrs.define
class RequestRecord:
    """Facts of one request, filled in on its way."""

    request_id: str
    """Identifier that the caller sent."""
    route: str = ""
    """Name of the route."""
    service: str = ""
    """Service that was to run it."""
    customer: str = ""
    """Name of the customer."""
    configuration_version: int = 0
    """Version of the configuration that decided."""
    upstreams_age_s: float = 0.0
    """Age of the upstream list that decided (seconds)."""
    attempts: list[str] = attrs.field(factory=list)
    """Each attempt: upstream, who placed it and why, outcome, elapsed time."""
    status: int = 0
    """Status that the caller got."""
    code: int = 0
    """Number of the result code; 0 for an upstream's own answer."""
    elapsed_s: float = 0.0
    """Time from the whole request to its answer (seconds)."""
    caller_disconnected: bool = False
    """Whether the caller left before the answer."""
