"""Connects to upstreams: directly, or through another VM if this one is cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from gentianfold.forwarding.connection_pool import MAX_IDLE_S
from gentianfold.forwarding.path_state import PathState
from gentianfold.forwarding.tunnel_server import TunnelStatus
from gentianfold.forwarding.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from gentianfold.forwarding.connection_pool import ConnectionPool
    from gentianfold.forwarding.placer import Placement

MAX_TUNNEL_TRIES = 3
"""VMs that are asked in turn for a way to an upstream (count): one may have lost its
own paths and not know it yet."""


class TunnelOpener(Protocol):
    """Opens tunnels through other VMs."""

    async def open(self, placement: Placement) -> UpstreamConnection | TunnelStatus:
        """Open a tunnel to the upstream of a placement, through the next VM in turn."""
        ...


class NoTunnels:
    """Opens no tunnels, as in a fleet of one VM."""

    async def open(self, placement: Placement) -> UpstreamConnection | TunnelStatus:
        """Return that there is no VM to ask."""
        return TunnelStatus.UNAVAILABLE


@attrs.define(eq=False, repr=False)
class UpstreamPaths:
    """Finds a connection for each attempt, and learns which paths this VM has lost."""

    pool: ConnectionPool
    """Direct connections."""
    tunnels: TunnelOpener = attrs.field(factory=NoTunnels)
    """Ways through other VMs."""
    state: PathState = attrs.field(factory=PathState)
    """Evidence of the paths that this VM has lost."""
    tunnel_count: int = 0
    """Tunnels opened since the start (count)."""

    async def connect(
        self, placement: Placement, max_idle_s: float = MAX_IDLE_S
    ) -> UpstreamConnection | None:
        """Return a connection to the upstream of a placement; ``None`` if there is none.

        Args:
            placement: The granted slot.
            max_idle_s: Idle time from which a connection is not reused (seconds).
        """
        now_s = asyncio.get_running_loop().time()
        if self.state.is_cut_off and not self.state.take_probe(now_s):
            return await self._connect_by_tunnel(placement)
        opened = self.pool.opened_count
        connection = await self.pool.acquire(
            (placement.host, placement.port),
            placement.upstream,
            # A connection from before the cut may be silent.
            0.0 if self.state.is_cut_off else max_idle_s,
        )
        if connection is not None:
            if self.pool.opened_count > opened and self.state.record_connected(
                asyncio.get_running_loop().time()
            ):
                logger.info("paths: this VM reaches upstreams again")
            return connection
        return await self._connect_by_tunnel(placement)

    async def is_crashed(self, placement: Placement) -> bool:
        """Tell whether nothing listens at an upstream's address, as after a crash.

        If this VM can't connect, another one has to confirm it, if there is any.
        """
        if not self.state.is_cut_off:
            address = (placement.host, placement.port)
            if not await self.pool.is_refused(address):
                return False
        has_crashed = not self.state.is_cut_off
        for _ in range(MAX_TUNNEL_TRIES):
            result = await self.tunnels.open(placement)
            if isinstance(result, UpstreamConnection):
                self._record_lost(placement)
                result.close()
                return False
            if result is TunnelStatus.REFUSED:
                has_crashed = True
        return has_crashed

    async def _connect_by_tunnel(
        self, placement: Placement
    ) -> UpstreamConnection | None:
        if placement.zones is not None:
            # The request must not pass through a VM in another region.
            return None
        for _ in range(MAX_TUNNEL_TRIES):
            result = await self.tunnels.open(placement)
            if isinstance(result, UpstreamConnection):
                self.tunnel_count += 1
                self._record_lost(placement)
                return result
        return None

    def _record_lost(self, placement: Placement) -> None:
        now_s = asyncio.get_running_loop().time()
        if self.state.record_lost(placement.upstream, now_s):
            logger.warning(
                "paths: this VM is cut off from upstreams, last={}, using other VMs",
                placement.upstream,
            )
