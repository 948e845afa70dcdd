"""What a VM knows of the limiters of other VMs from their heartbeats."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.limits.messages import Heartbeat


@attrs.define
class PeerRow:
    """The latest state of one peer incarnation."""

    heartbeat: Heartbeat
    """Its latest heartbeat."""
    first_heard_s: float
    """When its first heartbeat was accepted."""
    heard_s: float
    """When its latest heartbeat was accepted."""
    confirmed_s: float = -math.inf
    """Latest own ping that the peer echoed."""
    ack_s: float = -math.inf
    """Latest own ping that it echoed as an established VM at ``ack_version``."""
    ack_version: int = 0
    """List version at which it echoed that ping."""

    @property
    def confirmed(self) -> bool:
        """Tell whether the peer's state was heard in a round trip."""
        return self.confirmed_s > -math.inf


@attrs.define
class PeerTable:
    """Rows of peers by VM name, each for one incarnation at a time."""

    incarnation: int
    """The own incarnation, which peers echo."""
    rows: dict[str, PeerRow] = attrs.field(factory=dict)
    """The peers heard so far."""

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat, now_s: float) -> bool:
        """Take in a heartbeat; tell whether it was news."""
        row = self.rows.get(vm)
        if row is None:
            row = self.rows[vm] = PeerRow(heartbeat, now_s, now_s)
        elif row.heartbeat.incarnation != heartbeat.incarnation:
            if not self._succeeds(row, heartbeat):
                return False
            row = self.rows[vm] = PeerRow(heartbeat, now_s, now_s)
        elif heartbeat.sequence <= row.heartbeat.sequence:
            return False
        row.heartbeat = heartbeat
        row.heard_s = now_s
        if heartbeat.echo_incarnation == self.incarnation:
            self._take_echo(row)
        return True

    def confirmed(self, vm: str) -> PeerRow | None:
        """Return the row of a peer that was heard in a round trip."""
        row = self.rows.get(vm)
        return row if row and row.confirmed else None

    def keep_only(self, vms: Iterable[str]) -> None:
        """Forget all peers but ``vms``."""
        wanted = set(vms)
        for vm in [vm for vm in self.rows if vm not in wanted]:
            del self.rows[vm]

    def _succeeds(self, row: PeerRow, heartbeat: Heartbeat) -> bool:
        """Tell whether another incarnation is later than the known one.

        Incarnations have no order. One that echoes a ping sent after the known
        one was first heard is alive later, since a name has one VM at a time.
        """
        return (
            heartbeat.echo_incarnation == self.incarnation
            and heartbeat.echo_s > row.first_heard_s
        )

    def _take_echo(self, row: PeerRow) -> None:
        heartbeat = row.heartbeat
        if heartbeat.echo_s <= row.first_heard_s:
            # Such an echo may come from an incarnation that is gone.
            return
        row.confirmed_s = max(row.confirmed_s, heartbeat.echo_s)
        if not heartbeat.established:
            return
        row.ack_s = heartbeat.echo_s
        row.ack_version = heartbeat.version
