"""The row of one peer in the membership table."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianfold.peers.replay_window import ReplayWindow

if TYPE_CHECKING:
    from gentianfold.configuration.vm_list import Vm
    from gentianfold.peers.incarnation import Incarnation

NEVER_S = float("-inf")
"""Time of what has not happened."""


class PeerState(enum.Enum):
    """What this VM believes of a peer."""

    UNHEARD = "unheard"
    """Listed, but not heard yet."""
    LIVE = "live"
    """Heard lately."""
    LEAVING = "leaving"
    """Heard lately, and it or the platform says that it is stopping."""
    SUSPECT = "suspect"
    """Silent for a few heartbeats."""
    GONE = "gone"
    """Silent for long."""


@attrs.define(eq=False)
class PeerRow:
    """What this VM knows of one peer; all times are by this VM's clock."""

    vm: Vm
    """Its entry in the VM list."""
    state: PeerState = PeerState.UNHEARD
    """What this VM believes of it."""
    incarnation: Incarnation | None = None
    """Its newest incarnation."""
    heard_s: float = NEVER_S
    """When its newest heartbeat came in directly."""
    evidence_s: float = NEVER_S
    """When it is known to have been alive, directly or by relay."""
    acknowledged_s: float = NEVER_S
    """When this VM sent the newest heartbeat that the peer is known to have heard."""
    round_trip_s: float = 0.0
    """Network time there and back, of the last exchange."""
    peer_sent_s: float | None = None
    """When its newest heartbeat was sent, by the peer's clock."""
    config_version: int = 0
    """Configuration that it has in force."""
    vm_list_version: int = 0
    """VM list that it has adopted."""
    hears: frozenset[str] = frozenset()
    """VMs that it hears directly, if it stands at this VM's list."""
    leaving: bool = False
    """Whether it said that it is stopping."""
    window: ReplayWindow = attrs.field(factory=ReplayWindow)
    """Sequence numbers seen."""

    def is_heard(self, now_s: float, within_s: float) -> bool:
        """Return whether a heartbeat came in within the last ``within_s``."""
        return now_s - self.heard_s <= within_s

    def hears_us(self, now_s: float, within_s: float) -> bool:
        """Return whether the peer heard what was sent in the last ``within_s``."""
        return now_s - self.acknowledged_s <= within_s
