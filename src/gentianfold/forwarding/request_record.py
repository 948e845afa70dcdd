"""Contents of the log line that is written for each request."""

from __future__ import annotations

import attrs


@attrs.define
class RequestRecord:
    """Facts about one request, collected while the request is handled."""

    request_id: str
    """Identifier that the caller sent; empty if none."""
    route: str = ""
    """Name of the route; empty if the request was rejected before placement."""
    service: str = ""
    """Name of the selected service; empty if ``route`` is."""
    customer: str = ""
    """Name of the customer; empty if there is none."""
    configuration_version: int = 0
    """Version of the configuration in force; 0 if there is none."""
    upstreams_age_s: float = 0.0
    """Age of the upstream list when forwarding began (seconds)."""
    attempts: list[str] = attrs.field(factory=list)
    """One entry for each placement or refusal, in the order in which they ended.

    A placement's entry holds the upstream, who granted the slot and why, the outcome
    and the elapsed time; a refusal's entry holds its reason, the number of requests
    ahead, the retry delay and the time waited.
    """
    status: int = 0
    """HTTP status of the response; 0 if the request was cancelled."""
    code: int = 0
    """Number of the result code; 0 for a response of an upstream."""
    elapsed_s: float = 0.0
    """Time from the complete request to its response or cancellation (seconds)."""
    caller_disconnected: bool = False
    """Whether the caller disconnected before the response."""
