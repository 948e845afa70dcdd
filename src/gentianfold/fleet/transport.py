"""Message transport between VMs over UDP.

UDP is used rather than TCP because a TCP connection can stall indefinitely without an
error, and loss is handled anyway: each message is either sent again until it is answered
or superseded by the next heartbeat.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Protocol, TypeAlias, cast

from gentianfold.fleet.messages import Message, decode, encode

Receive: TypeAlias = Callable[[str, Message], None]
"""Callback for a message; gets the sender's address and the message."""


class Transport(Protocol):
    """Sends messages to other VMs."""

    sent_bytes: Counter[str]
    """Bytes sent, by type of message."""

    def send(self, vm: str, message: Message) -> None:
        """Send a message to the VM at an address, without a delivery guarantee."""
        ...


class UdpTransport(asyncio.DatagramProtocol):
    """Transport over UDP; all VMs use the same port.

    Attributes:
        receive: Called with the sender's address and each valid message.
        counts: Datagrams sent, received, malformed and failed.
        sent_bytes: Bytes sent, by type of message.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._transport: asyncio.DatagramTransport | None = None
        self.receive: Receive | None = None
        self.counts: Counter[str] = Counter()
        self.sent_bytes: Counter[str] = Counter()

    async def open(self, host: str) -> None:
        """Bind the UDP socket to an address."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (host, self._port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, vm: str, message: Message) -> None:
        """Send a message without a delivery guarantee; no effect unless open."""
        if self._transport is None or self._transport.is_closing():
            return
        data = encode(message)
        self.counts["sent"] += 1
        self.counts["sent_bytes"] += len(data)
        self.sent_bytes[type(message).__name__] += len(data)
        self._transport.sendto(data, (vm, self._port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the asyncio transport."""
        self._transport = cast("asyncio.DatagramTransport", transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a message to ``receive``; count and drop a malformed datagram."""
        self.counts["received"] += 1
        message = decode(data)
        if message is None:
            self.counts["malformed"] += 1
        elif self.receive is not None:
            self.receive(addr[0], message)

    def error_received(self, exc: Exception) -> None:
        """Count a failed send; retries and heartbeats make up for the lost message."""
        self.counts["errors"] += 1
