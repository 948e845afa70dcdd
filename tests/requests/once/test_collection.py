"""A new possessor counts who may hold records that it can't see."""

from __future__ import annotations

from gentianfold.requests.once._collection import Collection
from gentianfold.requests.once.interfaces import LedgerOptions
from gentianfold.requests.once.messages import Collected
from gentianfold.requests.once.records import UNHEARD, CopyRule, Member


def test_an_answer_stands_for_the_unheard_incarnation_of_its_vm():
    unheard = {Member(f"vm-{n}", UNHEARD, f"z{n}") for n in range(1, 5)}
    collection = Collection(0.0, 1, 0.0, 1e9, set(unheard))
    old = Member("vm-4", 7, "z4")
    for number in (1, 2, 3):
        holder = Member(f"vm-{number}", 9, f"z{number}")
        members = (holder, old, *unheard)
        asked = collection.add(Collected(0, 1, holder, (), members, 1e9))
        assert asked == ([old] if number == 1 else [])
    assert collection.missing == {Member("vm-4", UNHEARD, "z4"), old}
    assert collection.refuses_until_s(CopyRule(), LedgerOptions()) is None
