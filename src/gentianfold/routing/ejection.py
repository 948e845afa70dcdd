"""Ejection, trial traffic and readmission of upstreams."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from gentianfold.routing.floor import Removal, admit_removals
from gentianfold.routing.upstream_table import Cause

if TYPE_CHECKING:
    import random

    from gentianfold.routing.evidence import Evidence
    from gentianfold.routing.observer_table import ObserverTable
    from gentianfold.routing.policy import RoutingPolicy
    from gentianfold.routing.upstream_table import ServiceRow, UpstreamRow

LATE_ANSWER_S = 1.0
"""Time after an ejection in which answers to earlier work may come."""
TRIAL_BACKOFF_FACTOR = 1.5
"""Growth of the backoff after a failed trial."""
TRIAL_RATE_PER_S = 20.0
"""Trial requests over all VMs while an ejected upstream looks well again."""
MAX_TRIAL_FACTOR = 4
"""Largest factor on the successes that a repeatedly ejected upstream needs."""
TRIAL_SPREAD = 2.0
"""Spread of the first trials of all VMs relative to the backoff."""


@attrs.define(eq=False)
class EjectionSystem:
    """Decides which upstreams are in service on this VM."""

    policy: RoutingPolicy
    """Thresholds and periods."""
    observers: ObserverTable
    """The VMs whose evidence counts."""
    rng: random.Random
    """Source of jitter."""
    held: dict[str, UpstreamRow] = attrs.field(factory=dict)
    """Upstreams without new work until an ejection is confirmed or dropped."""

    def judge(self, row: UpstreamRow, now_s: float) -> None:
        """Act on new failures of an upstream."""
        if row.ejected:
            self._fail_trial(row, now_s)
            return
        if not row.service.service.ejection_enabled:
            return
        cause = self._cause(row)
        if cause is not Cause.NONE:
            evidence = row.fleet if cause is Cause.FLEET else row.zone
            self._act(row, evidence, cause, now_s)

    def _cause(self, row: UpstreamRow) -> Cause:
        """Return which evidence suffices for an ejection."""
        policy = self.policy
        needed = min(policy.min_observers, self.observers.vms)
        if self._proved(row.fleet, policy.ejection_score, needed):
            weights, proof = row.service.weights, policy.scope_score
            one_zone = len(self.observers.zones) == 1
            if one_zone or row.fleet.proved_beyond_zone(weights, proof):
                return Cause.FLEET
        needed = max(2, min(policy.min_observers, self.observers.zone_vms))
        if self._proved(row.zone, policy.zone_ejection_score, needed):
            return Cause.ZONE
        return Cause.NONE

    def _proved(self, evidence: Evidence, score: float, observers: int) -> bool:
        return evidence.score >= score and len(evidence.failures) >= observers

    def _act(
        self, row: UpstreamRow, evidence: Evidence, cause: Cause, now_s: float
    ) -> None:
        """Eject for all, or keep away the one customer or route that fails."""
        service, proof = row.service, self.policy.scope_score
        weights = service.weights
        customer = evidence.narrow_scope(
            evidence.customers, service.customers, weights, proof
        )
        route = evidence.narrow_scope(evidence.routes, service.routes, weights, proof)
        if customer is not None:
            self._avoid(row, customer, now_s)
        elif route is not None:
            self._avoid(row, route, now_s)
        elif now_s - evidence.first_failure_s < self.policy.confirm_s:
            self._hold(row, now_s)
        else:
            self.eject(row, cause, now_s)

    def _hold(self, row: UpstreamRow, now_s: float) -> None:
        """Stop new work until late answers had the time to arrive."""
        if row.upstream.name not in self.held:
            self.held[row.upstream.name] = row
            row.held = True
            self.resolve(row.service, now_s)

    def tick(self, now_s: float) -> None:
        """Confirm or drop the ejections that were held back."""
        for name, row in list(self.held.items()):
            evidence = row.zone if self._cause(row) is Cause.ZONE else row.fleet
            proved = self._cause(row) is not Cause.NONE
            if proved and now_s - evidence.first_failure_s < self.policy.confirm_s:
                continue
            del self.held[name]
            row.held = False
            if proved:
                self.judge(row, now_s)
            self.resolve(row.service, now_s)

    def _avoid(self, row: UpstreamRow, scope: int, now_s: float) -> None:
        row.avoided[scope] = now_s + self.policy.avoid_s

    def eject(self, row: UpstreamRow, cause: Cause, now_s: float) -> None:
        """Take an upstream out of service, as far as the floor permits."""
        policy = self.policy
        if now_s - row.readmitted_s > policy.forgive_s:
            row.ejections = 0
        row.ejections += 1
        row.cause = cause
        row.ejected_s = now_s
        row.trial_successes = 0
        row.avoided.clear()
        factor = 2.0 ** min(row.ejections - 1, 16)
        row.backoff_s = min(policy.min_backoff_s * factor, policy.max_backoff_s)
        self._schedule_trial(row, now_s)
        self.resolve(row.service, now_s)

    def _schedule_trial(self, row: UpstreamRow, now_s: float) -> None:
        row.backoff_until_s = now_s + row.backoff_s
        jitter_s = row.backoff_s * TRIAL_SPREAD * self.rng.random()
        row.trial_s = row.backoff_until_s + jitter_s

    def _fail_trial(self, row: UpstreamRow, now_s: float) -> None:
        row.trial_successes = 0
        if now_s < row.backoff_until_s:
            return
        policy = self.policy
        grown_s = row.backoff_s * TRIAL_BACKOFF_FACTOR
        row.backoff_s = max(row.backoff_s, min(grown_s, policy.max_trial_backoff_s))
        self._schedule_trial(row, now_s)

    def credit_trial(self, row: UpstreamRow, count: int, now_s: float) -> None:
        """Count successes of an ejected upstream; readmit it after enough.

        Successes count during the backoff too: other VMs, whose backoff may have
        ended earlier, saw them.
        """
        if now_s < row.ejected_s + LATE_ANSWER_S:
            return
        row.trial_successes += count
        factor = min(row.ejections, MAX_TRIAL_FACTOR)
        if row.trial_successes >= self.policy.trial_successes * factor:
            self.readmit(row, now_s)
        elif now_s >= row.backoff_until_s:
            # All VMs draw anew at each success, so that they take turns.
            spread_s = self.observers.vms / TRIAL_RATE_PER_S
            row.trial_s = now_s + spread_s * self.rng.random()

    def readmit(self, row: UpstreamRow, now_s: float) -> None:
        """Put an upstream back into service with a slow start."""
        row.cause = Cause.NONE
        row.readmitted_s = now_s
        row.warm_until_s = now_s + self.policy.warm_up_s
        row.trial_s = math.inf
        row.weight = self.policy.min_weight
        row.failing = False
        row.fleet.clear()
        row.zone.clear()
        row.recent_failures = row.recent_successes = 0.0
        row.recent_latency_s = row.recent_latencies = 0.0
        self.resolve(row.service, now_s)

    def resolve(self, service: ServiceRow, now_s: float) -> None:
        """Recompute which upstreams take new work, within the floor."""
        rows = service.rows
        live = [row for row in rows if not row.draining]
        wanted = self._wanted(live, now_s) if service.service.ejection_enabled else []
        removed = admit_removals(
            wanted,
            published_slots=sum(row.upstream.slots for row in rows),
            live_slots=sum(row.upstream.slots for row in live),
            floor_fraction=service.service.floor_fraction,
        )
        for row in rows:
            row.removed = row.draining or row.upstream.name in removed
        service.active = [row for row in rows if not row.removed]
        service.active_slots = sum(row.upstream.slots for row in service.active)
        service.trials = [row for row in live if row.ejected and row.removed]
        service.suspects = [
            row for row in service.active if row.failing or row.fleet.score > 0.0
        ]
        whole = len(service.active) == len(rows) and not service.suspects
        service.unsettled = not whole or any(row.weight < 1.0 for row in rows)

    def _wanted(self, live: list[UpstreamRow], now_s: float) -> list[Removal]:
        rows = [row for row in live if row.ejected or row.held]
        paused = [r for r in live if r.paused_until_s > now_s and r not in rows]
        if paused and self.observers.own.trusted(now_s):
            rows += paused
        return [
            Removal(row.upstream.name, row.upstream.slots, _badness(row))
            for row in rows
        ]


def _badness(row: UpstreamRow) -> float:
    """Rank ejected upstreams above paused ones, then by failure rate."""
    total = row.recent_failures + row.recent_successes
    rate = row.recent_failures / (total + 1.0)
    return rate + (1.0 if row.ejected else 0.0) - row.trial_successes * 0.01
