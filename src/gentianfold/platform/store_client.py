"""Reads the platform's store over HTTP."""

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

CALL_TIMEOUT_S = 0.6
"""Time for one call (seconds): a hundred times the usual answer, and short enough for
a second call within the time in which a configuration must be in force."""
CONNECT_TIMEOUT_S = 0.4
"""Time for a connection to the store (seconds); many VMs may connect together."""
LIST_TIMEOUT_S = 1.5
"""Time for a page of items (seconds); a page may hold a megabyte."""


@attrs.define(eq=False)
class StoreClient:
    """The only client of the platform."""

    address: Address
    """Where the store listens."""
    pool: ConnectionPool
    """Connections to it."""
    call_count: int = 0
    """Calls made since the start."""

    async def list(self, prefix: str, after: str = "") -> ItemPage | Failure:
        """Read a page of the items under a prefix.

        Args:
            prefix: Beginning of the keys.
            after: The last key of the page before.
        """
        query = {PREFIX_PARAMETER: prefix}
        if after:
            query[AFTER_PARAMETER] = after
        answer = await self._get(LIST_PATH, query, LIST_TIMEOUT_S)
        if isinstance(answer, Failure):
            return answer
        page = decode_items(answer.body)
        return page or Failure(STORE_REFUSED, "the page can't be read")

    async def changes(
        self, prefix: str, after_revision: int
    ) -> EventPage | Failure | None:
        """Read the changes after a revision.

        Returns:
            The changes, a failure, or ``None`` if the store has dropped them.
        """
        query: dict[str, str | int] = {
            PREFIX_PARAMETER: prefix,
            AFTER_PARAMETER: after_revision,
            WAIT_PARAMETER: 0,
        }
        answer = await self._get(CHANGES_PATH, query, CALL_TIMEOUT_S)
        if isinstance(answer, Failure):
            return None if answer.reason == HISTORY_GONE else answer
        page = decode_events(answer.body)
        return page or Failure(STORE_REFUSED, "the changes can't be read")

    async def _get(
        self, path: str, query: Mapping[str, str | int], timeout_s: float
    ) -> Response | Failure:
        self.call_count += 1
        owner = "store"
        answer = None
        connection = await self.pool.acquire(
            self.address, owner, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        if connection is None:
            return Failure(PLATFORM_UNREACHABLE, "no connection to the store")
        with anyio.move_on_after(timeout_s):
            target = f"{path}?{urlencode(query)}".encode()
            host = f"{self.address[0]}:{self.address[1]}".encode()
            request = encode_request(b"GET", target, [(b"host", host)], b"")
            answer = await connection.exchange(request, lambda _: True)
        if answer is None:
            return Failure(PLATFORM_UNREACHABLE, "no answer in time")
        if isinstance(answer, ExchangeFailure):
            return Failure(PLATFORM_UNREACHABLE, answer.value)
        self.pool.release(self.address, owner, connection)
        if answer.status == 410:
            return Failure(STORE_REFUSED, HISTORY_GONE)
        if answer.status != 200:
            return Failure(STORE_REFUSED, f"status {answer.status}")
        return answer


HISTORY_GONE = "the history is gone"
"""Reason of the failure after which everything is listed again."""
