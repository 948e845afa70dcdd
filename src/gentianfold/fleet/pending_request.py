"""A slot request that awaits its decision."""

from __future__ import annotations

import asyncio
from typing import TypeAlias

import attrs

from gentianfold.fleet.messages import SlotGranted, SlotRefused
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import (
    GrantReason,
    RefusalReason,
    Refused,
    SlotRequest,
)

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


def to_decision(message: SlotGranted | SlotRefused, broker: str) -> PlacementDecision:
    """Return the decision that a message of the broker at an address carries."""
    if isinstance(message, SlotRefused):
        reason = RefusalReason(message.reason)
        return Refused(reason, message.retry_after_ms / 1000, message.ahead)
    return Placement(
        message.slot_request_id,
        message.upstream,
        message.host,
        message.port,
        message.expected_ms / 1000,
        GrantReason(message.reason),
        broker,
    )
