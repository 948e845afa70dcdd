"""HTTP client of the platform's key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

import anyio
import attrs

from gentianfold.codes.platform import PLATFORM_UNREACHABLE, STORE_REFUSED
from gentianfold.errors import Failure
from gentianfold.forwarding.messages import encode_request
from gentianfold.forwarding.upstream_connection import ExchangeFailure
from gentianfold.platform.wire import (
    AFTER_PARAMETER,
    CHANGES_PATH,
    LIST_PATH,
    PREFIX_PARAMETER,
    WAIT_PARAMETER,
    EventPage,
    ItemPage,
    decode_events,
    decode_items,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.forwarding.connection_pool import Address, ConnectionPool
    from gentianfold.forwarding.messages import Response

CHANGES_TIMEOUT_S = 0.6
"""Timeout of a request for changes (seconds): a hundred times the usual response time,
and short enough to retry once before a new configuration must take effect."""
CONNECT_TIMEOUT_S = 0.4
"""Timeout for connecting to the store (seconds); many VMs may connect at once."""
LIST_TIMEOUT_S = 1.5
"""Timeout of a request for a page of items (seconds); a page may hold a megabyte."""
HISTORY_DROPPED = "the store no longer holds the requested changes"
"""Reason of the failure that requires listing all items again."""


@attrs.define(eq=False)
class StoreClient:
    """Sends requests to the store; no other class does."""

    address: Address
    """IP address and TCP port of the store."""
    pool: ConnectionPool
    """Pool that holds the connections to the store."""
    call_count: int = 0
    """Number of requests since the start, failed ones included."""

    async def list_items(self, prefix: str, after: str = "") -> ItemPage | Failure:
        """Read one page of the items under a key prefix.

        Args:
            prefix: Prefix of the keys; empty for all items.
            after: Last key of the previous page; empty for the first page.

        Returns:
            The page, or a failure if the store is unreachable, rejects the request or
            sends a malformed page.
        """
        query = {PREFIX_PARAMETER: prefix}
        if after:
            query[AFTER_PARAMETER] = after
        response = await self._get(LIST_PATH, query, LIST_TIMEOUT_S)
        if isinstance(response, Failure):
            return response
        page = decode_items(response.body)
        return page or Failure(STORE_REFUSED, "malformed page of items")

    async def list_changes(
        self, prefix: str, after_revision: int
    ) -> EventPage | Failure | None:
        """Read the changes after a revision, without waiting for new ones.

        Args:
            prefix: Prefix of the keys; empty for all items.
            after_revision: Revision up to which the changes are known.

        Returns:
            The changes, ``None`` if the store no longer holds all of them, or a
            failure if the store is unreachable, rejects the request or sends a malformed
            page.
        """
        query: dict[str, str | int] = {
            PREFIX_PARAMETER: prefix,
            AFTER_PARAMETER: after_revision,
            WAIT_PARAMETER: 0,
        }
        response = await self._get(CHANGES_PATH, query, CHANGES_TIMEOUT_S)
        if isinstance(response, Failure):
            return None if response.reason == HISTORY_DROPPED else response
        page = decode_events(response.body)
        return page or Failure(STORE_REFUSED, "malformed page of changes")

    async def _get(
        self, path: str, query: Mapping[str, str | int], timeout_s: float
    ) -> Response | Failure:
        self.call_count += 1
        owner = "store"
        response = None
        connection = await self.pool.acquire(
            self.address, owner, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        if connection is None:
            return Failure(PLATFORM_UNREACHABLE, "no connection to the store")
        with anyio.move_on_after(timeout_s):
            target = f"{path}?{urlencode(query)}".encode()
            host = f"{self.address[0]}:{self.address[1]}".encode()
            request = encode_request(b"GET", target, [(b"host", host)], b"")
            response = await connection.exchange(request, lambda _: True)
        if response is None:
            return Failure(PLATFORM_UNREACHABLE, "no answer in time")
        if isinstance(response, ExchangeFailure):
            return Failure(PLATFORM_UNREACHABLE, response.value)
        self.pool.release(self.address, owner, connection)
        if response.status == 410:
            return Failure(STORE_REFUSED, HISTORY_DROPPED)
        if response.status != 200:
            return Failure(STORE_REFUSED, f"status {response.status}")
        return response
