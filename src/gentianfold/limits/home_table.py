"""Buckets of which this VM is the home."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from gentianfold.clock import MAX_CLOCK_RATE_ERROR
from gentianfold.limits.lot_policy import LotPolicy, StandardLotPolicy
from gentianfold.limits.slot_map import HOME_SLOTS, slot_of_key
from gentianfold.limits.timing import lot_end_s
from gentianfold.model import RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.limits.messages import LotReport
    from gentianfold.limits.pledge_table import PledgeTable

IDLE_ROW_S = 30.0
"""Time without use after which a full bucket is forgotten."""

ROUNDING = 1e-9
"""Part of a token by which a level may miss a whole token."""


@attrs.define
class IssuedLot:
    """Tokens handed to another VM that may still be spent there."""

    tokens: int
    """Tokens not known to be spent."""
    granted: int
    """Tokens of the lot when it was issued."""
    end_s: float
    """When they are surely over."""


@attrs.define
class QueuedAsk:
    """An ask that waits for the bucket to refill."""

    vm: str
    """The VM that asked."""
    ask_id: int
    """Identifies the ask."""
    need: int
    """Tokens for requests that wait there."""
    want: int
    """Further tokens that would be welcome."""
    deadline_s: float
    """When the ask is refused."""


@attrs.define
class Bucket:
    """The part of one customer's bucket that is pledged to this VM."""

    key: bytes
    """Digest of the bucket key."""
    home_slot: int
    """Home slot that the key falls into."""
    limit: RateLimit
    """Limit in force."""
    limits_version: int
    """Configuration version that the limit comes from."""
    settled_s: float
    """Time up to which the level is computed."""
    used_s: float
    """Time of the latest ask."""
    level: float = 0.0
    """Tokens that may be handed out."""
    outstanding: int = 0
    """Tokens in issued lots that are not known to be spent."""
    lots: dict[tuple[str, int], IssuedLot] = attrs.field(factory=dict)
    """Issued lots by VM and ask."""
    queue: deque[QueuedAsk] = attrs.field(factory=deque)
    """Asks that wait."""


@attrs.define
class HomeTable:
    """Rows of buckets by the digest of their key.

    For each bucket, level and outstanding tokens together never exceed the pledged
    part of the burst, so that tokens spent late don't meet a bucket that refilled
    in the meantime.
    """

    pledges: PledgeTable
    """Pledges that the levels rest on."""
    start_s: float
    """Time from which buckets refill: lots of an earlier incarnation are over."""
    policy: LotPolicy = attrs.field(factory=StandardLotPolicy)
    """Sizes and lifetimes of lots."""
    rows: dict[bytes, Bucket] = attrs.field(factory=dict)
    """The buckets in use."""
    waiting: dict[bytes, float] = attrs.field(factory=dict)
    """Buckets whose queue is not empty, and when to look at it again."""

    def bucket(
        self, key: bytes, limit: RateLimit, limits_version: int, now_s: float
    ) -> Bucket:
        """Return the settled bucket of a key under the latest limit known."""
        self.lapse(now_s)
        row = self.rows.get(key)
        if row is None:
            slot = slot_of_key(key, HOME_SLOTS)
            level = self.pledges.unused_level(slot, self._filling(limit, now_s))
            row = Bucket(key, slot, limit, limits_version, now_s, now_s, level)
            self.rows[key] = row
        elif limits_version > row.limits_version:
            self.settle(row, now_s)
            row.limit, row.limits_version = limit, limits_version
        self.settle(row, now_s)
        row.used_s = now_s
        return row

    def settle(self, row: Bucket, now_s: float) -> None:
        """Refill a bucket up to now and cut it to what its share may hold."""
        self._end_lots(row, now_s)
        share = self.pledges.share(row.home_slot)
        since_s = max(row.settled_s, self.start_s)
        refill = max(0.0, now_s - since_s) * row.limit.rate_per_s * share
        row.settled_s = max(row.settled_s, now_s)
        room = row.limit.burst * share - row.outstanding
        # The own clock may be fast by the error that clocks are allowed.
        level = row.level + refill / (1.0 + MAX_CLOCK_RATE_ERROR)
        row.level = max(0.0, min(level, room))

    def settle_all(self, now_s: float) -> None:
        """Settle every bucket, because shares are about to change or have changed."""
        for row in self.rows.values():
            self.settle(row, now_s)

    def lapse(self, now_s: float) -> None:
        """Stop refilling from pledges that have ended."""
        if now_s < self.pledges.next_end_s:
            return
        end_s = self.pledges.find_next_end()
        if now_s < end_s:
            return
        # Between the first end and now no bucket refills: pledges that last longer
        # would add little, and every bucket must be cut at the lower share.
        self.settle_all(end_s)
        self.pledges.drop_ended(now_s)
        for row in self.rows.values():
            row.settled_s = max(row.settled_s, now_s)
        self.settle_all(now_s)

    def take(self, row: Bucket) -> bool:
        """Spend a token at once, for a request on this VM."""
        if row.level < 1.0 - ROUNDING:
            return False
        row.level = max(0.0, row.level - 1.0)
        return True

    def issue(
        self,
        row: Bucket,
        vm: str,
        ask_id: int,
        tokens: int,
        lifetime_s: float,
        now_s: float,
    ) -> None:
        """Move tokens from the level to a lot."""
        row.level = max(0.0, row.level - tokens)
        row.outstanding += tokens
        end_s = now_s + lot_end_s(lifetime_s)
        row.lots[vm, ask_id] = IssuedLot(tokens, tokens, end_s)

    def on_report(self, vm: str, key: bytes, report: LotReport, now_s: float) -> None:
        """Take spent tokens off a lot and returned ones back into the level."""
        row = self.rows.get(key)
        lot = row.lots.get((vm, report.ask_id)) if row else None
        if row is None or lot is None:
            return
        self.lapse(now_s)
        self.settle(row, now_s)
        if (vm, report.ask_id) not in row.lots:
            return
        left = min(lot.tokens, lot.granted - report.spent)
        row.outstanding -= lot.tokens - left
        lot.tokens = left
        if report.closed:
            row.outstanding -= left
            row.level += left
            del row.lots[vm, report.ask_id]

    def next_token_s(self, row: Bucket) -> float | None:
        """Return the time until the bucket holds a token; ``None`` for never."""
        share = self.pledges.share(row.home_slot)
        rate_per_s = row.limit.rate_per_s * share / (1.0 + MAX_CLOCK_RATE_ERROR)
        if row.limit.burst * share < 1.0 - ROUNDING or rate_per_s <= 0.0:
            return None
        wait_s = max(0.0, 1.0 - row.level) / rate_per_s
        if row.limit.burst * share - row.outstanding >= 1.0 - ROUNDING:
            return wait_s
        ends_s = min((lot.end_s for lot in row.lots.values()), default=row.settled_s)
        return max(wait_s, ends_s - row.settled_s)

    def expire(self, now_s: float) -> None:
        """Forget buckets that are full and have not been used for a while."""
        idle = [
            row
            for row in self.rows.values()
            if not row.queue and now_s > row.used_s + IDLE_ROW_S
        ]
        for row in idle:
            self.settle(row, now_s)
            # A bucket that is met again counts as unused, so it must be full now.
            full = row.limit.burst * self.pledges.share(row.home_slot)
            if row.level >= full - ROUNDING and not row.lots:
                del self.rows[row.key]

    def _filling(self, limit: RateLimit, now_s: float) -> Callable[[float], float]:
        rate_per_s = limit.rate_per_s / (1.0 + MAX_CLOCK_RATE_ERROR)

        def level_after(since_s: float) -> float:
            age_s = max(0.0, now_s - max(since_s, self.start_s))
            return min(limit.burst, age_s * rate_per_s)

        return level_after

    def _end_lots(self, row: Bucket, now_s: float) -> None:
        if not row.lots:
            return
        for name in [n for n, lot in row.lots.items() if lot.end_s <= now_s]:
            row.outstanding -= row.lots.pop(name).tokens
