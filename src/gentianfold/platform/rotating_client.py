"""Calls one of several addresses of the configuration service."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Self

import attrs

from gentianfold.errors import Failure
from gentianfold.platform.http_client import HttpPlatformClient

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.platform.client import PlatformClient, Value


@attrs.define(eq=False)
class RotatingPlatformClient:
    """Goes on to the next address after a failed call.

    The failed call itself is not repeated: its schedule waits and calls again, so that
    the pace of calls holds whatever fails.
    """

    clients: Sequence[PlatformClient]
    """A client for each address."""
    current: int = 0
    """Position of the client that is called."""
    _stack: AsyncExitStack = attrs.field(factory=AsyncExitStack, init=False)

    @classmethod
    def for_urls(cls, urls: Sequence[str], reader: str) -> Self:
        """Return a client of the service at these base URLs."""
        return cls([HttpPlatformClient(url, reader) for url in urls])

    async def __aenter__(self) -> Self:
        """Open the connections of every client."""
        await self._stack.__aenter__()
        for client in self.clients:
            if isinstance(client, HttpPlatformClient):
                await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close all connections."""
        await self._stack.aclose()

    async def read(self, name: str) -> Value | Failure:
        """Return the value as it is."""
        used = self.current
        answer = await self.clients[used].read(name)
        self._note(used, isinstance(answer, Failure))
        return answer

    async def watch(
        self, name: str, after: int, timeout_s: float
    ) -> Value | Failure | None:
        """Wait for a version above ``after``; ``None`` if none came in time."""
        used = self.current
        answer = await self.clients[used].watch(name, after, timeout_s)
        self._note(used, isinstance(answer, Failure))
        return answer

    def _note(self, used: int, failed: bool) -> None:
        # Two calls that fail at the same address count once.
        if failed and used == self.current:
            self.current = (used + 1) % len(self.clients)
