"""Opens a tunnel through another VM as a connection to an upstream."""

from __future__ import annotations

import asyncio
from typing import cast

import anyio

from gentianfold.forwarding.connection_pool import Address
from gentianfold.forwarding.tunnel_server import TunnelStatus
from gentianfold.forwarding.upstream_connection import UpstreamConnection

VM_CONNECT_TIMEOUT_S = 0.1
"""Timeout of a connection to another VM (seconds)."""
STATUS_TIMEOUT_S = 0.25
"""Time until the other VM must have answered the preface (seconds): its own attempt to
connect, and the way to it."""


class _Opening(asyncio.Protocol):
    """Sends the preface and waits for the status byte."""

    def __init__(self, preface: bytes) -> None:
        self._preface = preface
        self.transport: asyncio.Transport | None = None
        self.status: asyncio.Future[TunnelStatus] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        self.transport.write(self._preface)

    def data_received(self, data: bytes) -> None:
        if not self.status.done():
            # The upstream sends nothing before it gets a request.
            is_valid = len(data) == 1
            status = TunnelStatus(data[0]) if is_valid else TunnelStatus.UNAVAILABLE
            self.status.set_result(status)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.status.done():
            self.status.set_result(TunnelStatus.UNAVAILABLE)


async def open_tunnel(
    own_host: str, address: Address, preface: bytes
) -> UpstreamConnection | TunnelStatus:
    """Open a tunnel.

    Args:
        own_host: Address of this VM, by which the other one knows it.
        address: Where the other VM accepts tunnels.
        preface: The encoded preface.

    Returns:
        A connection for one exchange, or why there is none.
    """
    loop = asyncio.get_running_loop()
    try:
        with anyio.fail_after(VM_CONNECT_TIMEOUT_S):
            _, opening = await loop.create_connection(
                lambda: _Opening(preface), *address, local_addr=(own_host, 0)
            )
    except (OSError, TimeoutError):
        return TunnelStatus.UNAVAILABLE
    transport = opening.transport
    status = TunnelStatus.UNAVAILABLE
    try:
        with anyio.move_on_after(STATUS_TIMEOUT_S):
            status = await opening.status
    finally:
        if transport is not None and status is not TunnelStatus.CONNECTED:
            transport.abort()
    if status is not TunnelStatus.CONNECTED or transport is None:
        return status
    if transport.is_closing():
        return TunnelStatus.NO_CONNECTION
    connection = UpstreamConnection()
    connection.vm = address[0]
    transport.set_protocol(connection)
    connection.connection_made(transport)
    return connection
