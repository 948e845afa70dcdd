"""Header names of the protocol between VMs and upstreams."""

from __future__ import annotations

NOT_RUN_HEADER = b"x-not-run"
"""Set to ``1`` on a 503 answer by an upstream that did not run the request."""
DEADLINE_HEADER = b"x-deadline-ms"
"""Milliseconds left for the answer, counted from the arrival of the request."""
REQUEST_ID_HEADER = b"x-request-id"
"""Identifies a request in logs of callers, VMs and upstreams."""
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"
"""Names a request that must run at most once for its customer."""
