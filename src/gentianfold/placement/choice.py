"""Chooses the upstream of one attempt.

A non-idempotent request prefers upstreams that accepted a request recently. Idempotent
requests explore, since a failure costs them a retry and not their response. So nearly
all first failures of an upstream that begins to fail hit requests that can be retried.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.slot_request import GrantReason
from gentianfold.placement.upstream_tracker import USUAL_SLOWNESS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.frozen
class ChoicePolicy:
    """Weights of the cost by which upstreams are compared; the lowest cost wins."""

    staleness_horizon_s: float = 1.5
    """Age at which the last accepted request says nothing more about an upstream
    (seconds): one and a half of the shortest failure periods, which last about a
    second."""
    staleness_weight: float = 2.0
    """Cost if the last accepted request is at least as old as the horizon; linear
    below, since a failure period is equally likely to begin at each moment of that
    age."""
    explore_weight: float = 0.6
    """Cost reduction for an idempotent request if the last grant is at least as
    old as the horizon; linear below."""
    load_weight: float = 0.3
    """Cost of an upstream with all slots in use; linear below."""
    failure_weight: float = 0.6
    """Cost of each recent failure of an upstream that is no longer suspect."""
    warmup_weight: float = 0.5
    """Cost of an upstream during its warm-up."""
    slow_weight: float = 0.5
    """Cost of each unit of slowness above ``USUAL_SLOWNESS``, for up to four units."""
    zone_weight: float = 0.15
    """Cost of another availability zone: traffic between zones is billed."""
    jitter: float = 0.05
    """Upper bound of the random cost that spreads requests over equal upstreams."""
    min_success_ratio: float = 0.25
    """Success ratio, 0 to 1, from which an upstream gets requests that would be refused
    otherwise; an upstream that fails nine in ten stays below it."""
    non_idempotent_trial_delay_s: float = 2.0
    """How long a due trial is reserved for idempotent requests (seconds)."""


@attrs.define
class Chooser:
    """Chooses healthy upstreams by cost, and suspect ones for trials."""

    policy: ChoicePolicy = attrs.field(factory=ChoicePolicy)
    """Weights of the cost."""
    random: random.Random = attrs.field(factory=random.Random)
    """Source of the jitter."""

    def choose(
        self,
        trackers: Sequence[UpstreamTracker],
        request: SlotRequest,
        now_s: float,
        may_explore: bool,
        expected_s: float = 0.0,
    ) -> tuple[UpstreamTracker, GrantReason, int] | None:
        """Choose an upstream with a free slot.

        An upstream that is too slow for the request's time left gets one idempotent
        request at a time, so that its recovery is measured. If no healthy upstream is
        fast enough, slowness excludes none of them.

        Args:
            trackers: Upstreams of the service that accept new requests.
            request: The request to place.
            now_s: Current time (seconds).
            may_explore: Whether a failed attempt may be retried.
            expected_s: Expected elapsed time of the request (seconds).

        Returns:
            The upstream, the reason and the number of candidates; ``None`` if the
            request should wait.
        """
        free = _free_trackers(trackers, request, now_s)
        if free:
            timely = [
                tracker
                for tracker in trackers
                if expected_s * tracker.slowness(now_s) <= request.time_left_s
            ]
            if any(tracker.suspect_since_s is None for tracker in timely):
                free = [
                    tracker
                    for tracker in free
                    if tracker in timely or (may_explore and not tracker.in_use)
                ]
        if not free:
            return None
        trial = self._due_trial(free, now_s, may_explore)
        if trial is not None:
            return trial, GrantReason.TRIAL, len(free)
        healthy = [tracker for tracker in free if tracker.suspect_since_s is None]
        if healthy:
            explore = may_explore and request.attempt == 1
            best = min(
                healthy,
                key=lambda tracker: self._cost(tracker, request, now_s, explore),
            )
            return best, GrantReason.BEST, len(healthy)
        if any(tracker.suspect_since_s is None for tracker in trackers):
            # A healthy upstream frees a slot before a suspect one recovers.
            return None
        oldest = min(
            free, key=lambda tracker: (tracker.trials_in_use, tracker.last_failure_s)
        )
        return oldest, GrantReason.LAST_RESORT, len(free)

    def choose_degraded(
        self,
        trackers: Sequence[UpstreamTracker],
        request: SlotRequest,
        now_s: float,
        expected_s: float = 0.0,
    ) -> tuple[UpstreamTracker, GrantReason, int] | None:
        """Choose a partly failing upstream for a request that would be refused.

        Returns:
            The same tuple as ``choose``; ``None`` if no upstream succeeds often enough
            and is fast enough.
        """
        candidates = [
            tracker
            for tracker in _free_trackers(trackers, request, now_s)
            if tracker.success_ratio >= self.policy.min_success_ratio
            and expected_s * tracker.slowness(now_s) <= request.time_left_s
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda tracker: tracker.success_ratio)
        return best, GrantReason.LAST_RESORT, len(candidates)

    def _due_trial(
        self, free: Sequence[UpstreamTracker], now_s: float, may_explore: bool
    ) -> UpstreamTracker | None:
        """Return the suspect whose trial has been due longest; ``None`` if none is."""
        delay_s = 0.0 if may_explore else self.policy.non_idempotent_trial_delay_s
        due = [
            tracker
            for tracker in free
            if tracker.suspect_since_s is not None
            and not tracker.trials_in_use
            and now_s >= tracker.next_trial_s + delay_s
        ]
        return min(due, key=lambda tracker: tracker.next_trial_s, default=None)

    def _cost(
        self,
        tracker: UpstreamTracker,
        request: SlotRequest,
        now_s: float,
        explore: bool,
    ) -> float:
        """Return the cost of sending the request to an upstream."""
        policy = self.policy
        reference_s = tracker.last_used_s if explore else tracker.last_accepted_s
        staleness = min((now_s - reference_s) / policy.staleness_horizon_s, 1.0)
        weight = -policy.explore_weight if explore else policy.staleness_weight
        cost = policy.load_weight * tracker.in_use / max(tracker.upstream.slots, 1)
        cost += weight * staleness
        cost += policy.failure_weight * tracker.recent_failures(now_s)
        if now_s < tracker.warmup_until_s:
            cost += policy.warmup_weight
        slowness = tracker.slowness(now_s)
        cost += policy.slow_weight * min(max(slowness - USUAL_SLOWNESS, 0.0), 4.0)
        if tracker.upstream.zone != request.zone:
            cost += policy.zone_weight
        return cost + self.random.random() * policy.jitter


def _free_trackers(
    trackers: Sequence[UpstreamTracker], request: SlotRequest, now_s: float
) -> list[UpstreamTracker]:
    """Return the upstreams on which the request could start at once."""
    return [
        tracker
        for tracker in trackers
        if tracker.has_free_slot(now_s)
        and tracker.upstream.name not in request.excluded
        and not tracker.is_blocked_for(request.vm, now_s)
    ]
