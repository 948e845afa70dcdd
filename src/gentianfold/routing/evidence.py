"""Evidence against one upstream, gathered from several observers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from gentianfold.routing.policy import RoutingPolicy

UNSCOPED = 0
"""Scope of failures that don't depend on route or customer."""


def scope_key(text: str) -> int:
    """Return a 16-bit key of a route or customer name, never ``UNSCOPED``."""
    return xxhash.xxh32_intdigest(text.encode()) & 0xFFFF | 1


@attrs.frozen
class Scope:
    """Route and customer of a failed attempt, by their keys."""

    route: int = UNSCOPED
    """Key of the route."""
    customer: int = UNSCOPED
    """Key of the customer."""


@attrs.frozen
class Observer:
    """A VM that reports outcomes."""

    vm: str
    """Name of the VM."""
    zone: str
    """Its availability zone."""


@attrs.frozen
class EvidenceWeights:
    """Log-likelihood ratios of one outcome: sick against normal."""

    failure: float = 0.0
    """Added for a failure."""
    success: float = 0.0
    """Added for a success; negative."""

    @classmethod
    def of(cls, policy: RoutingPolicy, baseline_rate: float) -> EvidenceWeights:
        """Compare the sick failure rate with the baseline of the service."""
        sick = policy.sick_failure_rate
        base = min(max(baseline_rate, policy.min_baseline_rate), sick)
        return cls(math.log(sick / base), math.log((1 - sick) / (1 - base)))


@attrs.define
class Evidence:
    """A cumulative sum test (CUSUM) over the outcomes of one upstream.

    The score restarts at zero whenever successes outweigh the failures, so a long
    healthy past does not delay the detection of a new fault.
    """

    score: float = 0.0
    """Log-likelihood ratio since the episode began."""
    last_failure_s: float = -math.inf
    """Time of the last failure."""
    failures_by_vm: dict[str, int] = attrs.field(factory=dict)
    """Failures counted in this episode by observer."""
    zones: set[str] = attrs.field(factory=set)
    """Zones of the observers that saw failures."""
    routes: set[int] = attrs.field(factory=set)
    """Routes that failed."""
    customers: set[int] = attrs.field(factory=set)
    """Customers whose requests failed."""

    def add_successes(self, count: int, weights: EvidenceWeights) -> None:
        """Count successes; end the episode once they outweigh the failures."""
        if self.score <= 0.0:
            return
        self.score += count * weights.success
        if self.score <= 0.0:
            self.clear()

    def add_failure(
        self,
        observer: Observer,
        scope: Scope,
        weight: float,
        max_per_observer: int,
        now_s: float,
    ) -> None:
        """Count one failure, within the share of its observer."""
        self.last_failure_s = now_s
        self.routes.add(scope.route)
        self.customers.add(scope.customer)
        self.zones.add(observer.zone)
        seen = self.failures_by_vm.get(observer.vm, 0)
        self.failures_by_vm[observer.vm] = seen + 1
        if seen < max_per_observer:
            self.score += weight

    def retract_failure(self, observer: Observer, weight: float) -> None:
        """Take back a failure that turned out to be a late success."""
        seen = self.failures_by_vm.get(observer.vm, 0)
        if seen == 0:
            return
        if seen > 1:
            self.failures_by_vm[observer.vm] = seen - 1
        else:
            del self.failures_by_vm[observer.vm]
        self.score -= weight
        if self.score <= 0.0 or not self.failures_by_vm:
            self.clear()

    def clear(self) -> None:
        """Start over."""
        self.score = 0.0
        self.failures_by_vm.clear()
        self.zones.clear()
        self.routes.clear()
        self.customers.clear()
