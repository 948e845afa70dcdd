"""Evidence against one upstream, gathered from several observers."""

from __future__ import annotations

import math
from collections import Counter
from itertools import chain
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.routing.policy import RoutingPolicy
    from gentianfold.routing.traffic import TrafficMix

UNSCOPED = 0
"""Scope of failures that don't depend on route or customer."""

MAX_NARROW_SHARE = 0.95
"""Share of traffic above which a scope stands for the whole service."""


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
    first_failure_s: float = -math.inf
    """Time of the first failure in this episode."""
    last_failure_s: float = -math.inf
    """Time of the last failure."""
    successes: Counter[str] = attrs.field(factory=Counter)
    """Successes in this episode by zone of the observer."""
    failures: dict[Observer, list[Scope]] = attrs.field(factory=dict)
    """Scopes of the failures in this episode by observer."""

    @property
    def customers(self) -> Counter[int]:
        """Failures by customer."""
        return Counter(scope.customer for scope in self._scopes())

    @property
    def routes(self) -> Counter[int]:
        """Failures by route."""
        return Counter(scope.route for scope in self._scopes())

    def _scopes(self) -> Iterator[Scope]:
        return chain.from_iterable(self.failures.values())

    def add_successes(self, zone: str, count: int, weights: EvidenceWeights) -> None:
        """Count successes; end the episode once they outweigh the failures."""
        if self.score <= 0.0:
            return
        self.successes[zone] += count
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
        if not self.failures:
            self.first_failure_s = now_s
        self.last_failure_s = now_s
        seen = self.failures.setdefault(observer, [])
        if len(seen) < max_per_observer:
            seen.append(scope)
            self.score += weight

    def retract_failure(self, observer: Observer, weight: float) -> None:
        """Take back a failure that turned out to be a late success."""
        seen = self.failures.get(observer)
        if not seen:
            return
        seen.pop()
        self.score -= weight
        if not seen:
            del self.failures[observer]
        if self.score <= 0.0 or not self.failures:
            self.clear()

    def narrow_scope(
        self,
        failed: Counter[int],
        traffic: TrafficMix,
        weights: EvidenceWeights,
        proof: float,
    ) -> int | None:
        """Return the one customer or route that explains the failures, if any.

        It explains them unless it accounts for nearly all traffic, or the failures
        of the others, against their share of the successes, prove a fault too.
        """
        scope, count = failed.most_common(1)[0]
        share = traffic.share(scope)
        if scope == UNSCOPED or share > MAX_NARROW_SHARE:
            return None
        others = failed.total() - count
        successes = self.successes.total() * (1.0 - share)
        rest = others * weights.failure + successes * weights.success
        return None if rest >= proof else scope

    def proved_beyond_zone(self, weights: EvidenceWeights, proof: float) -> bool:
        """Return whether the zones other than the worst one prove a fault too."""
        failures: Counter[str] = Counter()
        for observer, scopes in self.failures.items():
            failures[observer.zone] += len(scopes)
        zone, count = failures.most_common(1)[0]
        others = failures.total() - count
        successes = self.successes.total() - self.successes[zone]
        return others * weights.failure + successes * weights.success >= proof

    def clear(self) -> None:
        """Start over."""
        self.score = 0.0
        self.successes.clear()
        self.failures.clear()
