"""Availability zones to which operators want nothing to be sent.

The table holds the whole set as of a revision of the store. Of two sets the one of the
higher revision holds, whoever read it, so VMs merge them without agreement. It answers
operators that empty a zone while brokers change, VMs restart, and the store is down,
behind, restored from a copy or without its history.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.messages import Evacuations
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_ZONES = 100
"""Evacuated zones that are kept (count): the set must fit into a heartbeat."""
LOST_REQUEST_S = 60.0
"""Time for which an evacuation is kept that a restored store lacks (seconds): operators
notice the restoration and write again what it has lost."""


@attrs.define(eq=False, repr=False)
class EvacuationTable:
    """Evacuated zones as of a revision; all times are event loop times (seconds)."""

    revision: StoreRevision = NO_REVISION
    """Revision of the store as of which the set holds."""
    current_at_s: float = float("-inf")
    """When the set was last known to be current, whichever VM read it."""
    # By zone: the revision at which the evacuation was requested.
    _zones: dict[str, StoreRevision] = attrs.field(factory=dict)
    _era_learned_s: float = float("-inf")

    @property
    def zones(self) -> Mapping[str, StoreRevision]:
        """Evacuated zones with the revisions of the requests."""
        return self._zones

    def is_evacuated(self, zone: str | None) -> bool:
        """Tell whether nothing may be sent to a zone.

        Args:
            zone: The zone; ``None`` if it is unknown, which counts as evacuated while
                any zone is.
        """
        if zone is None:
            return bool(self._zones)
        return zone in self._zones

    def record_change(
        self, zone: str, revision: StoreRevision, is_requested: bool, now_s: float
    ) -> bool:
        """Record that an evacuation was requested or taken back.

        Returns:
            Whether the set has changed.
        """
        if revision <= self.revision:
            return False
        self._advance(revision, now_s)
        was_evacuated = zone in self._zones
        if is_requested and (was_evacuated or len(self._zones) < MAX_ZONES):
            self._zones[zone] = revision
        elif not is_requested:
            self._zones.pop(zone, None)
        return was_evacuated != (zone in self._zones)

    def replace(
        self, zones: Mapping[str, StoreRevision], revision: StoreRevision, now_s: float
    ) -> bool:
        """Replace the set by the one at a revision, unless a newer one is known.

        What a restored store lacks is kept for a while.

        Returns:
            Whether the set has changed.
        """
        if revision < self.revision:
            return False
        self._advance(revision, now_s)
        kept = {
            zone: requested
            for zone, requested in self._zones.items()
            if self._is_lost(requested) and not self._has_expired(now_s)
        }
        old = self._zones
        self._zones = dict(sorted({**kept, **zones}.items())[:MAX_ZONES])
        return old.keys() != self._zones.keys()

    def merge(self, evacuations: Evacuations, now_s: float) -> bool:
        """Adopt the set of another VM if it is newer; tell whether the set changed."""
        if evacuations.revision <= self.revision:
            return False
        return self.replace(dict(evacuations.zones), evacuations.revision, now_s)

    def expire(self, now_s: float) -> bool:
        """End evacuations that a restored store lacks; tell whether there were any."""
        if not self._zones or not self._has_expired(now_s):
            return False
        lost = [
            zone for zone, revision in self._zones.items() if self._is_lost(revision)
        ]
        for zone in lost:
            del self._zones[zone]
        if lost:
            self.revision = self.revision.next_step()
        return bool(lost)

    def report(self) -> Evacuations:
        """Return the set for other VMs."""
        return Evacuations(self.revision, tuple(self._zones.items()))

    def record_suspension(self, suspended_s: float) -> None:
        """Age the recorded times by a suspension of this VM (seconds)."""
        self.current_at_s -= suspended_s
        self._era_learned_s -= suspended_s

    def _advance(self, revision: StoreRevision, now_s: float) -> None:
        if revision.era > self.revision.era:
            self._era_learned_s = now_s
        self.revision = revision

    def _is_lost(self, requested: StoreRevision) -> bool:
        """Tell whether a request stems from before the store was restored."""
        return requested.era < self.revision.era

    def _has_expired(self, now_s: float) -> bool:
        return now_s - self._era_learned_s > LOST_REQUEST_S
