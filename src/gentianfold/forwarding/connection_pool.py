"""Keeps open connections to servers for reuse."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, TypeAlias

import anyio
import attrs

from gentianfold.forwarding.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Iterator

CONNECT_TIMEOUT_S = 0.1
"""Time for a new connection (seconds): about forty round trips between zones; a lost
opening packet would be sent again only after a second."""
MAX_IDLE_S = 4.0
"""Longest time for which an idle connection is reused (seconds), under half of what
servers allow."""
PROVEN_IDLE_S = 0.3
"""Idle time within which a connection is taken for open without a new handshake
(seconds)."""
KEEP_ALIVE_MARGIN_S = 1.0
"""How much sooner than the server a connection is given up (seconds)."""
MAX_IDLE_PER_ADDRESS = 3
"""Idle connections kept to one server."""

Address: TypeAlias = tuple[str, int]
"""IP number and TCP port."""


@attrs.define(eq=False)
class ConnectionPool:
    """Open connections by server."""

    opened_count: int = 0
    """Connections opened since the start."""
    _idle: defaultdict[tuple[Address, str], list[UpstreamConnection]] = attrs.field(
        factory=lambda: defaultdict(list)
    )

    async def acquire(
        self,
        address: Address,
        server_name: str,
        max_idle_s: float = MAX_IDLE_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> UpstreamConnection | None:
        """Return an idle connection, or open one.

        Args:
            address: Where the server listens.
            server_name: Name of the server; an address may pass to another one.
            max_idle_s: Idle time up to which an open connection is taken.
            connect_timeout_s: Time for a new connection.

        Returns:
            A connection, or ``None`` if none could be opened in time.
        """
        now_s = asyncio.get_running_loop().time()
        idle = self._idle[address, server_name]
        while idle:
            connection = idle.pop()
            idle_s = now_s - connection.idle_since_s
            if idle_s < max_idle_s and _is_fresh(connection, now_s):
                return connection
            connection.close()
        return await self._open(address, connect_timeout_s)

    def release(
        self, address: Address, server_name: str, connection: UpstreamConnection
    ) -> None:
        """Keep a connection for reuse, or close it."""
        idle = self._idle[address, server_name]
        if not connection.is_open or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        idle.append(connection)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = asyncio.get_running_loop().time()
        for key in list(self._idle):
            kept = [entry for entry in self._idle[key] if _is_fresh(entry, now_s)]
            for entry in self._idle[key]:
                if entry not in kept:
                    entry.close()
            if kept:
                self._idle[key] = kept
            else:
                del self._idle[key]

    def close(self) -> None:
        """Close all idle connections."""
        for connection in self._connections():
            connection.close()
        self._idle.clear()

    def _connections(self) -> Iterator[UpstreamConnection]:
        for idle in self._idle.values():
            yield from idle

    async def _open(
        self, address: Address, timeout_s: float
    ) -> UpstreamConnection | None:
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            with anyio.fail_after(timeout_s):
                _, protocol = await loop.create_connection(
                    UpstreamConnection, address[0], address[1]
                )
        except (OSError, TimeoutError):
            return None
        return protocol


def _is_fresh(connection: UpstreamConnection, now_s: float) -> bool:
    limit_s = MAX_IDLE_S
    if connection.keep_alive_s is not None:
        limit_s = min(limit_s, connection.keep_alive_s - KEEP_ALIVE_MARGIN_S)
    return connection.is_open and now_s - connection.idle_since_s < limit_s
