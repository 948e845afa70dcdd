"""Plans from which VM each member takes a new configuration.

A configuration may have hundreds of kilobytes, links of VMs as little as five megabits
a second, and bytes between zones are paid for. So the broker gives it to one member in
each zone, and members that have it give it to others of their zone.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.fleet.membership import Member

FANOUT = 4
"""Members that one VM serves at the same time."""
NARROW_LINK_MBPS = 20.0
"""Bandwidth below which a VM serves one other at a time (megabits per second): a
tenth of a megabyte then takes 40 ms at least."""
ASSIGNED_S = 1.0
"""Time after which a member that still lacks the configuration is planned anew
(seconds): longer than a fetch may take."""


@attrs.define
class _Assignment:
    """A member that has been told where to take the configuration."""

    source: str
    at_s: float


@attrs.define
class RelayPlan:
    """Sources of the newest configuration, by member."""

    vm: str
    """Address of the broker."""
    version: int = 0
    """The configuration that is spread."""
    _assigned: dict[str, _Assignment] = attrs.field(factory=dict)

    def begin(self, version: int) -> None:
        """Spread a newer configuration."""
        if version > self.version:
            self.version = version
            self._assigned.clear()

    def source_for(self, vm: str, members: dict[str, Member], now_s: float) -> str:
        """Return where a member takes the configuration; empty while it should wait."""
        member = members[vm]
        if member.configuration >= self.version:
            self._assigned.pop(vm, None)
            return ""
        assignment = self._assigned.get(vm)
        if assignment is not None and now_s - assignment.at_s < ASSIGNED_S:
            return assignment.source
        source = self._free_source(vm, members, now_s)
        if source:
            self._assigned[vm] = _Assignment(source, now_s)
        return source

    def _free_source(self, vm: str, members: dict[str, Member], now_s: float) -> str:
        """Return an informed VM of the zone with room, or the broker for the first."""
        zone = members[vm].zone
        fetching = {
            name: row.source
            for name, row in self._assigned.items()
            if now_s - row.at_s < ASSIGNED_S and name in members
        }
        load = Counter(fetching.values())
        informed = [
            name
            for name, member in members.items()
            if member.zone == zone and member.configuration >= self.version
        ]
        if informed:
            free = [name for name in informed if load[name] < _room(members[name])]
            return min(free, key=lambda name: (load[name], name), default="")
        is_first = not any(
            source == self.vm and members[name].zone == zone
            for name, source in fetching.items()
        )
        return self.vm if is_first else ""


def _room(member: Member) -> int:
    return FANOUT if member.link_mbps >= NARROW_LINK_MBPS else 1
