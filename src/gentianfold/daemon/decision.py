"""One routing or placement decision, as a row of the decision log."""

from __future__ import annotations

import time

import attrs


@attrs.frozen
class Decision:
    """One decision about one request."""

    request_id: str
    """Identity of the request."""
    action: str
    """What was decided: route, refuse, place, retry, answer or break."""
    reason: str
    """Why, in a few words."""
    route: str = "-"
    """Name of the route."""
    customer: str = "-"
    """Name of the customer; ``-`` on open routes."""
    upstream: str = "-"
    """Name of the upstream."""
    attempt: int = 0
    """Number of the attempt, from 1."""
    code: int = 0
    """Number of the result code; 0 for none."""
    elapsed_ms: float = 0.0
    """Milliseconds since the request was accepted."""
    at_unix_s: float = attrs.field(factory=time.time)
    """When it was decided, by the wall clock."""

    def line(self) -> str:
        """Return the log line of the decision."""
        return (
            f"decide: request={self.request_id} action={self.action}"
            f" route={self.route} customer={self.customer}"
            f" upstream={self.upstream} attempt={self.attempt}"
            f" code={self.code} elapsed_ms={self.elapsed_ms:.2f}"
            f' reason="{self.reason}"'
        )
