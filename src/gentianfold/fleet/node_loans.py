"""Places requests of one VM on slots and tokens that the broker has lent to it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.membership import Membership, Role
from gentianfold.fleet.messages import (
    RecallSlots,
    ReleaseSlot,
    SlotUse,
    SlotUses,
)
from gentianfold.fleet.process_number import NOT_STATED
from gentianfold.fleet.slot_stock import LentSlot, SlotStock
from gentianfold.fleet.token_stock import TokenStock
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.rate_limiter import UNLIMITED

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.clock import Clock
    from gentianfold.fleet.token_ask import TokenAsk
    from gentianfold.fleet.transport import Transport
    from gentianfold.forwarding.placer import Placement
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.slot_scheduler import SlotScheduler

LENT = "lent"
"""Stands for the broker in placements on lent slots."""
WISH_TERM_S = 3.0
"""Time after a slot was lent for which the VM asks for tokens (seconds): longer than the
longest term of a slot."""
MAX_USES = 12
"""Uses that are reported in one message (count)."""


@attrs.define(eq=False, repr=False)
class NodeLoans:
    """Lent slots and tokens of a VM; tells the broker how they are used."""

    scheduler: SlotScheduler
    """Scheduler of this VM, which keeps evidence of its own and knows the limits."""
    membership: Membership
    """The broker that this VM uses."""
    transport: Transport
    """Sends reports to the broker."""
    clock: Clock
    """Clock of the terms; advances while the VM is suspended."""
    is_withdrawn: Callable[[Placement], bool]
    """Tells whether the upstream of a placement takes no requests of this VM."""
    loop_time_s: Callable[[], float]
    """Returns the event loop time (seconds)."""
    process: int = NOT_STATED
    """Number of this process."""
    slots: SlotStock = attrs.field(init=False)
    """Lent slots."""
    tokens: TokenStock = attrs.field(factory=TokenStock)
    """Lent tokens of customers' rate limits."""
    placed_count: int = 0
    """Requests placed on lent slots since the start (count)."""
    _borrowed_s: float = -math.inf
    _uses: list[SlotUse] = attrs.field(factory=list)
    _returned: list[int] = attrs.field(factory=list)
    _unserved: Counter[tuple[str, str, bool]] = attrs.field(factory=Counter)

    def __attrs_post_init__(self) -> None:
        self.slots = SlotStock(self._is_usable)

    def _is_usable(self, placement: Placement) -> bool:
        """Tell whether a lent slot may be used; cold upstreams need a new grant."""
        tracker = self.scheduler.tracker(placement.upstream)
        return (
            tracker is not None
            and not tracker.is_cold(self.loop_time_s())
            and not self.is_withdrawn(placement)
        )

    def place(self, request: SlotRequest) -> Placement | None:
        """Place the first attempt of a request on a lent slot.

        Returns:
            The placement; ``None`` if the VM holds no slot, or no token where the
            customer has a limit.
        """
        if request.attempt > 1 or self.membership.role is Role.BROKER:
            return None
        now_s = self.clock.now_s()
        self.slots.record_arrival(request.service, now_s)
        has_limit = self.scheduler.quota.has_limit(request.customer)
        if has_limit:
            self.tokens.record_arrival(request.customer, now_s)
        if request.fingerprint:
            return None
        slot = self.slots.find_idle(request, now_s)
        if slot is None:
            return None
        if has_limit and not self.tokens.take(request.customer, now_s):
            return None
        self.slots.use(slot, request)
        self.placed_count += 1
        loop_now_s = self.loop_time_s()
        self.scheduler.register_grant(request, slot.placement.upstream, loop_now_s)
        return attrs.evolve(
            slot.placement,
            slot_request_id=request.slot_request_id,
            granted_by=LENT,
            granted_at_s=now_s,
            zones=request.zones,
        )

    def borrow(self, request: SlotRequest, placement: Placement) -> None:
        """Keep a slot that the broker has granted to a request for further ones."""
        tracker = self.scheduler.tracker(placement.upstream)
        if placement.term_s > 0 and tracker is not None:
            self._borrowed_s = self.clock.now_s()
            zone = tracker.upstream.zone
            until_s = self.clock.now_s() + placement.term_s
            self.slots.borrow(LentSlot(placement, request, zone, until_s))

    def release(
        self,
        placement: Placement,
        outcome: Outcome,
        elapsed_s: float,
        transferred_bytes: int,
        rate_limit_per_s: float | None,
        pause_s: float | None,
    ) -> bool:
        """End the use of a slot if it was lent; tell the broker of it soon.

        A failure is told at once: other VMs may hold slots of the upstream.

        Returns:
            Whether the slot was lent.
        """
        slot = self.slots.find(placement.slot_request_id)
        if slot is None:
            return False
        request = slot.request
        states_nothing = pause_s is None and rate_limit_per_s in (None, UNLIMITED)
        is_sound = outcome is Outcome.SUCCEEDED and states_nothing
        is_first = placement.slot_request_id == slot.lease_id
        may_keep = is_sound and not self.membership.has_older_broker
        is_kept = self.slots.finish(
            placement.slot_request_id, may_keep, self.clock.now_s()
        )
        self._uses.append(
            SlotUse(
                slot.lease_id,
                not is_first,
                not is_kept,
                request.route,
                request.customer,
                request.idempotent,
                outcome,
                int(elapsed_s * 1000),
                transferred_bytes,
                rate_limit_per_s,
                int(pause_s * 1000) if pause_s is not None else None,
            )
        )
        if not is_sound or not is_kept or len(self._uses) >= MAX_USES:
            self.send_reports()
        return True

    def record_unserved(self, request: SlotRequest) -> None:
        """Count a request that this VM refuses as the broker did not decide on it.

        The broker has to know: which upstreams get requests depends on the share that
        goes unserved.
        """
        self._unserved[request.service, request.route, request.idempotent] += 1

    def recall(self, vm: str, message: RecallSlots) -> None:
        """Return idle slots that a broker recalls."""
        if vm == self.membership.broker:
            now_s = self.clock.now_s()
            recalled = self.slots.recall(message.services, message.upstreams, now_s)
            self._returned += [slot.lease_id for slot in recalled]
            self.send_reports()

    def advance(self) -> None:
        """Return slots that the VM keeps no longer, and send what is to report."""
        if self.membership.role is Role.BROKER:
            self.slots.clear()
            self.tokens.clear()
        if self.membership.has_older_broker and self.slots.return_all():
            self.membership.expedite_heartbeat(self.loop_time_s())
        due = self.slots.return_due(self.clock.now_s())
        self._returned += [slot.lease_id for slot in due]
        self.send_reports()

    def send_reports(self) -> None:
        """Send uses, returned slots and unserved requests to the broker.

        Without a broker uses and returned slots are dropped: a broker learns from
        heartbeats, too, which slots a VM still holds. A broker of an older build, which
        got the role while slots were lent, is told the end of each use as that of a
        slot request.
        """
        if not self._uses and not self._returned and not self._unserved:
            return
        broker = self.membership.broker
        if self.membership.has_older_broker and broker is not None:
            for use in self._uses:
                self.transport.send(broker, _to_release(use))
            self._unserved.clear()
        elif self.membership.role is Role.MEMBER and broker is not None:
            unserved = tuple((*key, count) for key, count in self._unserved.items())
            message = SlotUses(
                tuple(self._uses), tuple(self._returned), unserved, self.process
            )
            self.transport.send(broker, message)
            self._unserved.clear()
        self._uses.clear()
        self._returned.clear()

    def ask(self, broker: str) -> TokenAsk:
        """Return what a heartbeat to a broker tells of lent tokens.

        Tokens are of use with lent slots only, and wishes are long.
        """
        now_s = self.clock.now_s()
        is_borrowing = now_s - self._borrowed_s < WISH_TERM_S
        return self.tokens.ask(broker, now_s, is_borrowing)

    def held_slots(self, vm: str) -> Iterator[tuple[int, str, str, str]]:
        """Yield lease or slot request, upstream, route and customer of each slot.

        Route and customer of an idle lent slot are empty.
        """
        for slot_request_id, *held in self.scheduler.held_slots(vm):
            slot = self.slots.find(slot_request_id)
            lease_id = slot_request_id if slot is None else slot.lease_id
            upstream, route, customer = held
            yield lease_id, upstream, route, customer
        for slot in self.slots.idle():
            yield slot.lease_id, slot.placement.upstream, "", ""


def _to_release(use: SlotUse) -> ReleaseSlot:
    """Return the message that frees the slot of a use."""
    return ReleaseSlot(
        use.lease_id,
        use.outcome,
        use.elapsed_ms,
        use.transferred_bytes,
        use.rate_limit_per_s,
        use.pause_ms,
    )
