"""Rendezvous hashing of numbered slots over a set of VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

SHARE_SLOTS = 1024
"""Number of share slots; a slot is worth this part of each rate and burst."""

HOME_SLOTS = 4096
"""Number of groups that bucket keys fall into when a home is looked up."""


class SlotMap:
    """Maps each slot to one VM of a fixed set; fills itself on demand.

    Args:
        members: The VMs.
        base: A map over a similar set; slots whose VM stays are looked up there.
    """

    def __init__(self, members: frozenset[str], base: SlotMap | None = None) -> None:
        self.members = members
        self._names = {vm: vm.encode() for vm in sorted(members)}
        self._base = base.without_base() if base else None
        self._added = sorted(members - base.members) if base else []
        self._owners: dict[int, str] = {}

    def owner(self, slot: int) -> str:
        """Return the VM that ``slot`` maps to."""
        owner = self._owners.get(slot)
        if owner is None:
            owner = self._owners[slot] = self._find(slot)
        return owner

    def slots_of(self, vm: str, slot_count: int) -> set[int]:
        """Return the slots below ``slot_count`` that map to ``vm``."""
        return {slot for slot in range(slot_count) if self.owner(slot) == vm}

    def without_base(self) -> SlotMap:
        """Return this map with its link to an older one cut, to free memory."""
        self._base = None
        return self

    def _find(self, slot: int) -> str:
        known = self._base._owners.get(slot) if self._base else None
        if known is None or known not in self.members:
            candidates: Iterable[str] = self._names
        else:
            candidates = [known, *self._added]
        names = self._names
        return max(candidates, key=lambda vm: (xxh3_64_intdigest(names[vm], slot), vm))


def slot_of_key(key: bytes, slot_count: int) -> int:
    """Return the slot that ``key`` falls into."""
    return xxh3_64_intdigest(key) % slot_count
