"""Decides which retries are sent now, which wait for the retry budget, and which end.

Answers the load of a service whose upstreams all reject half of the requests for
seconds, whatever their load, while deadlines are many times the target latency. Each
request is then worth another attempt, and the budget allows a fraction of them. A retry
sent meanwhile is as likely to be rejected again; one that waits for the end, and can
still be answered by its deadline, is served. Callers whose deadline comes sooner are
sent on at once while the budget lasts, and refused at once afterwards.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left, insort
from typing import TYPE_CHECKING, TypeAlias

import attrs

from gentianfold.placement.capacity_plan import PLAN_FACTOR
from gentianfold.placement.queue_entry import START_FACTOR
from gentianfold.placement.slot_request import Queued, RefusalReason, Refused

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.placement.rejection_table import RejectionTable
    from gentianfold.placement.retry_budget import RetryBudget
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.waiting_requests import SlotRequestKey

RECOVERY_S = 5.0
"""Shortest time for which a rejecting service is expected to go on (seconds): that of a
restart. One that has lasted for long is expected to go on for half as long again."""
LOOK_INTERVAL_S = 0.05
"""Time between two looks at the waiting retries (seconds): one tick."""

SortKey: TypeAlias = tuple[int, int, int]
"""Priority, route priority and number of the retry."""


@attrs.frozen
class RetryLoad:
    """State of a service of which retries wait, for the log."""

    service: str
    """Name of the service."""
    waiting: int
    """Retries that wait (count)."""
    budget_left: float
    """Retries that the budget allows now (count)."""
    rejecting_s: float
    """Time for which the service has rejected many requests (seconds); 0 if it doesn't."""


@attrs.frozen(eq=False, repr=False)
class _Entry:
    request: SlotRequest
    queued_at_s: float
    latest_s: float
    sort_key: SortKey


@attrs.define(eq=False, repr=False)
class RetryQueue:
    """Retries of each service that wait for its budget, first come, first served."""

    budget: RetryBudget
    """Retry budgets of the services."""
    rejections: RejectionTable
    """Services that reject many requests."""
    _entries: dict[SlotRequestKey, _Entry] = attrs.field(factory=dict)
    _orders: dict[str, list[tuple[SortKey, SlotRequestKey]]] = attrs.field(factory=dict)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _looked_s: float = -1.0

    def __contains__(self, key: SlotRequestKey) -> bool:
        return key in self._entries

    def __len__(self) -> int:
        return len(self._entries)

    def loads(self, now_s: float) -> Iterator[RetryLoad]:
        """Yield the state of each service of which retries wait."""
        for service, order in self._orders.items():
            if order:
                rejecting_s = self.rejections.rejecting_s(service, now_s) or 0.0
                left = self.budget.left(service, now_s)
                yield RetryLoad(service, len(order), left, rejecting_s)

    def decide(
        self, request: SlotRequest, expected_s: float, now_s: float
    ) -> Queued | Refused | None:
        """Decide on a retry.

        Args:
            request: The retry.
            expected_s: Its expected elapsed time (seconds).
            now_s: Current time (seconds).

        Returns:
            Whether it waits for the budget or is refused; ``None`` if it may be sent now
            and was counted.
        """
        service = request.service
        useful_s = request.time_left_s - START_FACTOR * expected_s
        order = self._orders.setdefault(service, [])
        sort_key = (request.priority, request.route_priority, next(self._numbers))
        ahead = bisect_left(order, (sort_key, request.key))
        end_s = self._rejects_for_s(service, now_s)
        may_send = not ahead
        can_wait = end_s * PLAN_FACTOR <= useful_s
        if end_s and (can_wait or ahead):
            # What is saved is for those who wait; more would be lost.
            may_send = self.budget.is_full(service, now_s)
        if may_send and self.budget.try_acquire(service, now_s):
            return None
        wait_s = end_s + self.budget.wait_s(service, ahead, now_s)
        if wait_s * PLAN_FACTOR > useful_s:
            return Refused(RefusalReason.RETRY_BUDGET, wait_s, ahead)
        entry = _Entry(request, now_s, now_s + useful_s, sort_key)
        self._entries[request.key] = entry
        insort(order, (sort_key, request.key))
        return Queued(ahead)

    def due(self, now_s: float) -> Iterator[tuple[SlotRequest, Refused | None]]:
        """Yield the retries that wait no longer, with the time that is left to them.

        Those that may be sent now were counted; the others are refused.
        """
        if not self._entries or now_s - self._looked_s < LOOK_INTERVAL_S:
            return
        self._looked_s = now_s
        for service, order in self._orders.items():
            may_send = not self._rejects_for_s(service, now_s)
            for _, key in list(order):
                entry = self._entries[key]
                is_last_look = now_s + LOOK_INTERVAL_S > entry.latest_s
                if not may_send and not is_last_look:
                    continue
                if self.budget.try_acquire(service, now_s):
                    yield self._take(entry, now_s), None
                elif is_last_look:
                    wait_s = self.budget.wait_s(service, len(order), now_s)
                    refused = Refused(RefusalReason.RETRY_BUDGET, wait_s, len(order))
                    yield self._take(entry, now_s), refused
                else:
                    may_send = False

    def remove(self, key: SlotRequestKey) -> None:
        """Remove a retry; one that does not wait is ignored."""
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._orders[entry.request.service].remove((entry.sort_key, key))

    def remove_vm(self, vm: str) -> None:
        """Remove all retries of a VM."""
        for key in [key for key in self._entries if key[0] == vm]:
            self.remove(key)

    def give_back(self, request: SlotRequest, now_s: float) -> None:
        """Undo the count of a request that got no slot; ignore a first attempt."""
        if request.attempt > 1:
            self.budget.refund(request.service, now_s)

    def _rejects_for_s(self, service: str, now_s: float) -> float:
        """Return how much longer a service is expected to reject requests (seconds)."""
        rejecting_s = self.rejections.rejecting_s(service, now_s)
        return 0.0 if rejecting_s is None else max(rejecting_s / 2, RECOVERY_S)

    def _take(self, entry: _Entry, now_s: float) -> SlotRequest:
        """Remove a retry and return it with the time that is left."""
        request, waited_s = entry.request, now_s - entry.queued_at_s
        self.remove(request.key)
        return attrs.evolve(
            request,
            time_left_s=request.time_left_s - waited_s,
            target_left_s=request.target_left_s - waited_s,
        )
