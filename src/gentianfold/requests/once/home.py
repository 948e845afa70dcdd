"""The home of keys: admits one request for each, once its record is safe."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure
from gentianfold.requests.once._collection import Collection
from gentianfold.requests.once._pending import Pending
from gentianfold.requests.once.interfaces import Send
from gentianfold.requests.once.messages import (
    Admit,
    AdmitReply,
    Collect,
    Collected,
    CopyHeld,
    CopyRecord,
    DropCopy,
    Finish,
    RunResult,
    Verdict,
)
from gentianfold.requests.once.records import Record, RecordState

if TYPE_CHECKING:
    from gentianfold.requests.once._record_table import RecordTable
    from gentianfold.requests.once.interfaces import (
        LedgerOptions,
        OwnedSlot,
        Roster,
        SlotAuthority,
    )
    from gentianfold.requests.once.records import CopyRule, Member, StoredAnswer


def slot_key(customer: str, key: bytes) -> bytes:
    """Return what the share slot of a key is hashed from."""
    return customer.encode() + b"\0" + key


class KeyHome:
    """Admits keys in the slots that this VM possesses."""

    def __init__(
        self,
        me: Member,
        table: RecordTable,
        authority: SlotAuthority,
        roster: Roster,
        rule: CopyRule,
        options: LedgerOptions,
    ) -> None:
        self._me = me
        self._table = table
        self._authority = authority
        self._roster = roster
        self._rule = rule
        self._options = options
        self._collections: dict[int, Collection] = {}
        self._pending: dict[tuple[str, bytes], Pending] = {}
        self._stopping = False
        self._rounds = 0
        self._admissions = 0

    def admit(self, vm: str, request: Admit, now_s: float) -> list[Send]:
        """Answer a request for admission, now or when its slot is collected."""
        owned = self._owned(request.customer, request.key, now_s)
        if owned is None:
            return [reply(vm, request.ticket, Verdict.IN_DOUBT)]
        collection = self._collections.get(owned.slot)
        sends: list[Send] = []
        if collection is None or collection.since != owned.since:
            collection, sends = self._collect(owned, now_s)
        if not collection.is_open:
            return [*sends, *self._admit(vm, request, owned, collection, now_s)]
        if len(collection.waiting) >= self._options.max_waiting:
            return [*sends, reply(vm, request.ticket, Verdict.IN_DOUBT)]
        collection.waiting.append((vm, request))
        return [*sends, *self._close(owned.slot, collection, now_s)]

    def stop(self) -> None:
        """Admit nothing more: copies must not be counted on a VM that leaves."""
        self._stopping = True

    def collected(self, answer: Collected, now_s: float) -> list[Send]:
        """Add the records that another VM holds."""
        collection = self._collections.get(answer.slot)
        if collection is None or collection.round_number != answer.round_number:
            return []
        self._table.merge(map(settle, answer.copies), now_s)
        asks = [
            Send(member.vm, Collect(answer.slot, collection.round_number))
            for member in collection.add(answer)
            if member.vm != self._me.vm
        ]
        return [*asks, *self._close(answer.slot, collection, now_s)]

    def copy_held(self, message: CopyHeld, now_s: float) -> list[Send]:
        """Count a copy, and admit the request once there are enough."""
        name = (message.customer, message.key)
        pending = self._pending.get(name)
        if pending is None or pending.admission != message.admission:
            return []
        pending.held.add(message.holder)
        return self._grant(name, pending, now_s)

    def finish(self, message: Finish, now_s: float) -> list[Send]:
        """Note what became of a request, and tell the holders of its copies."""
        name = (message.customer, message.key)
        records = self._table.of_ticket(*name, message.ticket)
        pending = self._pending.get(name)
        if pending is not None and pending.ticket == message.ticket:
            del self._pending[name]
        ends = (self._end(record, message, now_s) for record in records)
        return [send for sends in ends for send in sends]

    def _end(self, record: Record, message: Finish, now_s: float) -> list[Send]:
        if message.result is RunResult.NOT_RUN:
            self._table.drop(*record.name, record.admission)
            return self._tell(DropCopy(*record.name, record.admission), now_s)
        answered = message.result is RunResult.ANSWERED
        state = RecordState.ANSWERED if answered else RecordState.UNKNOWN
        record = attrs.evolve(record, state=state, answer=message.answer)
        self._table.put(record)
        return self._tell(CopyRecord(record, now_s - record.created_at_s), now_s)

    def _tell(self, message: CopyRecord | DropCopy, now_s: float) -> list[Send]:
        # Only a convenience for repeats after the next takeover: it may be lost.
        members = self._rule.choose(self._me, self._roster.live(now_s), [])
        return [Send(member.vm, message) for member in members]

    def tick(self, now_s: float) -> list[Send]:
        """End collections, and copy records to further VMs or give them up."""
        sends: list[Send] = []
        for slot, collection in list(self._collections.items()):
            if collection.is_open:
                sends += self._close(slot, collection, now_s)
        for name, pending in list(self._pending.items()):
            sends += self._push(name, pending, now_s)
        return sends

    # Slots

    def _owned(self, customer: str, key: bytes, now_s: float) -> OwnedSlot | None:
        found = self._authority.authority(slot_key(customer, key), now_s)
        if self._stopping or isinstance(found, Failure) or hasattr(found, "vm"):
            return None
        return found

    def _collect(self, owned: OwnedSlot, now_s: float) -> tuple[Collection, list[Send]]:
        self._rounds += 1
        members = set(self._roster.recent(now_s)) - {self._me}
        collection = Collection(
            owned.since,
            self._rounds,
            now_s,
            self._roster.history_s(now_s),
            members,
            answered={self._me},
        )
        replaced = self._collections.get(owned.slot)
        if replaced is not None:
            collection.waiting = replaced.waiting
        self._collections[owned.slot] = collection
        vms = sorted({member.vm for member in members} - {self._me.vm})
        ask = Collect(owned.slot, self._rounds)
        return collection, [Send(vm, ask) for vm in vms]

    def _close(self, slot: int, collection: Collection, now_s: float) -> list[Send]:
        if not collection.is_open or not collection.is_over(
            now_s, self._options.collect_timeout_s
        ):
            return []
        collection.is_open = False
        waiting, collection.waiting = collection.waiting, []
        sends = (self.admit(vm, request, now_s) for vm, request in waiting)
        return [send for batch in sends for send in batch]

    # Keys

    def _admit(
        self,
        vm: str,
        request: Admit,
        owned: OwnedSlot,
        collection: Collection,
        now_s: float,
    ) -> list[Send]:
        record = self._table.get(request.customer, request.key)
        if record is not None:
            return self._repeat(vm, request, record, now_s)
        until_s = collection.refuses_until_s(self._rule, self._options)
        if until_s is not None and now_s < until_s:
            wait_s = until_s - now_s
            return [reply(vm, request.ticket, Verdict.RECORDS_LOST, None, wait_s)]
        if self._table.is_full():
            return [reply(vm, request.ticket, Verdict.FULL)]
        record = Record(
            owned.slot,
            request.customer,
            request.key,
            request.digest,
            request.ticket,
            self._next_admission(),
            RecordState.COPYING,
            now_s,
        )
        self._table.put(record)
        pending = Pending(
            vm, request.ticket, record.admission, owned.since, now_s, now_s
        )
        self._pending[record.name] = pending
        sends = self._send_copies(record, pending, now_s)
        return [*sends, *self._grant(record.name, pending, now_s)]

    def _repeat(
        self, vm: str, request: Admit, record: Record, now_s: float
    ) -> list[Send]:
        if record.ticket == request.ticket:
            # The network repeated the message; only its first copy counts.
            return []
        if record.digest != request.digest:
            return [reply(vm, request.ticket, Verdict.KEY_REUSED)]
        if record.state is RecordState.ANSWERED and record.answer is not None:
            answer = record.answer
            return [reply(vm, request.ticket, Verdict.ANSWERED, answer)]
        age_s = now_s - record.created_at_s
        running = record.state in (RecordState.COPYING, RecordState.ADMITTED)
        if running and age_s < self._options.ticket_limit_s:
            return [reply(vm, request.ticket, Verdict.IN_PROGRESS)]
        return [reply(vm, request.ticket, Verdict.UNKNOWN)]

    def _next_admission(self) -> str:
        self._admissions += 1
        return f"{self._me.vm}/{self._me.incarnation}/{self._admissions}"

    def _grant(
        self, name: tuple[str, bytes], pending: Pending, now_s: float
    ) -> list[Send]:
        if not self._rule.suffices({self._me, *pending.held}):
            return []
        del self._pending[name]
        record = self._table.find(*name, pending.admission)
        owned = self._owned(*name, now_s)
        # Only possession that still holds after the copies were taken proves that
        # the next possessor will find them.
        if record is None or owned is None or owned.since != pending.since:
            return self._refuse(name, pending, Verdict.IN_DOUBT)
        self._table.put(attrs.evolve(record, state=RecordState.ADMITTED))
        return [reply(pending.vm, pending.ticket, Verdict.RUN)]

    def _push(
        self, name: tuple[str, bytes], pending: Pending, now_s: float
    ) -> list[Send]:
        if now_s - pending.asked_at_s >= self._options.admit_timeout_s:
            del self._pending[name]
            return self._refuse(name, pending, Verdict.COPIES_MISSING)
        record = self._table.find(*name, pending.admission)
        late = now_s - pending.copied_at_s >= self._options.copy_timeout_s
        return self._send_copies(record, pending, now_s) if record and late else []

    def _send_copies(
        self, record: Record, pending: Pending, now_s: float
    ) -> list[Send]:
        pending.copied_at_s = now_s
        live = [one for one in self._roster.live(now_s) if one not in pending.asked]
        chosen = self._rule.choose(self._me, live, pending.held)
        repeated = [one for one in pending.asked if one not in pending.held]
        pending.asked += chosen
        copy = CopyRecord(record, now_s - record.created_at_s)
        return [Send(member.vm, copy) for member in [*chosen, *repeated]]

    def _refuse(
        self, name: tuple[str, bytes], pending: Pending, verdict: Verdict
    ) -> list[Send]:
        customer, key = name
        self._table.drop(customer, key, pending.admission)
        drop = DropCopy(customer, key, pending.admission)
        drops = [Send(member.vm, drop) for member in pending.asked]
        return [*drops, reply(pending.vm, pending.ticket, verdict)]


def reply(
    vm: str,
    ticket: str,
    verdict: Verdict,
    answer: StoredAnswer | None = None,
    retry_after_s: float | None = None,
) -> Send:
    """Return an answer to a request for admission."""
    return Send(vm, AdmitReply(ticket, verdict, answer, retry_after_s))


def settle(copy: CopyRecord) -> CopyRecord:
    """Return a collected copy without its claim that the request goes on.

    Whoever admitted it no longer possesses the slot, so nobody can say so any more.
    """
    if copy.record.state is RecordState.ANSWERED:
        return copy
    return attrs.evolve(
        copy, record=attrs.evolve(copy.record, state=RecordState.UNKNOWN)
    )
