"""One HTTP port of the daemon: uvicorn without its signal handling."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING, Any

import attrs
import uvicorn

if TYPE_CHECKING:
    import ssl
    from collections.abc import Iterator

LISTEN_BACKLOG = 2048
"""Connections that may wait to be accepted."""


class _QuietServer(uvicorn.Server):
    """Leaves signals to the daemon, which stops its parts in order."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield


@attrs.define
class HttpServer:
    """Serves one ASGI application on one address."""

    app: Any
    """The ASGI application."""
    host: str
    """IP number to listen on."""
    port: int
    """TCP port; 0 for any free one."""
    protocol: Any = "httptools"
    """uvicorn protocol class or name."""
    tls: ssl.SSLContext | None = None
    """TLS towards callers; ``None`` for plain HTTP."""
    keep_alive_timeout_s: int = 75
    """Time that an idle connection is kept."""
    _socket: socket.socket | None = None
    _server: _QuietServer | None = None

    def bind(self) -> int:
        """Bind the address, once, and return the TCP port.

        Raises:
            OSError: The address can't be bound.
        """
        if self._socket is not None:
            return self.port
        family = socket.AF_INET6 if ":" in self.host else socket.AF_INET
        listener = socket.socket(family, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((self.host, self.port))
        self._socket = listener
        self.port = listener.getsockname()[1]
        return self.port

    async def serve(self) -> None:
        """Serve until ``stop`` was called and open requests are finished."""
        if self._socket is None:
            self.bind()
        config = uvicorn.Config(
            self.app,
            http=self.protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
            backlog=LISTEN_BACKLOG,
            timeout_keep_alive=self.keep_alive_timeout_s,
        )
        config.load()
        if self.tls is not None:
            config.ssl = self.tls
        self._server = _QuietServer(config)
        await self._server.serve(sockets=[self._socket])  # type: ignore[list-item]

    def stop(self) -> None:
        """Accept nothing more and close when open requests are finished."""
        if self._server is not None:
            self._server.should_exit = True

    def connection_count(self) -> int:
        """Return the number of open connections."""
        if self._server is None:
            return 0
        return len(self._server.server_state.connections)
