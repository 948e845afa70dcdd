"""A queued slot request and how long it may wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.placement.slot_request import SlotRequest

START_FACTOR = 1.5
"""Time left with which a late request is still started, as a multiple of its expected
time: most requests of a route end within it."""
LATE_WAIT_FRACTION = 0.1
"""Fraction of its time left for which a request waits although it misses its target."""
MOST_LATE_FACTOR = 2.0
"""Multiple of the time to its target up to which the time left counts for that: with a
far deadline, all requests would wait until they miss their target."""


@attrs.define(eq=False, repr=False)
class QueueEntry:
    """A request in the queue of its service."""

    request: SlotRequest
    queued_at_s: float
    estimated_s: float = 0.0
    """Estimated wait, before the correction by the wait table (seconds)."""
    is_late: bool = False
    """Whether it waits although it misses its target, behind those that can meet it."""
    reserves_token: bool = True
    """Whether a token of its customer is kept for it, if it is a first attempt."""

    def latest_start_s(self, expected_s: float) -> float:
        """Return the time at which the request leaves the queue without a slot.

        Under sustained overload a longer queue serves no more requests and makes all
        of them late. So a request waits while it can meet its target; a request that
        can't waits ``LATE_WAIT_FRACTION`` of its time left, unless it was planned to
        be late.
        """
        if self.is_late:
            return self.last_start_s(expected_s)
        request = self.request
        useful_s = request.time_left_s - expected_s
        on_target_s = request.target_left_s - expected_s
        late_s = request.time_left_s
        if request.target_left_s > 0:
            late_s = min(late_s, MOST_LATE_FACTOR * request.target_left_s)
        wait_limit_s = max(on_target_s, LATE_WAIT_FRACTION * late_s)
        return self.queued_at_s + max(min(useful_s, wait_limit_s), 0.0)

    def last_start_s(self, expected_s: float) -> float:
        """Return the time after which the request is not answered by its deadline."""
        return self.queued_at_s + self.request.time_left_s - START_FACTOR * expected_s
