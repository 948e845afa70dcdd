"""Keeps one VM to the evacuated zones that it reads or that other VMs tell it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from gentianfold.fleet.membership import Member
    from gentianfold.fleet.messages import Evacuations, HeartbeatReply
    from gentianfold.fleet.node_view import NodeView
    from gentianfold.fleet.store_revision import StoreRevision
    from gentianfold.placement.slot_scheduler import SlotScheduler


@attrs.frozen
class EvacuationProgress:
    """Who an evacuation waits for."""

    zone: str
    """The evacuated zone."""
    revision: StoreRevision
    """Revision at which the evacuation was requested."""
    running: int
    """Requests that still run in the zone, as far as this VM knows (count)."""
    waiting_vms: tuple[str, ...]
    """Members that have not confirmed it; empty on a VM that is not the broker."""


@attrs.define(eq=False, repr=False)
class NodeEvacuations:
    """Merges the evacuated zones and applies them to the upstreams of this VM."""

    view: NodeView
    """Published state as this VM knows it."""
    scheduler: SlotScheduler
    """Tells which requests still run in a zone."""
    apply_upstreams: Callable[[float], None]
    """Applies a changed list of upstreams at a time (event loop time, seconds)."""
    now_s: Callable[[], float]
    """Returns the event loop time (seconds)."""

    def record_change(
        self, zone: str, revision: StoreRevision, is_requested: bool
    ) -> None:
        """Apply that the store requests an evacuation or takes it back."""
        now_s, table = self.now_s(), self.view.evacuations
        old = set(table.zones)
        if table.record_change(zone, revision, is_requested, now_s):
            self._apply("store", old, now_s)

    def replace(
        self, zones: Mapping[str, StoreRevision], revision: StoreRevision
    ) -> None:
        """Apply the evacuated zones that the store lists."""
        now_s, table = self.now_s(), self.view.evacuations
        old = set(table.zones)
        if table.replace(zones, revision, now_s):
            self._apply("list", old, now_s)

    def merge(self, vm: str, evacuations: Evacuations | None) -> None:
        """Apply the evacuated zones that another VM tells; ``None`` for an old build."""
        now_s, table = self.now_s(), self.view.evacuations
        old = set(table.zones)
        if evacuations is not None and table.merge(evacuations, now_s):
            self._apply(vm, old, now_s)

    def handle_reply(self, vm: str, reply: HeartbeatReply) -> None:
        """Apply what the broker tells, and since when that is current."""
        self.merge(vm, reply.evacuations)
        if reply.evacuations is not None and reply.store_age_ms >= 0:
            table = self.view.evacuations
            read_s = self.now_s() - reply.store_age_ms / 1000
            table.current_at_s = max(table.current_at_s, read_s)

    def advance(self) -> None:
        """End evacuations that a restored store no longer holds."""
        now_s, table = self.now_s(), self.view.evacuations
        old = set(table.zones)
        if table.expire(now_s):
            self._apply("expiry", old, now_s)

    def progress(self, members: Mapping[str, Member]) -> list[EvacuationProgress]:
        """Return who each evacuation waits for.

        Args:
            members: Members of the broker by address; empty if this VM is not it.
        """
        return [
            EvacuationProgress(
                zone,
                revision,
                sum(
                    tracker.in_use
                    for tracker in self.scheduler.trackers()
                    if tracker.upstream.zone == zone
                ),
                tuple(_unconfirmed(members, revision)),
            )
            for zone, revision in sorted(self.view.evacuations.zones.items())
        ]

    def _apply(self, cause: str, old: set[str], now_s: float) -> None:
        self.apply_upstreams(now_s)
        table = self.view.evacuations
        for progress in self.progress({}):
            if progress.zone not in old:
                logger.info(
                    "zones: {} is evacuated, cause={} revision={} running={}",
                    progress.zone,
                    cause,
                    progress.revision,
                    progress.running,
                )
        for zone in sorted(old - table.zones.keys()):
            logger.info(
                "zones: {} is taken back, cause={} revision={}",
                zone,
                cause,
                table.revision,
            )


def _unconfirmed(
    members: Mapping[str, Member], revision: StoreRevision
) -> Iterable[str]:
    return (
        vm
        for vm, member in sorted(members.items())
        if member.evacuations_revision is None or member.evacuations_revision < revision
    )
