"""Decides whether a request that gets no slot at once waits, and until when."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.capacity_plan import CapacityPlan
from gentianfold.placement.elapsed_table import ElapsedTable
from gentianfold.placement.queue_entry import QueueEntry
from gentianfold.placement.quota_table import MIN_RETRY_AFTER_S
from gentianfold.placement.return_plan import ReturnPlan
from gentianfold.placement.slot_request import RefusalReason, Refused
from gentianfold.placement.wait_estimate import (
    competing_part,
    estimate_wait_s,
    shortest_pause_s,
)
from gentianfold.placement.wait_table import WaitTable

if TYPE_CHECKING:
    from gentianfold.placement.queue_order import QueueOrder
    from gentianfold.placement.service_demand import ServiceDemand
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.tracker_table import TrackerTable
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.waiting_requests import WaitingRequests

HOLD_FACTOR = 1.3
"""Factor by which an expected wait is multiplied before a request waits: half of those
whose wait is expected to end just in time would be held in vain."""


@attrs.define(eq=False, repr=False)
class WaitPlanner:
    """Expected waits of requests, and what can be served by their deadlines."""

    trackers: TrackerTable
    """The upstreams."""
    waiting: WaitingRequests
    """The queues."""
    order: QueueOrder
    """Order of the queues."""
    elapsed: ElapsedTable
    """Usual elapsed times."""
    expected_s: Callable[[SlotRequest], float]
    """Returns the expected elapsed time of a request (seconds)."""
    demand_of: Callable[[str], ServiceDemand]
    """Returns the demand of a service."""
    wait_table: WaitTable = attrs.field(factory=WaitTable)
    """Corrects expected waits by measured ones."""
    _returns: defaultdict[str, ReturnPlan] = attrs.field(
        factory=lambda: defaultdict(ReturnPlan)
    )

    def plan(
        self, request: SlotRequest, ahead: int, now_s: float
    ) -> QueueEntry | Refused:
        """Return the place of a request in its queue, or the refusal.

        Args:
            request: The request.
            ahead: Waiting requests that it does not overtake (count).
            now_s: Current time (seconds).
        """
        service_pool = self.trackers.pool(request.service)
        pool = service_pool.within(request.zones)
        queue = self.waiting.queue(request.service)
        homes = self.waiting.homes(request.service)
        part = _part(pool, service_pool)
        competing = ahead * competing_part(request.zones, homes, len(queue), part)
        estimated_s = self._wait_s(request.service, pool, competing, now_s)
        entry = QueueEntry(request, now_s, estimated_s)
        wait_class = self.order.wait_class(entry)
        wait_s = estimated_s * self.wait_table.factor(wait_class, now_s)
        wait_s = max(wait_s, shortest_pause_s(pool.trackers, request.vm, now_s))
        expected_s = self.expected_s(request)
        is_late = request.target_left_s < expected_s
        has_time = now_s + HOLD_FACTOR * wait_s <= entry.latest_start_s(expected_s)
        if is_late or not has_time:
            entry.is_late = self.may_be_late(entry, now_s)
        if has_time or entry.is_late:
            return entry
        return self._refuse(request, wait_s, ahead, now_s)

    def may_be_late(self, entry: QueueEntry, now_s: float) -> bool:
        """Tell whether a request that misses its target has a place by its deadline."""
        request = entry.request
        pool = self.trackers.pool(request.service).within(request.zones)
        is_paused = shortest_pause_s(pool.trackers, request.vm, now_s) > 0
        if is_paused or pool.has_free_slot(now_s):
            # It waits for something else than slots.
            return False
        plan = self._capacity(request, pool)
        ahead = len(self.waiting.queue(request.service))
        return plan.has_place(entry, ahead, self.expected_s(request), now_s)

    def refuse_late(
        self, request: SlotRequest, pool: UpstreamPool, ahead: int, now_s: float
    ) -> Refused:
        """Return the refusal of a request that has waited as long as it may."""
        wait_s = self._wait_s(request.service, pool, ahead, now_s)
        return self._refuse(request, wait_s, ahead, now_s)

    def record(self, entry: QueueEntry, now_s: float) -> None:
        """Record how long a request waited; late ones tell nothing of the others."""
        if not entry.is_late:
            wait_class = self.order.wait_class(entry)
            waited_s = now_s - entry.queued_at_s
            self.wait_table.record(wait_class, entry.estimated_s, waited_s, now_s)

    def _refuse(
        self, request: SlotRequest, wait_s: float, ahead: int, now_s: float
    ) -> Refused:
        """Return a refusal whose delay is a place of its own."""
        wait_s = max(wait_s, MIN_RETRY_AFTER_S)
        pool = self.trackers.pool(request.service).within(request.zones)
        capacity = self._capacity(request, pool)
        delay_s = self._returns[request.service].next_delay_s(
            wait_s,
            capacity.slots_per_s(now_s),
            capacity.arrivals_per_s(wait_s, now_s),
            request.time_left_s,
            now_s,
        )
        return Refused(RefusalReason.NO_ROOM, delay_s, ahead)

    def _capacity(self, request: SlotRequest, pool: UpstreamPool) -> CapacityPlan:
        return CapacityPlan(
            pool,
            self.elapsed.slot_time_s(request.service),
            self.demand_of(request.service).arrivals,
            _part(pool, self.trackers.pool(request.service)),
        )

    def _wait_s(
        self, service: str, pool: UpstreamPool, ahead: float, now_s: float
    ) -> float:
        return estimate_wait_s(pool, self.elapsed.slot_time_s(service), ahead, now_s)


def _part(pool: UpstreamPool, service_pool: UpstreamPool) -> float:
    """Return the part of a service's upstreams that is in a pool, 0 to 1."""
    return len(pool.trackers) / max(len(service_pool.trackers), 1)
