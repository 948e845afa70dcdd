"""Lends tokens to the members of the fleet, and tells for how long slots are lent."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.arrival_rate import ArrivalRates
from gentianfold.fleet.token_stock import LOT_TERM_S
from gentianfold.placement.lending import LendingPolicy, ServiceRoom

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.fleet.token_ask import TokenAsk
    from gentianfold.placement.customer_usage import TokenLot
    from gentianfold.placement.quota_table import QuotaTable

RENEWAL_S = 0.45
"""Time left of a lot below which its tokens are replaced (seconds): until the VM's next
heartbeat."""
REPORT_S = 0.6
"""Time after a lot's term within which the VM tells what it has not used (seconds): a
heartbeat interval and retries."""
_ALL = ""


@attrs.define(eq=False, repr=False)
class _Lot:
    """Tokens that a VM may use until the end of a term, by customer."""

    until_s: float
    tokens: dict[str, TokenLot]

    def unused(self, customer: str) -> int:
        """Return the tokens of a customer that may be used yet (count)."""
        tokens = self.tokens.get(customer)
        return tokens.unsettled if tokens is not None else 0


@attrs.define(eq=False, repr=False)
class _Borrower:
    """Lots and wishes of one VM."""

    last_ask: int = 0
    lots: dict[int, _Lot] = attrs.field(factory=dict)
    wishes: dict[str, int] = attrs.field(factory=dict)


@attrs.define(eq=False, repr=False)
class Lender:
    """Decides on loans by the load of this VM and keeps the lots of each VM."""

    quota: QuotaTable
    """Limits of the customers."""
    cpu_share: float = 1.0
    """CPU share of this VM (cores)."""
    policy: LendingPolicy = attrs.field(factory=LendingPolicy)
    """Terms of the loans."""
    lent_count: int = 0
    """Tokens lent since the start (count)."""
    _placements: ArrivalRates = attrs.field(factory=ArrivalRates)
    _borrowers: dict[str, _Borrower] = attrs.field(factory=dict)
    _asking_vms: Counter[str] = attrs.field(factory=Counter)

    def count_placements(self, now_s: float) -> None:
        """Count a placement that the broker decided or a member reported."""
        self._placements.record(_ALL, now_s)

    def load(self, now_s: float) -> float:
        """Return the load that all placements would put on this VM, 1 being full."""
        per_s = self._placements.per_s(_ALL, now_s)
        return self.policy.load(per_s, self.cpu_share)

    def slot_term_s(self, room: ServiceRoom, now_s: float) -> float:
        """Return the term of a slot that is granted now (seconds); 0 for one request."""
        return self.policy.slot_term_s(self.load(now_s), room)

    def may_recall(self, room: ServiceRoom) -> bool:
        """Tell whether this VM can decide often enough to reach all upstreams."""
        return self.policy.may_recall(room.upstreams, self.cpu_share)

    def answer(
        self, vm: str, ask: TokenAsk, now_s: float
    ) -> tuple[tuple[str, int], ...]:
        """Settle the lots of a VM and lend it further tokens.

        Args:
            vm: Address of the VM.
            ask: What its heartbeat tells.
            now_s: Current time (seconds).

        Returns:
            Customers and tokens of the lot that answers the ask.
        """
        borrower = self._borrowers.setdefault(vm, _Borrower())
        if ask.number <= borrower.last_ask:
            # A heartbeat that was overtaken or doubled.
            return ()
        borrower.last_ask = ask.number
        self._settle(borrower, ask, now_s)
        self._asking_vms.subtract(borrower.wishes.keys())
        borrower.wishes = dict(ask.wishes)
        self._asking_vms.update(borrower.wishes.keys())
        tokens = dict(self._lend(borrower, now_s))
        if tokens:
            borrower.lots[ask.number] = _Lot(now_s + LOT_TERM_S, tokens)
        return tuple((customer, lot.count) for customer, lot in tokens.items())

    def _settle(self, borrower: _Borrower, ask: TokenAsk, now_s: float) -> None:
        for report in ask.lots:
            lot = borrower.lots.get(report.number)
            if lot is None:
                continue
            used = dict(report.used)
            for customer, tokens in lot.tokens.items():
                count = used.get(customer, 0)
                returned = tokens.count - count if report.is_final else 0
                self.quota.settle(tokens, count, returned, now_s)
        borrower.lots = {
            number: lot
            for number, lot in borrower.lots.items()
            if now_s < lot.until_s + REPORT_S
        }

    def _lend(
        self, borrower: _Borrower, now_s: float
    ) -> Iterator[tuple[str, TokenLot]]:
        load = self.load(now_s)
        if not self.policy.eagerness(load):
            return
        renewed_s = now_s + RENEWAL_S
        held = [lot for lot in borrower.lots.values() if lot.until_s > renewed_s]
        for customer, wish in borrower.wishes.items():
            wanted = wish - sum(lot.unused(customer) for lot in held)
            if wanted <= 0:
                continue
            room = self.quota.token_room(customer, self._asking_vms[customer], now_s)
            count = self.policy.tokens(load, room, wanted)
            if not count:
                continue
            until_s = now_s + LOT_TERM_S + REPORT_S
            lot = self.quota.lend(customer, count, until_s, now_s)
            if lot.count:
                self.lent_count += lot.count
                yield customer, lot

    def remove(self, vm: str) -> None:
        """Forget a VM that was restarted or has left; its lots count until they end."""
        borrower = self._borrowers.pop(vm, None)
        if borrower is not None:
            self._asking_vms.subtract(borrower.wishes.keys())

    def clear(self) -> None:
        """Forget all VMs, as when this VM becomes or ceases to be the broker."""
        self._borrowers.clear()
        self._asking_vms.clear()
