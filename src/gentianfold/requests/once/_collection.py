"""How a new possessor of a slot learns the records of the slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.requests.once.records import UNHEARD

if TYPE_CHECKING:
    from gentianfold.requests.once.interfaces import LedgerOptions
    from gentianfold.requests.once.messages import Admit, Collected
    from gentianfold.requests.once.records import CopyRule, Member


@attrs.define
class Collection:
    """The collection of one slot in one possession of it."""

    since: object
    """The possession."""
    round_number: int
    """Tells the answers from those to earlier collections."""
    started_at_s: float
    """When the slot was taken."""
    history_s: float
    """How far back all members are known, over the VMs that answered."""
    missing: set[Member]
    """Members that may hold records and did not answer."""
    answered: set[Member] = attrs.field(factory=set)
    """Members that answered."""
    waiting: list[tuple[str, Admit]] = attrs.field(factory=list)
    """Requests that wait for the end, with the VMs that sent them."""
    is_open: bool = True
    """Whether requests still wait for it."""

    def add(self, answer: Collected) -> list[Member]:
        """Note an answer and return the members that only it knows of."""
        self.answered.add(answer.holder)
        # The VM was heard now; its earlier incarnations come from the other answers.
        unheard = attrs.evolve(answer.holder, incarnation=UNHEARD)
        self.missing -= {answer.holder, unheard}
        self.history_s = max(self.history_s, answer.history_s)
        names = {member.vm for member in self.answered}
        unknown = {
            member
            for member in set(answer.members) - self.answered - self.missing
            if member.incarnation != UNHEARD or member.vm not in names
        }
        self.missing |= unknown
        return sorted(unknown, key=lambda member: (member.vm, member.incarnation))

    def is_over(self, now_s: float, timeout_s: float) -> bool:
        """Return whether there is nothing more to wait for."""
        return not self.missing or now_s - self.started_at_s >= timeout_s

    def refuses_until_s(self, rule: CopyRule, options: LedgerOptions) -> float | None:
        """Return until when new keys must be refused, ``None`` if they need not be.

        Records that can't be ruled out to be lost expire with the retention period,
        counted from the time when nobody else could admit a key any more.
        """
        if rule.may_be_lost(self.missing):
            return self.started_at_s + options.retention_s
        if self.history_s < options.retention_s:
            return self.started_at_s + options.retention_s - self.history_s
        return None
