"""Simple placers that the report compares the router with."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.routing import NO_UPSTREAM
from gentianfold.errors import Failure
from gentianfold.routing.choice import Choice, Reason
from gentianfold.routing.outcome import OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import Upstream
    from gentianfold.routing.outcome import Outcome

CONSECUTIVE_ERRORS = 5
"""Failures in a row that eject an upstream on one VM."""
EJECTION_S = 30.0
"""Length of the first ejection; it grows with each one."""
MAX_EJECTED_FRACTION = 0.5
"""Upstreams that one VM may eject."""
GOOD = frozenset({OutcomeKind.OK, OutcomeKind.SHED, OutcomeKind.CANCELLED})
"""Outcomes that end a row of failures."""


@attrs.define(eq=False)
class RoundRobin:
    """Takes upstreams in turn."""

    upstreams: list[Upstream] = attrs.field(factory=list)
    """Upstreams in the order of turns."""
    turns: itertools.count[int] = attrs.field(factory=itertools.count)
    """Number of the next turn."""

    def publish(self, upstreams: Iterable[Upstream], now_s: float) -> None:
        """Take the published upstreams over."""
        self.upstreams = list(upstreams)

    def choose(
        self,
        service: str,
        exclude: frozenset[str],
        now_s: float,
        *,
        route: str = "",
        customer: str = "",
        idempotent: bool = True,
    ) -> Choice | Failure:
        """Choose the next upstream that may be used."""
        eligible = [u for u in self.upstreams if u.name not in exclude]
        eligible = self.prefer(eligible, now_s)
        if not eligible:
            return Failure(NO_UPSTREAM)
        upstream = eligible[next(self.turns) % len(eligible)]
        return Choice(upstream, Reason.LESS_LOAD)

    def prefer(self, eligible: list[Upstream], now_s: float) -> list[Upstream]:
        """Narrow the eligible upstreams; all of them here."""
        return eligible

    def started(
        self, upstream: str, now_s: float, *, route: str = "", customer: str = ""
    ) -> None:
        """Ignore the attempt."""

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Ignore the outcome."""

    def ejected(self, now_s: float) -> set[str]:
        """Return the ejected upstreams: none."""
        return set()


@attrs.define(eq=False)
class LeastLoaded(RoundRobin):
    """Takes the upstream with the fewest attempts of this VM in flight."""

    in_flight: dict[str, int] = attrs.field(factory=dict)
    """Attempts in flight by upstream."""

    def prefer(self, eligible: list[Upstream], now_s: float) -> list[Upstream]:
        """Keep the upstreams with the least load."""
        loads = [self.in_flight.get(u.name, 0) for u in eligible]
        least = min(loads, default=0)
        return [u for u, load in zip(eligible, loads, strict=True) if load == least]

    def started(
        self, upstream: str, now_s: float, *, route: str = "", customer: str = ""
    ) -> None:
        """Count the attempt."""
        self.in_flight[upstream] = self.in_flight.get(upstream, 0) + 1

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Take the attempt out of the count."""
        self.in_flight[outcome.upstream] -= 1


@attrs.define(eq=False)
class ConsecutiveErrors(LeastLoaded):
    """Ejects an upstream after failures in a row, on each VM alone."""

    streaks: dict[str, int] = attrs.field(factory=dict)
    """Failures in a row by upstream."""
    ejections: dict[str, int] = attrs.field(factory=dict)
    """Number of ejections by upstream."""
    until_s: dict[str, float] = attrs.field(factory=dict)
    """End of the ejection by upstream."""

    def prefer(self, eligible: list[Upstream], now_s: float) -> list[Upstream]:
        """Leave ejected upstreams out."""
        out = self.ejected(now_s)
        kept = [u for u in eligible if u.name not in out]
        return LeastLoaded.prefer(self, kept or eligible, now_s)

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Eject the upstream after enough failures in a row."""
        LeastLoaded.finished(self, outcome, now_s)
        name = outcome.upstream
        if outcome.kind in GOOD:
            self.streaks[name] = 0
            return
        self.streaks[name] = self.streaks.get(name, 0) + 1
        most = len(self.upstreams) * MAX_EJECTED_FRACTION
        room = len(self.ejected(now_s)) + 1 <= most
        if self.streaks[name] >= CONSECUTIVE_ERRORS and room:
            self.streaks[name] = 0
            self.ejections[name] = self.ejections.get(name, 0) + 1
            self.until_s[name] = now_s + EJECTION_S * self.ejections[name]

    def ejected(self, now_s: float) -> set[str]:
        """Return the upstreams that this VM has ejected."""
        return {name for name, until_s in self.until_s.items() if until_s > now_s}
