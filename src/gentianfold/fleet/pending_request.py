"""A slot request that awaits its decision."""

from __future__ import annotations

import asyncio
import math
from typing import TypeAlias

import anyio
import attrs

from gentianfold.fleet.messages import SlotGranted, SlotRefused
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import (
    Granted,
    GrantReason,
    RefusalReason,
    Refused,
    SlotRequest,
)

REQUEST_RETRY_S = 0.05
"""Time after which an unacknowledged slot request is sent again (seconds): more than
ten round trips between zones."""
MAX_REQUEST_RETRY_S = 0.4
"""Longest time until an unacknowledged slot request is sent again (seconds)."""
QUEUED_RETRY_S = 0.25
"""Time between repeated requests for a slot that the broker has queued (seconds)."""

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

    async def await_decision(self, unanswered: int) -> PlacementDecision | None:
        """Wait for a decision until the next retry; ``None`` if there is none yet.

        The retry comes sooner while the broker has not acknowledged the request, and
        later the more tries it has left unanswered.

        Args:
            unanswered: Tries that the broker has left unanswered (count).
        """
        retry_s = min(REQUEST_RETRY_S * 2**unanswered, MAX_REQUEST_RETRY_S)
        for delay_s in (retry_s, QUEUED_RETRY_S - REQUEST_RETRY_S):
            with anyio.move_on_after(delay_s):
                await asyncio.shield(self.decided)
            if self.decided.done():
                return self.decided.result()
            if not self.acknowledged:
                break
        return None


def to_placement(
    request: SlotRequest, granted: Granted, granted_by: str, now_s: float = math.inf
) -> Placement:
    """Return the placement that a grant of this VM's own scheduler carries."""
    upstream = granted.upstream
    return Placement(
        request.slot_request_id,
        upstream.name,
        upstream.host,
        upstream.port,
        granted.expected_s,
        granted.reason,
        granted_by,
        upstream.start_time_ms,
        now_s,
        request.zones,
    )


def to_decision(
    message: SlotGranted | SlotRefused, broker: str, now_s: float
) -> PlacementDecision:
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
        message.start_time_ms,
        now_s,
    )
