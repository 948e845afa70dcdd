"""Keeps the order of a long queue for a tick, so that events do not sort it again."""

from __future__ import annotations

from bisect import bisect_left, insort
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.upstream_tracker import NEVER_S

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from gentianfold.placement.queue_entry import QueueEntry
    from gentianfold.placement.queue_order import QueueOrder, SortKey
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.waiting_requests import SlotRequestKey

LONG_QUEUE = 12
"""Length above which a queue is not sorted for each event (count)."""
REBUILD_S = 0.04
"""Time for which the order of a long queue is kept (seconds): a tick that comes a little
early makes it anew."""


@attrs.define(eq=False, repr=False)
class QueueIndex:
    """Order of one service's queue, as of the last tick and the requests that came."""

    is_stalled: bool = False
    """Whether the last pass over the queue left slots free: the requests in it wait
    for something else, such as tokens of their customers."""
    _without_token: set[str] = attrs.field(factory=set)
    _order: list[tuple[SortKey, SlotRequestKey]] = attrs.field(factory=list)
    _first: int = 0
    _built_s: float = NEVER_S
    _late_checked_s: float = NEVER_S

    def ordered(
        self,
        queue: Mapping[SlotRequestKey, QueueEntry],
        order: QueueOrder,
        now_s: float,
    ) -> Iterator[tuple[SlotRequestKey, QueueEntry]]:
        """Yield the waiting requests, those to serve first at the front.

        Requests may be removed from the queue meanwhile. First attempts of customers
        without a token are left out until the order is made again.
        """
        self._refresh(queue, order, now_s)
        while self._first < len(self._order) and (
            self._order[self._first][1] not in queue
        ):
            self._first += 1
        for index in range(self._first, len(self._order)):
            key = self._order[index][1]
            entry = queue.get(key)
            if entry is not None and (
                entry.request.attempt > 1
                or entry.request.customer not in self._without_token
            ):
                yield key, entry

    def leave_out(self, customer: str) -> None:
        """Leave out the first attempts of a customer that has no token."""
        self._without_token.add(customer)

    def count_ahead(
        self,
        queue: Mapping[SlotRequestKey, QueueEntry],
        order: QueueOrder,
        request: SlotRequest,
        now_s: float,
    ) -> int:
        """Return the number of queued requests that a new one does not overtake.

        For a long queue it is estimated from the order at the start of the tick.
        """
        if len(queue) <= LONG_QUEUE:
            return order.count_ahead(queue, request, now_s)
        self._refresh(queue, order, now_s)
        position = bisect_left(self._order, (order.new_key(request, now_s), ("", 0)))
        ahead, length = position - self._first, len(self._order) - self._first
        return round(max(ahead, 0) / max(length, 1) * len(queue))

    def add(
        self,
        key: SlotRequestKey,
        entry: QueueEntry,
        queue: Mapping[SlotRequestKey, QueueEntry],
        order: QueueOrder,
    ) -> None:
        """Add a request that was queued since the order was made."""
        if len(queue) <= LONG_QUEUE:
            self._built_s = NEVER_S
            return
        insort(self._order, (order.sort_key(entry), key), self._first)

    def is_due(self, length: int, now_s: float) -> bool:
        """Tell whether the queue is looked at although no event concerned its service.

        A long queue is looked at once in a tick, as are its requests that waited too
        long.
        """
        return length <= LONG_QUEUE or now_s - self._late_checked_s >= REBUILD_S

    def is_late_check_due(self, length: int, now_s: float) -> bool:
        """Tell whether requests that waited too long are looked for now."""
        is_due = self.is_due(length, now_s)
        if is_due:
            self._late_checked_s = now_s
        return is_due

    def _refresh(
        self,
        queue: Mapping[SlotRequestKey, QueueEntry],
        order: QueueOrder,
        now_s: float,
    ) -> None:
        is_kept = len(queue) > LONG_QUEUE and now_s - self._built_s < REBUILD_S
        if is_kept and self._first < len(self._order):
            return
        self._order = sorted(
            (order.sort_key(entry), key) for key, entry in queue.items()
        )
        self._first, self._built_s = 0, now_s
        self._without_token.clear()
