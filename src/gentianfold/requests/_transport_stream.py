"""A network stream for httpcore straight over an asyncio transport.

The stream of the library opens a cancel scope for each read and write and can't
tell what arrived while nobody read. This one does without the scopes, since the
forwarder's scope covers the whole attempt, counts the bytes written, and notices
at once when the peer ends an idle connection or sends what nobody asked for.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any, cast

import httpcore

if TYPE_CHECKING:
    import ssl

READ_AHEAD_BYTES = 256 * 1024
"""Bytes buffered for the reader before the transport stops reading."""
KEEPALIVE_IDLE_S = 1
"""Seconds without traffic after which the kernel probes the peer."""
KEEPALIVE_INTERVAL_S = 1
"""Seconds between two probes."""
KEEPALIVE_PROBES = 2
"""Unanswered probes after which the kernel drops the connection."""
UNACKNOWLEDGED_LIMIT_MS = 2000
"""Milliseconds that sent bytes may stay unacknowledged by the peer's kernel."""


class TransportStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """Reads and writes one connection to an upstream."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._received: list[bytes] = []
        self._received_bytes = 0
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._writing_paused = False
        self._lost: Exception | None = None
        self.ended = False
        """Whether the peer ended the connection or it broke."""
        self.bytes_written = 0
        """Bytes handed to the transport since the connection was made."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes arrived that nobody read yet."""
        return self._received_bytes > 0

    # Callbacks of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that find silent links."""
        # The transports of uvloop don't inherit from those of asyncio.
        self._transport = cast("asyncio.Transport", transport)
        connection_socket = self._transport.get_extra_info("socket")
        if connection_socket is not None:
            set_socket_options(connection_socket)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes and wake the reader."""
        self._received.append(data)
        self._received_bytes += len(data)
        if self._received_bytes > READ_AHEAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        wake(self._reader)

    def eof_received(self) -> bool:
        """Note the end; the transport closes."""
        self.ended = True
        wake(self._reader)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the loss and wake the reader and the writer."""
        self.ended = True
        self._lost = exc
        wake(self._reader)
        wake(self._writer)

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writing_paused = False
        wake(self._writer)

    # The interface of httpcore

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Return the next bytes, or none at an orderly end."""
        while not self._received:
            if self._lost is not None:
                raise httpcore.ReadError(str(self._lost)) from self._lost
            if self.ended:
                return b""
            self._reader = asyncio.get_running_loop().create_future()
            await self._reader
        return self._take(max_bytes)

    def _take(self, max_bytes: int) -> bytes:
        data = self._received.pop(0)
        if len(data) > max_bytes:
            self._received.insert(0, data[max_bytes:])
            data = data[:max_bytes]
        self._received_bytes -= len(data)
        if self._reading_paused and self._received_bytes <= READ_AHEAD_BYTES // 2:
            self._reading_paused = False
            if self._transport is not None and not self._transport.is_closing():
                self._transport.resume_reading()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write and wait while the transport's buffer is full."""
        if not buffer:
            return
        if self.ended or self._transport is None or self._transport.is_closing():
            raise httpcore.WriteError("the connection is closed")
        self.bytes_written += len(buffer)
        self._transport.write(buffer)
        while self._writing_paused:
            self._writer = asyncio.get_running_loop().create_future()
            await self._writer
            if self.ended:
                raise httpcore.WriteError("the connection is closed")

    async def aclose(self) -> None:
        """Close at once; nothing that was buffered is still of use."""
        self.abort()

    def abort(self) -> None:
        """Close at once, from code that can't wait."""
        self.ended = True
        if self._transport is not None:
            self._transport.abort()

    def get_extra_info(self, info: str) -> Any:
        """Tell httpcore whether an idle connection is dead."""
        if info == "is_readable":
            return self.ended or self.has_unread
        if info == "ssl_object" and self._transport is not None:
            return self._transport.get_extra_info("ssl_object")
        return None


def wake(waiter: asyncio.Future[None] | None) -> None:
    """Resolve ``waiter`` if somebody still waits on it."""
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


def set_socket_options(connection_socket: socket.socket) -> None:
    """Make the kernel drop a connection whose peer no longer acknowledges."""
    options = {
        socket.TCP_KEEPIDLE: KEEPALIVE_IDLE_S,
        socket.TCP_KEEPINTVL: KEEPALIVE_INTERVAL_S,
        socket.TCP_KEEPCNT: KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: UNACKNOWLEDGED_LIMIT_MS,
        socket.TCP_NODELAY: 1,
    }
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        connection_socket.setsockopt(socket.IPPROTO_TCP, option, value)


async def open_stream(
    host: str,
    port: int,
    ssl_context: ssl.SSLContext | None,
    server_hostname: str | None,
) -> TransportStream:
    """Connect to ``host`` and finish the TLS handshake, if any."""
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(
        TransportStream,
        host,
        port,
        ssl=ssl_context,
        server_hostname=server_hostname if ssl_context is not None else None,
    )
    return stream
