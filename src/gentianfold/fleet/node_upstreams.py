"""Keeps one VM to the list of upstreams that it reads or that its broker sends."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.fleet.membership import Role

if TYPE_CHECKING:
    from gentianfold.fleet.broker import Broker
    from gentianfold.fleet.membership import Membership
    from gentianfold.fleet.messages import HeartbeatReply, UpstreamChanges
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.placement_log import PlacementLog
    from gentianfold.placement.slot_scheduler import SlotScheduler


@attrs.define(eq=False, repr=False)
class NodeUpstreams:
    """Merges lists of upstreams and applies them to the routes and the scheduler."""

    view: NodeView
    """Published state as this VM knows it."""
    scheduler: SlotScheduler
    """Places requests on the upstreams."""
    membership: Membership
    """Role of this VM."""
    broker: Broker
    """Sends changes to the other VMs while this VM is the broker."""
    log: PlacementLog
    """Logs which upstreams were added, changed state or were deleted."""
    on_applied: Callable[[float], None]
    """Called after the scheduler has got a list (event loop time, seconds)."""

    def apply(self, now_s: float) -> None:
        """Apply the merged list of upstreams; as broker, send the changes to members."""
        upstreams = self.view.list_upstreams()
        self.log.log_upstreams(
            self.view.routing.upstreams, upstreams, self.view.upstreams.revision
        )
        self.view.routing.upstreams = {
            upstream.name: upstream for upstream in upstreams
        }
        self.scheduler.replace_upstreams(upstreams, now_s)
        self.on_applied(now_s)
        if self.membership.role is Role.BROKER:
            self.broker.send_upstream_changes(now_s)

    def merge(self, changes: UpstreamChanges, now_s: float) -> None:
        """Merge changes that the broker sends."""
        has_changed = self.view.upstreams.merge(changes)
        self.view.record_era(now_s)
        if has_changed:
            self.apply(now_s)

    def handle_reply(self, reply: HeartbeatReply, now_s: float) -> None:
        """Record since when the list is current, by a reply of the broker."""
        is_current = self.view.upstreams.advance_revision(
            reply.last_change_revision, reply.upstreams_revision
        )
        self.view.record_era(now_s)
        if is_current and reply.store_age_ms >= 0:
            read_s = now_s - reply.store_age_ms / 1000
            known_s = self.view.routing.upstreams_current_at_s
            self.view.routing.upstreams_current_at_s = max(read_s, known_s or read_s)

    def advance(self, now_s: float) -> None:
        """Accept upstreams that a restored store still lists after a while."""
        if self.view.accept_withheld(now_s):
            logger.info("upstreams: accepted entries that outlasted the restored copy")
            self.apply(now_s)
