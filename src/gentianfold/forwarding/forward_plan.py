"""What is settled about a request before it is sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.forwarding.messages import CallerRequest
    from gentianfold.forwarding.request_fingerprint import RequestFingerprint
    from gentianfold.model import Route


@attrs.frozen(eq=False, repr=False)
class ForwardPlan:
    """Facts about a request that are settled before its first attempt."""

    request: CallerRequest
    """The request as received."""
    request_id: bytes
    """Identifier that the caller sent."""
    route: Route
    """The route that matches the request."""
    service: str
    """Name of the service whose upstreams may run the request."""
    customer: str
    """Name of the customer; empty if there is none."""
    priority: int
    """Priority; 0 is the highest."""
    deadline_s: float
    """Time by which the caller must get a response (loop time)."""
    fingerprint: RequestFingerprint
    """Digest of the request's content."""
    strips_authorization: bool = True
    """Whether ``Authorization`` holds a key of this product and is not forwarded."""
    zones: tuple[str, ...] | None = None
    """Availability zones in which the request may run; ``None`` for any."""
