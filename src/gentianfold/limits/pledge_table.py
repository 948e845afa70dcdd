"""Pledges that this VM holds as a home, and the share that they add up to."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.slot_map import SHARE_SLOTS
from gentianfold.limits.timing import LOT_LIFETIME_S, lot_end_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.limits.messages import Pledge
    from gentianfold.limits.view_table import ViewTable

MAX_ERAS = 4
"""Most periods that are remembered of one VM's unbroken pledges."""


@attrs.frozen
class PledgeEra:
    """A period in which a VM pledged the same share by the same views."""

    slot_count: int
    """Share slots pledged."""
    views: tuple[bytes, bytes]
    """Digests of the two views that must agree on the home."""
    since_s: float
    """When the period began."""


@attrs.define
class PledgeRow:
    """The unbroken pledges of one VM incarnation."""

    incarnation: int
    """Incarnation of the VM that pledged."""
    grant_end_s: float
    """Until when new lots may rest on the latest pledge."""
    eras: list[PledgeEra]
    """Periods, the present one last."""


@attrs.define
class PledgeTable:
    """Rows of pledges by the VM that pledged."""

    own_vm: str
    """Name of this VM."""
    views: ViewTable
    """The known views."""
    rows: dict[str, PledgeRow] = attrs.field(factory=dict)
    """The pledges held."""
    next_end_s: float = math.inf
    """Earliest end of a pledge, or an earlier time."""
    _slots_by_views: dict[tuple[bytes, bytes], int] = attrs.field(factory=dict)
    _share_by_slot: dict[int, float] = attrs.field(factory=dict)

    def changes_share(self, vm: str, incarnation: int, pledge: Pledge | None) -> bool:
        """Tell whether taking in a pledge would change any share."""
        row = self.rows.get(vm)
        if row is None or pledge is None:
            return row is not None or pledge is not None
        era = row.eras[-1]
        views = (pledge.view, pledge.next_view)
        return (row.incarnation, era.slot_count, era.views) != (
            incarnation,
            pledge.slot_count,
            views,
        )

    def put(
        self,
        vm: str,
        incarnation: int,
        pledge: Pledge | None,
        ping_s: float,
        now_s: float,
    ) -> None:
        """Take in the latest pledge of a VM, or its lack of one.

        Args:
            vm: The VM that pledged.
            incarnation: Its incarnation.
            pledge: The pledge.
            ping_s: The own ping that the pledge answers.
            now_s: Time on this VM's clock.
        """
        changed = self.changes_share(vm, incarnation, pledge)
        row = self.rows.get(vm)
        if pledge is None:
            self.rows.pop(vm, None)
        else:
            # Lots that rest on a pledge must be over when the pledge is.
            end_s = ping_s + pledge.term_s - lot_end_s(LOT_LIFETIME_S)
            if row is None or row.incarnation != incarnation:
                row = self.rows[vm] = PledgeRow(incarnation, end_s, [])
            row.grant_end_s = end_s
            self.next_end_s = min(self.next_end_s, end_s)
            if changed:
                views = (pledge.view, pledge.next_view)
                row.eras.append(PledgeEra(pledge.slot_count, views, now_s))
                del row.eras[:-MAX_ERAS]
        if changed:
            self.refresh()

    def drop_ended(self, now_s: float) -> None:
        """Drop the pledges that no lot may rest on any more."""
        ended = [vm for vm, row in self.rows.items() if row.grant_end_s <= now_s]
        for vm in ended:
            del self.rows[vm]
        self.find_next_end()
        if ended:
            self.refresh()

    def find_next_end(self) -> float:
        """Find the earliest end of the pledges as renewed, and return it."""
        self.next_end_s = min(
            (row.grant_end_s for row in self.rows.values()), default=math.inf
        )
        return self.next_end_s

    def share(self, home_slot: int) -> float:
        """Return the part of the buckets of a home slot that is pledged here."""
        share = self._share_by_slot.get(home_slot)
        if share is None:
            slots = sum(
                count
                for views, count in self._slots_by_views.items()
                if self._covers(views, home_slot)
            )
            share = self._share_by_slot[home_slot] = slots / SHARE_SLOTS
        return share

    def unused_level(
        self, home_slot: int, level_after: Callable[[float], float]
    ) -> float:
        """Return the level of a bucket that was not used since it was pledged.

        Args:
            home_slot: Home slot of the bucket.
            level_after: Level of a whole bucket that was empty at the given time.
        """
        return sum(
            self._unused_level_of(row, home_slot, level_after)
            for row in self.rows.values()
        )

    def on_view_known(self, digest: bytes, now_s: float) -> None:
        """Count pledges by a view from now on, since its members became known."""
        for row in self.rows.values():
            era = row.eras[-1]
            if digest in era.views:
                row.eras = [PledgeEra(era.slot_count, era.views, now_s)]
        self.refresh()

    def refresh(self) -> None:
        """Compute the shares again, because pledges or known views changed."""
        self._slots_by_views.clear()
        self._share_by_slot.clear()
        for row in self.rows.values():
            era = row.eras[-1]
            count = self._slots_by_views.get(era.views, 0)
            self._slots_by_views[era.views] = count + era.slot_count

    def _unused_level_of(
        self, row: PledgeRow, home_slot: int, level_after: Callable[[float], float]
    ) -> float:
        level = 0.0
        slots = row.eras[-1].slot_count
        since_s = math.inf
        for era in reversed(row.eras):
            if not self._covers(era.views, home_slot):
                break
            if era.slot_count < slots and since_s < math.inf:
                level += (slots - era.slot_count) * level_after(since_s)
                slots = era.slot_count
            since_s = era.since_s
        if since_s < math.inf:
            level += slots * level_after(since_s)
        return level / SHARE_SLOTS

    def _covers(self, views: tuple[bytes, bytes], home_slot: int) -> bool:
        return all(self._names_me(digest, home_slot) for digest in set(views))

    def _names_me(self, digest: bytes, home_slot: int) -> bool:
        view = self.views.get(digest)
        return view is not None and view.homes.owner(home_slot) == self.own_vm
