"""Books the slots in use with their upstreams and customers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.grant import Grant
from gentianfold.placement.grant_table import GrantTable

if TYPE_CHECKING:
    from gentianfold.placement.queue_order import QueueOrder
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.tracker_table import TrackerTable
    from gentianfold.placement.waiting_requests import SlotRequestKey


@attrs.define(eq=False, repr=False)
class SlotLedger:
    """Slots in use, lent ones on which no request runs among them."""

    trackers: TrackerTable
    """The upstreams."""
    order: QueueOrder
    """Counts the slots that each customer holds."""
    grants: GrantTable = attrs.field(factory=GrantTable)
    """All slots in use."""
    idle: dict[SlotRequestKey, Grant] = attrs.field(factory=dict)
    """Lent slots on which no request runs; no customer holds them."""
    changed: set[str] = attrs.field(factory=set)
    """Services of which a slot was freed; their queues are to be looked at."""

    def hold(self, key: SlotRequestKey, grant: Grant) -> None:
        """Book a slot that a request was granted."""
        self.grants.add(key, grant)
        tracker = grant.tracker
        tracker.in_use += 1
        tracker.count_request(grant.granted_at_s)
        tracker.last_used_s = grant.granted_at_s
        tracker.trials_in_use += grant.is_trial
        self.trackers.file(tracker, to_end=True)
        self.order.count_slot(grant.request, 1)

    def record_use(self, grant: Grant, at_s: float) -> None:
        """Record that a lent slot was used for a further request."""
        tracker = grant.tracker
        if at_s > tracker.last_used_s:
            tracker.last_used_s = at_s
            self.trackers.file(tracker, to_end=True)

    def register(self, request: SlotRequest, upstream_name: str, now_s: float) -> None:
        """Book a slot granted by another scheduler, if its upstream is listed."""
        tracker = self.trackers.get(upstream_name)
        if tracker is not None and request.key not in self.grants:
            self.hold(request.key, Grant(request, tracker, now_s, is_trial=False))

    def free(self, key: SlotRequestKey) -> Grant | None:
        """Free a slot; return its grant, ``None`` if the slot request holds none."""
        grant = self.grants.find_and_pop(key)
        if grant is None:
            return None
        tracker = grant.tracker
        tracker.in_use -= 1
        if not tracker.in_use:
            tracker.running_s = 0.0
        tracker.trials_in_use -= grant.is_trial
        self.trackers.file(tracker)
        self.changed.add(grant.request.service)
        if grant.is_idle:
            self.idle.pop(key, None)
        else:
            self.order.count_slot(grant.request, -1)
        return grant

    def free_vm(self, vm: str) -> None:
        """Free all slots of a VM."""
        for key, _ in list(self.grants.of_vm(vm)):
            self.free(key)

    def free_unlisted(
        self, vm: str, slot_request_ids: frozenset[int], granted_before_s: float
    ) -> None:
        """Free the slots that a VM no longer lists as held.

        Args:
            vm: Address of the VM.
            slot_request_ids: Slot requests whose slots are held, as listed by the VM.
            granted_before_s: Only grants before this time are freed; the list may have
                been sent before later ones arrived.
        """
        for key in self.grants.unlisted(vm, slot_request_ids, granted_before_s):
            self.free(key)
