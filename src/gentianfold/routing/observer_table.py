"""Rows of the VMs that report outcomes, this VM included."""

from __future__ import annotations

import math

import attrs

from gentianfold.routing.evidence import Observer

TRUST_WINDOW_S = 10.0
"""Time over which the reports of an observer are compared."""
MIN_FAILING = 3
"""Failing upstreams from which an observer may be at fault itself."""


@attrs.define(eq=False)
class ObserverRow:
    """What one VM has reported."""

    observer: Observer
    """The VM."""
    heard_s: float = -math.inf
    """Time of its last report."""
    incarnation: int = 0
    """Its incarnation; counters restart with it."""
    counts: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    """Its successes and failures by upstream key."""
    loads: dict[int, float] = attrs.field(factory=dict)
    """Its load by upstream key."""
    last_success_s: dict[str, float] = attrs.field(factory=dict)
    """Time of its last success by upstream name."""
    last_failure_s: dict[str, float] = attrs.field(factory=dict)
    """Time of its last failure by upstream name."""

    def trusted(self, now_s: float) -> bool:
        """Return whether its failures tell of upstreams, not of its own path.

        An observer to which most upstreams look sick is more likely at fault than
        they are.
        """
        since_s = now_s - TRUST_WINDOW_S
        successes, failures = self.last_success_s, self.last_failure_s
        for name in [name for name, time_s in failures.items() if time_s < since_s]:
            del failures[name]
        failing = sum(
            time_s > successes.get(name, -math.inf) for name, time_s in failures.items()
        )
        if failing < MIN_FAILING:
            return True
        reached = {name for name, time_s in successes.items() if time_s >= since_s}
        return failing * 2 <= len(reached | failures.keys())


@attrs.define(eq=False)
class ObserverTable:
    """All VMs that report outcomes to this VM."""

    own: ObserverRow
    """This VM."""
    rows: dict[str, ObserverRow] = attrs.field(factory=dict)
    """Other VMs by name."""
    zones: frozenset[str] = frozenset()
    """Zones of the VMs that were heard lately, this VM included."""
    zone_vms: int = 1
    """VMs in the zone of this VM, itself included."""

    @property
    def vms(self) -> int:
        """Number of VMs, this one included."""
        return 1 + len(self.rows)

    def hear(self, vm: str, zone: str, now_s: float) -> ObserverRow:
        """Return the row of a VM that was heard now."""
        row = self.rows.get(vm)
        if row is None:
            row = ObserverRow(Observer(vm, zone))
            self.rows[vm] = row
            self._count_zones()
        row.heard_s = now_s
        return row

    def forget(self, vm: str) -> ObserverRow:
        """Remove the row of a VM and return it."""
        row = self.rows.pop(vm)
        self._count_zones()
        return row

    def _count_zones(self) -> None:
        own = self.own.observer.zone
        zones = [row.observer.zone for row in self.rows.values()]
        self.zones = frozenset((own, *zones))
        self.zone_vms = 1 + zones.count(own)
