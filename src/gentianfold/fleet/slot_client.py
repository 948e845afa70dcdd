"""Obtains slots for the requests of one VM, from the broker or its own scheduler."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.clock import BootClock, Clock
from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import (
    ReleaseSlot,
    SlotGranted,
    SlotQueued,
    SlotRefused,
    to_acquire_slot,
)
from gentianfold.fleet.older_broker import exclude_withdrawn
from gentianfold.fleet.pending_request import (
    PendingRequest,
    PlacementDecision,
    to_decision,
    to_placement,
)
from gentianfold.fleet.process_number import (
    NOT_STATED,
    is_other_process,
    new_identifiers,
)
from gentianfold.fleet.resend_pace import (
    MAX_QUEUED_RETRY_S,
    REQUEST_RETRY_S,
    ResendPace,
)
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.queue_entry import QueueEntry
from gentianfold.placement.slot_request import (
    LIMIT_ELSEWHERE_RETRY_S,
    Granted,
    RefusalReason,
    Refused,
    SlotRequest,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.fleet.node_loans import NodeLoans
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_scheduler import SlotScheduler

MAX_UNANSWERED_REQUESTS = 3
"""Consecutive unacknowledged requests after which a slot is assigned locally if this VM
may grant it (count)."""
BROKER_WAIT_S = 0.05
"""Time between two checks for a broker (seconds)."""
DEADLINE_MARGIN_S = 0.5
"""Time past a request's deadline after which its wait for a slot is cancelled
(seconds); a safeguard against lost decisions."""

STOPPING = Refused(RefusalReason.STOPPING, 0.05)
"""Refusal by a VM that is about to end; another VM can take the request at once."""
LIMIT_ELSEWHERE = Refused(RefusalReason.LIMIT_ELSEWHERE, LIMIT_ELSEWHERE_RETRY_S)
"""Refusal by a VM that found no broker for a customer with a limit."""
MAX_PAUSE_S = 0.25
"""Time without a tick or a reply after which grants count as received late (seconds):
five ticks, and half of the age up to which a grant of a cold upstream is used."""


@attrs.define(eq=False, repr=False)
class SlotClient:
    """Requests slots and keeps the requests that await a decision."""

    vm: str
    """Address of this VM."""
    scheduler: SlotScheduler
    """Assigns slots without a broker, and registers those that it granted."""
    membership: Membership
    """Role of this VM and the broker that it uses."""
    transport: Transport
    """Sends messages to the broker."""
    is_withdrawn: Callable[[Placement], bool]
    """Tells whether the upstream of a grant takes no requests of this VM."""
    clock: Clock = attrs.field(factory=BootClock)
    """Measures the age of grants; advances while the VM is suspended."""
    loans: NodeLoans | None = None
    """Places requests on slots that the broker has lent; ``None`` for no loans."""
    pace: ResendPace = attrs.field(factory=ResendPace)
    """Decides when unanswered requests are sent again."""
    process: int = NOT_STATED
    """Number of this process."""
    rejected: Counter[str] = attrs.field(factory=Counter)
    """Grants that this VM returned as they don't fit its requests, by what differs:
    ``process``, ``broker`` or ``service``."""
    _slot_request_ids: Iterator[int] = attrs.field(factory=new_identifiers)
    _pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    _granted_by: dict[int, str] = attrs.field(factory=dict)
    _new_requests: set[anyio.CancelScope] = attrs.field(factory=set)
    _refuses_new: bool = False
    _active_s: float = math.inf
    _resumed_s: float = -math.inf

    def next_slot_request_id(self) -> int:
        """Return an identifier for a slot request, unique on this VM.

        Those of an earlier process of the VM, which may still be answered, differ.
        """
        return next(self._slot_request_ids)

    async def place(self, request: SlotRequest) -> Placement | Refused:
        """Wait for a slot; assign one locally if the broker does not answer."""
        if request.attempt > 1:
            return await self._place(request)
        if self._refuses_new:
            return STOPPING
        if self.loans is not None:
            lent = self.loans.place(request)
            if lent is not None:
                return lent
        with anyio.CancelScope() as scope:
            self._new_requests.add(scope)
            try:
                placed = await self._place(request)
            finally:
                self._new_requests.discard(scope)
            if self.loans is not None and _is_undecided(placed):
                self.loans.record_unserved(request)
            return placed
        return STOPPING

    def refuse_new_requests(self) -> None:
        """Refuse requests that no upstream got yet: the end of the VM would cut them."""
        self._refuses_new = True
        for scope in self._new_requests:
            scope.cancel()

    async def _place(self, request: SlotRequest) -> Placement | Refused:
        """Ask the broker, or assign a slot locally if this VM may grant the request.

        While another VM holds the customer's rate limit, the request waits for a broker
        as long as it can still meet its target.
        """
        asked, asked_s = request, self._now_s()
        latest_s = QueueEntry(request, asked_s).latest_start_s(0.0)
        while True:
            now_s = self._now_s()
            if self.membership.role is Role.MEMBER and (
                self.membership.has_live_broker(now_s)
            ):
                broker = self.membership.broker
                decision = await self._request_from_broker(request, latest_s)
                if self._decides_instead(request, decision):
                    decision = ()
                if isinstance(decision, Placement | Refused):
                    return decision
                waited_s = self._now_s() - asked_s
                request = attrs.evolve(
                    asked,
                    slot_request_id=self.next_slot_request_id(),
                    excluded=request.excluded + decision,
                    time_left_s=asked.time_left_s - waited_s,
                    target_left_s=asked.target_left_s - waited_s,
                )
                if self._has_broker_after(broker):
                    continue
            if self._may_place_locally(request):
                return await self._place_locally(request)
            if self._now_s() >= latest_s:
                logger.info(
                    "fleet: no broker for a request of customer {}, waited_ms={:.0f}",
                    request.customer,
                    (self._now_s() - asked_s) * 1000,
                )
                return LIMIT_ELSEWHERE
            await anyio.sleep(BROKER_WAIT_S)

    def _has_broker_after(self, broker: str | None) -> bool:
        """Tell whether another broker has taken the place of one, and can be asked."""
        membership = self.membership
        is_other = membership.role is Role.MEMBER and membership.broker != broker
        return is_other and membership.has_live_broker(self._now_s())

    def _may_place_locally(self, request: SlotRequest) -> bool:
        """Tell whether this VM holds a part of the limits that the request needs."""
        quota = self.scheduler.quota
        has_share = self.membership.role is Role.BROKER or quota.share > 0
        return has_share or request.attempt > 1 or not quota.has_limit(request.customer)

    def _decides_instead(
        self, request: SlotRequest, decision: Placement | Refused | tuple[str, ...]
    ) -> bool:
        """Tell whether this VM places a request that its broker had no time for."""
        return (
            isinstance(decision, Refused)
            and decision.reason is RefusalReason.BROKER_BEHIND
            and self._may_place_locally(request)
        )

    async def _request_from_broker(
        self, request: SlotRequest, latest_s: float
    ) -> Placement | Refused | tuple[str, ...]:
        """Request a slot from the broker.

        Args:
            request: The request.
            latest_s: Time from which an answer is of no use (event loop time, seconds).

        Returns:
            The decision; without one, the unusable upstream that the broker granted, or
            nothing if it did not decide in time.
        """
        broker, asked_s = self.membership.broker, self._now_s()
        if broker is None:
            return ()
        if self.membership.has_older_broker:
            upstreams = (row.upstream for row in self.scheduler.trackers())
            asked = exclude_withdrawn(
                request, broker, upstreams, self.is_withdrawn, self.clock.now_s()
            )
            if isinstance(asked, Refused):
                return asked
            request = asked
        pending = self._add_pending(request)
        pending.broker = broker
        deadline_s = asked_s + request.time_left_s + DEADLINE_MARGIN_S
        unanswered, sent_s = 0, -math.inf
        self.pace.count_request()
        try:
            while self._now_s() < deadline_s:
                is_due = self._now_s() - sent_s >= MAX_QUEUED_RETRY_S
                is_sent = is_due or self.pace.try_resend()
                # A place that can't be confirmed for want of tokens is not lost.
                pending.acknowledged = pending.is_queued and not is_sent
                if is_sent:
                    sent_s = self._now_s()
                    age_s = sent_s - asked_s
                    pending.record_sent(self.clock.now_s())
                    message = to_acquire_slot(request, age_s, self.process)
                    self.transport.send(broker, message)
                decision = await pending.await_decision(unanswered, self.pace)
                if decision is not None:
                    return self._accept_grant(request, decision, broker)
                unanswered = 0 if pending.acknowledged else unanswered + 1
                has_answer = pending.acknowledged and is_sent
                if not has_answer and self._gives_up(pending, unanswered, latest_s):
                    break
            self.membership.expedite_heartbeat(self._now_s())
            self._withdraw(broker, request.slot_request_id)
            return ()
        except BaseException:
            self._withdraw(broker, request.slot_request_id)
            raise
        finally:
            self._pending.pop(request.slot_request_id, None)

    def _gives_up(
        self, pending: PendingRequest, unanswered: int, latest_s: float
    ) -> bool:
        """Tell whether a request that a broker leaves unanswered is withdrawn.

        One that has a place in its queue is not given up for one lost datagram.
        """
        now_s = self._now_s()
        membership = self.membership
        if membership.broker != pending.broker or (
            not membership.has_live_broker(now_s)
        ):
            return True
        if self._may_place_locally(pending.request) or pending.is_queued:
            return unanswered >= MAX_UNANSWERED_REQUESTS
        return unanswered > 0 and now_s >= latest_s

    def _accept_grant(
        self, request: SlotRequest, decision: PlacementDecision, broker: str
    ) -> Placement | Refused | tuple[str, ...]:
        """Register a granted slot, or return it if the upstream is unusable.

        This VM may know of a drain or deletion earlier than the broker.
        """
        if isinstance(decision, Refused):
            return decision
        tracker = self.scheduler.tracker(decision.upstream)
        if tracker is not None and tracker.upstream.service != request.service:
            self._reject(broker, request.slot_request_id, self.process, "service")
            return (decision.upstream,)
        if request.zones is not None:
            # A broker of an older build doesn't know of them.
            decision = attrs.evolve(decision, zones=request.zones)
        if self.is_withdrawn(decision):
            logger.info(
                "fleet: broker {} granted a slot of {}, which takes no requests",
                broker,
                decision.upstream,
            )
            self._withdraw(broker, request.slot_request_id)
            return (decision.upstream,)
        self.scheduler.register_grant(request, decision.upstream, self._now_s())
        self._granted_by[request.slot_request_id] = broker
        if self.loans is not None:
            self.loans.borrow(request, decision)
        return decision

    async def _place_locally(self, request: SlotRequest) -> Placement | Refused:
        """Assign a slot with this VM's own scheduler, waiting if necessary."""
        now_s = self._now_s()
        decision = self.scheduler.request_slot(request, now_s)
        if isinstance(decision, Refused):
            return decision
        if isinstance(decision, Granted):
            granted_by = self.membership.role.value
            return to_placement(request, decision, granted_by, self.clock.now_s())
        pending = self._add_pending(request)
        try:
            with anyio.move_on_after(request.time_left_s + DEADLINE_MARGIN_S):
                return await asyncio.shield(pending.decided)
            self._cancel_locally(request.slot_request_id)
            return Refused(RefusalReason.NO_ROOM, REQUEST_RETRY_S)
        except BaseException:
            self._cancel_locally(request.slot_request_id)
            raise
        finally:
            self._pending.pop(request.slot_request_id, None)

    def _cancel_locally(self, slot_request_id: int) -> None:
        key = (self.vm, slot_request_id)
        self.scheduler.release(key, Outcome.CANCELLED, 0.0, self._now_s())

    def _add_pending(self, request: SlotRequest) -> PendingRequest:
        decided = asyncio.get_running_loop().create_future()
        pending = PendingRequest(request, decided)
        self._pending[request.slot_request_id] = pending
        return pending

    def end_grant(self, slot_request_id: int) -> str:
        """Forget a grant; return the broker that made it, empty for this VM."""
        return self._granted_by.pop(slot_request_id, "")

    def handle_reply(
        self, vm: str, message: SlotGranted | SlotRefused | SlotQueued, now_s: float
    ) -> None:
        """Resolve a pending request; return a grant that is for no pending request.

        A suspended broker that goes on may grant what an earlier process of this VM
        requested.

        Args:
            vm: Address of the sender.
            message: The reply.
            now_s: Event loop time (seconds).
        """
        self.observe_pause()
        if not isinstance(message, SlotGranted):
            self.pace.record_behind(message.behind_ms / 1000, now_s)
        slot_request_id = message.slot_request_id
        if is_other_process(message.process, self.process):
            if isinstance(message, SlotGranted):
                self._reject(vm, slot_request_id, message.process, "process")
            return
        pending = self._pending.get(slot_request_id)
        if pending is None or pending.decided.done():
            if isinstance(message, SlotGranted) and (
                slot_request_id not in self._granted_by
            ):
                self._withdraw(vm, slot_request_id)
            return
        if pending.broker != vm:
            if isinstance(message, SlotGranted):
                self._reject(vm, slot_request_id, self.process, "broker")
            return
        pending.acknowledged = True
        if isinstance(message, SlotQueued):
            pending.record_queued()
            return
        granted_at_s = pending.earliest_grant_s
        if granted_at_s >= self._resumed_s:
            granted_at_s = self.clock.now_s()
        pending.decided.set_result(to_decision(message, vm, granted_at_s))

    def _reject(self, vm: str, slot_request_id: int, process: int, cause: str) -> None:
        """Return a grant that does not fit the request that it names.

        Args:
            vm: Address of the VM that granted the slot.
            slot_request_id: Slot request that it names.
            process: Number of the process that requested the slot.
            cause: What differs.
        """
        self.rejected[cause] += 1
        logger.warning(
            "fleet: rejected a grant of {}, cause={} slot_request={}",
            vm,
            cause,
            slot_request_id,
        )
        release = ReleaseSlot(slot_request_id, Outcome.CANCELLED, 0, process=process)
        self.transport.send(vm, release)

    def _withdraw(self, broker: str, slot_request_id: int) -> None:
        """Withdraw a slot request of this process, or return its slot."""
        release = ReleaseSlot(
            slot_request_id, Outcome.CANCELLED, 0, process=self.process
        )
        self.transport.send(broker, release)

    def observe_pause(self) -> None:
        """Notice that this VM did not run for a while; called in each tick too.

        Grants may have waited for it meanwhile.
        """
        now_s = self.clock.now_s()
        if now_s - self._active_s > MAX_PAUSE_S:
            self._resumed_s = now_s
        self._active_s = now_s

    def resolve(self, slot_request_id: int, decision: Granted | Refused) -> None:
        """Pass a decision of this VM's own scheduler to the request that awaits it."""
        pending = self._pending.get(slot_request_id)
        if pending is None or pending.decided.done():
            self._cancel_locally(slot_request_id)
        elif isinstance(decision, Granted):
            placement = to_placement(
                pending.request,
                decision,
                self.membership.role.value,
                self.clock.now_s(),
            )
            pending.decided.set_result(placement)
        else:
            pending.decided.set_result(decision)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


def _is_undecided(placed: Placement | Refused) -> bool:
    """Tell whether a request was refused without a decision of a scheduler."""
    return placed is LIMIT_ELSEWHERE or (
        isinstance(placed, Refused) and placed.reason is RefusalReason.BROKER_BEHIND
    )
