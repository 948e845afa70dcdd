"""Chooses the member that takes over from a broker that can't serve the fleet.

It answers brokers that have lost the store, and VMs that start anew as the broker that
they were, while the store is down.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.fleet.membership import STRONGER_FACTOR
from gentianfold.fleet.store_revision import NO_REVISION

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.fleet.membership import Member
    from gentianfold.fleet.node_view import NodeView

STALE_STORE_READ_S = 1.2
"""Age of the broker's last read of the store after which the broker role passes to a
member that reads the store (seconds); a change published meanwhile can still take
effect within the required 2 s."""
WEAK_SUCCESSOR_STORE_READ_S = 1.5
"""The same for a member with less than ``MIN_SUCCESSOR_SHARE`` of the capacity of the
strongest one (seconds): it may not carry the fleet's slot requests."""
MIN_SUCCESSOR_SHARE = 0.8
"""Share of the strongest member's capacity from which a member may take over, 0 to 1."""
LONG_STALE_STORE_READ_S = 4.0
"""The same for a member that is much weaker than this VM (seconds); until then VMs whose
state is old read the store themselves."""
FRESH_STORE_READ_S = 0.8
"""Age of a member's last read of the store below which it may take over (seconds)."""


def find_store_reader(
    view: NodeView, members: Mapping[str, Member], now_s: float, own_capacity: float
) -> str | None:
    """Return the strongest member with a fresh store read if this VM's is stale.

    A member that is cut off from the upstreams, or much weaker than others, is
    named later, as others may read the store meanwhile. A broker that is busy reads
    late; a much weaker one would decide late on all requests.

    Args:
        view: Published state as the broker knows it.
        members: Members of the broker by address.
        now_s: Event loop time (seconds).
        own_capacity: Capacity of the broker, in units of the reference VM.
    """
    age_ms = view.store_age_ms(now_s)
    if 0 <= age_ms < STALE_STORE_READ_S * 1000:
        return None
    readers = [
        (member.is_cut_off, -member.rank, member.store_age_ms, vm)
        for vm, member in members.items()
        if 0 <= member.store_age_ms < FRESH_STORE_READ_S * 1000
    ]
    if not readers:
        return None
    is_cut_off, _, _, vm = min(readers)
    capacity = members[vm].capacity
    most = max(member.capacity for member in members.values())
    wait_s = 0.0
    if is_cut_off or capacity < MIN_SUCCESSOR_SHARE * most:
        wait_s = WEAK_SUCCESSOR_STORE_READ_S
    if STRONGER_FACTOR * capacity <= own_capacity:
        wait_s = LONG_STALE_STORE_READ_S
    return None if 0 <= age_ms < wait_s * 1000 else vm


def find_informed(view: NodeView, members: Mapping[str, Member]) -> str | None:
    """Return the strongest member that knows upstreams if this VM knows none.

    A VM that started anew while the store is down may get heartbeats as the broker
    that it was.

    Args:
        view: Published state as the broker knows it.
        members: Members of the broker by address.
    """
    if view.upstreams.revision != NO_REVISION:
        return None
    informed = [
        (member.is_cut_off, -member.rank, vm)
        for vm, member in members.items()
        if member.upstreams_revision != NO_REVISION
    ]
    return min(informed)[-1] if informed else None
