"""Tokens of customers' rate limits that the broker has lent to this VM.

The broker lends tokens in lots, each for a short term. With its heartbeats the VM tells
what it has used of each lot, and at the end of a lot what was left. A token that is lost
on its way, or of which the broker hears nothing, counts as used.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter
from typing import TYPE_CHECKING

import attrs

from gentianfold.clock import MAX_CLOCK_RATE_ERROR
from gentianfold.fleet.arrival_rate import ArrivalRates
from gentianfold.fleet.process_number import first_identifier
from gentianfold.fleet.token_ask import LotReport, TokenAsk

if TYPE_CHECKING:
    from collections.abc import Iterable

LOT_TERM_S = 1.0
"""Time for which the broker counts the tokens of a lot as held (seconds): two and a half
heartbeat intervals."""
MAX_WISHES = 40
"""Customers for which a VM asks for tokens in a heartbeat (count); those with most
requests."""
MAX_PENDING_ASKS = 8
"""Asks whose answers are still taken (count): more than a broker leaves unanswered
before it counts as failed."""


@attrs.define(eq=False, repr=False)
class _Lot:
    """Tokens that may be used until the end of their term."""

    until_s: float
    tokens: dict[str, int]
    used: Counter[str] = attrs.field(factory=Counter)
    ended_with: int | None = None
    """Ask that told of its end; ``None`` before."""


@attrs.define(eq=False, repr=False)
class TokenStock:
    """The lots that this VM holds, and its demand.

    Times are those of a clock that advances while the VM is suspended.
    """

    _broker: str = ""
    _lots: dict[int, _Lot] = attrs.field(factory=dict)
    _last_ask: int = attrs.field(factory=first_identifier)
    _asked_s: dict[int, float] = attrs.field(factory=dict)
    _rates: ArrivalRates = attrs.field(factory=ArrivalRates)

    def record_arrival(self, customer: str, now_s: float) -> None:
        """Count a request of a customer with a limit."""
        self._rates.record(customer, now_s)

    def take(self, customer: str, now_s: float) -> bool:
        """Use a token of a customer if the VM holds one."""
        for lot in self._lots.values():
            if now_s < lot.until_s and lot.tokens.get(customer, 0) > lot.used[customer]:
                lot.used[customer] += 1
                return True
        return False

    def ask(self, broker: str, now_s: float, is_wishing: bool = True) -> TokenAsk:
        """Report on the lots of a broker, with a heartbeat to it.

        Args:
            broker: Address of the broker.
            now_s: Current time (seconds).
            is_wishing: Whether to ask for further tokens.
        """
        if broker != self._broker:
            # Lots of the former broker are used until they end.
            self._broker = broker
            self._asked_s.clear()
        self._last_ask += 1
        self._asked_s[self._last_ask] = now_s
        self._asked_s.pop(self._last_ask - MAX_PENDING_ASKS, None)
        reports = tuple(
            self._report(number, lot, now_s) for number, lot in self._lots.items()
        )
        wishes = self._wishes(now_s) if is_wishing else ()
        return TokenAsk(self._last_ask, reports, wishes)

    def _report(self, number: int, lot: _Lot, now_s: float) -> LotReport:
        is_final = now_s >= lot.until_s
        if is_final and lot.ended_with is None:
            lot.ended_with = self._last_ask
        return LotReport(number, is_final, tuple(lot.used.items()))

    def _wishes(self, now_s: float) -> tuple[tuple[str, int], ...]:
        ranked = sorted(self._rates.recent(now_s), key=lambda item: -item[1])
        return tuple(
            (customer, math.ceil(per_s * LOT_TERM_S))
            for customer, per_s in itertools.islice(ranked, MAX_WISHES)
        )

    def receive(
        self, broker: str, number: int, tokens: Iterable[tuple[str, int]]
    ) -> None:
        """Take over the lot that answers an ask; it may be empty.

        Its term runs from the time of the ask, so it ends on this VM before the broker
        counts its tokens as used.

        Args:
            broker: Address of the broker.
            number: Number of the ask.
            tokens: Customer and number of tokens.
        """
        asked_s = self._asked_s.pop(number, None)
        if asked_s is None or broker != self._broker:
            return
        self._lots = {
            key: lot
            for key, lot in self._lots.items()
            if lot.ended_with is None or lot.ended_with > number
        }
        lent = dict(tokens)
        if lent:
            until_s = asked_s + LOT_TERM_S * (1 - 2 * MAX_CLOCK_RATE_ERROR)
            self._lots[number] = _Lot(until_s, lent)

    def clear(self) -> None:
        """Forget all lots, as when this VM becomes the broker itself."""
        self._lots.clear()
        self._asked_s.clear()
