"""The server side of one connection of the stand-in upstream."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import TYPE_CHECKING, cast

import attrs
import httptools

if TYPE_CHECKING:
    from gentianfold.standins.upstream import UpstreamStandin


@attrs.define
class ReceivedRequest:
    """A request as it came over the wire."""

    method: str = "GET"
    """Method in upper case."""
    target: bytes = b""
    """Path and query as sent."""
    headers: list[tuple[bytes, bytes]] = attrs.field(factory=list)
    """Headers with names in lower case."""
    body: bytes = b""
    """The whole body."""

    def header(self, name: bytes, default: bytes = b"") -> bytes:
        """Return the first header called ``name``."""
        return next((value for key, value in self.headers if key == name), default)


class UpstreamProtocol(asyncio.Protocol):
    """Parses requests and runs one at a time in a task of its own."""

    def __init__(self, server: UpstreamStandin) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._request = ReceivedRequest()
        self._task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        # The transports of uvloop don't inherit from those of asyncio.
        self.transport = cast("asyncio.Transport", transport)
        self._server.record.connections_count += 1
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request that the caller no longer waits for."""
        self._server.connections.discard(self)
        if self._task is not None and not self._task.done():
            self._server.record.cancelled_count += 1
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Feed the parser, unless the server is to be silent."""
        if self._server.behaviour.silent or self.transport is None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._request = ReceivedRequest()

    def on_url(self, url: bytes) -> None:
        """Add to the target."""
        self._request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._request.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        """Add to the body."""
        self._request.body += body

    def on_message_complete(self) -> None:
        """Run the request in a task."""
        self._request.method = self._parser.get_method().decode()
        self._task = asyncio.get_running_loop().create_task(
            self._server.serve(self._request, self)
        )

    def write(self, data: bytes) -> None:
        """Write unless the connection is gone."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close after everything written is out."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the peer sees no orderly end."""
        if self.transport is None:
            return
        connection_socket = self.transport.get_extra_info("socket")
        if connection_socket is not None:
            linger = struct.pack("ii", 1, 0)
            connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.transport.abort()
