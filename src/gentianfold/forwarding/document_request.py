"""Requests for documents, whose transfer may take long on a narrow link."""

from __future__ import annotations

import anyio
import attrs

from gentianfold.forwarding.body import Body
from gentianfold.forwarding.messages import encode_request
from gentianfold.forwarding.upstream_connection import (
    ExchangeResult,
    UpstreamConnection,
)


@attrs.frozen
class TransferTimeouts:
    """Timeouts of a transfer whose size is not known beforehand."""

    response_s: float
    """Time until the first byte of the response (seconds)."""
    progress_s: float
    """Time without a further byte (seconds)."""
    total_s: float
    """Time of the whole transfer (seconds)."""


async def request_document(
    connection: UpstreamConnection,
    host: bytes,
    target: bytes,
    timeouts: TransferTimeouts,
) -> ExchangeResult | None:
    """Send a GET request and read the response for as long as bytes arrive.

    Args:
        connection: An open connection; it is closed if a timeout expires.
        host: Value of the ``Host`` header.
        target: Path and query.
        timeouts: Timeouts of the transfer.

    Returns:
        The result of the exchange; ``None`` if a timeout expired.
    """
    end_s = anyio.current_time() + timeouts.total_s
    with anyio.move_on_after(timeouts.response_s) as scope:

        def extend_deadline() -> None:
            scope.deadline = min(anyio.current_time() + timeouts.progress_s, end_s)

        request = encode_request(b"GET", target, [(b"host", host)], Body())
        return await connection.exchange(
            request, lambda _: True, on_progress=extend_deadline
        )
    return None
