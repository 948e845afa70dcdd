"""Requests that wait for a slot, by service."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING, TypeAlias, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import ItemsView, KeysView, Mapping

    from gentianfold.placement.queue_entry import QueueEntry

SlotRequestKey: TypeAlias = tuple[str, int]
"""Address of the VM and identifier of the slot request, unique on that VM."""

_Key = TypeVar("_Key")


@attrs.define(eq=False, repr=False)
class WaitingRequests:
    """One queue for each service; the order in which they are served is not kept."""

    by_customer: Counter[str]
    """First attempts that wait and reserve a token, by customer; kept up to date."""
    _queues: dict[str, dict[SlotRequestKey, QueueEntry]] = attrs.field(factory=dict)
    _homes: defaultdict[str, Counter[tuple[str, ...]]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )
    _services: dict[SlotRequestKey, str] = attrs.field(factory=dict)
    _customers: defaultdict[str, Counter[str]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )

    def queue(self, service: str) -> dict[SlotRequestKey, QueueEntry]:
        """Return the queue of a service; only ``add`` and ``remove`` change it."""
        return self._queues.setdefault(service, {})

    def services(self) -> ItemsView[str, dict[SlotRequestKey, QueueEntry]]:
        """Return the services with their queues, empty ones included."""
        return self._queues.items()

    def customers(self, service: str) -> KeysView[str]:
        """Return the customers with requests in the queue of a service."""
        return self._customers[service].keys()

    def homes(self, service: str) -> Mapping[tuple[str, ...], int]:
        """Return the requests in the queue that have homes (count), by their zones."""
        return self._homes[service]

    def add(self, key: SlotRequestKey, entry: QueueEntry) -> None:
        """Add a request to the queue of its service."""
        self.queue(entry.request.service)[key] = entry
        self._services[key] = entry.request.service
        self._customers[entry.request.service][entry.request.customer] += 1
        if entry.request.zones is not None:
            self._homes[entry.request.service][entry.request.zones] += 1
        if entry.request.attempt == 1 and entry.reserves_token:
            self.by_customer[entry.request.customer] += 1

    def release_token(self, entry: QueueEntry) -> None:
        """Keep no token for a request any more, whether it waits already or will."""
        is_counted = entry.request.attempt == 1 and entry.reserves_token
        entry.reserves_token = False
        if is_counted and entry.request.key in self:
            _count_down(self.by_customer, entry.request.customer)

    def customer_count(self, service: str, customer: str) -> int:
        """Return the requests of a customer in the queue of a service (count)."""
        return self._customers[service][customer]

    def remove(self, key: SlotRequestKey) -> QueueEntry | None:
        """Remove and return a request; ``None`` for one that does not wait."""
        service = self._services.pop(key, None)
        if service is None:
            return None
        entry = self._queues[service].pop(key)
        _count_down(self._customers[service], entry.request.customer)
        if entry.request.zones is not None:
            _count_down(self._homes[service], entry.request.zones)
        if entry.request.attempt == 1 and entry.reserves_token:
            _count_down(self.by_customer, entry.request.customer)
        return entry

    def remove_vm(self, vm: str) -> None:
        """Remove all requests of a VM."""
        for key in [key for key in self._services if key[0] == vm]:
            self.remove(key)

    def __contains__(self, key: SlotRequestKey) -> bool:
        return key in self._services

    def __len__(self) -> int:
        return len(self._services)


def _count_down(counts: Counter[_Key], name: _Key) -> None:
    counts[name] -= 1
    if not counts[name]:
        del counts[name]
