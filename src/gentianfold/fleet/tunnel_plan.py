"""Chooses the VMs through which a member may reach upstreams if it is cut off."""

from __future__ import annotations

import random
from itertools import accumulate
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.fleet.membership import Member

MAX_OWN_ZONE = 2
"""VMs of the member's own availability zone (count)."""
MAX_OTHER_ZONES = 2
"""VMs of other zones, in case the whole zone is cut off (count)."""
REFRESH_S = 0.5
"""Time for which the list of VMs with paths is kept (seconds)."""


MIN_ROOM_FRACTION = 0.05
"""Part of a link that counts as room also if the link is full (0 to 1): what a VM told of
its use is up to a heartbeat old."""


@attrs.frozen
class _Pool:
    """VMs with paths, and the sums of the room on their links up to each of them."""

    vms: list[str] = attrs.field(factory=list)
    room_sums: list[float] = attrs.field(factory=list)

    @classmethod
    def of(cls, members: dict[str, Member]) -> _Pool:
        return cls(
            list(members), list(accumulate(map(link_room_mbps, members.values())))
        )


def link_room_mbps(member: Member) -> float:
    """Return the room on a member's link (megabits per second)."""
    room_mbps = member.link_mbps - member.link_used_mbps
    return max(room_mbps, MIN_ROOM_FRACTION * member.link_mbps)


@attrs.define(eq=False, repr=False)
class TunnelPlan:
    """Spreads tunnels at random over the VMs with paths, by the room on their links.

    The load that it answers: a zone or a fifth of the VMs is cut off, and all their
    requests pass through others, some of which have links of 5 Mbit/s.
    """

    random: random.Random = attrs.field(factory=random.Random)
    """Source of the choice."""
    _by_zone: dict[str, _Pool] = attrs.field(factory=dict)
    _all: _Pool = attrs.field(factory=_Pool)
    _updated_s: float = -1e9

    def choose(
        self, vm: str, members: dict[str, Member], now_s: float
    ) -> tuple[str, ...]:
        """Return the VMs for one member, those of its own zone first."""
        if now_s - self._updated_s > REFRESH_S:
            self._update(members, now_s)
        zone = self._by_zone.get(members[vm].zone, _Pool())
        own = self._sample(zone, {vm}, MAX_OWN_ZONE)
        count = MAX_OTHER_ZONES + MAX_OWN_ZONE - len(own)
        return (*own, *self._sample(self._all, {vm, *own}, count))

    def _update(self, members: dict[str, Member], now_s: float) -> None:
        self._updated_s = now_s
        usable = {vm: row for vm, row in members.items() if not row.is_cut_off}
        zones = {member.zone for member in usable.values()}
        self._all = _Pool.of(usable)
        self._by_zone = {
            zone: _Pool.of({vm: row for vm, row in usable.items() if row.zone == zone})
            for zone in zones
        }

    def _sample(self, pool: _Pool, others: set[str], count: int) -> list[str]:
        """Return up to ``count`` of the VMs that are not in ``others``."""
        if not pool.vms:
            return []
        tries = count + len(others)
        picked = self.random.choices(pool.vms, cum_weights=pool.room_sums, k=2 * tries)
        # One VM may be drawn each time; the rest is filled up evenly.
        picked += self.random.sample(pool.vms, min(tries, len(pool.vms)))
        return [name for name in dict.fromkeys(picked) if name not in others][:count]
