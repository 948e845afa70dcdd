"""Spreads the returns of refused callers to when there is room for them.

Answers the load of a crowd that is refused at the same moment: with the same delay all of
it comes back at the same moment, and is refused again. Each refusal gets the next place
behind those given before, at the rate at which slots are left by other requests. Callers
who would not wait for the next place get none, and are spread over the time for which
they wait. The state is one time and a number for each service. It is lost with its
keeper; then the places begin anew at the expected wait.
"""

from __future__ import annotations

import attrs

HONOURED_FRACTION = 1 / 3
"""Part of its time left for which a caller waits before it returns, 0 to 1."""
SPREAD_STEP = 0.618
"""Step between two callers without a place, as a part of the second half of the time for
which they wait: any number of successive ones is spread evenly."""
LEAST_ROOM = 0.1
"""Part of the slots that is taken as room for returns under any load, 0 to 1; keeps the
delays finite."""


@attrs.define
class ReturnPlan:
    """Times at which refused callers of one service are asked to return."""

    _given_until_s: float = 0.0
    _without_place: int = 0

    def next_delay_s(
        self,
        wait_s: float,
        slots_per_s: float,
        arrivals_per_s: float,
        time_left_s: float,
        now_s: float,
    ) -> float:
        """Return the delay for one refused request (seconds).

        Args:
            wait_s: Expected wait for a slot (seconds).
            slots_per_s: Rate at which slots become free (count per second).
            arrivals_per_s: Rate at which other requests take them (count per second).
            time_left_s: Time until the deadline of the request (seconds).
            now_s: Current time (seconds).
        """
        delay_s = max(wait_s, self._given_until_s - now_s)
        honoured_s = HONOURED_FRACTION * time_left_s
        room_per_s = max(slots_per_s - arrivals_per_s, LEAST_ROOM * slots_per_s)
        if delay_s <= honoured_s and room_per_s > 0:
            self._given_until_s = now_s + delay_s + 1 / room_per_s
            return delay_s
        self._without_place += 1
        spread = self._without_place * SPREAD_STEP % 1
        return max(wait_s, honoured_s * (1 + spread) / 2)
