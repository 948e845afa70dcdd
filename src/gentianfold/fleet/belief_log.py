"""Logs what changes a VM's belief about upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from gentianfold.model import Upstream
    from gentianfold.placement.slot_scheduler import SlotScheduler

CROWD_LOG_S = 1.0
"""Time between two log lines on a crowded service (seconds)."""
MAX_LOGGED_NAMES = 8
"""Names in one log line (count)."""


@attrs.define(eq=False)
class BeliefLog:
    """Writes a line for each change, and one a second for each crowded service."""

    _crowd_logged_s: float = -1e9

    def log_placement(self, scheduler: SlotScheduler, now_s: float) -> None:
        """Log which upstreams turned, and which services have requests waiting."""
        while scheduler.state_changes:
            change = scheduler.state_changes.popleft()
            logger.info(
                "upstream: {} is {}, cause={} slowness={:.1f} recent_failures={:.1f}"
                " proof_age_ms={:.0f}",
                change.upstream,
                change.state,
                change.cause,
                change.slowness,
                change.recent_failures,
                min(change.last_accepted_age_s, 1e6) * 1000,
            )
        if now_s - self._crowd_logged_s < CROWD_LOG_S:
            return
        self._crowd_logged_s = now_s
        for load in scheduler.queued_services(now_s):
            logger.info(
                "placement: service={} waiting={} upstreams={} suspect={}"
                " well_slots={} in_use={} shedding={}",
                load.service,
                load.waiting,
                load.upstreams,
                load.suspect,
                load.healthy_slots,
                load.healthy_in_use,
                load.shedding,
            )

    def log_upstreams(
        self, old: Mapping[str, Upstream], rows: Sequence[Upstream], revision: int
    ) -> None:
        """Log which upstreams came, drain or went."""
        new = {row.name: row for row in rows}
        came = [name for name in new if name not in old]
        went = [name for name in old if name not in new]
        drained = [
            name
            for name, row in new.items()
            if name in old and row.state != old[name].state
        ]
        logger.info(
            "upstreams: revision={} known={} came={} drained={} went={}",
            revision,
            len(new),
            _some(came),
            _some(drained),
            _some(went),
        )


def _some(names: list[str]) -> str:
    """Return the first names of a list, for a line of bounded length."""
    shown = ",".join(names[:MAX_LOGGED_NAMES]) or "-"
    return shown + ("..." if len(names) > MAX_LOGGED_NAMES else "")
