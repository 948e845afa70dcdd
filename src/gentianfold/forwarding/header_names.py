"""The header names that a deployment uses."""

from __future__ import annotations

import attrs


@attrs.frozen
class HeaderNames:
    """Headers with a meaning for forwarding; names in lower case."""

    request_id: bytes = b"gentianfold-request-id"
    """Identifies one attempt of a caller; the upstream echoes it."""
    time_left_ms: bytes = b"gentianfold-time-left-ms"
    """Milliseconds for which the sender waits for the answer."""
    customer: bytes = b"gentianfold-customer"
    """Name of the customer, set by this product."""
    upstream: bytes = b"gentianfold-upstream"
    """Name of the upstream that is to run the request."""
    seal: bytes = b"gentianfold-seal"
    """Marks an answer as an upstream's own."""
    not_run: bytes = b"gentianfold-not-run"
    """Present when the upstream did not run the request."""
    key_scheme: bytes = b"bearer"
    """Scheme of the ``Authorization`` header that carries a key."""


HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers that concern one connection only (RFC 9110, 7.6.1)."""
