"""Chooses the upstream of one attempt.

Requests use the working sets, first that of their own availability zone. A
non-idempotent request prefers upstreams that accepted a request recently. Idempotent
requests explore, since a failure costs them a retry and not their response. So nearly
all first failures of an upstream that begins to fail hit requests that can be retried.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.queue_index import QueueIndex
from gentianfold.placement.service_demand import ServiceDemand
from gentianfold.placement.slot_request import GrantReason
from gentianfold.placement.upstream_tracker import NEVER_S, USUAL_SLOWNESS
from gentianfold.placement.working_set import WorkingSets

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_tracker import UpstreamTracker


@attrs.frozen
class RequestEstimate:
    """What a request is expected to take."""

    elapsed_s: float = 0.0
    """Elapsed time (seconds)."""
    kilobytes: float = 0.0
    """Size of the request and its response (kilobytes)."""


@attrs.frozen
class ServiceState:
    """State of a service that decides where its requests may go."""

    demand: ServiceDemand = attrs.field(factory=ServiceDemand)
    """Recent requests, and how many of them were not served."""
    working_sets: WorkingSets = attrs.field(factory=WorkingSets)
    """Upstreams that carry the usual load."""
    queue_index: QueueIndex = attrs.field(factory=QueueIndex)
    """Order of the waiting requests."""


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
    load_weight: float = 0.15
    """Cost of an upstream with all slots in use; linear below."""
    failure_weight: float = 0.6
    """Cost of each recent failure of an upstream that is no longer suspect."""
    warmup_weight: float = 0.5
    """Cost of an upstream during its warm-up."""
    slow_weight: float = 0.5
    """Cost of each unit of slowness above ``USUAL_SLOWNESS``, for up to four units."""
    zone_weight: float = 0.15
    """Cost of another availability zone, whatever the size of the request."""
    zone_price_per_kb: float = 0.025
    """Price of each kilobyte that is sent to or from another availability zone, as a
    fraction of the value of a request."""
    cost_per_value: float = 40.0
    """Cost of losing the value of a request: an upstream that accepted no request
    within the horizon fails one request in twenty."""
    explore_interval_s: float = 4.0
    """Time without requests after which an upstream outside the working sets gets an
    idempotent request (seconds)."""
    spread_interval_s: float = 1.0
    """The same while requests go unserved (seconds): each healthy upstream must then
    get requests within any two seconds."""
    foreign_interval_factor: float = 1.3
    """Multiple of these intervals for idempotent requests of other zones."""
    non_idempotent_interval_s: float = 1.5
    """Time without requests after which a healthy upstream gets a non-idempotent
    request while requests go unserved (seconds)."""
    non_idempotent_new_s: float = 2.0
    """Age of an upstream at which it gets its first request even if that is not
    idempotent (seconds)."""
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
        estimate: RequestEstimate,
        state: ServiceState,
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
            estimate: What the request is expected to take.
            state: State of the service; an exploring request takes its token.

        Returns:
            The upstream, the reason and the number of candidates; ``None`` if the
            request should wait.
        """
        free = _without_slow(
            _free_trackers(trackers, request, now_s),
            trackers,
            request,
            now_s,
            may_explore,
            estimate,
        )
        if not free:
            return None
        healthy = [tracker for tracker in free if tracker.suspect_since_s is None]
        needed = self._needed_trial(free, now_s, may_explore, state)
        if needed is not None:
            return needed, GrantReason.TRIAL, len(free)
        explored = self._explored(healthy, request, now_s, may_explore, state)
        if explored is not None:
            return explored, GrantReason.EXPLORE, len(healthy)
        if may_explore and state.demand.has_explore_token():
            trial = self._due_trial(free, now_s, may_explore)
            if trial is not None:
                state.demand.take_explore_token()
                return trial, GrantReason.TRIAL, len(free)
        if healthy:
            best = self._lowest_cost(
                _candidates(healthy, request.zone),
                request,
                now_s,
                may_explore,
                estimate,
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

    def _needed_trial(
        self,
        free: Sequence[UpstreamTracker],
        now_s: float,
        may_explore: bool,
        state: ServiceState,
    ) -> UpstreamTracker | None:
        """Return a due suspect that the load needs, or any while requests go unserved.

        Other suspects get trials within the bound of exploration.
        """
        suspect = [tracker for tracker in free if tracker.suspect_since_s is not None]
        if suspect and not state.demand.is_underserved(now_s):
            suspect = [
                tracker
                for tracker in suspect
                if state.working_sets.is_short(tracker.upstream.zone)
            ]
        return self._due_trial(suspect, now_s, may_explore)

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

    def _explored(
        self,
        healthy: Sequence[UpstreamTracker],
        request: SlotRequest,
        now_s: float,
        may_explore: bool,
        state: ServiceState,
    ) -> UpstreamTracker | None:
        """Return the upstream that has been without requests longest, if one is due.

        While requests go unserved, all healthy upstreams are due in short intervals,
        for any request. Otherwise those outside the working sets are due in long
        intervals, and new ones at once, for idempotent requests within the bound of
        exploration.
        """
        policy = self.policy
        is_underserved = state.demand.is_underserved(now_s)
        if not is_underserved and not state.demand.has_explore_token():
            return None
        if may_explore:
            interval_s = (
                policy.spread_interval_s
                if is_underserved
                else policy.explore_interval_s
            )
        elif is_underserved:
            interval_s = policy.non_idempotent_interval_s
        else:
            interval_s = float("inf")
        foreign_interval_s = interval_s * policy.foreign_interval_factor

        def is_due(tracker: UpstreamTracker) -> bool:
            if tracker.in_working_set and not is_underserved:
                return False
            if tracker.last_used_s == NEVER_S:
                age_s = now_s - tracker.listed_at_s
                return may_explore or (
                    age_s >= policy.non_idempotent_new_s
                    and not state.demand.has_idempotent_requests()
                )
            idle_s = now_s - tracker.last_used_s
            if tracker.upstream.zone == request.zone:
                return idle_s >= interval_s
            return idle_s >= foreign_interval_s

        due = min(
            filter(is_due, healthy),
            key=lambda tracker: (
                tracker.upstream.zone != request.zone,
                tracker.last_used_s,
                self.random.random(),
            ),
            default=None,
        )
        if due is not None and not is_underserved:
            state.demand.take_explore_token()
        return due

    def _lowest_cost(
        self,
        trackers: Sequence[UpstreamTracker],
        request: SlotRequest,
        now_s: float,
        may_explore: bool,
        estimate: RequestEstimate,
    ) -> UpstreamTracker:
        zone_cost = (
            self.policy.zone_weight
            + self.policy.zone_price_per_kb
            * self.policy.cost_per_value
            * estimate.kilobytes
        )
        return min(
            trackers,
            key=lambda tracker: self._cost(
                tracker, request, now_s, may_explore, zone_cost
            ),
        )

    def _cost(
        self,
        tracker: UpstreamTracker,
        request: SlotRequest,
        now_s: float,
        explore: bool,
        zone_cost: float,
    ) -> float:
        """Return the cost of sending the request to an upstream."""
        policy = self.policy
        reference_s = tracker.last_used_s if explore else tracker.last_accepted_s
        staleness = min((now_s - reference_s) / policy.staleness_horizon_s, 1.0)
        weight = -policy.explore_weight if explore else policy.staleness_weight
        cost = policy.load_weight * tracker.in_use / max(tracker.upstream.slots, 1)
        cost += weight * staleness
        cost += policy.failure_weight * tracker.recent_failures(now_s)
        if tracker.is_cold(now_s):
            cost += policy.warmup_weight
        slowness = tracker.slowness(now_s)
        cost += policy.slow_weight * min(max(slowness - USUAL_SLOWNESS, 0.0), 4.0)
        if tracker.upstream.zone != request.zone:
            cost += zone_cost
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


def _without_slow(
    free: list[UpstreamTracker],
    trackers: Sequence[UpstreamTracker],
    request: SlotRequest,
    now_s: float,
    may_explore: bool,
    estimate: RequestEstimate,
) -> list[UpstreamTracker]:
    """Return the free upstreams without those too slow for the request's time left."""

    def is_timely(tracker: UpstreamTracker) -> bool:
        return estimate.elapsed_s * tracker.slowness(now_s) <= request.time_left_s

    if all(map(is_timely, free)):
        return free
    timely = {tracker.upstream.name for tracker in free if is_timely(tracker)}
    if any(
        tracker.suspect_since_s is None
        and (tracker.upstream.name in timely or is_timely(tracker))
        for tracker in trackers
    ):
        return [
            tracker
            for tracker in free
            if tracker.upstream.name in timely or (may_explore and not tracker.in_use)
        ]
    return free


def _candidates(healthy: list[UpstreamTracker], zone: str) -> list[UpstreamTracker]:
    """Return the members of the working sets, and the rest where they do not suffice.

    If the set of the request's own zone has no free slot, all upstreams of that zone
    are candidates.
    """
    members = [tracker for tracker in healthy if tracker.in_working_set]
    if any(tracker.upstream.zone == zone for tracker in members):
        return members
    others = [tracker for tracker in healthy if tracker.upstream.zone == zone]
    return [*members, *others] or healthy
