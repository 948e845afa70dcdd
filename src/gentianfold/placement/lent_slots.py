"""Slots that VMs keep for further requests, as the broker that lent them knows them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.slot_request import GrantReason

if TYPE_CHECKING:
    from collections.abc import Collection

    from gentianfold.placement.grant import Grant
    from gentianfold.placement.outcome import Outcome
    from gentianfold.placement.slot_ledger import SlotLedger
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_tracker import UpstreamTracker
    from gentianfold.placement.waiting_requests import SlotRequestKey

RecordEnd = Callable[
    ["Grant", "Outcome", float, float, int, float | None, float | None], None
]
"""Records how a request ended: its slot, outcome, elapsed and current time (seconds),
size (bytes), and the rate limit and pause that the upstream states."""


@attrs.frozen
class LentUse:
    """A finished request on a lent slot."""

    route: str
    """Name of the route."""
    customer: str
    """Name of the customer; empty if there is none."""
    idempotent: bool
    """Whether the request may be retried."""
    is_placed_by_vm: bool
    """Whether the VM placed it itself; false for the first request on the slot."""
    is_returned: bool
    """Whether the VM gives the slot back."""
    outcome: Outcome
    """How the request ended."""
    elapsed_s: float
    """How long it took (seconds)."""
    transferred_bytes: int = 0
    """Size of the request and its response; 0 if it is not known."""
    rate_limit_per_s: float | None = None
    """Rate limit that the answer states (requests per second); infinite if it states
    none, ``None`` if there is no answer."""
    pause_s: float | None = None
    """Time for which the upstream wants no requests of the VM (seconds); ``None`` if
    the answer states none."""


@attrs.define(eq=False, repr=False)
class LentSlots:
    """Uses of lent slots, and the idle ones by VM.

    A lent slot counts as in use, whether or not a request runs on it. While it is idle
    no customer holds it, and it tells nothing about its upstream.
    """

    ledger: SlotLedger
    """All slots in use."""
    record_end: RecordEnd
    """Records the end of a request."""
    count_first_attempt: Callable[[SlotRequest, float], None]
    """Counts a request that a VM placed itself, at a time (seconds)."""
    _unsound: set[str] = attrs.field(factory=set)

    @property
    def idle_count(self) -> int:
        """Number of lent slots on which no request runs."""
        return len(self.ledger.idle)

    def is_lendable(self, key: SlotRequestKey, reason: GrantReason) -> bool:
        """Tell whether a slot that was granted now may serve further requests.

        Slots of upstreams that are on trial, fail, are cold or state a limit serve
        one request.
        """
        grant = self.ledger.grants.get(key)
        return (
            reason is GrantReason.BEST
            and grant is not None
            and _is_sound(grant.tracker, grant.granted_at_s)
        )

    def begin_use(
        self, key: SlotRequestKey, request: SlotRequest, now_s: float
    ) -> None:
        """Record that a request runs on a lent slot, unless it is known to."""
        grant = self.ledger.idle.pop(key, None)
        if grant is not None:
            grant.is_idle, grant.is_accepted = False, False
            grant.request, grant.granted_at_s = request, now_s
            self.ledger.record_use(grant, now_s)
            self.ledger.order.count_slot(request, 1)

    def end_use(self, key: SlotRequestKey, use: LentUse, now_s: float) -> None:
        """Record a finished request; its slot is idle afterwards, or unknown.

        Args:
            key: The slot.
            use: The request, which the VM may have placed without notice.
            now_s: Current time (seconds).
        """
        grant = self.ledger.grants.get(key)
        if grant is None:
            return
        request = attrs.evolve(
            grant.request,
            route=use.route,
            customer=use.customer,
            idempotent=use.idempotent,
            attempt=1 if use.is_placed_by_vm else grant.request.attempt,
        )
        self.begin_use(key, request, now_s - use.elapsed_s)
        if use.is_placed_by_vm:
            self.count_first_attempt(request, now_s)
        self.record_end(
            grant,
            use.outcome,
            use.elapsed_s,
            now_s,
            use.transferred_bytes,
            use.rate_limit_per_s,
            use.pause_s,
        )
        self.set_idle(key)
        if not _is_sound(grant.tracker, now_s):
            self._unsound.add(grant.tracker.upstream.name)

    def set_idle(self, key: SlotRequestKey) -> None:
        """Record that no request runs on a lent slot."""
        grant = self.ledger.grants.get(key)
        if grant is not None and not grant.is_idle:
            self.ledger.order.count_slot(grant.request, -1)
            grant.is_idle = True
            self.ledger.idle[key] = grant

    def holders(
        self, services: Collection[str], upstreams: Collection[str]
    ) -> Counter[str]:
        """Return the VMs that hold idle slots of services or upstreams.

        Returns:
            Number of these slots by address of the VM.
        """
        return Counter(
            key[0]
            for key, grant in self.ledger.idle.items()
            if grant.tracker.upstream.service in services
            or grant.tracker.upstream.name in upstreams
        )

    def take_unsound(self) -> set[str]:
        """Return upstreams whose idle slots should come back, each once."""
        unsound, self._unsound = self._unsound, set()
        return unsound

    def find_unsound(self, now_s: float) -> None:
        """Look for idle slots of upstreams that have become unsound."""
        self._unsound.update(
            grant.tracker.upstream.name
            for grant in self.ledger.idle.values()
            if not _is_sound(grant.tracker, now_s)
        )


def _is_sound(tracker: UpstreamTracker, now_s: float) -> bool:
    return (
        tracker.suspect_since_s is None
        and not tracker.rate_limiter.is_limited
        and not tracker.is_cold(now_s)
    )
