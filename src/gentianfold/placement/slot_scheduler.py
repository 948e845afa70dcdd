"""Grants slots of upstreams to requests and keeps one queue for each service."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.choice import Chooser, ServiceState
from gentianfold.placement.crash_table import CrashTable
from gentianfold.placement.demand_table import DemandTable
from gentianfold.placement.elapsed_table import ElapsedTable
from gentianfold.placement.floor import leaves_out_upstreams
from gentianfold.placement.lending import ServiceRoom
from gentianfold.placement.lent_slots import LentSlots
from gentianfold.placement.log_entries import (
    ServiceLoad,
    StateChangeQueue,
    measure_load,
)
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.outcome_recorder import OutcomeRecorder
from gentianfold.placement.queue_entry import QueueEntry
from gentianfold.placement.queue_order import QueueOrder
from gentianfold.placement.queue_pass import QueuePass
from gentianfold.placement.quota_table import QuotaTable
from gentianfold.placement.retry_budget import RetryBudget
from gentianfold.placement.retry_queue import RetryQueue
from gentianfold.placement.running_requests import observe_grants
from gentianfold.placement.slot_granter import SlotGranter
from gentianfold.placement.slot_ledger import SlotLedger
from gentianfold.placement.slot_request import (
    NO_UPSTREAM_RETRY_S,
    Decision,
    Granted,
    GrantReason,
    Queued,
    RefusalReason,
    Refused,
    SlotRequest,
)
from gentianfold.placement.tracker_table import TrackerTable
from gentianfold.placement.wait_planner import WaitPlanner
from gentianfold.placement.waiting_requests import SlotRequestKey, WaitingRequests
from gentianfold.placement.warmup_limiter import WarmupBudget

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from gentianfold.model import Upstream
    from gentianfold.placement.service_demand import ServiceDemand
    from gentianfold.placement.slot_shares import VmPlace
    from gentianfold.placement.upstream_pool import UpstreamPool
    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.define(eq=False, repr=False)
class SlotScheduler:
    """Schedules the requests of a whole fleet, or of one VM without a broker."""

    quota: QuotaTable = attrs.field(factory=QuotaTable)
    """Rate limits of the customers."""
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    """Retry budgets of the services."""
    chooser: Chooser = attrs.field(factory=Chooser)
    """Chooses the upstream of each attempt."""
    elapsed: ElapsedTable = attrs.field(factory=ElapsedTable)
    """Usual elapsed times by route and by service."""
    crashes: CrashTable = attrs.field(factory=CrashTable)
    """Requests under which upstreams crashed."""
    state_changes: StateChangeQueue = attrs.field(factory=StateChangeQueue)
    """State changes of upstreams that are not logged yet."""
    warmups: WarmupBudget = attrs.field(factory=WarmupBudget)
    """Bound of the requests to cold upstreams."""
    _trackers: TrackerTable = attrs.field(
        default=attrs.Factory(lambda self: TrackerTable(self.warmups), True)
    )
    _waiting: WaitingRequests = attrs.field(
        default=attrs.Factory(lambda self: WaitingRequests(self.quota.waiting), True)
    )
    _order: QueueOrder = attrs.field(factory=QueueOrder)
    _states: defaultdict[str, ServiceState] = attrs.field(
        factory=lambda: defaultdict(ServiceState)
    )
    demands: DemandTable = attrs.field(init=False)
    """Recent requests of the services, and how many of them were not served."""
    lent: LentSlots = attrs.field(init=False)
    """Slots that VMs keep for further requests."""
    _ledger: SlotLedger = attrs.field(init=False)
    _outcomes: OutcomeRecorder = attrs.field(init=False)
    _granter: SlotGranter = attrs.field(init=False)
    _planner: WaitPlanner = attrs.field(init=False)
    retries: RetryQueue = attrs.field(init=False)
    """Retries that wait for the budget."""

    def __attrs_post_init__(self) -> None:
        self.demands = DemandTable(self._demand)
        self._ledger = SlotLedger(self._trackers, self._order)
        self._outcomes = OutcomeRecorder(
            self._trackers,
            self.quota,
            self.state_changes,
            self.demands,
            self.elapsed,
        )
        state = self._states.__getitem__
        self._granter = SlotGranter(
            self.chooser, self.quota, self._ledger, self._outcomes, state
        )
        self._planner = WaitPlanner(
            self._trackers,
            self._waiting,
            self._order,
            self.elapsed,
            self._outcomes.expected_s,
            self._demand,
        )
        self.retries = RetryQueue(self.budget, self._outcomes.rejections)
        self.lent = LentSlots(
            self._ledger, self._outcomes.record, self.count_first_attempt
        )

    def set_share(
        self,
        share: float,
        mature_share: float,
        now_s: float,
        valid_s: float = math.inf,
        customer_shares: tuple[float, float] | None = None,
    ) -> None:
        """Set the fraction of fleet-wide limits that this scheduler may use.

        Args:
            share: The fraction, 0 to 1.
            mature_share: The part of it that was held for a window or longer.
            now_s: Current time (seconds).
            valid_s: Time after which the fraction is 0 unless set again (seconds).
            customer_shares: Both for limits of customers; ``None`` for the same.
        """
        self.quota.set_share(*customer_shares or (share, mature_share), now_s, valid_s)
        self.budget.set_share(share, now_s, valid_s)
        self.warmups.set_share(share, now_s, valid_s)

    def set_place(self, place: VmPlace | None) -> None:
        """Set the place by which a VM without a broker uses slots; ``None`` for a broker."""
        self._trackers.set_place(place)

    # Upstreams

    def replace_upstreams(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Replace the upstreams; those that did not restart keep their statistics."""
        self._trackers.replace(upstreams, now_s, self.chooser.random.random)
        self._update_working_sets(now_s, has_changed=True)

    def tracker(self, name: str) -> UpstreamTracker | None:
        """Return the tracker of an upstream; ``None`` if it is not listed."""
        return self._trackers.get(name)

    def trackers(self) -> Iterable[UpstreamTracker]:
        """Return the trackers of all listed upstreams."""
        return self._trackers.all()

    def record_pause(
        self, name: str, start_time_ms: int, vm: str, until_s: float
    ) -> None:
        """Record until when a start of an upstream wants no requests of a VM."""
        self._trackers.record_pause(name, start_time_ms, vm, until_s)

    def record_cold(
        self, name: str, start_time_ms: int, until_s: float, now_s: float
    ) -> bool:
        """Record until when a start of an upstream is cold; tell whether it was not."""
        return self._trackers.record_cold(name, start_time_ms, until_s, now_s)

    def refile_upstreams(self) -> None:
        """Take over states of upstreams that were changed from outside."""
        for _, pool in self._trackers.pools():
            pool.file_all()

    # Requests

    def request_slot(self, request: SlotRequest, now_s: float) -> Decision:
        """Grant a slot, queue the request or refuse it.

        A repeated request keeps its slot or its place and is not counted again.
        """
        key = (request.vm, request.slot_request_id)
        granted = self._ledger.grants.get(key)
        if granted is not None:
            upstream = granted.tracker.upstream
            return Granted(
                upstream, GrantReason.BEST, self._outcomes.expected_s(request)
            )
        queue = self._waiting.queue(request.service)
        if key in queue or key in self.retries:
            return Queued(len(queue))
        if request.fingerprint and not self.crashes.try_acquire(
            request.fingerprint, now_s
        ):
            retry_after_s = self.crashes.retry_after_s(request.fingerprint, now_s)
            return Refused(RefusalReason.CRASHES_UPSTREAMS, retry_after_s)
        if request.attempt == 1:
            self.demands.count_request(request, now_s)
            if not self.quota.has_room(request.customer, now_s):
                entry = QueueEntry(request, now_s)
                if self._can_wait_for_token(entry, now_s):
                    self.budget.count_request(request.service, now_s)
                    self._queue_request(key, entry)
                    return Queued(len(queue))
                self.demands.count_unserved(request, now_s)
                return self.quota.refuse(request.customer, now_s)
            self._count_allowed(request, now_s)
        return self._place_or_refuse(request, now_s)

    def count_first_attempt(self, request: SlotRequest, now_s: float) -> None:
        """Count a request that another VM placed on a slot lent to it."""
        self.demands.count_request(request, now_s)
        self._count_allowed(request, now_s)

    def _count_allowed(self, request: SlotRequest, now_s: float) -> None:
        """Count a first attempt that its customer's limit allows."""
        self._order.count_asked(request, now_s)
        self._demand(request.service).arrivals.count(now_s)
        self.budget.count_request(request.service, now_s)

    def _count_refused(
        self, request: SlotRequest, refused: Refused, now_s: float
    ) -> None:
        """Count a refusal; one for want of upstreams at home says nothing of others."""
        if request.zones is None or refused.reason is not RefusalReason.NO_UPSTREAM:
            self.demands.count_unserved(request, now_s)

    def _demand(self, service: str) -> ServiceDemand:
        return self._states[service].demand

    def is_known(self, key: SlotRequestKey) -> bool:
        """Tell whether a slot request holds a slot or waits for one."""
        is_waiting = key in self._waiting or key in self.retries
        return is_waiting or key in self._ledger.grants

    def _can_wait_for_token(self, entry: QueueEntry, now_s: float) -> bool:
        """Tell whether a request waits for shares of the limits that are on their way.

        One that gets no token before it misses its target is late from now on, and
        leaves the tokens that come to those that can meet theirs.
        """
        request, quota = entry.request, self.quota
        if not quota.is_growing or request.attempt > 1:
            return False
        expected_s = self._outcomes.expected_s(request)
        token_s = now_s + quota.retry_after_s(request.customer, now_s)
        if not entry.is_late and token_s <= entry.latest_start_s(expected_s):
            return True
        ahead = self._waiting.customer_count(request.service, request.customer)
        token_s = now_s + quota.retry_after_s(request.customer, now_s, ahead)
        if token_s > entry.last_start_s(expected_s):
            return False
        entry.is_late = True
        self._waiting.release_token(entry)
        return True

    def release(
        self,
        key: SlotRequestKey,
        outcome: Outcome,
        elapsed_s: float,
        now_s: float,
        transferred_bytes: int = 0,
        rate_limit_per_s: float | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Free the slot and record the outcome, or remove the request from a queue.

        Args:
            key: The slot request.
            outcome: How the attempt ended.
            elapsed_s: Time since the slot was granted (seconds).
            now_s: Current time (seconds).
            transferred_bytes: As in ``LentUse``, like the arguments behind it.
        """
        grant = self._ledger.free(key)
        if grant is None:
            self.retries.remove(key)
            if (entry := self._waiting.remove(key)) is not None:
                self.retries.give_back(entry.request, now_s)
            return
        if outcome is Outcome.CONNECT_FAILED:
            self.retries.give_back(grant.request, now_s)
        stated = (transferred_bytes, rate_limit_per_s, pause_s)
        self._outcomes.record(grant, outcome, elapsed_s, now_s, *stated)

    def free_slot(self, key: SlotRequestKey) -> None:
        """Free a slot on which no request runs; an unknown one is ignored."""
        self._ledger.free(key)

    def room(self, service: str, now_s: float) -> ServiceRoom:
        """Return the slots of a service in use, and how many there are."""
        pool = self._trackers.pool(service)
        return ServiceRoom(
            pool.healthy_slots,
            pool.healthy_in_use,
            len(self._waiting.queue(service)),
            len(pool.trackers),
            self._states[service].demand.is_underserved(now_s),
        )

    def services_to_spread(self, now_s: float) -> list[str]:
        """Return underserved services of which a healthy upstream is left out."""
        return [
            service
            for service, pool in self._trackers.pools()
            if self._states[service].demand.is_underserved(now_s)
            and leaves_out_upstreams(pool, now_s)
        ]

    def record_rate_limit(
        self, name: str, rate_per_s: float, stated_s: float, now_s: float
    ) -> None:
        """Record a rate limit that an upstream stated to another VM."""
        self._outcomes.stated_limits.record_report(name, rate_per_s, stated_s, now_s)

    def register_grant(
        self, request: SlotRequest, upstream_name: str, now_s: float
    ) -> None:
        """Register a slot granted by another scheduler, if its upstream is listed."""
        self._ledger.register(request, upstream_name, now_s)

    def release_unlisted(
        self, vm: str, slot_request_ids: frozenset[int], granted_before_s: float
    ) -> None:
        """Free the slots granted before a time that a VM no longer lists as held."""
        self._ledger.free_unlisted(vm, slot_request_ids, granted_before_s)

    def held_slots(self, vm: str) -> Iterator[tuple[int, str, str, str]]:
        """Return identifier, upstream, route and customer of each slot of a VM."""
        return self._ledger.grants.held_slots(vm)

    def remove_vm(self, vm: str) -> None:
        """Free the slots of a VM and remove its queued requests."""
        self._ledger.free_vm(vm)
        self._waiting.remove_vm(vm)
        self.retries.remove_vm(vm)

    def advance(
        self, now_s: float
    ) -> Iterator[tuple[SlotRequestKey, Granted | Refused]]:
        """Grant free slots to queued requests; refuse those past their latest start."""
        for request, refused in list(self.retries.due(now_s)):
            decision = refused or self._place_or_refuse(request, now_s, is_counted=True)
            if not isinstance(decision, Queued):
                yield request.key, decision
        changed, self._ledger.changed = self._ledger.changed, set()
        for service, queue in self._waiting.services():
            index = self._states[service].queue_index
            if queue and (service in changed or index.is_due(len(queue), now_s)):
                yield from self._advance_service(service, queue, now_s)

    def observe_running(self, now_s: float) -> None:
        """Update acceptance and slowness of upstreams from their running requests."""
        self.warmups.expire(now_s)
        share, changes = self.warmups.share, self.state_changes
        grants, expected_s = self._ledger.grants, self._outcomes.expected_s
        observe_grants(self._trackers, grants, expected_s, share, changes, now_s)
        self._update_working_sets(now_s)

    def _update_working_sets(self, now_s: float, has_changed: bool = False) -> None:
        for service, pool in self._trackers.pools():
            sets = self._states[service].working_sets
            if has_changed or sets.is_due(len(self._trackers), now_s):
                sets.update(pool, self.elapsed.slot_time_s(service), now_s)

    def queued_services(self, now_s: float) -> Iterator[ServiceLoad]:
        """Yield the load of each service that has requests in its queue."""
        for service, queue in self._waiting.services():
            if queue:
                trackers = self._trackers.pool(service).trackers
                below = self._order.below_floor_count(service)
                yield measure_load(service, queue.values(), trackers, below, now_s)

    def waiting_services(self) -> list[str]:
        """Return the services that have requests in their queues."""
        return [service for service, queue in self._waiting.services() if queue]

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait for a slot, or for the retry budget."""
        return len(self._waiting) + len(self.retries)

    @property
    def granted_count(self) -> int:
        """Number of slots in use."""
        return len(self._ledger.grants)

    # Decisions

    def _place_or_refuse(
        self, request: SlotRequest, now_s: float, is_counted: bool = False
    ) -> Decision:
        """Decide on a request; a retry may have been counted by its budget before."""
        decision: Decision | None = None
        if request.attempt > 1 and not is_counted:
            expected_s = self._outcomes.expected_s(request)
            decision = self.retries.decide(request, expected_s, now_s)
        if decision is None:
            decision = self._place(request, now_s)
            if isinstance(decision, Refused):
                self.retries.give_back(request, now_s)
        if isinstance(decision, Refused):
            self._count_refused(request, decision, now_s)
        return decision

    def _place(self, request: SlotRequest, now_s: float) -> Decision:
        queue = self._waiting.queue(request.service)
        pool = self._trackers.pool(request.service).within(request.zones)
        if not pool.trackers:
            return Refused(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
        index = self._states[request.service].queue_index
        ahead = index.count_ahead(queue, self._order, request, now_s)
        if not ahead or (index.is_stalled and pool.has_free_slot(now_s)):
            granted = self._granter.grant(request, pool, now_s)
            if granted is not None:
                return granted
        entry = self._planner.plan(request, ahead, now_s)
        if isinstance(entry, Refused) or entry.is_late:
            degraded = self._granter.grant_degraded(request, pool, now_s)
            if degraded is not None:
                return degraded
        if isinstance(entry, Refused):
            return entry
        self._queue_request((request.vm, request.slot_request_id), entry)
        return Queued(ahead)

    def _queue_request(self, key: SlotRequestKey, entry: QueueEntry) -> None:
        self._waiting.add(key, entry)
        service = entry.request.service
        index, queue = self._states[service].queue_index, self._waiting.queue(service)
        index.add(key, entry, queue, self._order)

    def _advance_service(
        self, service: str, queue: dict[SlotRequestKey, QueueEntry], now_s: float
    ) -> Iterator[tuple[SlotRequestKey, Granted | Refused]]:
        pool, index = self._trackers.pool(service), self._states[service].queue_index
        if pool.may_start(now_s):
            customers = self._waiting.customers(service)
            self._order.update_shares(service, customers, now_s)
        queue_pass = QueuePass(pool, index, index.is_due(len(queue), now_s), now_s)
        for key, entry in queue_pass.entries(queue, self._order):
            if not self._granter.has_token(entry.request, now_s):
                index.leave_out(entry.request.customer)
                continue
            within = pool.within(entry.request.zones)
            granted = self._granter.grant(entry.request, within, now_s)
            if granted is None:
                queue_pass.pass_over(entry.request)
                continue
            self._planner.record(entry, now_s)
            self._waiting.remove(key)
            yield key, granted
        queue_pass.finish()
        if pool.trackers and not index.is_late_check_due(len(queue), now_s):
            return
        late = [
            (key, entry)
            for key, entry in queue.items()
            if not pool.within(entry.request.zones).trackers
            or now_s > entry.latest_start_s(self._outcomes.expected_s(entry.request))
        ]
        for key, entry in late:
            if not entry.is_late and self._planner.may_be_late(entry, now_s):
                self._planner.record(entry, now_s)
                entry.is_late = True
                continue
            if not entry.is_late and self._can_wait_for_token(entry, now_s):
                continue
            self._waiting.remove(key)
            decision = self._decide_late(entry, pool, len(queue), now_s)
            if isinstance(decision, Refused):
                self.retries.give_back(entry.request, now_s)
            yield key, decision

    def _decide_late(
        self, entry: QueueEntry, pool: UpstreamPool, ahead: int, now_s: float
    ) -> Granted | Refused:
        """Decide on a request that has waited as long as it may."""
        request = entry.request
        pool = pool.within(request.zones)
        if not pool.trackers:
            refused = Refused(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
            self._count_refused(request, refused, now_s)
            return refused
        if not self._granter.has_token(request, now_s):
            self.demands.count_unserved(request, now_s)
            return self.quota.refuse(request.customer, now_s)
        self._planner.record(entry, now_s)
        if degraded := self._granter.grant_degraded(request, pool, now_s):
            return degraded
        self.demands.count_unserved(request, now_s)
        return self._planner.refuse_late(request, pool, ahead, now_s)
