"""Slots held by attempts, and what their outcomes tell about upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.outcome import Outcome

if TYPE_CHECKING:
    from gentianfold.placement.demand_table import DemandTable
    from gentianfold.placement.elapsed_table import ElapsedTable
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_tracker import UpstreamTracker

SHED_PAUSE_S = 0.1
"""How long an upstream counts as full after it shed a request (seconds): about one
of its slots becomes free in that time."""
MISDIRECTED_PAUSE_S = 5.0
"""How long an upstream gets no requests after another upstream answered at its address
(seconds): its stale entry expires within three heartbeats, 4.5 seconds."""
QUICK_FAILURE_S = 0.13
"""Time after which a running request counts as accepted (seconds): longer than a VM
waits for a connection, and ten times what an upstream takes that fails at once."""
OVERDUE_FACTOR = 3.0
"""Multiple of the usual slot time above which a timeout counts as a failure."""
OVERDUE_SLACK_S = 0.3
"""Time added to that multiple (seconds), so that jitter fails no short request."""


@attrs.define(eq=False, repr=False)
class Grant:
    """A slot held by an attempt."""

    request: SlotRequest
    """The request that was granted the slot."""
    tracker: UpstreamTracker
    """Tracker of the upstream."""
    granted_at_s: float
    """When the slot was granted (seconds)."""
    is_trial: bool
    """Whether the upstream was suspect when the slot was granted."""
    has_token: bool = False
    """Whether a token of the customer's limit was taken for it here."""
    is_accepted: bool = False
    """Whether the request has run for ``QUICK_FAILURE_S`` without failing."""
    is_idle: bool = False
    """Whether the slot is lent and no request runs on it."""


def apply_outcome(
    grant: Grant,
    outcome: Outcome,
    elapsed_s: float,
    expected_s: float,
    now_s: float,
    demands: DemandTable,
    elapsed: ElapsedTable,
) -> None:
    """Record the outcome of an attempt with its upstream and its service.

    Args:
        grant: The slot that the attempt held.
        outcome: How the attempt ended.
        elapsed_s: Time since the slot was granted (seconds).
        expected_s: Expected time of the request (seconds).
        now_s: Current time (seconds).
        demands: Demand of the services.
        elapsed: Usual elapsed times.
    """
    tracker, request = grant.tracker, grant.request
    # The warm-up makes requests slow, which says nothing of the time after it. Without
    # a bound, its slowness is all that keeps short requests away.
    was_cold = tracker.warmup.is_bounded(grant.granted_at_s)
    is_final = not request.idempotent or request.attempt > 1
    if outcome is Outcome.CANCELLED or (outcome.is_failure and is_final):
        demands.count_unserved(request, now_s)
    if outcome is Outcome.SUCCEEDED:
        tracker.record_success(grant.granted_at_s, is_uncounted=not grant.is_accepted)
        if not was_cold:
            tracker.record_elapsed(elapsed_s, expected_s, now_s)
            elapsed.record(request.service, request.route, elapsed_s)
    elif outcome is Outcome.FAILED:
        tracker.record_failure(now_s, elapsed_s < QUICK_FAILURE_S)
    elif outcome is Outcome.CANCELLED and not was_cold:
        tracker.record_elapsed(elapsed_s, 0.0, now_s)
    elif outcome is Outcome.TIMED_OUT and not was_cold:
        tracker.record_elapsed(elapsed_s, 0.0, now_s)
        usual_s = elapsed.slot_time_s(request.service)
        is_long = elapsed_s > OVERDUE_FACTOR * usual_s + OVERDUE_SLACK_S
        if is_long and tracker.last_accepted_s <= grant.granted_at_s:
            # A shorter timeout is due to the setting of the route, and an upstream
            # that accepted later requests is not the cause.
            tracker.record_failure(now_s, was_quick=False)
    elif outcome is Outcome.SHED:
        tracker.shed_until_s = now_s + SHED_PAUSE_S
    elif outcome is Outcome.MISDIRECTED:
        tracker.shed_until_s = now_s + MISDIRECTED_PAUSE_S
    elif outcome is Outcome.CONNECT_FAILED:
        tracker.record_connect_failure(request.vm, now_s)


def record_accepted(grant: Grant, now_s: float) -> bool:
    """Count a request as accepted once it has run without failing quickly.

    Returns:
        Whether that ends a failure period of the upstream.
    """
    if grant.is_accepted or now_s - grant.granted_at_s < QUICK_FAILURE_S:
        return False
    grant.is_accepted = True
    tracker = grant.tracker
    tracker.record_accepted(grant.granted_at_s)
    if not tracker.failed_quickly or grant.granted_at_s < tracker.last_failure_s:
        return False
    was_suspect = tracker.suspect_since_s is not None
    tracker.confirm_recovery()
    return was_suspect and tracker.suspect_since_s is None
