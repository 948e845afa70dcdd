"""Admits requests by the lots at hand, and asks homes for more."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.codes.limits import (
    BURST_TOO_SMALL,
    HOME_SILENT,
    OVER_RATE,
    SHARE_UNREACHABLE,
    SHARES_SUSPENDED,
)
from gentianfold.errors import CODES, Failure
from gentianfold.limits.admission import ADMITTED, Settled, Waiting
from gentianfold.limits.lot_table import HeldLot, LotRow, LotTable, PendingAsk
from gentianfold.limits.messages import Ask, Grant, Report

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from gentianfold.limits.admission import Admission
    from gentianfold.limits.messages import LotReport, Message
    from gentianfold.model import RateLimit

WAIT_S = 0.2
"""Time for which a request waits for its tokens."""

DETOUR_S = 1.0
"""Time for which another home is asked after one without a share."""

SWEEP_S = 0.02
"""Shortest time between two looks for lots that go back."""

RETURN_PART = 0.6
"""Part of a lot's lifetime after which unspent tokens go back."""


class HomeFinder(Protocol):
    """Names the VMs that may be the home of a bucket."""

    def homes_of(self, home_slot: int) -> list[str]:
        """Return the possible homes, the likeliest first."""
        ...


@attrs.define
class Ticket:
    """A request that waits."""

    number: int
    """Identifies it."""
    rows: tuple[LotRow, ...]
    """The buckets that it needs a token of."""
    deadline_s: float
    """When it is refused."""


@attrs.define
class AdmissionSystem:
    """Spends tokens of all limits of a request together, or none."""

    own_vm: str
    """Name of this VM."""
    homes: HomeFinder
    """Names possible homes."""
    send: Callable[[str, Message], None]
    """Sends a message to a VM."""
    table: LotTable = attrs.field(factory=LotTable)
    """The lots at hand."""
    limits_version: int = 0
    """Configuration version that the limits come from."""
    settled: list[Settled] = attrs.field(factory=list)
    """Outcomes that were not fetched yet."""
    tickets: dict[int, Ticket] = attrs.field(factory=dict)
    """Requests that wait, the oldest first."""
    _asks: dict[int, LotRow] = attrs.field(factory=dict)
    _with_lots: dict[bytes, LotRow] = attrs.field(factory=dict)
    _next_return_s: float = math.inf
    _numbers: itertools.count[int] = attrs.field(factory=lambda: itertools.count(1))

    @property
    def next_due_s(self) -> float:
        """Return when a request has waited too long or a lot goes back."""
        if not self.tickets:
            return self._next_return_s
        ticket = next(iter(self.tickets.values()))
        return min(ticket.deadline_s, self._next_return_s)

    def admit(
        self,
        customer: str,
        limits: Sequence[tuple[str, RateLimit]],
        now_s: float,
    ) -> Admission:
        """Admit a request, or have it wait for tokens."""
        rows = tuple(
            self.table.row(customer, name, limit, self.limits_version, now_s)
            for name, limit in limits
        )
        for row in rows:
            self.table.drop_ended(row, now_s)
        if all(row.tokens > len(row.waiting) for row in rows):
            self._spend(rows, now_s)
            return ADMITTED
        ticket = Ticket(next(self._numbers), rows, now_s + WAIT_S)
        self.tickets[ticket.number] = ticket
        for row in rows:
            row.waiting[ticket.number] = None
        for row in rows:
            failure = self._ask(row, now_s)
            if failure is not None:
                self._finish(ticket)
                return failure
        return Waiting(ticket.number, ticket.deadline_s)

    def on_grant(self, home: str, grant: Grant, now_s: float) -> None:
        """Take a lot in, or learn why there is none."""
        row = self._asks.pop(grant.ask_id, None)
        ask = row.pending.pop(grant.ask_id, None) if row else None
        if row is None or ask is None or ask.home != home:
            return
        if grant.tokens:
            self._take_lot(row, ask, grant, now_s)
        elif ask.need:
            self._on_refusal(row, ask, grant, now_s)
        self._ask(row, now_s)

    def step(self, now_s: float) -> None:
        """Refuse what waited too long and give unspent tokens back."""
        if now_s < self.next_due_s:
            return
        late = itertools.takewhile(
            lambda ticket: ticket.deadline_s <= now_s, list(self.tickets.values())
        )
        for ticket in late:
            self._fail(ticket, self._cause(ticket, now_s))
        self._drop_silent_asks(now_s)
        self._return_lots(now_s)

    def expire(self, now_s: float) -> None:
        """Forget idle buckets."""
        self.table.expire(now_s)

    def _take_lot(
        self, row: LotRow, ask: PendingAsk, grant: Grant, now_s: float
    ) -> None:
        # The lifetime counts from before the home granted: it ends here first.
        lifetime_s = 1e-3 * grant.time_ms
        end_s = ask.sent_s + lifetime_s
        if now_s >= end_s:
            return
        return_s = ask.sent_s + RETURN_PART * lifetime_s
        lot = HeldLot(
            grant.ask_id, ask.home, grant.tokens, end_s, return_s, grant.report_at_once
        )
        row.lots.append(lot)
        self._with_lots[row.key] = row
        self._next_return_s = min(self._next_return_s, return_s)
        self._serve(row, now_s)

    def _serve(self, row: LotRow, now_s: float) -> None:
        for number in list(row.waiting):
            self.table.drop_ended(row, now_s)
            if not row.tokens:
                return
            ticket = self.tickets[number]
            for other in ticket.rows:
                self.table.drop_ended(other, now_s)
            if all(other.tokens for other in ticket.rows):
                self._finish(ticket)
                self._spend(ticket.rows, now_s)
                self.settled.append(Settled(number, ADMITTED))

    def _spend(self, rows: tuple[LotRow, ...], now_s: float) -> None:
        for row in rows:
            lot = self.table.spend(row)
            if lot.report_at_once or lot.home == self.own_vm:
                reports = self.table.reports(row, lot.home)
                self.send(lot.home, Report(tuple((row.key, x) for x in reports)))
            stock = row.stock
            if stock and not row.pending and row.tokens < 0.5 * stock:
                self._send_ask(row, self.homes.homes_of(row.home_slot), 0, now_s)

    def _ask(self, row: LotRow, now_s: float) -> Failure | None:
        """Ask for what waiting requests lack; return why nobody can be asked."""
        need = row.uncovered
        if not need:
            return None
        homes = self.homes.homes_of(row.home_slot)
        if not homes:
            return Failure(SHARES_SUSPENDED, "no home is in sight", 1.0)
        self._send_ask(row, homes, need, now_s)
        return None

    def _send_ask(self, row: LotRow, homes: list[str], need: int, now_s: float) -> None:
        if not homes:
            return
        detour = row.detour if now_s < row.detour_until_s else 0
        home = homes[min(detour, len(homes) - 1)]
        number = next(self._numbers)
        row.pending[number] = PendingAsk(home, now_s, need)
        self._asks[number] = row
        self.send(
            home,
            Ask(
                number,
                row.key,
                need,
                max(0, row.stock - row.tokens),
                _compact(row.limit.rate_per_s),
                _compact(row.limit.burst),
                row.limits_version,
                self.table.reports(row, home),
            ),
        )

    def _on_refusal(
        self, row: LotRow, ask: PendingAsk, grant: Grant, now_s: float
    ) -> None:
        elsewhere = grant.code in (SHARE_UNREACHABLE.number, BURST_TOO_SMALL.number)
        homes = self.homes.homes_of(row.home_slot)
        detour = row.detour if now_s < row.detour_until_s else 0
        if elsewhere and detour + 1 < len(homes):
            row.detour, row.detour_until_s = detour + 1, now_s + DETOUR_S
            return
        failure = Failure(CODES.get(grant.code, OVER_RATE), "", 1e-3 * grant.time_ms)
        for number in list(itertools.islice(row.waiting, ask.need)):
            self._fail(self.tickets[number], failure)

    def _fail(self, ticket: Ticket, failure: Failure) -> None:
        self._finish(ticket)
        self.settled.append(Settled(ticket.number, failure))

    def _finish(self, ticket: Ticket) -> None:
        del self.tickets[ticket.number]
        for row in ticket.rows:
            row.waiting.pop(ticket.number, None)

    def _cause(self, ticket: Ticket, now_s: float) -> Failure:
        silent = next(
            (
                ask.home
                for row in ticket.rows
                for ask in row.pending.values()
                if ask.need and now_s - ask.sent_s >= 0.5 * WAIT_S
            ),
            None,
        )
        if silent is not None:
            return Failure(HOME_SILENT, f"{silent} gave no answer", 1.0)
        return Failure(OVER_RATE, "", WAIT_S)

    def _drop_silent_asks(self, now_s: float) -> None:
        old = [
            number
            for number, row in self._asks.items()
            if now_s - row.pending[number].sent_s > WAIT_S
        ]
        for number in old:
            del self._asks.pop(number).pending[number]

    def _return_lots(self, now_s: float) -> None:
        if now_s < self._next_return_s:
            return
        reports: dict[str, list[tuple[bytes, LotReport]]] = {}
        for key, row in list(self._with_lots.items()):
            for home, report in self.table.returns(row, now_s):
                reports.setdefault(home, []).append((key, report))
            if not row.lots:
                del self._with_lots[key]
        self._next_return_s = min(
            (
                max(lot.return_s, now_s + SWEEP_S)
                for row in self._with_lots.values()
                for lot in row.lots
            ),
            default=math.inf,
        )
        for home, lots in reports.items():
            self.send(home, Report(tuple(lots)))


def _compact(value: float) -> float:
    """Return whole numbers as integers, which take fewer bytes on the wire."""
    return int(value) if value == int(value) else value
