"""HTTP client of the platform's key-value store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urlencode

import attrs

from gentianfold.codes.platform import PLATFORM_UNREACHABLE, STORE_REFUSED
from gentianfold.errors import Failure
from gentianfold.forwarding.document_request import (
    TransferTimeouts,
    request_document,
)
from gentianfold.forwarding.upstream_connection import ExchangeFailure
from gentianfold.platform.wire import (
    AFTER_PARAMETER,
    CHANGES_PATH,
    ERA_HEADER,
    ITEM_PATH,
    KEY_PARAMETER,
    LIST_PATH,
    PREFIX_PARAMETER,
    WAIT_PARAMETER,
    EventPage,
    Item,
    ItemPage,
    decode_era,
    decode_events,
    decode_item,
    decode_items,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.forwarding.connection_pool import Address, ConnectionPool
    from gentianfold.forwarding.messages import Response

CONNECT_TIMEOUT_S = 0.4
"""Timeout for connecting to the store (seconds); many VMs may connect at once."""
CHANGES_TIMEOUTS = TransferTimeouts(response_s=0.6, progress_s=0.6, total_s=4.0)
"""Timeouts of a request for changes. The first is a hundred times the usual response
time, and short enough to retry once before a new configuration must take effect. The
total covers a configuration of a megabyte at three megabits per second."""
DOCUMENT_TIMEOUTS = TransferTimeouts(response_s=1.5, progress_s=0.6, total_s=4.0)
"""Timeouts of a request for an item or for a page of items."""
HISTORY_DROPPED = "the store no longer holds the requested changes"
"""Reason of the failure that requires listing all items again."""


@attrs.define(eq=False, repr=False)
class StoreClient:
    """Sends requests to the store; no other class does."""

    address: Address
    """IP address and TCP port of the store."""
    pool: ConnectionPool
    """Pool that holds the connections to the store."""
    call_count: int = 0
    """Number of requests since the start, failed ones included."""

    async def read_item(self, key: str) -> Item | Failure:
        """Read one item.

        Args:
            key: Key of the item.

        Returns:
            The item, or a failure if it does not exist or the store is unreachable,
            rejects the request or sends a malformed item.
        """
        response = await self._get(ITEM_PATH, {KEY_PARAMETER: key}, DOCUMENT_TIMEOUTS)
        if isinstance(response, Failure):
            return response
        item = decode_item(response.body)
        return item or Failure(STORE_REFUSED, "malformed item")

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
        response = await self._get(LIST_PATH, query, DOCUMENT_TIMEOUTS)
        if isinstance(response, Failure):
            return response
        era = decode_era(response.header(ERA_HEADER))
        page = decode_items(response.body, era) if era is not None else None
        return page or Failure(STORE_REFUSED, "malformed page of items or era")

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
        response = await self._get(CHANGES_PATH, query, CHANGES_TIMEOUTS)
        if isinstance(response, Failure):
            return None if response.reason == HISTORY_DROPPED else response
        era = decode_era(response.header(ERA_HEADER))
        page = decode_events(response.body, era) if era is not None else None
        return page or Failure(STORE_REFUSED, "malformed page of changes or era")

    async def _get(
        self, path: str, query: Mapping[str, str | int], timeouts: TransferTimeouts
    ) -> Response | Failure:
        self.call_count += 1
        owner = "store"
        connection = await self.pool.acquire(
            self.address, owner, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        if connection is None:
            return Failure(PLATFORM_UNREACHABLE, "no connection to the store")
        target = f"{path}?{urlencode(query)}".encode()
        host = f"{self.address[0]}:{self.address[1]}".encode()
        response = await request_document(connection, host, target, timeouts)
        if response is None:
            received = connection.exchanged_bytes
            return Failure(
                PLATFORM_UNREACHABLE, f"no answer in time, {received} bytes exchanged"
            )
        if isinstance(response, ExchangeFailure):
            return Failure(PLATFORM_UNREACHABLE, response.value)
        self.pool.release(self.address, owner, connection)
        if response.status == 410:
            return Failure(STORE_REFUSED, HISTORY_DROPPED)
        if response.status != 200:
            return Failure(STORE_REFUSED, f"status {response.status}")
        return response
