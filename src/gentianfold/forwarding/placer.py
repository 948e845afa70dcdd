"""What forwarding needs from placement."""

from __future__ import annotations

from typing import Protocol

import attrs

from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import GrantReason, Refused, SlotRequest


@attrs.frozen
class Placement:
    """A slot of an upstream that an attempt may use."""

    number: int
    """Number of the attempt."""
    upstream: str
    """Name of the upstream."""
    host: str
    """IP number of the upstream."""
    port: int
    """TCP port of the upstream."""
    expected_s: float
    """Usual time of such a request (seconds)."""
    reason: GrantReason
    """Why this upstream."""
    granted_by: str
    """Who decided: the address of the broker, or ``local``."""


class Placer(Protocol):
    """Places attempts on upstreams."""

    def next_number(self) -> int:
        """Return the number of the next attempt."""
        ...

    async def place(self, request: SlotRequest) -> Placement | Refused:
        """Wait for a slot; a cancelled wait is taken back."""
        ...

    def release(self, placement: Placement, outcome: Outcome, elapsed_s: float) -> None:
        """Free the slot and tell what became of the attempt."""
        ...
