"""The platform's header names."""

from __future__ import annotations

from gentianfold.forwarding.header_names import HeaderNames

HEADERS = HeaderNames(
    request_id=b"attempt-id",
    # The wire calls the milliseconds that are left a deadline.
    time_left_ms=b"request-deadline",
    customer=b"tenant-name",
    upstream=b"target-instance",
    seal=b"response-seal",
    not_run=b"not-executed",
    key_scheme=b"token",
)
"""What the platform's callers and upstreams send."""
READINESS_PATH = b"/-/readiness"
"""What the platform's entry asks for."""
