"""Which peers this VM exchanges heartbeats with in both directions."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianfold.limits.peer_table import PeerRow
    from gentianfold.limits.share_table import ShareTable


def desired_view(
    shares: ShareTable, present: frozenset[str], now_s: float
) -> frozenset[str]:
    """Return the VMs that should be homes.

    Args:
        shares: The list in force and its peers.
        present: The VMs that are homes now.
        now_s: Time on this VM's clock.
    """
    peers = shares.peers
    rows = {vm: row for vm in shares.others if (row := peers.confirmed(vm))}
    alive = {vm for vm, row in rows.items() if _age(row, now_s, shares) <= 1.0}
    lost = present - alive - {shares.own_vm}
    if lost:
        # One VM that fell silent is often the first of several, such as a zone:
        # those that are late by now leave in the same move.
        limit = shares.timing.suspect_s / shares.timing.silent_s
        alive = {vm for vm in alive if _age(rows[vm], now_s, shares) <= limit}
    homes = {
        vm
        for vm in alive
        if not (rows[vm].heartbeat.stopping or rows[vm].heartbeat.young)
    }
    if not shares.young and not shares.stopping and shares.own_vm in shares.members:
        homes.add(shares.own_vm)
    return frozenset(homes)


def _age(row: PeerRow, now_s: float, shares: ShareTable) -> float:
    """Return the silence of a peer as part of what is tolerated."""
    timing = shares.timing
    heard = (now_s - row.heard_s) / timing.silent_s
    # An echo comes with the peer's next heartbeat and may just miss one.
    tolerated_s = timing.silent_s + 2.0 * timing.heartbeat_s
    confirmed = (now_s - row.confirmed_s) / tolerated_s
    return max(heard, confirmed)
