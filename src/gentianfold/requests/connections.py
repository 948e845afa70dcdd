"""The connections that a VM keeps to its upstreams.

A connection is used again only after a whole answer on it, with nothing left over.
After a timeout, a cancellation or a protocol error it is closed, so that a late
answer can't meet another request.
"""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.codes.requests import (
    CONNECTION_BUDGET_SPENT,
    UPSTREAM_CONNECT_FAILED,
)
from gentianfold.errors import Failure
from gentianfold.requests._parsed_connection import ParsedConnection
from gentianfold.requests._transport_stream import open_stream
from gentianfold.requests.connection import Connection

if TYPE_CHECKING:
    import ssl
    from collections.abc import Callable

    from gentianfold.clock import Clock
    from gentianfold.model import Upstream


@attrs.frozen
class ConnectionLimits:
    """How many connections are kept, and for how long."""

    connect_timeout_s: float = 1.0
    """Time for the connection and its TLS handshake."""
    idle_limit_s: float = 5.0
    """Idle time after which a connection is closed instead of used again."""
    lifetime_s: float = 60.0
    """Age after which a connection is closed, less up to a fifth by chance."""
    share: float = 1.0
    """Fraction of the connections of each upstream that this VM may open."""


@attrs.define
class _Row:
    idle: list[Connection] = attrs.field(factory=list)
    open_count: int = 0


class Connections:
    """Opens, keeps and closes connections, a row an upstream.

    Args:
        clock: Elapsed time.
        limits: Times, and the share of connections where no budget is given.
        ssl_context: TLS towards upstreams; ``None`` for plain HTTP.
        seed: Seed of the spread of lifetimes.
        budget: Returns the connections that this VM may open to an upstream by name.
    """

    def __init__(
        self,
        clock: Clock,
        limits: ConnectionLimits | None = None,
        ssl_context: ssl.SSLContext | None = None,
        seed: int | None = None,
        budget: Callable[[str], int] | None = None,
    ) -> None:
        self.limits = limits or ConnectionLimits()
        self._clock = clock
        self._ssl_context = ssl_context
        self._random = random.Random(seed)
        self._budget_of = budget
        self._rows: dict[str, _Row] = {}

    def open_count(self, upstream: str) -> int:
        """Return the number of connections open or being opened."""
        row = self._rows.get(upstream)
        return row.open_count if row else 0

    async def acquire(self, upstream: Upstream, fresh: bool) -> Connection | Failure:
        """Take a connection for one request.

        Args:
            upstream: Where to.
            fresh: Whether only a connection made just now will do. An idle one may
                be closed by the upstream while the request is on its way, and what
                became of the request can't be told then.
        """
        row = self._rows.setdefault(upstream.name, _Row())
        kept = None if fresh else self._pop_idle(row)
        if kept is not None:
            return self._lend(kept)
        if row.open_count >= self._budget(upstream) and not self._close_idle(row):
            reason = f"{row.open_count} connections to {upstream.name} are in use"
            return Failure(CONNECTION_BUDGET_SPENT, reason)
        opened = await self._open(upstream, row)
        return opened if isinstance(opened, Failure) else self._lend(opened)

    def release(self, connection: Connection) -> None:
        """Keep a connection after a whole answer, or close it if it isn't clean."""
        row = self._rows.get(connection.upstream)
        now_s = self._clock.now_s()
        connection.idle_since_s = now_s
        clean = not connection.has_stray_bytes
        if (
            row is not None
            and connection.listed
            and clean
            and connection.is_reusable(now_s, self.limits.idle_limit_s)
        ):
            row.idle.append(connection)
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection for good."""
        connection.stream.abort()
        row = self._rows.get(connection.upstream)
        if connection.listed and row is not None:
            row.open_count -= 1
        connection.listed = False

    def distrust(self, upstream: str) -> None:
        """Close the idle connections of an upstream.

        Called when a kept connection fell silent: what lost track of one connection
        may have lost track of its neighbours.
        """
        row = self._rows.get(upstream)
        if row is None:
            return
        for connection in row.idle:
            self.discard(connection)
        row.idle.clear()

    def sweep(self, upstreams: frozenset[str]) -> None:
        """Close what is too old or idle, and all of upstreams not in ``upstreams``."""
        now_s = self._clock.now_s()
        for name, row in list(self._rows.items()):
            keep = [
                connection
                for connection in row.idle
                if name in upstreams
                and connection.is_reusable(now_s, self.limits.idle_limit_s)
            ]
            for connection in set(row.idle).difference(keep):
                self.discard(connection)
            row.idle = keep
            if row.open_count == 0 and name not in upstreams:
                del self._rows[name]

    def close(self) -> None:
        """Close every idle connection; those in use are closed by their requests."""
        for name in list(self._rows):
            self.distrust(name)

    def _budget(self, upstream: Upstream) -> int:
        if self._budget_of is not None:
            return max(1, self._budget_of(upstream.name))
        return max(1, int(upstream.max_connections * self.limits.share))

    def _pop_idle(self, row: _Row) -> Connection | None:
        now_s = self._clock.now_s()
        while row.idle:
            # The last one used is the least likely to have been closed by the peer.
            connection = row.idle.pop()
            if connection.is_reusable(now_s, self.limits.idle_limit_s):
                return connection
            self.discard(connection)
        return None

    def _close_idle(self, row: _Row) -> bool:
        if not row.idle:
            return False
        self.discard(row.idle.pop(0))
        return True

    def _lend(self, connection: Connection) -> Connection:
        connection.bytes_written_before = connection.stream.bytes_written
        connection.requests_count += 1
        return connection

    async def _open(self, upstream: Upstream, row: _Row) -> Connection | Failure:
        row.open_count += 1
        opened = False
        try:
            with anyio.fail_after(self.limits.connect_timeout_s):
                stream = await open_stream(
                    upstream.host, upstream.port, self._ssl_context, upstream.host
                )
            opened = True
        except (OSError, TimeoutError) as error:
            reason = f"{upstream.name} did not accept a connection: {error!r}"
            return Failure(UPSTREAM_CONNECT_FAILED, reason)
        finally:
            if not opened:
                row.open_count -= 1
        now_s = self._clock.now_s()
        lifetime_s = self.limits.lifetime_s * (1 - self._random.random() / 5)
        return Connection(
            upstream.name,
            stream,
            ParsedConnection(stream),
            opened_at_s=now_s,
            expires_at_s=now_s + lifetime_s,
            idle_since_s=now_s,
        )


def count_idle(connections: Connections) -> int:
    """Return the number of idle connections to all upstreams."""
    rows = connections._rows.values()
    return len(list(itertools.chain.from_iterable(row.idle for row in rows)))
