"""Plans from which VM each member fetches a new configuration.

A configuration may have hundreds of kilobytes, the network link of a VM may have as
little as five megabits per second, and traffic between zones is billed. So the broker
serves one member of each zone, and members that have the configuration serve the others
of their zone.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.fleet.membership import Member

MAX_TRANSFERS = 4
"""Concurrent transfers from one VM (count)."""
SLOW_LINK_MBPS = 20.0
"""Bandwidth below which a VM serves one transfer at a time (megabits per second): a
transfer of 0.1 MB takes more than 40 ms then."""
ASSIGNMENT_TIMEOUT_S = 1.0
"""Time after which a member that still lacks the configuration gets a new source
(seconds): longer than the timeout of a transfer."""


@attrs.define
class _Assignment:
    """The source assigned to a member."""

    source: str
    assigned_s: float


@attrs.define
class RelayPlan:
    """Assigns sources of the newest configuration to members."""

    vm: str
    """Address of the broker."""
    version: int = 0
    """Version of the configuration being distributed; 0 before the first."""
    _assignments: dict[str, _Assignment] = attrs.field(factory=dict)

    def start_version(self, version: int) -> None:
        """Start to distribute a version; one that is not newer is ignored."""
        if version > self.version:
            self.version = version
            self._assignments.clear()

    def source_for(self, vm: str, members: dict[str, Member], now_s: float) -> str:
        """Return the VM from which a member fetches the configuration.

        Empty if the member has the configuration, or while all sources are busy.
        """
        member = members[vm]
        if member.configuration_version >= self.version:
            self._assignments.pop(vm, None)
            return ""
        assignment = self._assignments.get(vm)
        if assignment is not None and self.is_assigned(vm, now_s):
            return assignment.source
        failed_source = assignment.source if assignment is not None else ""
        source = self._choose_source(vm, members, failed_source, now_s)
        if source:
            self._assignments[vm] = _Assignment(source, now_s)
        return source

    def is_assigned(self, vm: str, now_s: float) -> bool:
        """Tell whether a member has a source from which it may be fetching."""
        assignment = self._assignments.get(vm)
        return (
            assignment is not None
            and now_s - assignment.assigned_s < ASSIGNMENT_TIMEOUT_S
        )

    def _choose_source(
        self, vm: str, members: dict[str, Member], failed_source: str, now_s: float
    ) -> str:
        """Return the least busy source in the zone; the broker for its first member.

        Empty if all sources are busy, or while the zone's first member fetches. A source
        from which the member could not fetch in time is used only if there is no other.
        """
        zone = members[vm].zone
        fetching = {
            name: assignment.source
            for name, assignment in self._assignments.items()
            if now_s - assignment.assigned_s < ASSIGNMENT_TIMEOUT_S and name in members
        }
        load = Counter(fetching.values())
        holders = [
            name
            for name, member in members.items()
            if member.zone == zone and member.configuration_version >= self.version
        ]
        if holders:
            available = [
                name for name in holders if load[name] < _max_transfers(members[name])
            ]
            return min(
                available,
                key=lambda name: (name == failed_source, load[name], name),
                default="",
            )
        is_first = not any(
            source == self.vm and members[name].zone == zone
            for name, source in fetching.items()
        )
        return self.vm if is_first else ""


def _max_transfers(member: Member) -> int:
    return MAX_TRANSFERS if member.link_mbps >= SLOW_LINK_MBPS else 1
