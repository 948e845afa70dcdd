"""A slot request that awaits its decision."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

import attrs

from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import Refused, SlotRequest

PlacementDecision: TypeAlias = Placement | Refused
"""A granted slot, or the refusal of one."""


@attrs.define(eq=False)
class PendingRequest:
    """A request that awaits a decision of the broker or of the local scheduler."""

    request: SlotRequest
    """The request."""
    decided: asyncio.Future[PlacementDecision]
    """Set to the decision."""
    acknowledged: bool = False
    """Whether the broker has answered the last transmission of the request."""
