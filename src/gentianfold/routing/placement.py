"""Placement of attempts by power of two choices."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.routing import NO_FREE_SLOT, NO_UPSTREAM, UNKNOWN_SERVICE
from gentianfold.errors import Failure
from gentianfold.routing.choice import Choice, Reason
from gentianfold.routing.evidence import scope_key

if TYPE_CHECKING:
    import random

    from gentianfold.routing.policy import RoutingPolicy
    from gentianfold.routing.upstream_table import (
        ServiceRow,
        UpstreamRow,
        UpstreamTable,
    )

DRAWS = 6
"""Random draws before a scan looks for a free upstream."""
IDEMPOTENT_WAIT_S = 30.0
"""Time for which a due trial waits for an idempotent request."""
RETRY_AFTER_S = 1.0
"""When callers may try again."""


@attrs.define(eq=False)
class PlacementSystem:
    """Chooses upstreams by load, weight, zone and health."""

    policy: RoutingPolicy
    """Thresholds and periods."""
    table: UpstreamTable
    """The upstreams."""
    rng: random.Random
    """Source of random draws."""

    def choose(
        self,
        service_name: str,
        exclude: frozenset[str],
        now_s: float,
        route: str,
        customer: str,
        idempotent: bool,
    ) -> Choice | Failure:
        """Choose the upstream for one attempt."""
        service = self.table.services.get(service_name)
        if service is None:
            return Failure(UNKNOWN_SERVICE, f"no service {service_name!r}")
        if service.suspects or service.trials:
            test = self._test(service, exclude, now_s, route, customer, idempotent)
            if test is not None:
                return test
        return self._two_choices(service, exclude, now_s, route, customer)

    def _two_choices(
        self,
        service: ServiceRow,
        exclude: frozenset[str],
        now_s: float,
        route: str,
        customer: str,
    ) -> Choice | Failure:
        active = service.active
        count = len(active)
        rand = self.rng.random
        first: UpstreamRow | None = None
        for _ in range(DRAWS if count > 1 else 0):
            row = active[int(rand() * count)]
            if row is first or not _fits(row, exclude, now_s):
                continue
            if row.weight < 1.0 and rand() > row.weight:
                continue
            if row.avoided and _avoids(row, route, customer):
                continue
            if first is None:
                first = row
                continue
            return self._better(first, row, now_s)
        return self._scan(service, exclude, now_s, route, customer)

    def _better(self, first: UpstreamRow, second: UpstreamRow, now_s: float) -> Choice:
        """Prefer the less loaded; if loads are close, news or the zone decides.

        An upstream that nobody used for a while may have failed unnoticed. Work
        that goes there first keeps such gaps short.
        """
        first_load = first.load / first.upstream.slots
        second_load = second.load / second.upstream.slots
        if abs(first_load - second_load) > self.policy.zone_penalty:
            row = first if first_load < second_load else second
            return Choice(row.upstream, Reason.LESS_LOAD)
        oldest = first if first.seen_s <= second.seen_s else second
        if oldest.seen_s < now_s - self.policy.fresh_s:
            return Choice(oldest.upstream, Reason.NO_NEWS)
        if first.same_zone is not second.same_zone:
            near = first if first.same_zone else second
            return Choice(near.upstream, Reason.SAME_ZONE)
        row = first if first_load <= second_load else second
        return Choice(row.upstream, Reason.LESS_LOAD)

    def _scan(
        self,
        service: ServiceRow,
        exclude: frozenset[str],
        now_s: float,
        route: str,
        customer: str,
    ) -> Choice | Failure:
        """Find the least loaded upstream with a free slot."""
        active = service.active
        if len(active) == 1 and _fits(active[0], exclude, now_s):
            return Choice(active[0].upstream, Reason.ONLY_ONE)
        fit = [row for row in active if _fits(row, exclude, now_s)]
        wide = [r for r in fit if not (r.avoided and _avoids(r, route, customer))]
        if wide or fit:
            row = min(wide or fit, key=_cost)
            return Choice(row.upstream, Reason.FREE_SLOT)
        return self._last_resort(service, exclude)

    def _last_resort(
        self, service: ServiceRow, exclude: frozenset[str]
    ) -> Choice | Failure:
        """Use a removed upstream only if no active one is left to wait for."""
        if any(row.upstream.name not in exclude for row in service.active):
            return Failure(NO_FREE_SLOT, retry_after_s=RETRY_AFTER_S)
        left = [
            row
            for row in service.rows
            if not row.draining and row.upstream.name not in exclude
        ]
        if not left:
            return Failure(NO_UPSTREAM, retry_after_s=RETRY_AFTER_S)
        row = min(left, key=lambda r: (r.in_flight, r.recent_failures))
        if row.in_flight >= row.upstream.slots:
            return Failure(NO_FREE_SLOT, retry_after_s=RETRY_AFTER_S)
        return Choice(row.upstream, Reason.LAST_RESORT, trial=True)

    def _test(
        self,
        service: ServiceRow,
        exclude: frozenset[str],
        now_s: float,
        route: str,
        customer: str,
        idempotent: bool,
    ) -> Choice | None:
        """Use the request to test an ejected upstream or a suspect."""
        due_s = now_s if idempotent else now_s - IDEMPOTENT_WAIT_S
        for row in service.trials:
            free = not row.in_flight and row.upstream.name not in exclude
            if free and row.trial_s <= due_s:
                return Choice(row.upstream, Reason.TRIAL, trial=True)
        if not idempotent or not service.suspects:
            return None
        if self.rng.random() >= service.verify_share:
            return None
        unclear = [
            row
            for row in service.suspects
            if self._unclear(row, now_s, customer)
            and _fits(row, exclude, now_s)
            and not (row.avoided and _avoids(row, route, customer))
        ]
        if not unclear:
            return None
        # The strongest suspicion first: it is the soonest to be decided.
        row = max(unclear, key=lambda r: r.fleet.score)
        return Choice(row.upstream, Reason.VERIFY, trial=True)

    def _unclear(self, row: UpstreamRow, now_s: float, customer: str) -> bool:
        """Return whether this customer's request can tell more of a suspect."""
        evidence = row.fleet
        # The customer that failed alone can't tell whether others fail too.
        if row.removed or evidence.customers.keys() == {scope_key(customer)}:
            return False
        # A low weight leaves too little work to decide by.
        if row.failing and row.weight < 1.0:
            return True
        recent = now_s - evidence.last_failure_s <= self.policy.verify_s
        return recent and evidence.score > 0.0


def _fits(row: UpstreamRow, exclude: frozenset[str], now_s: float) -> bool:
    return (
        row.in_flight + row.remote_load < row.upstream.slots
        and row.full_until_s <= now_s
        and row.upstream.name not in exclude
    )


def _avoids(row: UpstreamRow, route: str, customer: str) -> bool:
    avoided = row.avoided
    return scope_key(route) in avoided or scope_key(customer) in avoided


def _cost(row: UpstreamRow) -> float:
    return row.load / row.upstream.slots / row.weight
