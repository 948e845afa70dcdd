"""Keeps one VM to what upstreams state about themselves: leaving, pauses."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.fleet.membership import Role
from gentianfold.fleet.messages import UpstreamCold
from gentianfold.fleet.pause_table import PauseTable
from gentianfold.forwarding.upstream_notice import MAX_WARMUP_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.fleet.membership import Membership
    from gentianfold.fleet.messages import TunnelNotice
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_scheduler import SlotScheduler


@attrs.define(eq=False, repr=False)
class NodeNotices:
    """Applies notices of upstreams, read by this VM or told by others."""

    vm: str
    """Address of this VM."""
    view: NodeView
    """Published state, and the upstreams that leave."""
    scheduler: SlotScheduler
    """Places the requests of this VM."""
    apply_upstreams: Callable[[float], None]
    """Applies a changed list of upstreams at a time (event loop time, seconds)."""
    membership: Membership
    """Role of this VM and the broker that it uses."""
    transport: Transport
    """Sends messages to the broker."""
    pauses: PauseTable = attrs.field(factory=PauseTable)
    """Upstreams that want no requests of this VM for a while."""

    def record(
        self,
        cause: str,
        name: str,
        start_time_ms: int,
        is_leaving: bool,
        pause_s: float | None,
        now_s: float,
    ) -> None:
        """Record what a start of an upstream states.

        Args:
            cause: ``answer``, or the VM that tells it.
            name: Name of the upstream.
            start_time_ms: Unix time of its start (milliseconds).
            is_leaving: Whether it is about to end.
            pause_s: Time for which it wants no requests of this VM (seconds); ``None``
                if it states none.
            now_s: Event loop time (seconds).
        """
        if is_leaving and self.merge_leaving(cause, ((name, start_time_ms),), now_s):
            self.membership.expedite_heartbeat(now_s)
        if pause_s is not None:
            logger.info(
                "upstream: {} wants no requests of this VM, cause={} s={:.3g}",
                name,
                cause,
                pause_s,
            )
            self.pauses.record(name, start_time_ms, now_s + pause_s)
            self.apply_pauses(now_s)

    def record_cold(
        self, cause: str, name: str, start_time_ms: int, left_s: float, now_s: float
    ) -> None:
        """Record that a start of an upstream is cold; tell the broker if it is new.

        Args:
            cause: ``answer``, or the VM that tells it.
            name: Name of the upstream.
            start_time_ms: Unix time of its start (milliseconds).
            left_s: Time for which it remains cold (seconds).
            now_s: Event loop time (seconds).
        """
        left_s = min(left_s, MAX_WARMUP_S)
        until_s = now_s + left_s
        if not self.scheduler.record_cold(name, start_time_ms, until_s, now_s):
            return
        logger.info("upstream: {} is cold, cause={} s={:.3g}", name, cause, left_s)
        broker = self.membership.broker
        is_member = self.membership.role is Role.MEMBER
        if broker and is_member and not self.membership.has_older_broker:
            message = UpstreamCold(name, start_time_ms, int(left_s * 1000))
            self.transport.send(broker, message)

    def handle_cold(self, vm: str, message: UpstreamCold, now_s: float) -> None:
        """Record what another VM tells of a cold upstream."""
        left_s = message.left_ms / 1000
        self.record_cold(vm, message.upstream, message.start_time_ms, left_s, now_s)

    def handle_tunnel_notice(
        self, vm: str, message: TunnelNotice, now_s: float
    ) -> None:
        """Record what the upstream behind a tunnel of another VM stated."""
        pause_ms = message.pause_ms
        self.record(
            vm,
            message.upstream,
            message.start_time_ms,
            message.is_leaving,
            pause_ms / 1000 if pause_ms is not None else None,
            now_s,
        )

    def apply_pauses(self, now_s: float) -> None:
        """Tell the scheduler until when upstreams want no requests of this VM."""
        for name, start_time_ms, until_s in self.pauses.running(now_s):
            self.scheduler.record_pause(name, start_time_ms, self.vm, until_s)

    def merge_leaving(
        self, cause: str, leaving: Iterable[tuple[str, int]], now_s: float
    ) -> bool:
        """Stop to use upstreams that say that they leave; tell whether any is new."""
        names = self.view.leaving.merge(leaving, now_s)
        for name in names:
            logger.info(
                "upstream: {} is leaving, cause={} revision={} list_age_ms={:.0f}",
                name,
                cause,
                self.view.upstreams.revision,
                min(self.view.upstreams_age_s(now_s), 1e6) * 1000,
            )
        if names:
            self.apply_upstreams(now_s)
        return bool(names)
