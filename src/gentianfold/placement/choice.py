"""Chooses the upstream of one attempt.

Requests that may run once at most go where success was seen last; idempotent ones
explore, since a failure costs them a further attempt and not their answer. So nearly
all first hits of a failing spell fall on requests that can be tried again.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.slot_request import GrantReason
from gentianfold.placement.upstream_row import USUAL_SLOWNESS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_row import UpstreamRow


@attrs.frozen
class ChoicePolicy:
    """Weights of the facts; costs are relative to one upstream in full use."""

    staleness_horizon_s: float = 1.5
    """Age at which a proof is worth nothing more (seconds): a failing spell and a
    half."""
    staleness_weight: float = 2.0
    """Cost of a proof as old as the horizon; a spell begins as likely in each moment
    of that age."""
    explore_weight: float = 0.6
    """What an idempotent request gains on an upstream without a proof."""
    load_weight: float = 0.3
    """Cost of an upstream whose slots are all in use."""
    failure_weight: float = 0.6
    """Cost of each recent failure, after the upstream was cleared."""
    warmup_weight: float = 0.5
    """Cost of an upstream that has just started."""
    slow_weight: float = 0.5
    """Cost of each further multiple of the usual elapsed time, up to four."""
    zone_weight: float = 0.15
    """Cost of another availability zone: bytes between zones are paid for."""
    jitter: float = 0.05
    """Random part that spreads equal choices."""
    min_success_ratio: float = 0.25
    """Part of its requests that must succeed on an upstream which is tried instead of
    a refusal; one that fails nine in ten stays below it."""
    non_idempotent_trial_delay_s: float = 2.0
    """How long a due trial waits for an idempotent request (seconds)."""


@attrs.define
class Chooser:
    """Applies the policy."""

    policy: ChoicePolicy = attrs.field(factory=ChoicePolicy)
    """The weights."""
    random: random.Random = attrs.field(factory=random.Random)
    """Source of jitter."""

    def choose(
        self,
        rows: Sequence[UpstreamRow],
        request: SlotRequest,
        now_s: float,
        may_explore: bool,
        expected_s: float = 0.0,
    ) -> tuple[UpstreamRow, GrantReason, int] | None:
        """Choose an upstream with a free slot.

        An upstream that is too slow for the time left gets one idempotent request at
        a time, which finds out when it is faster again, unless all are too slow.

        Args:
            rows: Upstreams of the service that take new work.
            request: The request to place.
            now_s: The present time.
            may_explore: Whether a failed attempt may be followed by another.
            expected_s: Usual time of such a request (seconds).

        Returns:
            The upstream, why, and how many there were to choose from; ``None`` if
            the request should wait.
        """
        free = _free_rows(rows, request, now_s)
        if free:
            timely = [
                row
                for row in rows
                if expected_s * row.slowness(now_s) <= request.time_left_s
            ]
            if any(row.suspect_since_s is None for row in timely):
                free = [
                    row
                    for row in free
                    if row in timely or (may_explore and not row.in_use)
                ]
        if not free:
            return None
        trial = self._due_trial(free, now_s, may_explore)
        if trial is not None:
            return trial, GrantReason.TRIAL, len(free)
        healthy = [row for row in free if row.suspect_since_s is None]
        if healthy:
            explore = may_explore and request.attempt == 1
            best = min(
                healthy, key=lambda row: self._cost(row, request, now_s, explore)
            )
            return best, GrantReason.BEST, len(healthy)
        if any(row.suspect_since_s is None for row in rows):
            # A slot of an upstream that is healthy becomes free before a suspect is.
            return None
        oldest = min(free, key=lambda row: (row.trials_in_use, row.last_failure_s))
        return oldest, GrantReason.LAST_RESORT, len(free)

    def choose_degraded(
        self,
        rows: Sequence[UpstreamRow],
        request: SlotRequest,
        now_s: float,
        expected_s: float = 0.0,
    ) -> tuple[UpstreamRow, GrantReason, int] | None:
        """Choose an upstream that fails in part, for a request else refused."""
        candidates = [
            row
            for row in _free_rows(rows, request, now_s)
            if row.success_ratio >= self.policy.min_success_ratio
            and expected_s * row.slowness(now_s) <= request.time_left_s
        ]
        if not candidates:
            return None
        best = max(candidates, key=lambda row: row.success_ratio)
        return best, GrantReason.LAST_RESORT, len(candidates)

    def _due_trial(
        self, free: Sequence[UpstreamRow], now_s: float, may_explore: bool
    ) -> UpstreamRow | None:
        """Return the suspect that has waited longest for a trial, if one is due."""
        delay_s = 0.0 if may_explore else self.policy.non_idempotent_trial_delay_s
        due = [
            row
            for row in free
            if row.suspect_since_s is not None
            and not row.trials_in_use
            and now_s >= row.next_trial_s + delay_s
        ]
        return min(due, key=lambda row: row.next_trial_s, default=None)

    def _cost(
        self, row: UpstreamRow, request: SlotRequest, now_s: float, explore: bool
    ) -> float:
        policy = self.policy
        reference_s = row.last_used_s if explore else row.last_accepted_s
        staleness = min((now_s - reference_s) / policy.staleness_horizon_s, 1.0)
        weight = -policy.explore_weight if explore else policy.staleness_weight
        cost = policy.load_weight * row.in_use / max(row.upstream.slots, 1)
        cost += weight * staleness
        cost += policy.failure_weight * row.recent_failures(now_s)
        if now_s < row.warmup_until_s:
            cost += policy.warmup_weight
        slowness = row.slowness(now_s)
        cost += policy.slow_weight * min(max(slowness - USUAL_SLOWNESS, 0.0), 4.0)
        if row.upstream.zone != request.zone:
            cost += policy.zone_weight
        return cost + self.random.random() * policy.jitter


def _free_rows(
    rows: Sequence[UpstreamRow], request: SlotRequest, now_s: float
) -> list[UpstreamRow]:
    """Return the upstreams on which a request could start at once."""
    return [
        row
        for row in rows
        if row.has_free_slot(now_s)
        and row.upstream.name not in request.excluded
        and not row.is_blocked_for(request.vm, now_s)
    ]
