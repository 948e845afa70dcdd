"""Logs state changes of upstreams and services with queued requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.model import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from gentianfold.fleet.store_revision import StoreRevision
    from gentianfold.model import Upstream
    from gentianfold.placement.slot_scheduler import SlotScheduler

QUEUE_LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines on a service with queued requests (seconds)."""
MAX_LOGGED_NAMES = 8
"""Names of upstreams shown in one list of a log line (count)."""


@attrs.define(eq=False, repr=False)
class PlacementLog:
    """Logs each state change, and services with queued requests at most once a second."""

    _queues_logged_s: float = -1e9

    def log_placement(self, scheduler: SlotScheduler, now_s: float) -> None:
        """Log state changes of upstreams and the load of services with a queue."""
        for change in scheduler.state_changes.take_all():
            logger.info(
                "upstream: {} is {}, cause={} slowness={:.1f} recent_failures={:.1f}"
                " proof_age_ms={:.0f} rate_limit={:g}",
                change.upstream,
                change.state,
                change.cause,
                change.slowness,
                change.recent_failures,
                min(change.last_accepted_age_s, 1e6) * 1000,
                change.rate_limit_per_s,
            )
        if now_s - self._queues_logged_s < QUEUE_LOG_INTERVAL_S:
            return
        self._queues_logged_s = now_s
        for load in scheduler.queued_services(now_s):
            logger.info(
                "placement: service={} waiting={} upstreams={} suspect={}"
                " well_slots={} in_use={} shedding={} late={} below_floor={}",
                load.service,
                load.waiting,
                load.upstreams,
                load.suspect,
                load.healthy_slots,
                load.healthy_in_use,
                load.shedding,
                load.late,
                load.below_floor,
            )
        for retries in scheduler.retries.loads(now_s):
            logger.info(
                "retries: service={} waiting={} budget_left={:.0f} rejecting_ms={:.0f}",
                retries.service,
                retries.waiting,
                retries.budget_left,
                retries.rejecting_s * 1000,
            )

    def log_upstreams(
        self,
        old: Mapping[str, Upstream],
        upstreams: Sequence[Upstream],
        revision: StoreRevision,
    ) -> None:
        """Log which upstreams were added, changed state or were deleted."""
        new = {upstream.name: upstream for upstream in upstreams}
        added = [name for name in new if name not in old]
        deleted = [name for name in old if name not in new]
        changed = [
            name
            for name, upstream in new.items()
            if upstream.state is UpstreamState.DRAINING
            and name in old
            and old[name].state is not UpstreamState.DRAINING
        ]
        cold = [
            name
            for name, upstream in new.items()
            if upstream.warmup_remaining_s
            and (name not in old or old[name].entry_revision != upstream.entry_revision)
        ]
        logger.info(
            "upstreams: revision={} known={} came={} drained={} went={} cold={}",
            revision,
            len(new),
            _format_names(added),
            _format_names(changed),
            _format_names(deleted),
            _format_names(cold),
        )


def _format_names(names: list[str]) -> str:
    """Return the first names as text of bounded length; ``-`` for no names."""
    shown = ",".join(names[:MAX_LOGGED_NAMES]) or "-"
    return shown + ("..." if len(names) > MAX_LOGGED_NAMES else "")
