"""Header names and readiness path of the platform."""

from __future__ import annotations

from gentianfold.forwarding.header_names import HeaderNames

HEADERS = HeaderNames(
    request_id=b"attempt-id",
    # Despite its name, the header carries the milliseconds left, not a point in time.
    time_left_ms=b"request-deadline",
    customer=b"tenant-name",
    upstream=b"target-instance",
    seal=b"response-seal",
    not_run=b"not-executed",
    rate_limit=b"server-limit",
    leaving=b"server-leaving",
    warmup=b"warmup-remaining",
    key_scheme=b"token",
)
"""Header names that callers and upstreams on the platform use."""
READINESS_PATH = b"/-/readiness"
"""Path that the platform's ingress requests to check readiness."""
