"""A planned stop: the records of a VM go to others before it leaves.

A member that crashed counts as one that may have held the only copies. One that
handed all its records over does not, so that restarting the VMs in turn keeps every
record and refuses no key.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.requests.once.interfaces import Send
from gentianfold.requests.once.messages import CopyHeld, CopyRecord, Departed

if TYPE_CHECKING:
    from gentianfold.requests.once._record_table import RecordTable
    from gentianfold.requests.once.interfaces import Roster
    from gentianfold.requests.once.records import CopyRule, Member, Record

REPEAT_S = 0.2
"""Time after which a copy that nobody acknowledged is sent again."""
TELL_COUNT = 3
"""Times that the other VMs are told, since messages may be lost."""

RecordName = tuple[str, bytes, str]
"""Customer, key and admission of a record."""


@attrs.define
class Handover:
    """Copies every record of this VM to enough VMs that stay."""

    me: Member
    """The VM that leaves."""
    table: RecordTable
    """Its records."""
    roster: Roster
    """The VMs that may take them."""
    rule: CopyRule
    """Where a record must be."""
    finished: bool = False
    """Whether all records are safe without this VM."""
    _held: dict[RecordName, set[Member]] = attrs.field(factory=dict)
    _sent_s: float = float("-inf")
    _told_count: int = 0

    def step(self, now_s: float) -> list[Send]:
        """Send what is missing; tell all VMs once nothing is."""
        if self.finished or now_s - self._sent_s < REPEAT_S:
            return []
        self._sent_s = now_s
        missing = [one for one in self.table.all() if not self._is_safe(one)]
        if missing:
            return [send for record in missing for send in self._copy(record, now_s)]
        self._told_count += 1
        self.finished = self._told_count == TELL_COUNT
        return [Send(member.vm, Departed(self.me)) for member in self._others(now_s)]

    def copy_held(self, message: CopyHeld) -> None:
        """Count a copy."""
        name = (message.customer, message.key, message.admission)
        self._held.setdefault(name, set()).add(message.holder)

    def _is_safe(self, record: Record) -> bool:
        return self.rule.suffices(self._held.get((*record.name, record.admission), ()))

    def _others(self, now_s: float) -> list[Member]:
        return [member for member in self.roster.live(now_s) if member != self.me]

    def _copy(self, record: Record, now_s: float) -> list[Send]:
        held = self._held.get((*record.name, record.admission), set())
        others = [one for one in self._others(now_s) if one not in held]
        if not others:
            return []
        first = min(held, key=lambda member: member.vm) if held else others[0]
        chosen = [] if held else [first]
        chosen += self.rule.choose(first, others, list(held - {first}))
        copy = CopyRecord(record, now_s - record.created_at_s)
        return [Send(member.vm, copy) for member in chosen]
