"""Slots that the broker has lent to this VM for further requests.

A slot is granted for one request. If the grant has a term, the VM may keep the slot
after the request and use it for others of the service until the term ends. It keeps as
many idle slots as its recent requests will use within ``MAX_IDLE_S``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.fleet.arrival_rate import ArrivalRates

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from gentianfold.forwarding.placer import Placement
    from gentianfold.placement.slot_request import SlotRequest

MAX_IDLE_S = 0.5
"""Time for which a lent slot stays with the VM without a request (seconds)."""
RECALL_PAUSE_S = 0.5
"""Time after a recall for which the VM keeps no slots of the service (seconds)."""


@attrs.define(eq=False, repr=False)
class LentSlot:
    """A slot that may serve several requests, one at a time."""

    placement: Placement
    """Placement that the broker granted."""
    request: SlotRequest
    """The request that uses it, or used it last."""
    zone: str
    """Availability zone of the upstream."""
    until_s: float
    """End of the term (seconds)."""
    idle_since_s: float = 0.0
    """When its last request ended (seconds)."""

    @property
    def lease_id(self) -> int:
        """Slot request that was granted the slot; identifies it on the broker."""
        return self.placement.slot_request_id

    @property
    def service(self) -> str:
        """Service of the upstream."""
        return self.request.service


@attrs.define(eq=False, repr=False)
class SlotStock:
    """Lent slots of one VM: those in use by slot request, and idle ones by service.

    Times are those of a clock that advances while the VM is suspended.
    """

    is_usable: Callable[[Placement], bool] = lambda _: True
    """Tells whether the upstream of a placement takes requests of this VM."""
    _idle: dict[str, list[LentSlot]] = attrs.field(factory=dict)
    _in_use: dict[int, LentSlot] = attrs.field(factory=dict)
    _rates: ArrivalRates = attrs.field(factory=ArrivalRates)
    _recalled_until_s: dict[str, float] = attrs.field(factory=dict)

    def record_arrival(self, service: str, now_s: float) -> None:
        """Count a request of a service."""
        self._rates.record(service, now_s)

    def borrow(self, slot: LentSlot) -> None:
        """Add a slot that was granted with a term and serves its first request."""
        self._in_use[slot.lease_id] = slot

    def find_idle(self, request: SlotRequest, now_s: float) -> LentSlot | None:
        """Return an idle slot for a request; ``None`` if none suits it.

        Slots in the request's own availability zone go before others. Among them the
        slot used last comes first: the evidence on its upstream is newest.
        """
        suited = [
            slot
            for slot in self._idle.get(request.service, ())
            if now_s < slot.until_s
            and slot.placement.upstream not in request.excluded
            and (request.zones is None or slot.zone in request.zones)
            and self.is_usable(slot.placement)
        ]
        return max(
            suited,
            key=lambda slot: (slot.zone == request.zone, slot.idle_since_s),
            default=None,
        )

    def use(self, slot: LentSlot, request: SlotRequest) -> None:
        """Use an idle slot for a request."""
        self._idle[slot.service].remove(slot)
        slot.request = request
        self._in_use[request.slot_request_id] = slot

    def find(self, slot_request_id: int) -> LentSlot | None:
        """Return the lent slot that serves a slot request; ``None`` for another one."""
        return self._in_use.get(slot_request_id)

    def finish(self, slot_request_id: int, has_succeeded: bool, now_s: float) -> bool:
        """End a use of a lent slot.

        Args:
            slot_request_id: The slot request that used it.
            has_succeeded: Whether its upstream served the request.
            now_s: Current time (seconds).

        Returns:
            Whether the VM keeps the slot; if not, it has to be returned.
        """
        slot = self._in_use.pop(slot_request_id)
        if not has_succeeded or not self._keeps(slot, now_s):
            return False
        slot.idle_since_s = now_s
        self._idle.setdefault(slot.service, []).append(slot)
        return True

    def _keeps(self, slot: LentSlot, now_s: float) -> bool:
        if now_s >= slot.until_s or not self.is_usable(slot.placement):
            return False
        if now_s < self._recalled_until_s.get(slot.service, 0.0):
            return False
        idle_count = len(self._idle.get(slot.service, ()))
        return self._rates.per_s(slot.service, now_s) * MAX_IDLE_S >= idle_count + 1

    def return_due(self, now_s: float) -> list[LentSlot]:
        """Remove and return the idle slots that the VM keeps no longer."""
        return self._remove_idle(
            lambda slot: (
                now_s >= slot.until_s
                or now_s - slot.idle_since_s >= MAX_IDLE_S
                or not self.is_usable(slot.placement)
            )
        )

    def recall(
        self, services: Collection[str], upstreams: Collection[str], now_s: float
    ) -> list[LentSlot]:
        """Remove and return idle slots that the broker recalls.

        Slots in use are not kept afterwards.

        Args:
            services: Services that have requests waiting.
            upstreams: Upstreams that should get no more requests.
            now_s: Current time (seconds).
        """
        for service in services:
            self._recalled_until_s[service] = now_s + RECALL_PAUSE_S
        for slot in self._in_use.values():
            if slot.placement.upstream in upstreams:
                slot.until_s = now_s
        return self._remove_idle(
            lambda slot: (
                slot.service in services or slot.placement.upstream in upstreams
            )
        )

    def return_all(self) -> list[LentSlot]:
        """Remove and return all idle slots."""
        return self._remove_idle(lambda _: True)

    def clear(self) -> None:
        """Forget all lent slots, as when this VM becomes the broker itself."""
        self._idle.clear()
        self._in_use.clear()

    def idle(self) -> Iterator[LentSlot]:
        """Yield the idle slots."""
        for slots in self._idle.values():
            yield from slots

    def _remove_idle(self, is_due: Callable[[LentSlot], bool]) -> list[LentSlot]:
        removed = [slot for slot in self.idle() if is_due(slot)]
        for slot in removed:
            self._idle[slot.service].remove(slot)
        return removed
