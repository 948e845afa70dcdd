"""Orders the requests that wait for slots of a service."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, TypeAlias

import attrs

from gentianfold.placement.queue_entry import QueueEntry
from gentianfold.placement.share_floor import ShareFloor

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.wait_table import WaitClass


SortKey: TypeAlias = tuple[bool, bool, int, bool, int, int, float]
"""Late, not below the floor, priority, over fair share, route priority, slots held, time queued (seconds)."""


@attrs.define
class QueueOrder:
    """Slots held by each customer, and the order of waiting requests by them."""

    _slots_held: defaultdict[str, dict[str, int]] = attrs.field(
        factory=lambda: defaultdict(dict)
    )
    _fair_slots: dict[str, float] = attrs.field(factory=dict)
    _floors: defaultdict[str, ShareFloor] = attrs.field(
        factory=lambda: defaultdict(ShareFloor)
    )

    def count_slot(self, request: SlotRequest, change: int) -> None:
        """Count a slot that a customer got (1) or returned (-1)."""
        held = self._slots_held[request.service]
        count = held.get(request.customer, 0) + change
        if count:
            held[request.customer] = count
        else:
            held.pop(request.customer, None)
        if change > 0:
            self._floors[request.service].count_served(request)

    def count_asked(self, request: SlotRequest, now_s: float) -> None:
        """Count a first attempt that its customer's limit allows."""
        self._floors[request.service].count_asked(request, now_s)

    def below_floor_count(self, service: str) -> int:
        """Return the routes and customers of a service below the floor (count)."""
        return self._floors[service].below_count

    def sort_key(self, entry: QueueEntry) -> SortKey:
        """Return the key by which waiting requests are served, lowest first.

        A request that misses its target gives way to those that can still meet theirs.
        Routes and customers below the floor of their shares come before more urgent ones.
        A customer's priority is the same for all of its requests, so route priorities
        order them; otherwise long work that can wait would delay short, urgent work.
        """
        held = self._held(entry.request)
        wait_class = self.wait_class(entry)
        is_above = not self._floors[entry.request.service].is_below(entry.request)
        return entry.is_late, is_above, *wait_class[1:], held, entry.queued_at_s

    def new_key(self, request: SlotRequest, now_s: float) -> SortKey:
        """Return the sort key of a request that arrives now."""
        return self.sort_key(QueueEntry(request, now_s))

    def wait_class(self, entry: QueueEntry) -> WaitClass:
        """Return the class in which waits of such requests are measured."""
        request = entry.request
        is_over = self._held(request) > self._fair_slots.get(request.service, 0.0)
        return request.service, request.priority, is_over, request.route_priority

    def count_ahead(
        self,
        queue: Mapping[tuple[str, int], QueueEntry],
        request: SlotRequest,
        now_s: float,
    ) -> int:
        """Return the number of queued requests that a new one does not overtake."""
        if not queue:
            return 0
        sort_key = self.new_key(request, now_s)
        return sum(self.sort_key(entry) < sort_key for entry in queue.values())

    def update_shares(
        self, service: str, waiting: Collection[str], now_s: float
    ) -> None:
        """Set the fair share: slots in use per customer that holds or waits for one.

        Args:
            service: The service.
            waiting: Customers with requests in its queue.
            now_s: Current time (seconds).
        """
        self._floors[service].update(now_s)
        held = self._slots_held[service]
        count = len(held.keys() | waiting)
        self._fair_slots[service] = sum(held.values()) / max(count, 1)

    def _held(self, request: SlotRequest) -> int:
        return self._slots_held[request.service].get(request.customer, 0)
