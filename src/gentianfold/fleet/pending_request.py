"""A slot request that awaits its decision."""

from __future__ import annotations

import asyncio
import math
from typing import TypeAlias

import anyio
import attrs

from gentianfold.fleet.messages import SlotGranted, SlotRefused
from gentianfold.fleet.resend_pace import ResendPace
from gentianfold.forwarding.placer import Placement
from gentianfold.placement.slot_request import (
    Granted,
    GrantReason,
    RefusalReason,
    Refused,
    SlotRequest,
)

PlacementDecision: TypeAlias = Placement | Refused
"""A granted slot, or the refusal of one."""


@attrs.define(eq=False, repr=False)
class PendingRequest:
    """A request that awaits a decision of the broker or of the local scheduler."""

    request: SlotRequest
    """The request."""
    decided: asyncio.Future[PlacementDecision]
    """Set to the decision."""
    broker: str = ""
    """Address of the broker that is asked; empty for the local scheduler."""
    acknowledged: bool = False
    """Whether the broker has answered the last transmission of the request."""
    is_queued: bool = False
    """Whether the broker has ever answered that the request waits."""

    async def await_decision(
        self, unanswered: int, pace: ResendPace
    ) -> PlacementDecision | None:
        """Wait for a decision until the next retry; ``None`` if there is none yet.

        The retry comes sooner while the broker has not acknowledged the request, and
        later the more tries it has left unanswered.

        Args:
            unanswered: Tries that the broker has left unanswered (count).
            pace: Decides how long an answer is awaited.
        """
        now_s = asyncio.get_running_loop().time()
        for delay_s in (pace.delay_s(unanswered, now_s), pace.queued_delay_s(now_s)):
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
        term_s=message.term_ms / 1000,
    )
