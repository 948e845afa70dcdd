"""The tickets of a VM: requests that it asked to be admitted, and may run once."""

from __future__ import annotations

import enum
import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.requests import (
    COPIES_MISSING,
    IDEMPOTENCY_KEY_REUSED,
    KEY_HOME_IN_DOUBT,
    KEYED_IN_PROGRESS,
    KEYED_OUTCOME_UNKNOWN,
    LEDGER_FULL,
    RECORDS_LOST,
)
from gentianfold.errors import Failure
from gentianfold.requests.once.messages import AdmitReply, Verdict

if TYPE_CHECKING:
    from gentianfold.requests.once.interfaces import LedgerOptions
    from gentianfold.requests.once.records import Member, StoredAnswer

FAILURES = {
    Verdict.KEY_REUSED: IDEMPOTENCY_KEY_REUSED,
    Verdict.IN_PROGRESS: KEYED_IN_PROGRESS,
    Verdict.UNKNOWN: KEYED_OUTCOME_UNKNOWN,
    Verdict.IN_DOUBT: KEY_HOME_IN_DOUBT,
    Verdict.COPIES_MISSING: COPIES_MISSING,
    Verdict.FULL: LEDGER_FULL,
    Verdict.RECORDS_LOST: RECORDS_LOST,
}
"""What a caller gets for each verdict that is neither to run nor an answer."""
RETRY_AFTER_S = 1.0
"""Time after which a caller may repeat, if the home named none."""


class Permission(enum.Enum):
    """The decision that a request may be forwarded."""

    RUN = "run"
    """The request is recorded; ask ``may_run`` right before it is forwarded."""


@attrs.frozen
class Decided:
    """The decision on a request of this VM."""

    ticket: str
    """Identifies the request."""
    decision: Permission | StoredAnswer | Failure
    """What to do with it."""


class TicketState(enum.Enum):
    """How far a ticket got."""

    WAITING = "waiting"
    """The home was asked."""
    ALLOWED = "allowed"
    """The home said that the request may run."""
    RUNNING = "running"
    """The request was forwarded."""
    ABANDONED = "abandoned"
    """The request was refused and will not run."""


@attrs.define
class Ticket:
    """A row of the ticket table."""

    name: str
    """Identifies the request over all VMs and their incarnations."""
    customer: str
    """Name of the customer."""
    key: bytes
    """The idempotency key."""
    asked_at_s: float
    """When the home was asked."""
    gives_up_at_s: float
    """When the request is refused for want of an answer."""
    state: TicketState = TicketState.WAITING
    """How far it got."""


class TicketTable:
    """Remembers what this VM asked for, so that nothing is run on a late answer."""

    def __init__(self, me: Member, options: LedgerOptions) -> None:
        self._me = me
        self._options = options
        self._numbers = itertools.count(1)
        self._tickets: dict[str, Ticket] = {}

    def open(
        self, customer: str, key: bytes, gives_up_at_s: float, now_s: float
    ) -> Ticket:
        """Add a ticket that no VM ever used before."""
        name = f"{self._me.vm}/{self._me.incarnation}/{next(self._numbers)}"
        ticket = Ticket(name, customer, key, now_s, gives_up_at_s)
        self._tickets[name] = ticket
        return ticket

    def get(self, name: str) -> Ticket | None:
        """Return a ticket that was not closed."""
        return self._tickets.get(name)

    def answer(self, message: AdmitReply) -> Decided | None:
        """Return the decision that follows from the answer of the home, if any."""
        ticket = self._tickets.get(message.ticket)
        if ticket is None or ticket.state is not TicketState.WAITING:
            return None
        if message.verdict is Verdict.RUN:
            ticket.state = TicketState.ALLOWED
            return Decided(ticket.name, Permission.RUN)
        ticket.state = TicketState.ABANDONED
        if message.answer is not None:
            return Decided(ticket.name, message.answer)
        wait_s = message.retry_after_s or RETRY_AFTER_S
        failure = Failure(FAILURES[message.verdict], retry_after_s=wait_s)
        return Decided(ticket.name, failure)

    def is_abandoned(self, name: str) -> bool:
        """Return whether a ticket will certainly not run."""
        ticket = self._tickets.get(name)
        return ticket is not None and ticket.state is TicketState.ABANDONED

    def may_run(self, name: str, now_s: float) -> bool:
        """Return whether the request may be forwarded now, true once at most."""
        ticket = self._tickets.get(name)
        if ticket is None or ticket.state is not TicketState.ALLOWED:
            return False
        # The record is forgotten in the end: a VM that paused must not run it then.
        if now_s - ticket.asked_at_s >= self._options.ticket_limit_s:
            ticket.state = TicketState.ABANDONED
            return False
        ticket.state = TicketState.RUNNING
        return True

    def close(self, name: str) -> Ticket | None:
        """Forget a ticket whose request was forwarded and ended."""
        return self._tickets.pop(name, None)

    def give_up(self, now_s: float) -> list[Ticket]:
        """Abandon the tickets that waited too long, and return them."""
        late = [
            ticket
            for ticket in self._tickets.values()
            if ticket.state is TicketState.WAITING and now_s >= ticket.gives_up_at_s
        ]
        for ticket in late:
            ticket.state = TicketState.ABANDONED
        self._forget(now_s)
        return late

    def _forget(self, now_s: float) -> None:
        oldest_s = now_s - self._options.retention_s
        old = [
            ticket.name
            for ticket in self._tickets.values()
            if ticket.state is TicketState.ABANDONED and ticket.asked_at_s <= oldest_s
        ]
        for name in old:
            del self._tickets[name]
