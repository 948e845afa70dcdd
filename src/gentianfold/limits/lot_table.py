"""Lots that this VM holds, and the requests that wait for one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
from xxhash import xxh3_64_digest

from gentianfold.limits.messages import LotReport
from gentianfold.limits.slot_map import HOME_SLOTS, slot_of_key

if TYPE_CHECKING:
    from gentianfold.model import RateLimit

DEMAND_WINDOW_S = 2.0
"""Time constant over which demand is averaged."""

STOCK_S = 0.25
"""Expected demand that a lot should last for."""

MIN_STOCKED_RATE = 2.0
"""Demand in requests a second from which tokens are asked for in advance."""

IDLE_ROW_S = 10.0
"""Time without requests after which a row is forgotten."""


@attrs.define
class HeldLot:
    """Tokens that a home handed to this VM."""

    ask_id: int
    """Identifies the lot."""
    home: str
    """The home."""
    tokens: int
    """Tokens left."""
    end_s: float
    """When they may no longer be spent."""
    return_s: float
    """When unspent tokens go back."""
    report_at_once: bool
    """Whether the home wants to know of each spent token without delay."""
    spent: int = 0
    """Tokens spent."""
    reported: int = 0
    """Spent tokens that the home was told of."""


@attrs.define
class PendingAsk:
    """An ask that was not answered yet."""

    home: str
    """The home."""
    sent_s: float
    """When it was sent."""
    need: int
    """Waiting requests that it asks for."""


@attrs.define
class LotRow:
    """What this VM holds of one customer's bucket."""

    key: bytes
    """Digest of the bucket key."""
    home_slot: int
    """Home slot that the key falls into."""
    limit: RateLimit
    """Limit of the latest request."""
    limits_version: int
    """Configuration version that the limit comes from."""
    used_s: float
    """Time of the latest request."""
    demand_per_s: float = 0.0
    """Recent requests each second."""
    lots: list[HeldLot] = attrs.field(factory=list)
    """Lots, the oldest first."""
    pending: dict[int, PendingAsk] = attrs.field(factory=dict)
    """Unanswered asks by number."""
    waiting: dict[int, None] = attrs.field(factory=dict)
    """Tickets of requests that wait for this bucket, in order."""
    detour_until_s: float = -math.inf
    """Until when another home than the first is asked."""
    detour: int = 0
    """Which of the possible homes is asked meanwhile."""

    @property
    def tokens(self) -> int:
        """Return the tokens left in all lots."""
        return sum(lot.tokens for lot in self.lots)

    @property
    def uncovered(self) -> int:
        """Return the waiting requests that no ask and no token is there for."""
        asked = sum(ask.need for ask in self.pending.values())
        return max(0, len(self.waiting) - asked - self.tokens)

    @property
    def stock(self) -> int:
        """Return the tokens that this VM would like to hold in advance."""
        if self.demand_per_s < MIN_STOCKED_RATE:
            return 0
        return math.ceil(self.demand_per_s * STOCK_S)


@attrs.define
class LotTable:
    """Rows of lots by customer and limit name."""

    rows: dict[tuple[str, str], LotRow] = attrs.field(factory=dict)
    """The buckets that this VM met lately."""
    by_key: dict[bytes, LotRow] = attrs.field(factory=dict)
    """The same rows by digest."""

    def row(
        self,
        customer: str,
        limit_name: str,
        limit: RateLimit,
        limits_version: int,
        now_s: float,
    ) -> LotRow:
        """Return the row of a bucket and count a request for it."""
        row = self.rows.get((customer, limit_name))
        if row is None:
            key = xxh3_64_digest(f"{customer}\0{limit_name}".encode())
            slot = slot_of_key(key, HOME_SLOTS)
            row = LotRow(key, slot, limit, limits_version, now_s)
            self.rows[customer, limit_name] = self.by_key[key] = row
        decay = math.exp((row.used_s - now_s) / DEMAND_WINDOW_S)
        row.demand_per_s = row.demand_per_s * decay + 1.0 / DEMAND_WINDOW_S
        row.limit, row.limits_version = limit, limits_version
        row.used_s = now_s
        return row

    def drop_ended(self, row: LotRow, now_s: float) -> None:
        """Drop the lots whose tokens may no longer be spent."""
        if row.lots and row.lots[0].end_s <= now_s or len(row.lots) > 1:
            row.lots = [lot for lot in row.lots if lot.end_s > now_s]

    def spend(self, row: LotRow) -> HeldLot:
        """Spend one token of the oldest lot that has one."""
        lot = next(lot for lot in row.lots if lot.tokens)
        lot.tokens -= 1
        lot.spent += 1
        return lot

    def reports(self, row: LotRow, home: str) -> tuple[LotReport, ...]:
        """Return what a home should know of its lots; used up ones are dropped."""
        changed = [
            lot for lot in row.lots if lot.home == home and lot.spent > lot.reported
        ]
        for lot in changed:
            lot.reported = lot.spent
        row.lots = [lot for lot in row.lots if lot.tokens]
        return tuple(LotReport(x.ask_id, x.spent, not x.tokens) for x in changed)

    def returns(self, row: LotRow, now_s: float) -> list[tuple[str, LotReport]]:
        """Give back the lots that stayed unspent; used up ones are dropped."""
        self.drop_ended(row, now_s)
        if row.waiting:
            return []
        old = [lot for lot in row.lots if lot.return_s <= now_s]
        row.lots = [lot for lot in row.lots if lot.return_s > now_s]
        return [
            (lot.home, LotReport(lot.ask_id, lot.spent, True))
            for lot in old
            if lot.tokens or lot.spent > lot.reported
        ]

    def expire(self, now_s: float) -> None:
        """Forget the rows that were not used for a while."""
        idle = [
            name
            for name, row in self.rows.items()
            if now_s > row.used_s + IDLE_ROW_S and not row.waiting and not row.lots
        ]
        for name in idle:
            del self.by_key[self.rows.pop(name).key]
