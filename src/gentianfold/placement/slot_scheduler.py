"""Grants slots of named upstreams and keeps one queue of waiting requests a service."""

from __future__ import annotations

from collections import Counter, deque
from typing import TYPE_CHECKING, TypeAlias

import attrs

from gentianfold.model import Upstream, UpstreamState
from gentianfold.placement.choice import Chooser
from gentianfold.placement.elapsed_table import ElapsedTable
from gentianfold.placement.log_entries import ServiceLoad, StateChange
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.quota_table import QuotaTable
from gentianfold.placement.retry_budget import RetryBudget
from gentianfold.placement.slot_request import (
    Granted,
    GrantReason,
    Queued,
    RefusalReason,
    Refused,
    SlotRequest,
)
from gentianfold.placement.upstream_row import UpstreamRow
from gentianfold.placement.wait_table import WaitClass, WaitTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

SHED_PAUSE_S = 0.1
"""How long an upstream that shed a request is taken for full (seconds): about one
slot of it becomes free in that time."""
MISDIRECTED_PAUSE_S = 5.0
"""How long an upstream gets nothing after another answered at its address (seconds):
its entry lapses within three of its heartbeats, 4.5 seconds at both sites."""
LATE_WAIT_FRACTION = 0.1
"""Part of its time that a request waits although it will miss its target."""
QUICK_FAILURE_S = 0.13
"""Time after which a request that has not failed was taken (seconds): longer than a
VM waits for a connection, and ten times what an upstream takes that fails at once."""
OVERDUE_FACTOR = 3.0
"""Multiple of the expected time after which a request is overdue."""
OVERDUE_SLACK_S = 0.3
"""Time on top of that (seconds), so that short requests are not overdue by jitter."""
MIN_RETRY_AFTER_S = 0.1
"""Shortest wait that a refused caller is told (seconds)."""
MAX_RUNNING_FACTOR = 6.0
"""Multiple of the usual time up to which one request under way counts against its
upstream's speed: some work is that long by itself."""

AttemptKey: TypeAlias = tuple[str, int]
"""Address of the VM and number of the attempt."""
Decision: TypeAlias = Granted | Queued | Refused
"""What becomes of a request for a slot."""


@attrs.define(eq=False)
class _Grant:
    """A slot in use."""

    request: SlotRequest
    row: UpstreamRow
    granted_s: float
    is_trial: bool
    is_accepted: bool = False


@attrs.define(eq=False)
class _QueuedRequest:
    """A request in the queue."""

    request: SlotRequest
    queued_s: float
    estimated_s: float = 0.0

    def latest_start_s(self, expected_s: float) -> float:
        """Return until when it waits.

        Under lasting overload a longer queue serves no more requests, it only makes
        all of them late. So a request waits while it can meet its target; one that
        has lost it waits a part of its time.
        """
        request = self.request
        useful_s = request.time_left_s - expected_s
        on_target_s = request.target_left_s - expected_s
        patience_s = max(on_target_s, LATE_WAIT_FRACTION * request.time_left_s)
        return self.queued_s + max(min(useful_s, patience_s), 0.0)


MAX_STATE_CHANGES = 500
"""Turns kept for the log (count): more than a fleet sees between two ticks."""


@attrs.define(eq=False)
class SlotScheduler:
    """Places the requests of a whole fleet, or those of one VM that is on its own."""

    quota: QuotaTable = attrs.field(factory=QuotaTable)
    """Buckets of the customers."""
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    """Budget of further attempts."""
    chooser: Chooser = attrs.field(factory=Chooser)
    """Chooses upstreams."""
    elapsed: ElapsedTable = attrs.field(factory=ElapsedTable)
    """Times of requests."""
    state_changes: deque[StateChange] = attrs.field(
        factory=lambda: deque(maxlen=MAX_STATE_CHANGES)
    )
    """Changes of belief, until the log has taken them."""
    _rows: dict[str, UpstreamRow] = attrs.field(factory=dict)
    _rows_by_service: dict[str, list[UpstreamRow]] = attrs.field(factory=dict)
    _grants: dict[AttemptKey, _Grant] = attrs.field(factory=dict)
    _queues: dict[str, dict[AttemptKey, _QueuedRequest]] = attrs.field(factory=dict)
    _customer_slots: Counter[tuple[str, str]] = attrs.field(factory=Counter)
    _wait_table: WaitTable = attrs.field(factory=WaitTable)
    _fair_slots: dict[str, float] = attrs.field(factory=dict)

    # Upstreams

    def replace_upstreams(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Use a new list of upstreams; evidence on those that stay is kept."""
        rows = {}
        for upstream in upstreams:
            row = self._rows.get(upstream.name)
            if row is None or row.upstream.start_time_ms != upstream.start_time_ms:
                row = UpstreamRow(upstream, now_s + upstream.warmup_remaining_s)
            row.upstream = upstream
            rows[upstream.name] = row
        self._rows = rows
        self._rows_by_service = {}
        for row in rows.values():
            if row.upstream.state is UpstreamState.LIVE:
                self._rows_by_service.setdefault(row.upstream.service, []).append(row)

    def row(self, name: str) -> UpstreamRow | None:
        """Return what is known of an upstream."""
        return self._rows.get(name)

    def rows(self) -> Iterable[UpstreamRow]:
        """Return what is known of all upstreams."""
        return self._rows.values()

    # Requests

    def request_slot(self, request: SlotRequest, now_s: float) -> Decision:
        """Grant a slot, queue the request or refuse it; repeats answer the same."""
        key = (request.vm, request.number)
        granted = self._grants.get(key)
        if granted is not None:
            expected_s = self._expected_s(request)
            return Granted(granted.row.upstream, GrantReason.BEST, expected_s)
        queue = self._queues.setdefault(request.service, {})
        if key in queue:
            return Queued(self._count_ahead(queue, request, now_s))
        if request.attempt == 1:
            if not self.quota.try_acquire(request.customer, now_s):
                retry_after_s = self.quota.retry_after_s(request.customer, now_s)
                return Refused(
                    RefusalReason.OVER_RATE, max(retry_after_s, MIN_RETRY_AFTER_S)
                )
            self.budget.count_request(request.service, now_s)
        decision = self._place_new(request, queue, now_s)
        if request.attempt == 1 and isinstance(decision, Refused):
            self.quota.refund(request.customer)
        return decision

    def release(
        self, key: AttemptKey, outcome: Outcome, elapsed_s: float, now_s: float
    ) -> None:
        """Free the slot of an attempt, or forget it if it still waits."""
        grant = self._grants.pop(key, None)
        if grant is None:
            for queue in self._queues.values():
                queue.pop(key, None)
            return
        self._free_slot(grant)
        self._record_outcome(grant, outcome, elapsed_s, now_s)

    def adopt(self, request: SlotRequest, upstream_name: str, now_s: float) -> None:
        """Take over a slot that another scheduler has granted."""
        key = (request.vm, request.number)
        row = self._rows.get(upstream_name)
        if row is None or key in self._grants:
            return
        self._hold_slot(key, _Grant(request, row, now_s, is_trial=False))

    def release_unlisted(
        self, vm: str, numbers: frozenset[int], granted_before_s: float
    ) -> None:
        """Free the slots of a VM that it does not hold any more.

        Args:
            vm: The VM.
            numbers: The attempts that it holds.
            granted_before_s: Grants later than this are too new for that list.
        """
        unlisted = [
            key
            for key, grant in self._grants.items()
            if key[0] == vm
            and key[1] not in numbers
            and grant.granted_s < granted_before_s
        ]
        for key in unlisted:
            self._free_slot(self._grants.pop(key))

    def held_slots(self, vm: str) -> Iterator[tuple[int, str, str, str]]:
        """Yield number, upstream, route and customer of a VM's slots."""
        for (owner, number), grant in self._grants.items():
            if owner == vm:
                request = grant.request
                name = grant.row.upstream.name
                yield number, name, request.route, request.customer

    def drop_vm(self, vm: str) -> None:
        """Forget the requests of a VM that is gone."""
        for key in [key for key in self._grants if key[0] == vm]:
            self._free_slot(self._grants.pop(key))
        for queue in self._queues.values():
            for key in [key for key in queue if key[0] == vm]:
                del queue[key]

    def advance(self, now_s: float) -> Iterator[tuple[AttemptKey, Granted | Refused]]:
        """Grant freed slots to waiting requests and refuse those that are too late."""
        for service, queue in self._queues.items():
            if queue:
                yield from self._advance_service(service, queue, now_s)

    def observe_running(self, now_s: float) -> None:
        """Learn from requests under way: what was taken, and how long they take."""
        for row in self._rows.values():
            row.running_s = 0.0
        for grant in self._grants.values():
            self._record_accepted(grant, now_s)
            limit_s = MAX_RUNNING_FACTOR * self._expected_s(grant.request)
            grant.row.running_s += min(now_s - grant.granted_s, limit_s)
        for row in self._rows.values():
            if row.update_slow(now_s):
                state = "slow" if row.is_slow else "no longer slow"
                self._record_state_change(row, state, "time", now_s)

    def queued_services(self, now_s: float) -> Iterator[ServiceLoad]:
        """Yield the load of each service that has requests waiting."""
        for service, queue in self._queues.items():
            if not queue:
                continue
            rows = self._rows_by_service.get(service, [])
            healthy = [row for row in rows if row.suspect_since_s is None]
            yield ServiceLoad(
                service,
                len(queue),
                len(rows),
                len(rows) - len(healthy),
                sum(row.upstream.slots for row in healthy),
                sum(row.in_use for row in healthy),
                sum(now_s < row.shed_until_s for row in healthy),
            )

    def _record_accepted(self, grant: _Grant, now_s: float) -> None:
        """Take a request that has not failed at once as a proof."""
        if grant.is_accepted or now_s - grant.granted_s < QUICK_FAILURE_S:
            return
        grant.is_accepted = True
        row = grant.row
        row.record_accepted(grant.granted_s)
        if row.failed_quickly and grant.granted_s >= row.last_failure_s:
            was_suspect = row.suspect_since_s is not None
            row.confirm_recovery()
            if was_suspect and row.suspect_since_s is None:
                self._record_state_change(row, "well", "taken", now_s)

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a slot."""
        return sum(map(len, self._queues.values()))

    @property
    def granted_count(self) -> int:
        """Slots in use."""
        return len(self._grants)

    # Steps

    def _place_new(
        self,
        request: SlotRequest,
        queue: dict[AttemptKey, _QueuedRequest],
        now_s: float,
    ) -> Decision:
        rows = self._rows_by_service.get(request.service)
        if not rows:
            return Refused(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_S)
        if request.attempt > 1 and not self.budget.try_acquire(request.service, now_s):
            return Refused(RefusalReason.RETRY_BUDGET, MIN_RETRY_AFTER_S)
        ahead = self._count_ahead(queue, request, now_s)
        if not ahead:
            granted = self._grant(request, rows, now_s)
            if granted is not None:
                return granted
        estimated_s = self._expected_wait_s(rows, request.service, ahead)
        entry = _QueuedRequest(request, now_s, estimated_s)
        wait_s = estimated_s * self._wait_table.factor(self._wait_class(entry), now_s)
        if now_s + wait_s > entry.latest_start_s(self._expected_s(request)):
            degraded = self._grant_degraded(request, rows, now_s)
            if degraded is not None:
                return degraded
            retry_after_s = max(wait_s, MIN_RETRY_AFTER_S)
            return Refused(RefusalReason.NO_ROOM, retry_after_s, ahead)
        queue[request.vm, request.number] = entry
        return Queued(ahead)

    def _advance_service(
        self, service: str, queue: dict[AttemptKey, _QueuedRequest], now_s: float
    ) -> Iterator[tuple[AttemptKey, Granted | Refused]]:
        rows = self._rows_by_service.get(service, [])
        self._update_fair_slots(service, queue)
        order = sorted(queue.items(), key=lambda item: self._sort_key(item[1]))
        for key, entry in order:
            granted = self._grant(entry.request, rows, now_s)
            if granted is not None:
                self._record_wait(entry, now_s)
                del queue[key]
                yield key, granted
                continue
            if now_s > entry.latest_start_s(self._expected_s(entry.request)):
                self._record_wait(entry, now_s)
                del queue[key]
                degraded = self._grant_degraded(entry.request, rows, now_s)
                if degraded is not None:
                    yield key, degraded
                    continue
                if entry.request.attempt == 1:
                    self.quota.refund(entry.request.customer)
                wait_s = self._expected_wait_s(rows, service, len(queue))
                retry_after_s = max(wait_s, MIN_RETRY_AFTER_S)
                yield key, Refused(RefusalReason.NO_ROOM, retry_after_s, len(queue))

    def _grant(
        self,
        request: SlotRequest,
        rows: list[UpstreamRow],
        now_s: float,
    ) -> Granted | None:
        may_explore = request.idempotent and request.attempt == 1
        expected_s = self._expected_s(request)
        choice = self.chooser.choose(rows, request, now_s, may_explore, expected_s)
        if choice is None:
            return None
        return self._grant_choice(request, choice, now_s)

    def _grant_degraded(
        self, request: SlotRequest, rows: list[UpstreamRow], now_s: float
    ) -> Granted | None:
        """Grant a slot of an upstream that fails in part, instead of a refusal."""
        expected_s = self._expected_s(request)
        choice = self.chooser.choose_degraded(rows, request, now_s, expected_s)
        return self._grant_choice(request, choice, now_s) if choice else None

    def _grant_choice(
        self,
        request: SlotRequest,
        choice: tuple[UpstreamRow, GrantReason, int],
        now_s: float,
    ) -> Granted:
        row, reason, candidate_count = choice
        is_trial = row.suspect_since_s is not None
        self._hold_slot(
            (request.vm, request.number), _Grant(request, row, now_s, is_trial)
        )
        return Granted(row.upstream, reason, self._expected_s(request), candidate_count)

    def _hold_slot(self, key: AttemptKey, grant: _Grant) -> None:
        self._grants[key] = grant
        grant.row.in_use += 1
        grant.row.last_used_s = grant.granted_s
        grant.row.trials_in_use += grant.is_trial
        self._customer_slots[grant.request.service, grant.request.customer] += 1

    def _free_slot(self, grant: _Grant) -> None:
        grant.row.in_use -= 1
        if not grant.row.in_use:
            grant.row.running_s = 0.0
        grant.row.trials_in_use -= grant.is_trial
        self._customer_slots[grant.request.service, grant.request.customer] -= 1

    def _record_outcome(
        self, grant: _Grant, outcome: Outcome, elapsed_s: float, now_s: float
    ) -> None:
        row = grant.row
        was_suspect = row.suspect_since_s is not None
        self._apply_outcome(grant, outcome, elapsed_s, now_s)
        is_suspect = row.suspect_since_s is not None
        if was_suspect != is_suspect:
            state = "suspect" if is_suspect else "well"
            self._record_state_change(row, state, outcome.name.lower(), now_s)

    def _record_state_change(
        self, row: UpstreamRow, state: str, cause: str, now_s: float
    ) -> None:
        """Keep for the log that something else is believed of an upstream."""
        self.state_changes.append(
            StateChange(
                row.upstream.name,
                state,
                cause,
                row.slowness(now_s),
                row.recent_failures(now_s),
                now_s - row.last_accepted_s,
            )
        )

    def _apply_outcome(
        self, grant: _Grant, outcome: Outcome, elapsed_s: float, now_s: float
    ) -> None:
        row, request = grant.row, grant.request
        if outcome is Outcome.SUCCEEDED:
            row.record_success(grant.granted_s, is_uncounted=not grant.is_accepted)
            row.record_elapsed(elapsed_s, self._expected_s(request), now_s)
            self.elapsed.record(request.service, request.route, elapsed_s)
        elif outcome is Outcome.FAILED:
            row.record_failure(now_s, elapsed_s < QUICK_FAILURE_S)
        elif outcome is Outcome.CANCELLED:
            row.record_elapsed(elapsed_s, 0.0, now_s)
        elif outcome is Outcome.TIMED_OUT:
            row.record_elapsed(elapsed_s, 0.0, now_s)
            usual_s = self.elapsed.slot_time_s(request.service)
            is_long = elapsed_s > OVERDUE_FACTOR * usual_s + OVERDUE_SLACK_S
            if is_long and row.last_accepted_s <= grant.granted_s:
                # A short timeout is the route's doing, and an upstream that took
                # other requests since is not the cause.
                row.record_failure(now_s, was_quick=False)
        elif outcome is Outcome.SHED:
            row.shed_until_s = now_s + SHED_PAUSE_S
        elif outcome is Outcome.MISDIRECTED:
            row.shed_until_s = now_s + MISDIRECTED_PAUSE_S
        elif outcome is Outcome.CONNECT_FAILED:
            row.record_connect_failure(request.vm, now_s)

    def _expected_s(self, request: SlotRequest) -> float:
        target_s = max(request.target_left_s, 0.1)
        return self.elapsed.expected_s(request.route, target_s)

    def _expected_wait_s(
        self, rows: list[UpstreamRow], service: str, ahead: int
    ) -> float:
        """Return when a request with so many before it may start (seconds)."""
        held = sum(row.in_use for row in rows if row.suspect_since_s is None)
        return (ahead + 1) * self.elapsed.slot_time_s(service) / max(held, 1)

    def _sort_key(self, entry: _QueuedRequest) -> tuple[int, bool, int, int, float]:
        """Order by urgency, then by the customer's share, the route and age.

        A customer's priority makes all of its kinds equal, so the routes' priorities
        order them: else long work that can wait keeps out short work that can't.
        """
        request = entry.request
        held = self._customer_slots[request.service, request.customer]
        return *self._wait_class(entry)[1:], held, entry.queued_s

    def _wait_class(self, entry: _QueuedRequest) -> WaitClass:
        request = entry.request
        held = self._customer_slots[request.service, request.customer]
        is_over = held > self._fair_slots.get(request.service, 0.0)
        return request.service, request.priority, is_over, request.route_priority

    def _record_wait(self, entry: _QueuedRequest, now_s: float) -> None:
        waited_s = now_s - entry.queued_s
        self._wait_table.record(
            self._wait_class(entry), entry.estimated_s, waited_s, now_s
        )

    def _count_ahead(
        self,
        queue: dict[AttemptKey, _QueuedRequest],
        request: SlotRequest,
        now_s: float,
    ) -> int:
        sort_key = self._sort_key(_QueuedRequest(request, now_s))
        return sum(self._sort_key(entry) < sort_key for entry in queue.values())

    def _update_fair_slots(
        self, service: str, queue: dict[AttemptKey, _QueuedRequest]
    ) -> None:
        """Divide the slots in use by the customers that hold or want some."""
        held = {
            customer: count
            for (of_service, customer), count in self._customer_slots.items()
            if of_service == service and count > 0
        }
        waiting = {entry.request.customer for entry in queue.values()}
        count = len(waiting | held.keys())
        self._fair_slots[service] = sum(held.values()) / max(count, 1)


NO_UPSTREAM_RETRY_S = 0.5
"""When a caller should come back to a service without upstreams (seconds): upstreams
that restart are listed within about a second."""
