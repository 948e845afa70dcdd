"""Learns from requests that still run, once in a tick."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from gentianfold.placement.grant import record_accepted

if TYPE_CHECKING:
    from gentianfold.placement.grant_table import GrantTable
    from gentianfold.placement.log_entries import StateChangeQueue
    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.tracker_table import TrackerTable

MAX_RUNNING_FACTOR = 6.0
"""Multiple of the expected time up to which a running request counts towards the
slowness of its upstream: some work takes that long by itself."""


def observe_grants(
    trackers: TrackerTable,
    grants: GrantTable,
    expected_s: Callable[[SlotRequest], float],
    share: float,
    state_changes: StateChangeQueue,
    now_s: float,
) -> None:
    """Update acceptance and slowness of upstreams from their running requests.

    Args:
        trackers: All upstreams; those that recover are filed anew.
        grants: All slots in use.
        expected_s: Returns the expected elapsed time of a request (seconds).
        share: Fraction of the upstreams' rate limits that may be used, 0 to 1.
        state_changes: Gets the changes to log.
        now_s: Current time (seconds).
    """
    active = trackers.active(now_s)
    for tracker in active:
        tracker.running_s = 0.0
    for tracker in trackers.limited():
        tracker.rate_limiter.share = share
    for grant in grants.values():
        if record_accepted(grant, now_s):
            state_changes.record(grant.tracker, "well", "taken", now_s)
            trackers.file(grant.tracker)
        usual_s = expected_s(grant.request)
        running_s = now_s - grant.granted_at_s
        if running_s > usual_s:
            limit_s = MAX_RUNNING_FACTOR * usual_s
            grant.tracker.running_s += min(running_s, limit_s)
    for tracker in active:
        if tracker.update_slow(now_s):
            state = "slow" if tracker.is_slow else "no longer slow"
            state_changes.record(tracker, state, "time", now_s)
