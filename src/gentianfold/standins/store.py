"""Stand-in for the platform's configuration store."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import anyio
import attrs

from gentianfold.platform import wire, wire_encoding
from gentianfold.standins.http_server import (
    HttpServer,
    ReceivedRequest,
    format_response,
)

if TYPE_CHECKING:
    from gentianfold.model import Configuration, Upstream

PAGE_SIZE = 50
"""Items on a page (count); small, so that tests need few items to cover paging."""
PIECE_INTERVAL_S = 0.02
"""Time between two pieces of a response that is sent at a limited rate (seconds)."""


@attrs.frozen
class StoreCopy:
    """Contents of the store at a revision."""

    revision: int
    items: dict[str, wire.Item]
    history: list[wire.Item]


@attrs.define(eq=False)
class StandinStore:
    """Key-value store with a change history and faults that tests can inject."""

    revision: int = 1
    """Revision of the newest change; increases by one with each change."""
    era: int = 1
    """How often the store was restored; increases by one each time."""
    status: int = 200
    """Status of all responses; with any value but 200, every request is rejected."""
    is_unresponsive: bool = False
    """Whether requests get no response."""
    bytes_per_s: float = 0.0
    """Rate at which responses are sent (bytes per second); 0 for no limit."""
    request_counts: Counter[str] = attrs.field(factory=Counter)
    """Number of requests by path."""
    server: HttpServer = attrs.field(init=False)
    """HTTP server of the store."""
    _items: dict[str, wire.Item] = attrs.field(factory=dict)
    _history: list[wire.Item] = attrs.field(factory=list)
    _compacted_revision: int = 0

    def __attrs_post_init__(self) -> None:
        self.server = HttpServer(self._handle)

    def put(self, key: str, value: bytes) -> None:
        """Create or replace an item."""
        self.revision += 1
        item = wire_encoding.encode_item(key, value, self.revision)
        self._items[key] = item
        self._history.append(item)

    def delete(self, key: str) -> None:
        """Delete an item; the history keeps a tombstone.

        Raises:
            KeyError: If the item does not exist.
        """
        self.revision += 1
        del self._items[key]
        self._history.append(wire.Item(key, self.revision, tombstone=True))

    def put_configuration(self, configuration: Configuration) -> None:
        """Create or replace the item of the configuration."""
        document = wire_encoding.encode_configuration(configuration)
        self.put(wire.CONFIGURATION_KEY, document)

    def put_upstream(self, upstream: Upstream, sequence: int = 1) -> None:
        """Create or replace the entry of an upstream."""
        self.put(
            wire.UPSTREAM_KEY_PREFIX + upstream.name,
            wire_encoding.encode_upstream(upstream, sequence),
        )

    def put_evacuation(self, zone: str) -> None:
        """Request the evacuation of an availability zone."""
        self.put(wire.EVACUATION_KEY_PREFIX + zone, b"{}")

    def take_back(self, zone: str) -> None:
        """End the evacuation of an availability zone."""
        self.delete(wire.EVACUATION_KEY_PREFIX + zone)

    def delete_upstream(self, name: str) -> None:
        """Delete the entry of an upstream."""
        self.delete(wire.UPSTREAM_KEY_PREFIX + name)

    def compact_history(self) -> None:
        """Drop all changes so far.

        A client that requests changes since an older revision gets status 410 and must
        list all items.
        """
        self._compacted_revision = self.revision
        self._history.clear()

    def make_copy(self) -> StoreCopy:
        """Return a copy of the present contents."""
        return StoreCopy(self.revision, dict(self._items), list(self._history))

    def restore(self, copy: StoreCopy) -> None:
        """Return to a copy; later changes are lost, their revisions given out again."""
        self.revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._compacted_revision = min(self._compacted_revision, copy.revision)
        self.era += 1

    async def _handle(self, request: ReceivedRequest) -> bytes:
        response = await self._make_response(request)
        if self.bytes_per_s:
            return await self._send_slowly(request, response)
        return response

    async def _send_slowly(self, request: ReceivedRequest, response: bytes) -> bytes:
        """Send a response in pieces; return the last one, which is still to be sent."""
        size = max(int(self.bytes_per_s * PIECE_INTERVAL_S), 1)
        pieces = [response[at : at + size] for at in range(0, len(response), size)]
        for piece in pieces[:-1]:
            request.transport.write(piece)
            await anyio.sleep(PIECE_INTERVAL_S)
        return pieces[-1]

    async def _make_response(self, request: ReceivedRequest) -> bytes:
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.request_counts[url.path] += 1
        if self.is_unresponsive:
            await anyio.sleep_forever()
        if self.status != 200:
            return self._format(self.status, b"{}")
        if url.path == wire.ITEM_PATH:
            item = self._items.get(query.get(wire.KEY_PARAMETER, ""))
            if item is not None:
                return self._format(200, wire_encoding.encode_page(item))
        if url.path == wire.LIST_PATH:
            return self._format(200, self._list_items(query))
        if url.path == wire.CHANGES_PATH:
            return self._list_changes(query)
        return self._format(404, b"{}")

    def _format(self, status: int, body: bytes) -> bytes:
        return format_response(status, [(wire.ERA_HEADER, b"%d" % self.era)], body)

    def _list_items(self, query: dict[str, str]) -> bytes:
        prefix = query.get(wire.PREFIX_PARAMETER, "")
        after = query.get(wire.AFTER_PARAMETER, "")
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        page = wire.ItemPage(items[:PAGE_SIZE], self.revision, len(items) > PAGE_SIZE)
        return wire_encoding.encode_page(page)

    def _list_changes(self, query: dict[str, str]) -> bytes:
        after = int(query[wire.AFTER_PARAMETER])
        if not self._compacted_revision <= after <= self.revision:
            return self._format(410, b"{}")
        prefix = query.get(wire.PREFIX_PARAMETER, "")
        events = [
            item
            for item in self._history
            if item.rev > after and item.key.startswith(prefix)
        ]
        page = wire.EventPage(events, self.revision)
        return self._format(200, wire_encoding.encode_page(page))
