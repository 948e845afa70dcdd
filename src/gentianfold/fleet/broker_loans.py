"""The broker's side of lent slots: terms, reports of their use, and recalls."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.fleet.lender import Lender
from gentianfold.fleet.messages import RecallSlots, SlotUse, SlotUses
from gentianfold.placement.lent_slots import LentUse
from gentianfold.placement.outcome import Outcome

if TYPE_CHECKING:
    from gentianfold.fleet.transport import Transport
    from gentianfold.placement.slot_request import Granted
    from gentianfold.placement.slot_scheduler import SlotScheduler

RECALL_INTERVAL_S = 0.2
"""Time between two recalls of the slots of a service (seconds)."""
LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines on loans (seconds)."""


@attrs.define(eq=False, repr=False)
class BrokerLoans:
    """Lends slots to members, and recalls them when other requests wait for them."""

    scheduler: SlotScheduler
    """Assigns slots."""
    transport: Transport
    """Sends messages to the members."""
    lender: Lender
    """Decides on terms and lends tokens."""
    recall_count: int = 0
    """Recalls sent since the start (count)."""
    _recalled_s: dict[str, float] = attrs.field(factory=dict)
    _logged_s: float = -1e9
    _now_s: float = 0.0

    def term_ms(self, vm: str, slot_request_id: int, granted: Granted) -> int:
        """Return the term of a slot that is granted now (milliseconds).

        Args:
            vm: Address of the VM that gets the slot.
            slot_request_id: The slot request.
            granted: The grant.
        """
        key = (vm, slot_request_id)
        if not self.scheduler.lent.is_lendable(key, granted.reason):
            return 0
        room = self.scheduler.room(granted.upstream.service, self._now_s)
        return int(self.lender.slot_term_s(room, self._now_s) * 1000)

    def count_placement(self, now_s: float) -> None:
        """Count a request that the broker decides on."""
        self._now_s = now_s
        self.lender.count_placements(now_s)

    def handle_uses(self, vm: str, message: SlotUses, now_s: float) -> None:
        """Record the uses of lent slots, and free those that a VM returns.

        Args:
            vm: Address of the sender.
            message: The report.
            now_s: Event loop time (seconds).
        """
        lent = self.scheduler.lent
        for use in message.uses:
            if use.is_placed_by_vm:
                self.lender.count_placements(now_s)
            lent.end_use((vm, use.lease_id), _to_lent_use(use), now_s)
            if use.is_returned:
                self.scheduler.free_slot((vm, use.lease_id))
        for lease_id in message.returned:
            self.scheduler.free_slot((vm, lease_id))
        for service, route, idempotent, count in message.unserved:
            self.scheduler.demands.count_refused_elsewhere(
                service, route, idempotent, now_s, count
            )
        self._recall_unsound()

    def advance(self, now_s: float) -> None:
        """Recall idle slots of services that need them at the broker; log loans."""
        due = [
            service
            for service in self.scheduler.waiting_services() + self._to_spread(now_s)
            if now_s - self._recalled_s.get(service, -1e9) >= RECALL_INTERVAL_S
        ]
        for service in due:
            self._recalled_s[service] = now_s
        if due:
            self._recall(tuple(dict.fromkeys(due)), ())
        self.scheduler.lent.find_unsound(now_s)
        self._recall_unsound()
        self._log(now_s)

    def _to_spread(self, now_s: float) -> list[str]:
        """Return services whose lent slots keep requests from healthy upstreams."""
        if not self.scheduler.lent.idle_count:
            return []
        return [
            service
            for service in self.scheduler.services_to_spread(now_s)
            if self.lender.may_recall(self.scheduler.room(service, now_s))
        ]

    def _recall_unsound(self) -> None:
        upstreams = self.scheduler.lent.take_unsound()
        if upstreams:
            self._recall((), tuple(upstreams))

    def _recall(self, services: tuple[str, ...], upstreams: tuple[str, ...]) -> None:
        message = RecallSlots(services, upstreams)
        for vm in self.scheduler.lent.holders(services, upstreams):
            self.recall_count += 1
            self.transport.send(vm, message)

    def _log(self, now_s: float) -> None:
        idle = self.scheduler.lent.idle_count
        if not idle or now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        logger.info(
            "loans: load={:.2f} idle_slots={} slots_in_use={} tokens={} recalls={}",
            self.lender.load(now_s),
            idle,
            self.scheduler.granted_count,
            self.lender.lent_count,
            self.recall_count,
        )


def _to_lent_use(use: SlotUse) -> LentUse:
    """Return the use that a message reports; an unknown outcome counts as cancelled."""
    try:
        outcome = Outcome(use.outcome)
    except ValueError:
        outcome = Outcome.CANCELLED
    return LentUse(
        use.route,
        use.customer,
        use.idempotent,
        use.is_placed_by_vm,
        use.is_returned,
        outcome,
        use.elapsed_ms / 1000,
        use.transferred_bytes,
        use.rate_limit_per_s,
        use.pause_ms / 1000 if use.pause_ms is not None else None,
    )
