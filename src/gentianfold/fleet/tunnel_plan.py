"""Chooses the VMs through which a member may reach upstreams if it is cut off."""

from __future__ import annotations

import random
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


@attrs.define(eq=False, repr=False)
class TunnelPlan:
    """Spreads tunnels at random over the VMs with paths, by their capacity."""

    random: random.Random = attrs.field(factory=random.Random)
    """Source of the choice."""
    _by_zone: dict[str, list[str]] = attrs.field(factory=dict)
    _all: list[str] = attrs.field(factory=list)
    _updated_s: float = -1e9

    def choose(
        self, vm: str, members: dict[str, Member], now_s: float
    ) -> tuple[str, ...]:
        """Return the VMs for one member, those of its own zone first."""
        if now_s - self._updated_s > REFRESH_S:
            self._update(members, now_s)
        own = self._sample(self._by_zone.get(members[vm].zone, []), vm, MAX_OWN_ZONE)
        count = MAX_OTHER_ZONES + MAX_OWN_ZONE - len(own)
        others = self._sample(self._all, vm, count)
        return tuple(dict.fromkeys(own + others))

    def _update(self, members: dict[str, Member], now_s: float) -> None:
        self._updated_s = now_s
        self._by_zone, self._all = {}, []
        for vm, member in members.items():
            if not member.is_cut_off:
                self._all.append(vm)
                self._by_zone.setdefault(member.zone, []).append(vm)

    def _sample(self, vms: list[str], vm: str, count: int) -> list[str]:
        """Return up to ``count`` of the VMs other than ``vm``."""
        picked = self.random.sample(vms, min(count + 1, len(vms)))
        return [name for name in picked if name != vm][:count]
