"""A stand-in of the platform's store."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import anyio
import attrs

from gentianfold.platform import wire
from gentianfold.standins.http_server import HttpServer, ServedRequest, format_answer

if TYPE_CHECKING:
    from gentianfold.model import Configuration, Upstream

PAGE_ITEMS = 50
"""Items on a page, so that few suffice to test paging."""


@attrs.define(eq=False)
class StandinStore:
    """Items, their changes, and ways to misbehave."""

    revision: int = 1
    """Rises with each change."""
    status: int = 200
    """Any other status refuses all calls."""
    is_unresponsive: bool = False
    """Whether calls get no answer."""
    request_counts: Counter[str] = attrs.field(factory=Counter)
    """Calls by path."""
    server: HttpServer = attrs.field(init=False)
    """Listens for calls."""
    _items: dict[str, wire.Item] = attrs.field(factory=dict)
    _history: list[wire.Item] = attrs.field(factory=list)
    _compacted_revision: int = 0

    def __attrs_post_init__(self) -> None:
        self.server = HttpServer(self._serve)

    def put(self, key: str, value: bytes) -> None:
        """Write an item."""
        self.revision += 1
        item = wire.encode_item(key, value, self.revision)
        self._items[key] = item
        self._history.append(item)

    def delete(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self._items[key]
        self._history.append(wire.Item(key, self.revision, tombstone=True))

    def put_configuration(self, configuration: Configuration) -> None:
        """Publish a configuration."""
        document = wire.encode_configuration(configuration)
        self.put(wire.CONFIGURATION_KEY, document)

    def put_upstream(self, upstream: Upstream) -> None:
        """Register an upstream, or write its entry anew."""
        self.put(
            wire.UPSTREAM_KEY_PREFIX + upstream.name, wire.encode_upstream(upstream)
        )

    def delete_upstream(self, name: str) -> None:
        """Remove an upstream's entry."""
        self.delete(wire.UPSTREAM_KEY_PREFIX + name)

    def compact_history(self) -> None:
        """Drop all changes; who asks for them must list everything."""
        self._compacted_revision = self.revision
        self._history.clear()

    async def _serve(self, request: ServedRequest) -> bytes:
        url = urlsplit(request.target.decode())
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.request_counts[url.path] += 1
        if self.is_unresponsive:
            await anyio.sleep_forever()
        if self.status != 200:
            return format_answer(self.status, [], b"{}")
        if url.path == wire.LIST_PATH:
            return format_answer(200, [], self._list(query))
        if url.path == wire.CHANGES_PATH:
            return self._changes(query)
        return format_answer(404, [], b"{}")

    def _list(self, query: dict[str, str]) -> bytes:
        prefix = query.get(wire.PREFIX_PARAMETER, "")
        after = query.get(wire.AFTER_PARAMETER, "")
        items = [
            item
            for key, item in sorted(self._items.items())
            if key.startswith(prefix) and key > after
        ]
        page = wire.ItemPage(items[:PAGE_ITEMS], self.revision, len(items) > PAGE_ITEMS)
        return wire.encode_page(page)

    def _changes(self, query: dict[str, str]) -> bytes:
        after = int(query[wire.AFTER_PARAMETER])
        if after < self._compacted_revision:
            return format_answer(410, [], b"{}")
        prefix = query.get(wire.PREFIX_PARAMETER, "")
        events = [
            item
            for item in self._history
            if item.rev > after and item.key.startswith(prefix)
        ]
        page = wire.EventPage(events, self.revision)
        return format_answer(200, [], wire.encode_page(page))
