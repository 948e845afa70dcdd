"""Pledges that this VM gives: its share, to at most one home a bucket."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.messages import Pledge
from gentianfold.limits.timing import LOT_LIFETIME_S, lot_end_s

if TYPE_CHECKING:
    from gentianfold.limits.timing import Timing
    from gentianfold.limits.view_table import View


@attrs.define
class PledgeGiver:
    """The view that the own share is pledged by, and the terms still running.

    A generation is a period in which nothing that was pledged is taken back. What
    a home may count on from earlier generations ends with the term of the last
    pledge of that generation, or a lot's lifetime after the home acknowledged a
    later generation.
    """

    view: View | None = None
    """The view that buckets are pledged by."""
    next_view: View | None = None
    """The view that follows once the older pledges are over."""
    generation: int = 1
    """The current generation."""
    move_generation: int = 0
    """Generation in which the move to ``next_view`` began."""
    ends_s: dict[str, dict[int, float]] = attrs.field(factory=dict)
    """Ends of pledges by home and generation."""

    def start_generation(self) -> int:
        """Begin a generation, because something is taken back."""
        self.generation += 1
        return self.generation

    def move_to(self, desired: View, now_s: float) -> None:
        """Move towards a view; a move waits until older pledges are over."""
        if self.view is None:
            self.view = desired
        elif self.next_view is None and desired.digest != self.view.digest:
            self.next_view = desired
            self.move_generation = self.start_generation()
        if self.next_view is not None and self.over(self.move_generation, now_s):
            self.view, self.next_view = self.next_view, None

    def pledge_for(
        self, home: str, slot_count: int, timing: Timing, ping_heard_s: float
    ) -> Pledge | None:
        """Return the pledge for a home and count its term, if it is due one.

        Args:
            home: The VM to pledge to.
            slot_count: Share slots in possession.
            timing: Durations of the list in force.
            ping_heard_s: When the ping that the pledge answers arrived.
        """
        if self.view is None or not slot_count:
            return None
        following = self.next_view or self.view
        if home not in self.view.members or home not in following.members:
            return None
        ends = self.ends_s.setdefault(home, {})
        ends[self.generation] = ping_heard_s + timing.pledge_end_s
        return Pledge(
            slot_count,
            self.view.digest,
            following.digest,
            timing.pledge_s,
        )

    def on_ack(self, home: str, generation: int, now_s: float) -> None:
        """Shorten older pledges, since the home replaced them."""
        ends = self.ends_s.get(home)
        if not ends:
            return
        limit_s = now_s + lot_end_s(LOT_LIFETIME_S)
        for older in [number for number in ends if number < generation]:
            ends[older] = min(ends[older], limit_s)

    def over(self, generation: int, now_s: float) -> bool:
        """Tell whether all pledges of generations before ``generation`` ended."""
        self._forget_ended(now_s)
        return not any(
            number < generation for ends in self.ends_s.values() for number in ends
        )

    def home_of(self, home_slot: int) -> str | None:
        """Return the home that buckets of a home slot are pledged to."""
        return self.view.homes.owner(home_slot) if self.view else None

    def _forget_ended(self, now_s: float) -> None:
        for home, ends in list(self.ends_s.items()):
            for number in [n for n, end_s in ends.items() if end_s < now_s]:
                del ends[number]
            if not ends:
                del self.ends_s[home]
