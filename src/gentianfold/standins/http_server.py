"""HTTP server for stand-ins; its handlers can inject connection faults."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias, cast

import attrs
import httptools

from gentianfold.forwarding.messages import Headers


@attrs.frozen(eq=False)
class ReceivedRequest:
    """Complete request and its connection."""

    method: bytes
    """Method, such as ``GET``."""
    target: bytes
    """Path and query."""
    headers: dict[bytes, bytes]
    """Headers by lower-case name; the last one of equal names."""
    body: bytes
    """Body without transfer coding; empty if the request has none."""
    transport: asyncio.Transport
    """Connection of the request; a handler may write to it, close it or reset it."""


RequestHandler: TypeAlias = Callable[[ReceivedRequest], Awaitable[bytes]]
"""Coroutine function that returns the bytes to write in response to a request."""


class ServerConnection(asyncio.Protocol):
    """Connection that handles its requests one after the other.

    When the connection is closed, the request in progress is cancelled.
    """

    def __init__(
        self, handler: RequestHandler, open_connections: set[ServerConnection]
    ) -> None:
        self._handle = handler
        self._open_connections = open_connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = b""

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start handling requests."""
        self._transport = cast("asyncio.Transport", transport)
        self._open_connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._handle_requests())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress."""
        self._open_connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; reset the connection if they are malformed."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset_message()

    def on_url(self, data: bytes) -> None:
        """Add a fragment of the target."""
        self._target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Add a fragment of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        if self._transport is None:
            return
        self._queue.put_nowait(
            ReceivedRequest(
                self._parser.get_method(),
                self._target,
                dict(self._headers),
                self._body,
                self._transport,
            )
        )

    async def _handle_requests(self) -> None:
        while True:
            request = await self._queue.get()
            data = await self._handle(request)
            if not request.transport.is_closing():
                request.transport.write(data)


@attrs.define(eq=False)
class HttpServer:
    """HTTP server that listens on a loopback address until it is closed."""

    handler: RequestHandler
    """Handles each request."""
    port: int = 0
    """TCP port; with 0, the system chooses one and ``open`` stores it here."""
    connections: set[ServerConnection] = attrs.field(factory=set)
    """Open connections."""
    _server: asyncio.Server | None = None

    @property
    def is_open(self) -> bool:
        """Whether the server listens."""
        return self._server is not None and self._server.is_serving()

    async def open(self, host: str = "127.0.0.1") -> None:
        """Start listening for connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.handler, self.connections), host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and reset all connections, as when a process is killed."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


def format_response(status: int, headers: Headers, body: bytes) -> bytes:
    """Return an encoded response with a ``content-length`` header."""
    lines = [b"HTTP/1.1 %d X" % status]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
