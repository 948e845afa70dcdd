"""Outcomes of all observers, turned into evidence and weights."""

from __future__ import annotations

import statistics
from heapq import nsmallest
from typing import TYPE_CHECKING

import attrs

from gentianfold.routing.evidence import EvidenceWeights
from gentianfold.routing.latency import LatencyHistogram
from gentianfold.routing.upstream_table import Cause

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.routing.ejection import EjectionSystem
    from gentianfold.routing.evidence import Scope
    from gentianfold.routing.observer_table import ObserverRow, ObserverTable
    from gentianfold.routing.policy import RoutingPolicy
    from gentianfold.routing.upstream_table import (
        ServiceRow,
        UpstreamRow,
        UpstreamTable,
    )

PERIOD_S = 1.0
"""Time between recomputations of a service."""
ROWS_PER_S = 400.0
"""Upstreams a second above which quiet services are recomputed less often."""
MAX_DUE = 16
"""Services recomputed in one tick."""
VERIFY_RATE_PER_S = 15.0
"""Requests that verify a suspect, over all VMs."""
PRIOR_REQUESTS = 50.0
"""Weight of the least baseline against what was seen."""
FAILING_EXCESS = 0.1
"""Failure rate above the baseline at which an upstream is still verified."""
MIN_LATENCIES = 8.0
"""Latencies of an upstream from which it is compared."""
MIN_OVERDUE_SAMPLES = 20.0
"""Latencies of a service from which its quantiles are used."""
MAX_OVERDUE_S = 5.0
"""Largest age at which an attempt becomes overdue."""
MAX_ROUTES = 32
"""Routes of a service with latencies of their own."""
MAX_PAUSE_DOUBLINGS = 4
"""Doublings of the pause on this VM."""


@attrs.define(eq=False)
class HealthSystem:
    """Gathers evidence and derives weights each tick."""

    policy: RoutingPolicy
    """Thresholds and periods."""
    table: UpstreamTable
    """The upstreams."""
    observers: ObserverTable
    """The VMs that report."""
    ejection: EjectionSystem
    """Acts on the evidence."""

    def add_successes(
        self,
        row: UpstreamRow,
        source: ObserverRow,
        count: int,
        now_s: float,
        age_s: float = 0.0,
    ) -> None:
        """Count successes that an observer saw within the last ``age_s`` seconds."""
        observer = source.observer
        row.seen_s = now_s
        row.recent_successes += count
        source.last_success_s[row.upstream.name] = now_s
        weights = row.service.weights
        fresh = min(count, self.policy.max_successes_per_sketch)
        in_zone = observer.zone == self.table.zone
        # Successes from before the first failure don't speak against it.
        if now_s - row.fleet.first_failure_s >= age_s:
            row.fleet.add_successes(observer.zone, fresh, weights)
        if in_zone and now_s - row.zone.first_failure_s >= age_s:
            row.zone.add_successes(observer.zone, fresh, weights)
        if row.ejected and (in_zone or row.cause is Cause.FLEET):
            self.ejection.credit_trial(row, count, now_s)

    def add_failures(
        self,
        row: UpstreamRow,
        source: ObserverRow,
        scopes: Iterable[Scope],
        now_s: float,
    ) -> None:
        """Count failures that an observer saw, unless its own path is suspect."""
        observer = source.observer
        row.seen_s = now_s
        source.last_failure_s[row.upstream.name] = now_s
        if not source.trusted(now_s):
            return
        weight = row.service.weights.failure
        limit = self.policy.max_failures_per_observer
        for scope in scopes:
            row.recent_failures += 1
            row.fleet.add_failure(observer, scope, weight, limit, now_s)
            if observer.zone == self.table.zone:
                row.zone.add_failure(observer, scope, weight, limit, now_s)
        if row not in row.service.suspects and not row.removed:
            row.service.suspects.append(row)
        self.ejection.judge(row, now_s)

    def retract_failure(self, row: UpstreamRow, source: ObserverRow) -> None:
        """Take back a failure that ended as a late success."""
        weight = row.service.weights.failure
        row.recent_failures = max(0.0, row.recent_failures - 1.0)
        row.fleet.retract_failure(source.observer, weight)
        if source.observer.zone == self.table.zone:
            row.zone.retract_failure(source.observer, weight)

    def pause(self, row: UpstreamRow, now_s: float) -> None:
        """Stop new work on this VM for a moment after a failure here."""
        doublings = min(row.failure_streak, MAX_PAUSE_DOUBLINGS)
        row.failure_streak += 1
        row.paused_until_s = now_s + self.policy.local_pause_s * 2.0**doublings
        self.ejection.resolve(row.service, now_s)

    def record_latency(self, row: UpstreamRow, route: int, latency_s: float) -> None:
        """Count one latency that this VM saw."""
        service = row.service
        service.latency.record(latency_s)
        by_route = service.route_latency.get(route)
        if by_route is None and len(service.route_latency) < MAX_ROUTES:
            by_route = service.route_latency[route] = LatencyHistogram()
        if by_route is not None:
            by_route.record(latency_s)
        self.add_latencies(row, latency_s, 1)

    def add_latencies(self, row: UpstreamRow, sum_s: float, count: int) -> None:
        """Count latencies that an observer saw."""
        row.recent_latency_s += sum_s
        row.recent_latencies += count

    def tick(self, now_s: float) -> None:
        """Recompute the services that are due, a few at a time.

        Where something is going on they are due each second, else less often the
        more upstreams there are.
        """
        period_s = max(PERIOD_S, len(self.table.rows) / ROWS_PER_S)
        due = [
            service
            for service in self.table.services.values()
            if now_s - service.ticked_s
            >= (PERIOD_S if service.unsettled else period_s) - 1e-6
        ]
        for service in nsmallest(MAX_DUE, due, key=lambda s: s.ticked_s):
            self.update(service, now_s)

    def update(self, service: ServiceRow, now_s: float) -> None:
        """Decay counts and recompute baseline, weights and deadlines."""
        elapsed_s = now_s - service.ticked_s
        service.ticked_s = now_s
        decay = 0.5 ** (elapsed_s / self.policy.evidence_half_life_s)
        for row in service.rows:
            row.recent_successes *= decay
            row.recent_failures *= decay
            row.recent_latency_s *= decay
            row.recent_latencies *= decay
            self._end_episode(row, now_s)
        self._update_service(service)
        self._update_overdue(service)
        self._update_weights(service, now_s)
        self.ejection.resolve(service, now_s)

    def _end_episode(self, row: UpstreamRow, now_s: float) -> None:
        for evidence in (row.fleet, row.zone):
            over_s = evidence.last_failure_s + self.policy.episode_s
            if evidence.failures and now_s > over_s:
                evidence.clear()
        if row.avoided:
            row.avoided = {k: t for k, t in row.avoided.items() if t > now_s}

    def _update_service(self, service: ServiceRow) -> None:
        policy = self.policy
        service.baseline_rate = _baseline_rate(service, policy.min_baseline_rate)
        capped = min(service.baseline_rate, policy.max_baseline_rate)
        service.weights = EvidenceWeights.of(policy, capped)
        total = sum(row.recent_successes + row.recent_failures for row in service.rows)
        rate_per_s = total * 0.693 / policy.evidence_half_life_s
        service.verify_share = min(
            policy.verify_share, VERIFY_RATE_PER_S / max(rate_per_s, 1.0)
        )

    def _update_overdue(self, service: ServiceRow) -> None:
        if service.latency.total >= MIN_OVERDUE_SAMPLES:
            service.overdue_s = self._overdue_s(service.latency)
        else:
            service.overdue_s = self.policy.default_overdue_s
        service.route_overdue_s = {
            route: self._overdue_s(latency)
            for route, latency in service.route_latency.items()
            if latency.total >= MIN_OVERDUE_SAMPLES
        }

    def _overdue_s(self, latency: LatencyHistogram) -> float:
        policy = self.policy
        overdue_s = latency.quantile_s(0.95) * policy.overdue_ratio
        return min(max(overdue_s, policy.min_overdue_s), MAX_OVERDUE_S)

    def _update_weights(self, service: ServiceRow, now_s: float) -> None:
        median_s = _median_latency_s(service)
        for row in service.rows:
            warming = row.warm_until_s > now_s
            weight = 1.0 if warming else self._health_weight(row, median_s)
            if warming:
                left = (row.warm_until_s - now_s) / self.policy.warm_up_s
                weight *= 1.0 - left
            row.weight = max(weight, self.policy.min_weight)

    def _health_weight(self, row: UpstreamRow, median_s: float) -> float:
        """Lower the weight by the failure rate and by the latency."""
        total = row.recent_failures + row.recent_successes
        rate = row.recent_failures / (total + 2.0)
        excess = max(0.0, rate - 2 * row.service.baseline_rate)
        row.failing = excess > FAILING_EXCESS
        weight = max(0.0, 1.0 - 3.0 * excess)
        if row.probe_failed:
            weight *= 0.8
        if row.recent_latencies >= MIN_LATENCIES and median_s > 0.0:
            ratio = row.recent_latency_s / row.recent_latencies / median_s
            weight *= min(1.0, self.policy.slow_ratio / max(ratio, 1e-9))
        return weight


def _baseline_rate(service: ServiceRow, prior_rate: float) -> float:
    """Return the failure rate without the quarter that fails most."""
    rows = sorted(service.rows, key=lambda row: row.recent_failures)
    ordinary = rows[: max(1, len(rows) - max(1, len(rows) // 4))]
    failures = sum(row.recent_failures for row in ordinary)
    total = failures + sum(row.recent_successes for row in ordinary)
    return (failures + prior_rate * PRIOR_REQUESTS) / (total + PRIOR_REQUESTS)


def _median_latency_s(service: ServiceRow) -> float:
    means = [
        row.recent_latency_s / row.recent_latencies
        for row in service.rows
        if row.recent_latencies >= MIN_LATENCIES
    ]
    return statistics.median(means) if len(means) > 2 else 0.0
