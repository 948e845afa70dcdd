"""Chooses the upstream of one attempt.

Requests use the working sets, first that of their own availability zone. A
non-idempotent request prefers upstreams that accepted a request recently. Idempotent
requests explore, since a failure costs them a retry and not their response. So nearly
all first failures of an upstream that begins to fail hit requests that can be retried.
A choice compares the first few upstreams of each group of the pool, so that its cost
doesn't grow with the number of upstreams.
"""

from __future__ import annotations

import itertools
import math
import random
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.queue_index import QueueIndex
from gentianfold.placement.service_demand import ServiceDemand
from gentianfold.placement.slot_request import GrantReason
from gentianfold.placement.upstream_pool import usable
from gentianfold.placement.upstream_tracker import NEVER_S, USUAL_SLOWNESS
from gentianfold.placement.working_set import WorkingSets

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_pool import UpstreamPool, ZoneGroups
    from gentianfold.placement.upstream_tracker import UpstreamTracker

MAX_CANDIDATES = 16
"""Upstreams of a group that are compared (count): the best of so many differs from the
best of all by less than the jitter."""
MAX_FOREIGN_CANDIDATES = 4
"""Upstreams of each further availability zone that are compared (count)."""
MAX_SUSPECTS = 32
"""Suspect upstreams that are compared (count), from the one that failed longest ago."""
MAX_DUE = 4
"""Due upstreams of a group that are compared for exploration (count)."""


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
    load_weight: float = 0.6
    """Cost of an upstream with all slots in use; linear below. They weigh as much as 0.45 s
    without an accepted request."""
    share_weight: float = 3.0
    """Cost of a slot that is the share of another VM: more than an upstream costs that
    is nearly full and accepted no request within the horizon."""
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
    non_idempotent_interval_s: float = 1.0
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
        pool: UpstreamPool,
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
            pool: Upstreams of the service that accept new requests.
            request: The request to place.
            now_s: Current time (seconds).
            may_explore: Whether a failed attempt may be retried.
            estimate: What the request is expected to take.
            state: State of the service; an exploring request takes its token.

        Returns:
            The upstream, the reason and the number of candidates; ``None`` if the
            request should wait.
        """
        selection = _Selection(pool, request, now_s, may_explore, estimate.elapsed_s)
        suspects = selection.first(
            usable(pool.suspects.values(), request, now_s), MAX_SUSPECTS
        )
        needed = self._needed_trial(suspects, now_s, may_explore, state)
        if needed is not None:
            return needed, GrantReason.TRIAL, len(suspects)
        explored = self._explored(selection, state)
        if explored is not None:
            return explored, GrantReason.EXPLORE, 1
        if suspects and may_explore and state.demand.has_explore_token():
            trial = self._due_trial(suspects, now_s, may_explore)
            if trial is not None:
                state.demand.take_explore_token()
                return trial, GrantReason.TRIAL, len(suspects)
        best = self._best(selection, estimate)
        if best is not None:
            return best
        if pool.has_healthy or not suspects:
            # A healthy upstream frees a slot before a suspect one recovers.
            return None
        oldest = min(
            suspects,
            key=lambda tracker: (tracker.trials_in_use, tracker.last_failure_s),
        )
        return oldest, GrantReason.LAST_RESORT, len(suspects)

    def choose_degraded(
        self,
        pool: UpstreamPool,
        request: SlotRequest,
        now_s: float,
        expected_s: float = 0.0,
    ) -> tuple[UpstreamTracker, GrantReason, int] | None:
        """Choose a partly failing upstream for a request that would be refused.

        Returns:
            The same tuple as ``choose``; ``None`` if no upstream succeeds often enough
            and is fast enough.
        """

        def is_fit(tracker: UpstreamTracker) -> bool:
            return (
                tracker.success_ratio >= self.policy.min_success_ratio
                and tracker.is_timely(expected_s, request.time_left_s, now_s)
            )

        groups = [
            group
            for zone_groups in pool.zones.values()
            for group in (zone_groups.members, zone_groups.others)
        ]
        candidates = [
            tracker
            for group in (*groups, pool.suspects)
            for tracker in itertools.islice(
                filter(is_fit, usable(group.values(), request, now_s)), MAX_SUSPECTS
            )
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda tracker: tracker.success_ratio)
        return best, GrantReason.LAST_RESORT, len(candidates)

    def _needed_trial(
        self,
        suspects: Sequence[UpstreamTracker],
        now_s: float,
        may_explore: bool,
        state: ServiceState,
    ) -> UpstreamTracker | None:
        """Return a due suspect that the load needs, or any while requests go unserved.

        Other suspects get trials within the bound of exploration.
        """
        if suspects and not state.demand.is_underserved(now_s):
            suspects = [
                tracker
                for tracker in suspects
                if state.working_sets.is_short(tracker.upstream.zone)
            ]
        return self._due_trial(suspects, now_s, may_explore)

    def _due_trial(
        self, suspects: Sequence[UpstreamTracker], now_s: float, may_explore: bool
    ) -> UpstreamTracker | None:
        """Return the suspect whose trial has been due longest; ``None`` if none is."""
        delay_s = 0.0 if may_explore else self.policy.non_idempotent_trial_delay_s
        due = [
            tracker
            for tracker in suspects
            if not tracker.trials_in_use and now_s >= tracker.next_trial_s + delay_s
        ]
        return min(due, key=lambda tracker: tracker.next_trial_s, default=None)

    def _explored(
        self, selection: _Selection, state: ServiceState
    ) -> UpstreamTracker | None:
        """Return the upstream that has been without requests longest, if one is due.

        While requests go unserved, all healthy upstreams are due in short intervals,
        for any request. Otherwise those outside the working sets are due in long
        intervals, and new ones at once, for idempotent requests within the bound of
        exploration.
        """
        policy, now_s = self.policy, selection.now_s
        is_underserved = state.demand.is_underserved(now_s)
        if not is_underserved and not state.demand.has_explore_token():
            return None
        if selection.may_explore:
            interval_s = (
                policy.spread_interval_s
                if is_underserved
                else policy.explore_interval_s
            )
        elif is_underserved:
            interval_s = policy.non_idempotent_interval_s
        else:
            interval_s = math.inf
        new_after_s = 0.0 if selection.may_explore else policy.non_idempotent_new_s
        if not selection.may_explore and state.demand.has_idempotent_requests():
            new_after_s = math.inf
        due = self._longest_idle(
            selection, selection.own_groups, interval_s, new_after_s, is_underserved
        ) or self._longest_idle(
            selection,
            selection.foreign_groups,
            interval_s * policy.foreign_interval_factor,
            new_after_s,
            is_underserved,
        )
        if due is not None and not is_underserved:
            state.demand.take_explore_token()
        return due

    def _longest_idle(
        self,
        selection: _Selection,
        zones: Iterable[ZoneGroups],
        interval_s: float,
        new_after_s: float,
        with_members: bool,
    ) -> UpstreamTracker | None:
        """Return the upstream of some zones that was used longest ago, if one is due.

        Args:
            selection: Selects the upstreams that the request may use.
            zones: Groups of the zones, in which those used last are at the end.
            interval_s: Time without requests after which an upstream is due (seconds).
            new_after_s: Age at which one is due that was never used (seconds).
            with_members: Whether members of the working sets are included.
        """
        now_s = selection.now_s

        def due_of(group: Iterable[UpstreamTracker]) -> Iterator[UpstreamTracker]:
            for tracker in group:
                if tracker.last_used_s == NEVER_S:
                    if now_s - tracker.listed_at_s >= new_after_s:
                        yield tracker
                elif now_s - tracker.last_used_s >= interval_s:
                    yield tracker
                else:
                    return

        due = [
            tracker
            for groups in zones
            for group in (groups.others, groups.members)[: 1 + with_members]
            for tracker in selection.first(
                usable(due_of(group.values()), selection.request, now_s), MAX_DUE
            )
        ]
        return min(
            due,
            key=lambda tracker: (tracker.last_used_s, self.random.random()),
            default=None,
        )

    def _best(
        self, selection: _Selection, estimate: RequestEstimate
    ) -> tuple[UpstreamTracker, GrantReason, int] | None:
        """Return the candidate of the lowest cost; ``None`` if there are none.

        Other availability zones are looked at only if one of their upstreams can cost
        less than the best one of the request's own zone.
        """
        policy = self.policy
        zone_cost = (
            policy.zone_weight
            + policy.zone_price_per_kb * policy.cost_per_value * estimate.kilobytes
        )
        least_cost = zone_cost - policy.explore_weight * selection.may_explore
        best: UpstreamTracker | None = None
        best_cost, count = math.inf, 0
        for candidates, extra_cost in selection.candidates(zone_cost):
            count += len(candidates)
            for tracker in candidates:
                cost = extra_cost + self._cost(
                    tracker, selection.now_s, selection.may_explore
                )
                if cost < best_cost:
                    best, best_cost = tracker, cost
            if best_cost <= least_cost:
                break
        return None if best is None else (best, GrantReason.BEST, count)

    def _cost(self, tracker: UpstreamTracker, now_s: float, explore: bool) -> float:
        """Return the cost of an upstream, without that of its availability zone."""
        policy = self.policy
        reference_s = tracker.last_used_s if explore else tracker.last_accepted_s
        staleness = min((now_s - reference_s) / policy.staleness_horizon_s, 1.0)
        weight = -policy.explore_weight if explore else policy.staleness_weight
        cost = policy.load_weight * tracker.in_use / max(tracker.upstream.slots, 1)
        cost += weight * staleness
        if tracker.is_share_used_up:
            cost += policy.share_weight
        if tracker.failure_score:
            cost += policy.failure_weight * tracker.recent_failures(now_s)
        if tracker.is_cold(now_s):
            cost += policy.warmup_weight
        slowness = tracker.slowness(now_s)
        if slowness > USUAL_SLOWNESS:
            cost += policy.slow_weight * min(slowness - USUAL_SLOWNESS, 4.0)
        return cost + self.random.random() * policy.jitter


@attrs.define(eq=False, repr=False)
class _Selection:
    """Selects the upstreams that one request may use."""

    pool: UpstreamPool
    """Upstreams of the service that accept new requests."""
    request: SlotRequest
    """The request."""
    now_s: float
    """Current time (seconds)."""
    may_explore: bool
    """Whether a failed attempt may be retried."""
    expected_s: float
    """Expected elapsed time of the request (seconds)."""
    _has_timely: bool | None = None

    @property
    def own_groups(self) -> Iterator[ZoneGroups]:
        """The groups of the request's availability zone, if it has upstreams."""
        groups = self.pool.zones.get(self.request.zone)
        return iter(() if groups is None else (groups,))

    @property
    def foreign_groups(self) -> Iterator[ZoneGroups]:
        """The groups of the other availability zones."""
        return self.pool.other_zones(self.request.zone)

    def first(
        self, trackers: Iterable[UpstreamTracker], limit: int
    ) -> list[UpstreamTracker]:
        """Return the first upstreams that are fast enough for the request."""
        return list(itertools.islice(filter(self._is_allowed, trackers), limit))

    def candidates(
        self, zone_cost: float
    ) -> Iterator[tuple[list[UpstreamTracker], float]]:
        """Yield candidates, each with the cost of using their availability zone.

        They are the members of the working sets, and the rest where they do not
        suffice: if the set of the request's own zone has no free slot, all upstreams of
        that zone are candidates.
        """
        request, now_s = self.request, self.now_s
        own: list[UpstreamTracker] = []
        for groups in self.own_groups:
            own = self._members(groups, MAX_CANDIDATES) or self.first(
                usable(groups.others.values(), request, now_s), MAX_CANDIDATES
            )
        if own:
            yield own, 0.0
        members = [
            tracker
            for groups in self.foreign_groups
            for tracker in self._members(groups, MAX_FOREIGN_CANDIDATES)
        ]
        if own or members:
            yield members, zone_cost
            return
        for groups in self.foreign_groups:
            others = usable(groups.others.values(), request, now_s)
            yield self.first(others, MAX_CANDIDATES), zone_cost

    def _members(self, groups: ZoneGroups, limit: int) -> list[UpstreamTracker]:
        members = self.pool.members(
            groups,
            self.request,
            self.now_s,
            by_proof=not self.may_explore and len(groups.members) > limit,
        )
        return self.first(members, limit)

    def _is_allowed(self, tracker: UpstreamTracker) -> bool:
        """Tell whether slowness doesn't keep the request from an upstream."""
        if self._is_timely(tracker) or (self.may_explore and not tracker.in_use):
            return True
        if self._has_timely is None:
            self._has_timely = any(
                healthy.suspect_since_s is None and self._is_timely(healthy)
                for healthy in self.pool.trackers
            )
        return not self._has_timely

    def _is_timely(self, tracker: UpstreamTracker) -> bool:
        time_left_s = self.request.time_left_s
        return tracker.is_timely(self.expected_s, time_left_s, self.now_s)
