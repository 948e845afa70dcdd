"""Pool of reusable connections to servers."""

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
"""Timeout of a new connection (seconds): about forty round trips between availability
zones; a lost SYN packet is retransmitted only after a second."""
MAX_IDLE_S = 4.0
"""Idle time after which a connection is not reused (seconds): less than half of the
servers' idle timeout."""
NON_IDEMPOTENT_MAX_IDLE_S = 0.3
"""Idle time after which a connection is not reused for a non-idempotent request
(seconds): up to then the server is assumed to have it open."""
KEEP_ALIVE_MARGIN_S = 1.0
"""Time before the server's idle timeout at which a connection expires (seconds)."""
MAX_IDLE_PER_ADDRESS = 3
"""Idle connections kept to one server (count)."""

Address: TypeAlias = tuple[str, int]
"""IP address and TCP port."""


@attrs.define(eq=False, repr=False)
class ConnectionPool:
    """Idle connections, by address and server name."""

    opened_count: int = 0
    """Connection attempts since the start, including failed ones."""
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
        """Return an idle connection, or open a new one.

        Args:
            address: Address of the server.
            server_name: Name of the server; another server may get its address later.
            max_idle_s: Idle time from which a connection is not reused (seconds).
            connect_timeout_s: Timeout of a new connection (seconds).

        Returns:
            An open connection, or ``None`` if connecting failed or timed out.
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

    async def is_refused(self, address: Address) -> bool:
        """Tell whether nothing listens at an address, as after a crash.

        False if the server accepts a connection or does not respond.
        """
        self.opened_count += 1
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, protocol = await asyncio.get_running_loop().create_connection(
                    UpstreamConnection, address[0], address[1]
                )
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        protocol.close()
        return False

    def release(
        self, address: Address, server_name: str, connection: UpstreamConnection
    ) -> None:
        """Return a connection to the pool, or close it if it can't be kept."""
        idle = self._idle[address, server_name]
        if connection.vm or not connection.is_open or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        connection.idle_since_s = asyncio.get_running_loop().time()
        idle.append(connection)

    def close_server(self, address: Address, server_name: str) -> None:
        """Close the idle connections to a server."""
        for connection in self._idle.pop((address, server_name), ()):
            connection.close()

    def close_expired(self) -> None:
        """Close idle connections that are too old or no longer open."""
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
