"""Names of the headers that forwarding uses."""

from __future__ import annotations

import attrs


@attrs.frozen
class HeaderNames:
    """Names of the headers that forwarding reads or sets, in lower case.

    Each deployment has its own names.
    """

    request_id: bytes = b"gentianfold-request-id"
    """Identifier of a caller's attempt; the upstream copies it to the response."""
    time_left_ms: bytes = b"gentianfold-time-left-ms"
    """Time for which the sender waits for the response (milliseconds)."""
    customer: bytes = b"gentianfold-customer"
    """Name of the customer; set on requests to upstreams."""
    upstream: bytes = b"gentianfold-upstream"
    """Name of the upstream that must run the request."""
    seal: bytes = b"gentianfold-seal"
    """Present on a response that the upstream itself produced."""
    not_run: bytes = b"gentianfold-not-run"
    """Present on a response if the upstream did not run the request."""
    rate_limit: bytes = b"gentianfold-rate-limit"
    """Requests per second that the upstream takes from all VMs together; absent from
    responses of an upstream without a limit."""
    leaving: bytes = b"gentianfold-leaving"
    """Set to 1 on all responses of an upstream that is about to end."""
    warmup: bytes = b"gentianfold-warmup-ms"
    """Milliseconds for which the upstream remains cold; absent or 0 if it is warm."""
    key_scheme: bytes = b"bearer"
    """``Authorization`` scheme that carries an API key, in lower case."""

    @property
    def all_names(self) -> frozenset[bytes]:
        """Names of all headers of the deployment."""
        return frozenset(
            {
                self.request_id,
                self.time_left_ms,
                self.customer,
                self.upstream,
                self.seal,
                self.not_run,
                self.rate_limit,
                self.leaving,
            }
        )
