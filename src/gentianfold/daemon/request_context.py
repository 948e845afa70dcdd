"""What is known of one request while it goes through the VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from gentianfold.daemon.published_view import Identity
    from gentianfold.model import Route


@attrs.define
class RequestContext:
    """One request; fields are filled as it passes the gates."""

    request_id: str
    """Identity of the request in logs and answers."""
    scope: dict[str, Any]
    """The ASGI scope."""
    accepted_s: float
    """When its head was read."""
    route: Route | None = None
    """The route that answers it."""
    identity: Identity | None = None
    """Whose request it is; ``None`` on open routes."""
    idempotency_key: bytes = b""
    """The caller's idempotency key; empty without one."""

    @property
    def customer_name(self) -> str:
        """The name of the customer; empty on open routes."""
        return self.identity.customer.name if self.identity else ""

    @property
    def target(self) -> bytes:
        """Path and query as received."""
        raw_path: bytes = self.scope["raw_path"]
        query: bytes = self.scope["query_string"]
        return raw_path + b"?" + query if query else raw_path
