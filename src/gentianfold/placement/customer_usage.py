"""Usage of one customer: its tokens, the requests counted, and lots lent ahead."""

from __future__ import annotations

import heapq
import math
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.model import RateLimit


@attrs.define
class CustomerUsage:
    """Bucket and window of one customer; times by the event loop (seconds)."""

    limit: RateLimit
    """The customer's limit when the bucket was last refilled."""
    tokens: float = math.inf
    """Tokens in the bucket; a request takes one."""
    share_s: float = 0.0
    """Integral of the share over time at the last refill (seconds)."""
    mature_share_s: float = 0.0
    """Integral of the mature share at the last refill (seconds)."""
    cap_number: int = 0
    """Caps that were recorded at the last refill (count)."""
    allowed: int = 0
    """Requests granted without a share of the limits (count)."""
    taken_s: deque[float] = attrs.field(factory=deque)
    """Times of the requests counted within the window (seconds), oldest first."""
    _lots: list[tuple[float, int, TokenLot]] = attrs.field(factory=list)
    _lot_count: int = 0
    _unsettled: int = 0

    @property
    def unsettled(self) -> int:
        """Tokens that other VMs may use, or may have used (count)."""
        return self._unsettled

    def count(self, after_s: float) -> int:
        """Return the requests later than a time; unsettled ones count at their end."""
        while self.taken_s and self.taken_s[0] <= after_s:
            self.taken_s.popleft()
        while self._lots and self._lots[0][0] <= after_s:
            self._unsettled -= heapq.heappop(self._lots)[2].unsettled
        return len(self.taken_s) + self._unsettled

    def add_lot(self, lot: TokenLot) -> None:
        """Take the tokens of a lot out of the bucket."""
        self.tokens -= lot.count
        self._unsettled += lot.count
        self._lot_count += 1
        heapq.heappush(self._lots, (lot.until_s, self._lot_count, lot))

    def settle(self, lot: TokenLot, used: int, returned: int, now_s: float) -> int:
        """Record totals that the holder of a lot tells before its end.

        Returns:
            Tokens that came back (count), which the bucket does not have yet.
        """
        newly_used = min(max(used - lot.used, 0), lot.unsettled)
        lot.used += newly_used
        self.taken_s.extend([now_s] * newly_used)
        newly_returned = min(max(returned - lot.returned, 0), lot.unsettled)
        lot.returned += newly_returned
        self._unsettled -= newly_used + newly_returned
        return newly_returned


@attrs.define(eq=False, repr=False)
class TokenLot:
    """Tokens that another VM may use until a time by the lender's clock.

    The holder must not use them later by any clock: it counts the term from the moment
    at which it asked, on a clock that advances while it is suspended.
    """

    count: int
    """Tokens that were lent; 0 if there were none to spare."""
    until_s: float
    """End of the term (event loop time of the lender, seconds)."""
    usage: CustomerUsage | None = None
    """Usage in which they count; ``None`` if the customer has no limit."""
    cap_number: int = 0
    """Caps of the lender's table that were recorded before (count)."""
    used: int = 0
    """Tokens of which the lender knows that they were used (count)."""
    returned: int = 0
    """Tokens that came back unused (count)."""

    @property
    def unsettled(self) -> int:
        """Tokens that the holder may use, or may have used (count)."""
        return self.count - self.used - self.returned
