"""Records how attempts ended: with their upstreams, services, customers and routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.elapsed_table import ElapsedTable
from gentianfold.placement.grant import apply_outcome
from gentianfold.placement.outcome import Outcome
from gentianfold.placement.rejection_table import RejectionTable
from gentianfold.placement.stated_limits import StatedLimits
from gentianfold.placement.transfer_table import TransferTable

if TYPE_CHECKING:
    from gentianfold.placement.demand_table import DemandTable
    from gentianfold.placement.grant import Grant
    from gentianfold.placement.log_entries import StateChangeQueue
    from gentianfold.placement.quota_table import QuotaTable
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.tracker_table import TrackerTable


@attrs.define(eq=False, repr=False)
class OutcomeRecorder:
    """What finished attempts tell about upstreams and routes."""

    trackers: TrackerTable
    """The upstreams."""
    quota: QuotaTable
    """Rate limits of the customers."""
    state_changes: StateChangeQueue
    """Gets the changes to log."""
    demands: DemandTable
    """Demand of the services."""
    elapsed: ElapsedTable = attrs.field(factory=ElapsedTable)
    """Usual elapsed times by route and by service."""
    transfers: TransferTable = attrs.field(factory=TransferTable)
    """Usual sizes of requests with their responses, by route."""
    rejections: RejectionTable = attrs.field(factory=RejectionTable)
    """Services that reject many requests."""
    stated_limits: StatedLimits = attrs.field(init=False)
    """Rate limits that upstreams state."""

    def __attrs_post_init__(self) -> None:
        self.stated_limits = StatedLimits(self.trackers, self.state_changes)

    def record(
        self,
        grant: Grant,
        outcome: Outcome,
        elapsed_s: float,
        now_s: float,
        transferred_bytes: int = 0,
        rate_limit_per_s: float | None = None,
        pause_s: float | None = None,
    ) -> None:
        """Record the end of an attempt.

        Args:
            grant: The slot that the attempt held.
            outcome: How it ended.
            elapsed_s: Time since the slot was granted (seconds).
            now_s: Current time (seconds).
            transferred_bytes: Size of the request and its response (bytes); 0 if it is
                not known.
            rate_limit_per_s: Rate limit that the answer states (requests per second);
                infinite if it states none, ``None`` if there is no answer.
            pause_s: Time for which the upstream wants no requests of the VM (seconds);
                ``None`` if the answer states none.
        """
        tracker, request = grant.tracker, grant.request
        self._apply(grant, outcome, elapsed_s, now_s)
        self.rejections.record(request.service, outcome, now_s)
        if pause_s is not None:
            tracker.pause(request.vm, now_s + pause_s)
        if outcome is Outcome.CONNECT_FAILED:
            tracker.rate_limiter.refund_request()
            if grant.has_token:
                self.quota.refund(request.customer, grant.granted_at_s)
        self.stated_limits.record_answer(
            tracker, rate_limit_per_s, grant.granted_at_s, now_s
        )
        if outcome is Outcome.SUCCEEDED and transferred_bytes:
            self.transfers.record(request.route, transferred_bytes)

    def expected_s(self, request: SlotRequest) -> float:
        """Return the expected elapsed time of a request (seconds)."""
        target_s = max(request.target_left_s, 0.1)
        return self.elapsed.expected_s(request.route, target_s)

    def _apply(
        self, grant: Grant, outcome: Outcome, elapsed_s: float, now_s: float
    ) -> None:
        tracker, request = grant.tracker, grant.request
        was_suspect = tracker.suspect_since_s is not None
        expected_s = self.expected_s(request)
        apply_outcome(
            grant, outcome, elapsed_s, expected_s, now_s, self.demands, self.elapsed
        )
        is_suspect = tracker.suspect_since_s is not None
        if was_suspect or is_suspect:
            self.trackers.file(tracker, to_end=True)
        if was_suspect != is_suspect:
            state = "suspect" if is_suspect else "well"
            self.state_changes.record(tracker, state, outcome.name.lower(), now_s)
