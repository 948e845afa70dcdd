"""A small HTTP server whose handlers may misbehave on purpose."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeAlias, cast

import attrs
import httptools

from gentianfold.forwarding.messages import Headers


@attrs.frozen(eq=False)
class ServedRequest:
    """A whole request, and the connection that it came on."""

    method: bytes
    """The method."""
    target: bytes
    """Path and query."""
    headers: dict[bytes, bytes]
    """Headers by name in lower case."""
    body: bytes
    """The whole body."""
    transport: asyncio.Transport
    """The connection; a handler may cut or reset it."""


Serve: TypeAlias = Callable[[ServedRequest], Awaitable[bytes]]
"""Returns the bytes to write for a request."""


class ServerConnection(asyncio.Protocol):
    """Serves one request after the other; a close ends the one under way."""

    def __init__(self, serve: Serve, open_connections: set[ServerConnection]) -> None:
        self._serve = serve
        self._open = open_connections
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: asyncio.Queue[ServedRequest] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None
        self._start()

    def _start(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = b""

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to serve."""
        self._transport = cast("asyncio.Transport", transport)
        self._open.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request under way."""
        self._open.discard(self)
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parse requests."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.abort()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._start()

    def on_url(self, data: bytes) -> None:
        """Keep a piece of the target."""
        self._target += data

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._headers.append((name.lower(), value))

    def on_body(self, data: bytes) -> None:
        """Keep a piece of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self._transport is None:
            return
        self._queue.put_nowait(
            ServedRequest(
                self._parser.get_method(),
                self._target,
                dict(self._headers),
                self._body,
                self._transport,
            )
        )

    async def _run(self) -> None:
        while True:
            request = await self._queue.get()
            data = await self._serve(request)
            if not request.transport.is_closing():
                request.transport.write(data)


@attrs.define(eq=False)
class HttpServer:
    """Listens on loopback until it is closed."""

    serve: Serve
    """Answers requests."""
    port: int = 0
    """TCP port; 0 until it is open, if the system chooses."""
    connections: set[ServerConnection] = attrs.field(factory=set)
    """Open connections."""
    _server: asyncio.Server | None = None

    async def open(self, host: str = "127.0.0.1") -> None:
        """Start to listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.serve, self.connections), host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop, as a process that is killed does."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


def format_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Write an answer with its length."""
    lines = [b"HTTP/1.1 %d X" % status]
    lines += [name + b": " + value for name, value in headers]
    lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
