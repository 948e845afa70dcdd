"""Reconciles the broker's slots with those that heartbeats list."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.placement.slot_request import SlotRequest

if TYPE_CHECKING:
    from gentianfold.fleet.messages import Heartbeat
    from gentianfold.placement.slot_scheduler import SlotScheduler

GRANT_IN_FLIGHT_S = 0.3
"""Age below which a grant may be missing from a heartbeat (seconds): the VM may have
sent the heartbeat before it received the grant."""


def reconcile_slots(
    scheduler: SlotScheduler, vm: str, heartbeat: Heartbeat, now_s: float
) -> None:
    """Register the slots that a VM holds and free those it no longer holds.

    Args:
        scheduler: Scheduler of the broker.
        vm: Address of the VM.
        heartbeat: Its heartbeat.
        now_s: Event loop time (seconds).
    """
    slot_request_ids = frozenset(
        slot_request_id for slot_request_id, *_ in heartbeat.held_slots
    )
    scheduler.release_unlisted(vm, slot_request_ids, now_s - GRANT_IN_FLIGHT_S)
    for slot_request_id, upstream_name, route, customer in heartbeat.held_slots:
        tracker = scheduler.tracker(upstream_name)
        if tracker is None:
            continue
        service, zone = tracker.upstream.service, heartbeat.zone
        request = held_request(vm, slot_request_id, service, route, customer, zone)
        scheduler.register_grant(request, upstream_name, now_s)
        if route:
            scheduler.lent.begin_use(request.key, request, now_s)
        else:
            scheduler.lent.set_idle(request.key)


def held_request(
    vm: str, slot_request_id: int, service: str, route: str, customer: str, zone: str
) -> SlotRequest:
    """Return a request that represents a slot already held by a VM.

    Only the fields that identify the slot have meaning.
    """
    return SlotRequest(
        vm=vm,
        slot_request_id=slot_request_id,
        service=service,
        route=route,
        customer=customer,
        priority=0,
        route_priority=0,
        idempotent=False,
        attempt=1,
        excluded=(),
        time_left_s=0.0,
        target_left_s=0.0,
        zone=zone,
    )
