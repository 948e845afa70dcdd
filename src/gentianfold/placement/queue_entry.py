"""A queued slot request and how long it may wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.placement.slot_request import SlotRequest

LATE_WAIT_FRACTION = 0.1
"""Fraction of its time left for which a request waits although it misses its target."""


@attrs.define(eq=False, repr=False)
class QueueEntry:
    """A request in the queue of its service."""

    request: SlotRequest
    queued_at_s: float
    estimated_s: float = 0.0
    """Estimated wait, before the correction by the wait table (seconds)."""

    def latest_start_s(self, expected_s: float) -> float:
        """Return the time at which the request leaves the queue without a slot.

        Under sustained overload a longer queue serves no more requests and makes all
        of them late. So a request waits while it can meet its target; a request that
        can't waits ``LATE_WAIT_FRACTION`` of its time left.
        """
        request = self.request
        useful_s = request.time_left_s - expected_s
        on_target_s = request.target_left_s - expected_s
        wait_limit_s = max(on_target_s, LATE_WAIT_FRACTION * request.time_left_s)
        return self.queued_at_s + max(min(useful_s, wait_limit_s), 0.0)
