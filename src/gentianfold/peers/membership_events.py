"""What the membership table reports."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from gentianfold.peers.incarnation import Incarnation
    from gentianfold.peers.peer_row import PeerState


@attrs.frozen
class StateChanged:
    """The state of a peer changed."""

    peer: str
    """Name of the peer."""
    old: PeerState
    """State before."""
    new: PeerState
    """State now."""

    def __str__(self) -> str:
        return f"{self.peer} is {self.new.value}, was {self.old.value}"


@attrs.frozen
class PeerRestarted:
    """A newer incarnation of a peer was heard."""

    peer: str
    """Name of the peer."""
    old: Incarnation
    """The incarnation that is over."""
    new: Incarnation
    """The incarnation heard now."""

    def __str__(self) -> str:
        return f"{self.peer} restarted"


@attrs.frozen
class Paused:
    """This process did not run for a while; what it believes is old."""

    gap_s: float
    """Time between its last two ticks."""

    def __str__(self) -> str:
        return f"this process paused for {self.gap_s:.1f} s"


MembershipEvent: TypeAlias = StateChanged | PeerRestarted | Paused
"""All kinds of events."""
