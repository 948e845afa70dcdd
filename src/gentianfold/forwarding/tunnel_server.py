"""Passes bytes between a VM that is cut off and an upstream.

A tunnel carries one exchange. The VM that opens it owns the request and its outcome; this
one only connects, and ends both connections when either ends. So a request that was sent
into a tunnel may have run unless the upstream says otherwise.
"""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias, cast

import anyio

from gentianfold.forwarding.memory_budget import (
    ANSWER_BYTES,
    TUNNEL_BYTES,
    Claim,
    ConnectionLimit,
    MemoryBudget,
    Use,
)

if TYPE_CHECKING:
    from gentianfold.forwarding.connection_pool import Address
    from gentianfold.forwarding.link_pacer import LinkPacer

_RECEIVED = memoryview(bytearray(ANSWER_BYTES))
"""Buffer of all reads from upstreams: what one brings is passed on before the next."""
MAX_PREFACE_BYTES = 512
"""Longest preface of a tunnel (bytes)."""
PREFACE_TIMEOUT_S = 1.0
"""Time until the preface must have arrived (seconds)."""
SILENT_S = 60
"""Time after which a connection whose other end acknowledges nothing is reset (seconds):
longer than any deadline, as an opener may pause for as long."""
KEEPALIVE_S = 10
"""Time without bytes after which the other end is probed (seconds)."""
MAX_TUNNELS = 200
"""Tunnels that one VM carries at a time (count)."""


class TunnelStatus(enum.IntEnum):
    """Answer to the preface; sent as one byte."""

    CONNECTED = 0
    """The upstream is connected, and bytes are passed on from now on."""
    NO_CONNECTION = 1
    """The upstream did not accept a connection in time."""
    REFUSED = 2
    """The upstream refused the connection: nothing listens at its address."""
    UNAVAILABLE = 3
    """This VM carries no tunnel now, or none to that upstream."""

    @classmethod
    def _missing_(cls, value: object) -> TunnelStatus:
        """Read a number that only newer builds know as ``UNAVAILABLE``."""
        return cls.UNAVAILABLE


TunnelTarget: TypeAlias = "Callable[[str, bytes, str, int], Address | None]"
"""Returns the address of an upstream, given the address and the token of the VM that
opens the tunnel, and name and start of the upstream; ``None`` if it may not be used."""


def encode_preface(token: bytes, upstream: str, start_time_ms: int) -> bytes:
    """Encode the line with which a tunnel begins."""
    return b"%b %d %b\n" % (token.hex().encode(), start_time_ms, upstream.encode())


def _decode_preface(line: bytes) -> tuple[bytes, int, str] | None:
    try:
        token, start_time, upstream = line.split(b" ", 2)
        if len(start_time) > 19 or not start_time.isdigit():
            return None
        return bytes.fromhex(token.decode()), int(start_time), upstream.decode()
    except ValueError:
        return None


class _UpstreamSide(asyncio.BufferedProtocol):
    """The connection to the upstream; unread bytes hold back the upstream.

    One read brings ``ANSWER_BYTES`` at most: with what its opener has not read before,
    that is within ``TUNNEL_BYTES``.
    """

    def __init__(self, tunnel: TunnelConnection) -> None:
        self.tunnel = tunnel
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast("asyncio.Transport", transport)
        _set_options(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _RECEIVED

    def buffer_updated(self, nbytes: int) -> None:
        # The transport may keep what it can't send at once.
        self.tunnel.write(bytes(_RECEIVED[:nbytes]))

    def eof_received(self) -> bool:
        self.tunnel.finish()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is None:
            self.tunnel.finish()
        else:
            self.tunnel.abort()

    def pause_writing(self) -> None:
        self.tunnel.pause_reading()

    def resume_writing(self) -> None:
        self.tunnel.resume_reading()


class TunnelConnection(asyncio.Protocol):
    """The connection of the VM that opened the tunnel. Implements ``Holder``."""

    def __init__(
        self,
        target: TunnelTarget,
        tunnels: set[TunnelConnection],
        connect_timeout_s: float,
        budget: MemoryBudget | None = None,
        limit: ConnectionLimit | None = None,
        link: LinkPacer | None = None,
    ) -> None:
        """Handle a connection that is about to be made.

        Args:
            target: Returns the address of an upstream.
            tunnels: Holds the connection while it is a tunnel.
            connect_timeout_s: Timeout of connections to upstreams (seconds).
            budget: Memory of the process; ``None`` for no limit.
            limit: Limit on the connections of the listener; ``None`` for none.
            link: Is told of the bytes that pass; ``None`` if they are not counted.
        """
        self._target = target
        self._tunnels = tunnels
        self._connect_timeout_s = connect_timeout_s
        self._limit = limit
        self._link = link
        self._claim = Claim(budget, Use.ANSWER) if budget is not None else None
        self._opened_at_s = 0.0
        self._transport: asyncio.Transport | None = None
        self._upstream: _UpstreamSide | None = None
        self._buffer = b""
        self._vm = ""
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the preface."""
        self._transport = cast("asyncio.Transport", transport)
        self._vm = transport.get_extra_info("peername")[0]
        loop = asyncio.get_running_loop()
        self._opened_at_s = loop.time()
        if self._limit is not None and not self._limit.try_open(self, loop.time()):
            self._transport.abort()
            return
        _set_options(transport)
        self._timer = loop.call_later(PREFACE_TIMEOUT_S, self._transport.abort)

    def data_received(self, data: bytes) -> None:
        """Pass on bytes of the request, or read the preface."""
        if self._upstream is not None and self._upstream.transport is not None:
            self._upstream.transport.write(data)
            return
        if self._task is not None:
            # Nothing may be sent before the answer to the preface.
            self.abort()
            return
        self._buffer += data
        line, end, rest = self._buffer.partition(b"\n")
        if rest or len(self._buffer) > MAX_PREFACE_BYTES:
            self.abort()
        elif end:
            self._task = asyncio.get_running_loop().create_task(self._connect(line))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the upstream's connection, so that it can cancel the request."""
        self._end()
        if self._upstream is not None and self._upstream.transport is not None:
            self._upstream.transport.abort()

    def pause_writing(self) -> None:
        """Stop to read from the upstream while the VM does not read."""
        if self._upstream is not None and self._upstream.transport is not None:
            self._upstream.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the upstream again."""
        if self._upstream is not None and self._upstream.transport is not None:
            self._upstream.transport.resume_reading()

    # Holder

    def idle_since_s(self) -> float | None:
        """Return when a connection was opened that has sent no preface."""
        return self._opened_at_s if self._task is None else None

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return ``None``: what passes through a tunnel is the opener's to end."""
        return None

    def end_for_room(self, at_once: bool = True) -> None:
        """Reset the connection."""
        self.abort()

    # Called by the upstream's side

    def write(self, data: bytes) -> None:
        """Pass on bytes of the response."""
        if self._transport is not None:
            self._transport.write(data)
            if self._link is not None:
                self._link.record(len(data))

    def finish(self) -> None:
        """End the connection behind the bytes that were passed on."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, as the upstream did."""
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self) -> None:
        """Stop to read from the VM while the upstream does not read."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the VM again."""
        if self._transport is not None:
            self._transport.resume_reading()

    # Steps

    async def _connect(self, line: bytes) -> None:
        if self._timer is not None:
            self._timer.cancel()
        status = await self._open(line)
        if self._transport is None or self._transport.is_closing():
            if self._upstream is not None and self._upstream.transport is not None:
                self._upstream.transport.abort()
            return
        self._transport.write(bytes((status,)))
        if status is not TunnelStatus.CONNECTED:
            self._transport.close()

    async def _open(self, line: bytes) -> TunnelStatus:
        preface = _decode_preface(line)
        if preface is None or len(self._tunnels) >= MAX_TUNNELS:
            return TunnelStatus.UNAVAILABLE
        token, start_time_ms, upstream = preface
        address = self._target(self._vm, token, upstream, start_time_ms)
        loop = asyncio.get_running_loop()
        if address is None or (
            self._claim is not None
            and not self._claim.grow_to(TUNNEL_BYTES, loop.time())
        ):
            return TunnelStatus.UNAVAILABLE
        self._tunnels.add(self)
        side = _UpstreamSide(self)
        try:
            with anyio.fail_after(self._connect_timeout_s):
                await loop.create_connection(lambda: side, *address)
        except ConnectionRefusedError:
            return TunnelStatus.REFUSED
        except (OSError, TimeoutError):
            return TunnelStatus.NO_CONNECTION
        self._upstream = side
        return TunnelStatus.CONNECTED

    def _end(self) -> None:
        self._tunnels.discard(self)
        if self._limit is not None:
            self._limit.close(self)
        if self._claim is not None:
            self._claim.release()
        if self._timer is not None:
            self._timer.cancel()


def _set_options(transport: asyncio.BaseTransport) -> None:
    """Send without delay, and notice an end that has gone without a word."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_S),
        (socket.TCP_USER_TIMEOUT, SILENT_S * 1000),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
