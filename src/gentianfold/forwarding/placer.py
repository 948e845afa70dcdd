"""Interface through which forwarding obtains slots of upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.placement.outcome import Outcome
from gentianfold.placement.slot_request import GrantReason, Refused, SlotRequest

if TYPE_CHECKING:
    from gentianfold.forwarding.upstream_notice import UpstreamNotice


@attrs.frozen
class Placement:
    """A granted slot of an upstream."""

    slot_request_id: int
    """Identifier of the slot request, unique on its VM."""
    upstream: str
    """Name of the upstream."""
    host: str
    """IP address of the upstream."""
    port: int
    """TCP port of the upstream."""
    expected_duration_s: float
    """Expected duration of the request (seconds)."""
    reason: GrantReason
    """Why this upstream was chosen."""
    granted_by: str
    """Address of the broker that granted the slot; this VM's role in the fleet, such
    as ``alone``, if its own scheduler did; ``lent`` for a slot lent before."""
    start_time_ms: int = 0
    """Unix time of the upstream's start (milliseconds)."""
    granted_at_s: float = math.inf
    """Time before which the slot was not granted (clock of the leases, seconds);
    infinite if unknown."""
    zones: tuple[str, ...] | None = None
    """Availability zones in which the request may run; ``None`` for any."""
    term_s: float = 0.0
    """Time for which the VM may use the slot for further requests (seconds)."""


class Placer(Protocol):
    """Grants slots of upstreams to attempts."""

    def next_slot_request_id(self) -> int:
        """Return an identifier for a slot request, unique on this VM.

        An attempt takes a new one for each slot that it requests.
        """
        ...

    async def place(self, request: SlotRequest) -> Placement | Refused:
        """Wait for a slot; cancellation withdraws the request.

        Returns:
            The granted slot, or the refusal.
        """
        ...

    def release(
        self,
        placement: Placement,
        outcome: Outcome,
        elapsed_s: float,
        transferred_bytes: int = 0,
        rate_limit_per_s: float | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Free a slot and report the outcome of its attempt.

        Args:
            placement: The granted slot.
            outcome: How the attempt ended.
            elapsed_s: Time since the slot was granted (seconds).
            transferred_bytes: Size of the request and its response (bytes); 0 if it is
                not known.
            rate_limit_per_s: Rate limit that the answer states (requests per second);
                infinite if it states none, ``None`` if there is no answer.
            pause_s: Time for which the upstream wants no requests of this VM (seconds);
                ``None`` if it states none.
        """
        ...

    def record_notice(
        self, placement: Placement, notice: UpstreamNotice, via: str = ""
    ) -> None:
        """Record what the upstream of a placement states about itself.

        Args:
            placement: The granted slot.
            notice: What the upstream states.
            via: VM through which the response came, which is told; empty for this one.
        """
        ...

    def is_withdrawn(self, placement: Placement) -> bool:
        """Tell whether the upstream has refused further requests since the grant."""
        ...

    def share_crashes(self) -> None:
        """Tell the other VMs of a changed request under which upstreams crashed."""
        ...
