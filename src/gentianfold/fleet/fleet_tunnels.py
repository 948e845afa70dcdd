"""Opens tunnels through other VMs of the fleet, and decides on those of others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.fleet.messages import TunnelNotice, TunnelRequest
from gentianfold.forwarding.tunnel_client import open_tunnel
from gentianfold.forwarding.tunnel_server import TunnelStatus, encode_preface

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.forwarding.connection_pool import Address
    from gentianfold.forwarding.placer import Placement
    from gentianfold.forwarding.upstream_connection import UpstreamConnection

TOKEN_TIMEOUT_S = 0.05
"""Time until another VM must have sent its token (seconds)."""
TOKEN_TRIES = 2
"""Requests for a token before the next VM is asked (count)."""
MAX_KNOWN_VMS = 8
"""Members that a broker considers for its own tunnels (count)."""
NOTICE_COPIES = 2
"""Datagrams with the same notice, as one may be lost (count)."""


@attrs.define(eq=False, repr=False)
class FleetTunnels:
    """Implements ``TunnelOpener`` with the VMs that the broker names."""

    node: Node
    """Node of this VM."""
    port: int
    """TCP port at which all VMs accept tunnels."""
    _tokens: dict[str, asyncio.Future[None]] = attrs.field(factory=dict)

    async def open(self, placement: Placement) -> UpstreamConnection | TunnelStatus:
        """Open a tunnel to the upstream of a placement, through the next VM in turn."""
        directory = self.node.tunnels
        now_s = asyncio.get_running_loop().time()
        vms = [
            vm
            for vm in directory.usable(self._known_vms(), now_s)
            if vm != self.node.vm
        ]
        if not vms:
            return TunnelStatus.UNAVAILABLE
        vm, status = vms[0], TunnelStatus.UNAVAILABLE
        token = await self._token_for(vm)
        if token is not None:
            preface = encode_preface(token, placement.upstream, placement.start_time_ms)
            result = await open_tunnel(self.node.vm, (vm, self.port), preface)
            if not isinstance(result, TunnelStatus):
                return result
            status = result
        if status is TunnelStatus.UNAVAILABLE:
            directory.record_failure(vm, asyncio.get_running_loop().time())
        logger.info(
            "tunnel: no way through VM {} to upstream {}, status={}",
            vm,
            placement.upstream,
            status.name.lower(),
        )
        return status

    def find_target(
        self, vm: str, token: bytes, upstream: str, start_time_ms: int
    ) -> Address | None:
        """Return the address of an upstream to which another VM opens a tunnel.

        ``None`` if the VM has no valid token, or if this VM sends no requests to that
        start of the upstream itself, is cut off or stops.
        """
        node = self.node
        now_s = asyncio.get_running_loop().time()
        if not node.tunnels.accepts(vm, token, now_s):
            logger.warning("tunnel: rejected, from={} cause=token", vm)
            return None
        listed = node.view.routing.upstreams.get(upstream)
        if (
            listed is None
            or listed.start_time_ms != start_time_ms
            or not node.may_carry(upstream, start_time_ms)
        ):
            logger.info("tunnel: rejected, from={} upstream={}", vm, upstream)
            return None
        logger.info("tunnel: opened, from={} upstream={}", vm, upstream)
        return listed.host, listed.port

    def record_token(self, vm: str) -> None:
        """Wake the requests that wait for the token of a VM."""
        waiting = self._tokens.pop(vm, None)
        if waiting is not None and not waiting.done():
            waiting.set_result(None)

    def pass_notice(
        self, vm: str, placement: Placement, is_leaving: bool, pause_s: float | None
    ) -> None:
        """Tell a VM what the upstream behind its tunnel stated: it binds that VM."""
        pause_ms = int(pause_s * 1000) if pause_s is not None else None
        notice = TunnelNotice(
            placement.upstream, placement.start_time_ms, is_leaving, pause_ms
        )
        for _ in range(NOTICE_COPIES):
            self.node.transport.send(vm, notice)

    def _known_vms(self) -> tuple[str, ...]:
        """Return VMs to ask if the broker has named none."""
        membership = self.node.membership
        broker = (membership.broker,) if membership.broker else ()
        members = tuple(self.node.broker.member_table.members)[:MAX_KNOWN_VMS]
        return (*broker, *membership.deputies, *membership.seeds, *members)

    async def _token_for(self, vm: str) -> bytes | None:
        loop = asyncio.get_running_loop()
        for _ in range(TOKEN_TRIES):
            token = self.node.tunnels.token_for(vm, loop.time())
            if token is not None:
                return token
            waiting = self._tokens.setdefault(vm, loop.create_future())
            self.node.transport.send(vm, TunnelRequest())
            with anyio.move_on_after(TOKEN_TIMEOUT_S):
                await asyncio.shield(waiting)
        self._tokens.pop(vm, None)
        return self.node.tunnels.token_for(vm, loop.time())
