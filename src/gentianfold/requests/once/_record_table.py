"""The records that a VM holds, as home or as copy, until they expire."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.requests.once.messages import CopyRecord
from gentianfold.requests.once.records import Record, RecordState, merge

if TYPE_CHECKING:
    from collections.abc import Iterable


Name = tuple[str, bytes]
"""A customer and its key."""


@attrs.define
class RecordTable:
    """Records by customer, key and admission, bounded and never dropped early.

    A key has several records if earlier admissions came to nothing: a late message to
    drop one of them must not drop another.
    """

    retention_s: float
    """How long a record is kept."""
    max_records: int
    """Most records."""
    _records: dict[Name, dict[str, Record]] = attrs.field(factory=dict)
    _slots: dict[int, set[Name]] = attrs.field(factory=dict)
    _count: int = 0
    _ages: list[tuple[float, Name, str]] = attrs.field(factory=list)

    def __len__(self) -> int:
        return self._count

    def get(self, customer: str, key: bytes) -> Record | None:
        """Return the record of a key, an answered one if there is one."""
        records = self._records.get((customer, key), {}).values()
        answered = (one for one in records if one.state is RecordState.ANSWERED)
        return next(itertools.chain(answered, records), None)

    def find(self, customer: str, key: bytes, admission: str) -> Record | None:
        """Return the record of one admission."""
        return self._records.get((customer, key), {}).get(admission)

    def of_ticket(self, customer: str, key: bytes, ticket: str) -> list[Record]:
        """Return the records of one request."""
        records = self._records.get((customer, key), {}).values()
        return [record for record in records if record.ticket == ticket]

    def is_full(self) -> bool:
        """Return whether no further key can be recorded."""
        return self._count >= self.max_records

    def put(self, record: Record) -> None:
        """Add or replace a record."""
        records = self._records.setdefault(record.name, {})
        if record.admission not in records:
            self._count += 1
            self._watch_age(record)
        records[record.admission] = record
        self._slots.setdefault(record.slot, set()).add(record.name)

    def merge(self, copies: Iterable[CopyRecord], now_s: float) -> None:
        """Add what other VMs know, beyond the bound if need be."""
        for copy in copies:
            record = attrs.evolve(copy.record, created_at_s=now_s - copy.age_s)
            known = self.find(*record.name, record.admission)
            self.put(merge(known, record))

    def drop(self, customer: str, key: bytes, admission: str) -> None:
        """Forget an admission that came to nothing."""
        record = self.find(customer, key, admission)
        if record is not None:
            self._remove(record)

    def of_slot(self, slot: int, now_s: float) -> tuple[CopyRecord, ...]:
        """Return copies of all records of a slot."""
        records = (self._records[name].values() for name in self._slots.get(slot, ()))
        return tuple(
            CopyRecord(record, now_s - record.created_at_s)
            for record in itertools.chain.from_iterable(records)
        )

    def all(self) -> list[Record]:
        """Return every record."""
        return [one for records in self._records.values() for one in records.values()]

    def expire(self, now_s: float) -> None:
        """Forget records that are older than the retention period."""
        oldest_s = now_s - self.retention_s
        while self._ages and self._ages[0][0] <= oldest_s:
            _, name, admission = heapq.heappop(self._ages)
            record = self.find(*name, admission)
            if record is None:
                continue
            if record.created_at_s <= oldest_s:
                self._remove(record)
            else:
                # Another VM's copy of it turned out to be younger.
                self._watch_age(record)

    def _watch_age(self, record: Record) -> None:
        entry = (record.created_at_s, record.name, record.admission)
        heapq.heappush(self._ages, entry)

    def _remove(self, record: Record) -> None:
        records = self._records[record.name]
        del records[record.admission]
        self._count -= 1
        if records:
            return
        del self._records[record.name]
        names = self._slots[record.slot]
        names.discard(record.name)
        if not names:
            del self._slots[record.slot]
