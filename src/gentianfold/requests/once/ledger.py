"""The ledger of idempotency keys on one VM: asks, admits and holds copies.

Pure: time and messages come in, messages and decisions go out. Safety rests on three
things. A ticket is run by the VM that opened it and at most once. Its home answers
only after enough VMs hold the record and its possession of the slot still holds. And
the next possessor admits nothing before it heard enough VMs to know every record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.codes.requests import KEY_HOME_IN_DOUBT
from gentianfold.errors import Failure
from gentianfold.requests.once._record_table import RecordTable
from gentianfold.requests.once.handover import Handover
from gentianfold.requests.once.home import KeyHome, slot_key
from gentianfold.requests.once.interfaces import LedgerOptions, Send
from gentianfold.requests.once.messages import (
    Admit,
    AdmitReply,
    Collect,
    Collected,
    CopyHeld,
    CopyRecord,
    Departed,
    DropCopy,
    Finish,
    Message,
    RunResult,
    Verdict,
)
from gentianfold.requests.once.records import CopyRule
from gentianfold.requests.once.tickets import (
    RETRY_AFTER_S,
    Decided,
    Ticket,
    TicketTable,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.requests.once.interfaces import Roster, SlotAuthority
    from gentianfold.requests.once.records import Member, StoredAnswer

Effect = Send | Decided
"""What the owner of a ledger does for it: send a message, or act on a decision."""


class OnceLedger:
    """The part of one VM in running each keyed request at most once."""

    def __init__(
        self,
        me: Member,
        authority: SlotAuthority,
        roster: Roster,
        rule: CopyRule | None = None,
        options: LedgerOptions | None = None,
    ) -> None:
        self.me = me
        self.options = options or LedgerOptions()
        self._authority = authority
        self._roster = roster
        self._table = RecordTable(self.options.retention_s, self.options.max_records)
        self._rule = rule or CopyRule()
        self._tickets = TicketTable(me, self.options)
        self._handover: Handover | None = None
        self._home = KeyHome(
            me, self._table, authority, roster, self._rule, self.options
        )

    def __len__(self) -> int:
        return len(self._table)

    def open(
        self,
        customer: str,
        key: bytes,
        digest: bytes,
        gives_up_at_s: float,
        now_s: float,
    ) -> tuple[str, list[Effect]]:
        """Ask for the admission of a request.

        Args:
            customer: Name of the customer.
            key: Its idempotency key.
            digest: Digest of everything that makes the request the same as another.
            gives_up_at_s: When to refuse the request for want of an answer.
            now_s: The time.

        Returns:
            The ticket, and what to do. The decision comes with this or a later call.
        """
        ticket = self._tickets.open(customer, key, gives_up_at_s, now_s)
        home = self._home_vm(customer, key, now_s)
        if home is None:
            return ticket.name, self._in_doubt(ticket.name, now_s)
        ask = Admit(ticket.name, customer, key, digest)
        return ticket.name, self._route([Send(home, ask)], now_s)

    def may_run(self, ticket: str, now_s: float) -> bool:
        """Return whether the request may be forwarded now; true once at most.

        After ``False`` the request was not run and never will be.
        """
        return self._tickets.may_run(ticket, now_s)

    def finish(
        self,
        ticket: str,
        result: RunResult,
        answer: StoredAnswer | None,
        now_s: float,
    ) -> list[Effect]:
        """Tell the home what became of a request that was allowed to run."""
        closed = self._tickets.close(ticket)
        if closed is None:
            return []
        if answer is not None and len(answer.body) > self.options.answer_limit_bytes:
            answer = None
        return self._tell_home(closed, result, answer, now_s)

    def handle(self, vm: str, message: Message, now_s: float) -> list[Effect]:
        """Take a message of another VM."""
        return self._route(self._handle(vm, message, now_s), now_s)

    def tick(self, now_s: float) -> list[Effect]:
        """Act on time that passed; call it several times a second."""
        self._table.expire(now_s)
        effects = self._route(self._home.tick(now_s), now_s)
        if self._handover is not None:
            effects += self._route(self._handover.step(now_s), now_s)
        for ticket in self._tickets.give_up(now_s):
            effects.append(Decided(ticket.name, in_doubt()))
            effects += self._tell_home(ticket, RunResult.NOT_RUN, None, now_s)
        return effects

    def stop(self) -> None:
        """Begin a planned stop; later calls of ``tick`` hand the records over.

        Requests of this VM are over by then. It takes no copies any more, since
        nobody would count on it for them once it has told that it leaves.
        """
        if self._handover is None:
            self._home.stop()
            self._handover = Handover(self.me, self._table, self._roster, self._rule)

    def stopped(self) -> bool:
        """Return whether no record depends on this VM any more."""
        return self._handover is not None and self._handover.finished

    def _home_vm(self, customer: str, key: bytes, now_s: float) -> str | None:
        found = self._authority.authority(slot_key(customer, key), now_s)
        if isinstance(found, Failure):
            return None
        return getattr(found, "vm", self.me.vm)

    def _in_doubt(self, ticket: str, now_s: float) -> list[Effect]:
        reply = AdmitReply(ticket, Verdict.IN_DOUBT)
        return self._route([Send(self.me.vm, reply)], now_s)

    def _tell_home(
        self,
        ticket: Ticket,
        result: RunResult,
        answer: StoredAnswer | None,
        now_s: float,
    ) -> list[Effect]:
        home = self._home_vm(ticket.customer, ticket.key, now_s)
        if home is None:
            return []
        message = Finish(ticket.name, ticket.customer, ticket.key, result, answer)
        return self._route([Send(home, message)], now_s)

    def _route(self, effects: Iterable[Effect], now_s: float) -> list[Effect]:
        """Handle at once what this VM sends to itself."""
        routed: list[Effect] = []
        queue = list(effects)
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, Send) and effect.vm == self.me.vm:
                queue += self._handle(effect.vm, effect.message, now_s)
            else:
                routed.append(effect)
        return routed

    def _handle(self, vm: str, message: Message, now_s: float) -> list[Effect]:
        match message:
            case Admit():
                return [*self._home.admit(vm, message, now_s)]
            case AdmitReply():
                return self._answered(vm, message)
            case Finish():
                return [*self._home.finish(message, now_s)]
            case CopyRecord():
                return self._hold(vm, message, now_s)
            case Departed():
                self._roster.depart(message.member)
                return []
            case CopyHeld():
                if self._handover is not None:
                    self._handover.copy_held(message)
                return [*self._home.copy_held(message, now_s)]
            case DropCopy():
                self._table.drop(message.customer, message.key, message.admission)
                return []
            case Collect():
                return [self._show(vm, message, now_s)]
            case Collected():
                return [*self._home.collected(message, now_s)]

    def _answered(self, vm: str, message: AdmitReply) -> list[Effect]:
        if message.verdict is Verdict.RUN and self._tickets.is_abandoned(
            message.ticket
        ):
            ticket = self._tickets.get(message.ticket)
            assert ticket is not None
            # The key would be blocked for the retention period for nothing.
            refused = Finish(
                ticket.name, ticket.customer, ticket.key, RunResult.NOT_RUN
            )
            return [Send(vm, refused)]
        decided = self._tickets.answer(message)
        return [] if decided is None else [decided]

    def _hold(self, vm: str, message: CopyRecord, now_s: float) -> list[Effect]:
        record = message.record
        if self._handover is not None:
            return []
        known = self._table.find(*record.name, record.admission)
        if known is None and self._table.is_full():
            return []
        if message.age_s >= self.options.retention_s:
            return []
        self._table.merge([message], now_s)
        return [Send(vm, CopyHeld(*record.name, record.admission, self.me))]

    def _show(self, vm: str, message: Collect, now_s: float) -> Send:
        answer = Collected(
            message.slot,
            message.round_number,
            self.me,
            self._table.of_slot(message.slot, now_s),
            tuple(self._roster.recent(now_s)),
            self._roster.history_s(now_s),
        )
        return Send(vm, answer)


def in_doubt() -> Failure:
    """Return the refusal of a request whose home did not answer in time."""
    return Failure(KEY_HOME_IN_DOUBT, retry_after_s=RETRY_AFTER_S)
