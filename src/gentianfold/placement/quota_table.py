"""Enforces the rate limits of customers, for the whole fleet or a share of it."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.customer_usage import CustomerUsage, TokenLot
from gentianfold.placement.lending import TokenRoom
from gentianfold.placement.slot_request import (
    LIMIT_ELSEWHERE_RETRY_S,
    RefusalReason,
    Refused,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.model import Customer, RateLimit

DEFAULT_WINDOW_S = 5.0
"""Length of the window in which requests are counted (seconds)."""
MAJORITY_SHARE = 0.5
"""Fraction of a limit from which a customer without tokens counts as over its rate."""
MIN_RETRY_AFTER_S = 0.1
"""Shortest retry delay in a refusal (seconds)."""
WHOLE_TOKEN_SHARE = 0.125
"""Smallest share that saves up one token where its part of the burst is less: as shares
add up to 1, at most eight holders exceed their parts, by one request each."""
LENDABLE_FRACTION = 0.5
"""Part of a customer's free tokens that may be lent ahead: requests of other VMs need
the rest."""
MIN_RATE_PER_S = 0.01
"""Lowest refill rate (requests per second); keeps the computed wait finite."""


@attrs.frozen
class _Cap:
    """Bound of all buckets at a change of the share."""

    number: int = 0
    """Caps recorded before (count)."""
    share: float = 0.0
    """No bucket had more than this part of its customer's burst."""
    share_s: float = 0.0
    """Integral of the share over time at the change (seconds)."""
    mature_share_s: float = 0.0
    """Integral of the mature share at the change (seconds)."""


@attrs.define
class QuotaTable:
    """A sliding window and a token bucket for each customer.

    The bucket refills at the customer's rate. A share of the limit that was held for a
    whole window also refills one burst per window, so that a customer above its limit
    is served evenly. A share that is new brings no tokens, since its last holder may
    have used them. In any window all holders together grant at most five quarters of
    rate times window plus burst, as long as their shares add up to 1, and exactly that
    without the quarter while the shares stay with their holders.
    """

    window_s: float = DEFAULT_WINDOW_S
    """Length of the window (seconds)."""
    waiting: Counter[str] = attrs.field(factory=Counter)
    """Queued requests that will take a token when they are sent, by customer."""
    is_growing: bool = False
    """Whether the share is expected to be 1 soon."""
    allowance: int = 0
    """Requests of each customer that may be sent before this table has any share (count):
    what the limits tolerate, and not what they allow."""
    _customers: Mapping[str, Customer] = attrs.field(factory=dict)
    _dropped: dict[str, Customer] = attrs.field(factory=dict)
    _usage: dict[str, CustomerUsage] = attrs.field(factory=dict)
    _share: float = 1.0
    _mature_share: float = 1.0
    _share_s: float = 0.0
    _mature_share_s: float = 0.0
    _updated_s: float | None = None
    _valid_until_s: float = math.inf
    _caps: list[_Cap] = attrs.field(factory=lambda: [_Cap()])
    _cap_number: int = 1

    @property
    def share(self) -> float:
        """Fraction of each limit that this table may grant, 0 to 1."""
        return self._share

    def set_share(
        self, share: float, mature_share: float, now_s: float, valid_s: float = math.inf
    ) -> None:
        """Set the fraction of each limit that this table may grant.

        Args:
            share: The fraction, 0 to 1.
            mature_share: The part of it that was held for a window or longer.
            now_s: Current time (seconds).
            valid_s: Time after which the share ends unless it is set again (seconds).
        """
        self._advance(now_s)
        if share != self._share:
            self._record_cap(min(share, self._share))
        self._share, self._mature_share = share, min(mature_share, share)
        self._valid_until_s = now_s + valid_s

    def replace_customers(self, customers: Mapping[str, Customer]) -> None:
        """Replace the limits.

        A customer that the new configuration lacks keeps its limit and its usage, as
        other VMs may still ask for it, or a later configuration may restore it: until
        the next replacement, and then until nothing is left of its usage.
        """
        before, self._customers = self._customers, customers
        now_s = self._updated_s or 0.0
        for name in [name for name in self._usage if name not in customers]:
            usage = self._usage[name]
            self._refill(usage, usage.limit)
            is_full = usage.tokens >= self._share_of(usage.limit.burst)
            is_used = not is_full or usage.count(now_s - self.window_s) > 0
            if name not in before and not is_used:
                del self._usage[name]
        self._dropped = {
            name: customer
            for name, customer in {**self._dropped, **before}.items()
            if name not in customers and (name in before or name in self._usage)
        }

    def has_limit(self, name: str) -> bool:
        """Tell whether a customer has a limit."""
        return self._limit(name) is not None

    def has_room(self, name: str, now_s: float) -> bool:
        """Tell whether a further request fits beside those that wait."""
        return self._has_tokens(name, self.waiting[name] + 1, now_s)

    def can_take(self, name: str, now_s: float) -> bool:
        """Tell whether the limit allows to send a request now."""
        return self._has_tokens(name, 1, now_s)

    def try_acquire(self, name: str, now_s: float) -> bool:
        """Count a request if the customer's limit allows it; always if it has none."""
        if not self._has_tokens(name, 1, now_s):
            return False
        usage = self._usage.get(name)
        if usage is not None:
            if self._share:
                usage.tokens -= 1
            else:
                usage.allowed += 1
            usage.taken_s.append(now_s)
        return True

    def refund(self, name: str, taken_s: float) -> None:
        """Undo the count of a request that was not sent.

        Args:
            name: The customer.
            taken_s: When the request was counted (seconds).
        """
        usage, limit = self._usage.get(name), self._limit(name)
        if usage is None or limit is None or taken_s not in usage.taken_s:
            return
        usage.taken_s.remove(taken_s)
        usage.tokens = min(usage.tokens + 1, self._share_of(limit.burst))

    def lend(self, name: str, count: int, until_s: float, now_s: float) -> TokenLot:
        """Take tokens out of the bucket that another VM may use until a time.

        Until they are settled, they count as used at that time. So direct requests and
        lots together keep to the limit in any window. If the share changes hands while
        lots are out, up to (rate + burst / window) times the term come on top.

        Args:
            name: The customer.
            count: Tokens that the other VM wants (count).
            until_s: When its use ends (seconds).
            now_s: Current time (seconds).

        Returns:
            The lot. It has all tokens if the customer has no limit, and none if the
            customer is near its limit.
        """
        if self._limit(name) is None:
            return TokenLot(count, until_s)
        has_tokens = self._has_tokens(name, 1, now_s)
        usage = self._usage[name]
        free = min(usage.tokens, self._room(usage, now_s)) - self.waiting[name]
        lent = min(count, int(free * LENDABLE_FRACTION))
        if not has_tokens or lent <= 0 or until_s <= now_s:
            return TokenLot(0, until_s, usage)
        lot = TokenLot(lent, until_s, usage, self._cap_number)
        usage.add_lot(lot)
        return lot

    def token_room(self, name: str, asking_vms: int, now_s: float) -> TokenRoom:
        """Return how many tokens of a customer could be lent.

        Args:
            name: The customer.
            asking_vms: VMs that had requests of the customer lately (count).
            now_s: Current time (seconds).
        """
        limit = self._limit(name)
        if limit is None:
            return TokenRoom(math.inf, 0, math.inf, asking_vms)
        self._has_tokens(name, 1, now_s)
        usage = self._usage[name]
        free = min(usage.tokens, self._room(usage, now_s)) - self.waiting[name]
        window_requests = self._share_of(limit.rate_per_s * self.window_s + limit.burst)
        return TokenRoom(free, usage.unsettled, window_requests, asking_vms)

    def settle(self, lot: TokenLot, used: int, returned: int, now_s: float) -> None:
        """Record what the holder of a lot tells before its end.

        Both numbers are totals since the lending, so a report that arrives twice or
        after a later one changes nothing. What is not told before the end counts as
        used at the end.

        Args:
            lot: The lot.
            used: Tokens used so far (count); they count as used now if they are new.
            returned: Tokens that the holder will not use (count).
            now_s: Current time (seconds).
        """
        usage = lot.usage
        if usage is None or now_s >= lot.until_s:
            return
        self._advance(now_s)
        self._refill(usage, usage.limit)
        tokens = usage.tokens + usage.settle(lot, used, returned, now_s)
        usage.tokens = self._bound(tokens, usage.limit, lot.cap_number)

    def retry_after_s(self, name: str, now_s: float, ahead: int | None = None) -> float:
        """Return the time until the customer's limit allows a request (seconds).

        Args:
            name: The customer.
            now_s: Current time (seconds).
            ahead: Requests that take their tokens before (count); ``None`` for those
                that have reserved them.
        """
        usage, limit = self._usage.get(name), self._limit(name)
        if usage is None or limit is None:
            return 0.0
        ahead = self.waiting[name] if ahead is None else ahead
        missing = ahead + 1 - usage.tokens
        if missing > 0:
            share = 1.0 if self.is_growing else self._share
            rate_per_s = share * limit.rate_per_s
            rate_per_s += self._mature_share * limit.burst / self.window_s
            return missing / max(rate_per_s, MIN_RATE_PER_S)
        if usage.taken_s:
            return max(0.0, usage.taken_s[0] + self.window_s - now_s)
        return 0.0

    def refuse(self, name: str, now_s: float) -> Refused:
        """Return the refusal of a request for which there is no token.

        A VM that holds the smaller part of a limit can't tell whether the customer is
        over it; other VMs may serve the request.
        """
        if self._share < MAJORITY_SHARE:
            return Refused(RefusalReason.LIMIT_ELSEWHERE, LIMIT_ELSEWHERE_RETRY_S)
        retry_after_s = max(self.retry_after_s(name, now_s), MIN_RETRY_AFTER_S)
        return Refused(RefusalReason.OVER_RATE, retry_after_s)

    def reset_usage(self, now_s: float) -> None:
        """Discard all usage and all tokens, as when other VMs lend their shares."""
        self._usage.clear()
        self.allowance = 0
        self._share = self._mature_share = 0.0
        self._share_s = self._mature_share_s = 0.0
        self._updated_s = now_s
        self._caps = [_Cap()]

    def _has_tokens(self, name: str, count: int, now_s: float) -> bool:
        limit = self._limit(name)
        if limit is None:
            return True
        self._advance(now_s)
        usage = self._usage.get(name)
        if usage is None:
            usage = self._usage[name] = CustomerUsage(limit)
        self._refill(usage, limit)
        is_valid = now_s <= self._valid_until_s
        has_room = self._room(usage, now_s) >= count
        if usage.tokens >= count and has_room:
            return is_valid
        has_allowance = not self._share and self.allowance - usage.allowed >= count
        return is_valid and has_allowance

    def _room(self, usage: CustomerUsage, now_s: float) -> float:
        """Return the requests for which the window has room."""
        limit = usage.limit
        allowed = self._share_of(limit.rate_per_s * self.window_s + limit.burst)
        return allowed - usage.count(now_s - self.window_s)

    def _limit(self, name: str) -> RateLimit | None:
        customer = self._customers.get(name) or self._dropped.get(name)
        return customer.limit if customer is not None else None

    def _advance(self, now_s: float) -> None:
        """Integrate the shares up to now, or to the end of their validity.

        The first call only starts the clock: before it the shares were not held.
        """
        if self._updated_s is None:
            self._updated_s = now_s
        elapsed_s = min(now_s, self._valid_until_s) - self._updated_s
        if elapsed_s > 0:
            self._share_s += self._share * elapsed_s
            self._mature_share_s += self._mature_share * elapsed_s
        self._updated_s = max(self._updated_s, now_s)

    def _record_cap(self, share: float) -> None:
        """Bound all buckets, those of customers not seen yet included, by a share."""
        level = share - self._mature_share_s / self.window_s
        # An earlier cap that is no lower now can't become the lowest one again.
        while self._caps and level <= (
            self._caps[-1].share - self._caps[-1].mature_share_s / self.window_s
        ):
            self._caps.pop()
        cap = _Cap(self._cap_number, share, self._share_s, self._mature_share_s)
        self._caps.append(cap)
        self._cap_number += 1

    def _refill(self, usage: CustomerUsage, limit: RateLimit) -> None:
        """Refill a bucket for the shares held since its last refill."""
        usage.limit = limit
        tokens = usage.tokens + self._added(limit, usage.share_s, usage.mature_share_s)
        if usage.cap_number != self._cap_number:
            tokens = self._bound(tokens, limit, usage.cap_number)
            usage.cap_number = self._cap_number
        usage.tokens = min(tokens, self._share_of(limit.burst))
        usage.share_s, usage.mature_share_s = self._share_s, self._mature_share_s

    def _bound(self, tokens: float, limit: RateLimit, cap_number: int) -> float:
        """Return what the present share and the caps from a number on allow."""
        for cap in reversed(self._caps):
            if cap.number < cap_number:
                break
            most = self._part_of(limit.burst, cap.share)
            most += self._added(limit, cap.share_s, cap.mature_share_s)
            tokens = min(tokens, most)
        return min(tokens, self._share_of(limit.burst))

    def _added(self, limit: RateLimit, share_s: float, mature_share_s: float) -> float:
        """Return the tokens added since the integrals had the given values."""
        added = (self._share_s - share_s) * limit.rate_per_s
        mature_s = self._mature_share_s - mature_share_s
        return added + mature_s * limit.burst / self.window_s

    def _share_of(self, requests: float) -> float:
        """Return this table's part of a number of requests."""
        return self._part_of(requests, self._share)

    @staticmethod
    def _part_of(requests: float, share: float) -> float:
        """Return the part of a number of requests that stands for a share."""
        least = 1.0 if share >= WHOLE_TOKEN_SHARE else 0.0
        return max(requests * share, least)
