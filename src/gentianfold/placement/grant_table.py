"""Slots in use, by slot request and by VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.waiting_requests import SlotRequestKey

if TYPE_CHECKING:
    from collections.abc import ItemsView, Iterator, ValuesView

    from gentianfold.placement.grant import Grant


@attrs.define(eq=False, repr=False)
class GrantTable:
    """Grants that hold a slot; those of one VM are found without a search."""

    _grants: dict[SlotRequestKey, Grant] = attrs.field(factory=dict)
    _by_vm: dict[str, dict[SlotRequestKey, Grant]] = attrs.field(factory=dict)

    def add(self, key: SlotRequestKey, grant: Grant) -> None:
        """Add a grant."""
        self._grants[key] = grant
        self._by_vm.setdefault(key[0], {})[key] = grant

    def get(self, key: SlotRequestKey) -> Grant | None:
        """Return the grant of a slot request; ``None`` if it holds no slot."""
        return self._grants.get(key)

    def pop(self, key: SlotRequestKey) -> Grant:
        """Remove and return the grant of a slot request.

        Raises:
            KeyError: If the slot request holds no slot.
        """
        grant = self._grants.pop(key)
        of_vm = self._by_vm[key[0]]
        del of_vm[key]
        if not of_vm:
            del self._by_vm[key[0]]
        return grant

    def find_and_pop(self, key: SlotRequestKey) -> Grant | None:
        """Remove and return the grant of a slot request, if it holds a slot."""
        return self.pop(key) if key in self._grants else None

    def of_vm(self, vm: str) -> ItemsView[SlotRequestKey, Grant]:
        """Return the grants of a VM."""
        return self._by_vm.get(vm, {}).items()

    def held_slots(self, vm: str) -> Iterator[tuple[int, str, str, str]]:
        """Yield identifier, upstream, route and customer of each slot of a VM."""
        for (_, slot_request_id), grant in self.of_vm(vm):
            request, name = grant.request, grant.tracker.upstream.name
            yield slot_request_id, name, request.route, request.customer

    def unlisted(
        self, vm: str, slot_request_ids: frozenset[int], granted_before_s: float
    ) -> list[SlotRequestKey]:
        """Return the slot requests of a VM that its list of held slots lacks.

        Args:
            vm: Address of the VM.
            slot_request_ids: Slot requests in the list.
            granted_before_s: Later grants may be missing from the list (seconds).
        """
        return [
            key
            for key, grant in self.of_vm(vm)
            if key[1] not in slot_request_ids and grant.granted_at_s < granted_before_s
        ]

    def values(self) -> ValuesView[Grant]:
        """Return all grants."""
        return self._grants.values()

    def __contains__(self, key: SlotRequestKey) -> bool:
        return key in self._grants

    def __len__(self) -> int:
        return len(self._grants)
