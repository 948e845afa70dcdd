"""The routing state of one VM behind one interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.routing.ejection import EjectionSystem
from gentianfold.routing.evidence import Observer, Scope, scope_key
from gentianfold.routing.exchange import ExchangeSystem
from gentianfold.routing.health import HealthSystem
from gentianfold.routing.observer_table import ObserverRow, ObserverTable
from gentianfold.routing.outcome import OutcomeKind
from gentianfold.routing.overdue import OverdueSystem
from gentianfold.routing.placement import PlacementSystem
from gentianfold.routing.policy import RoutingPolicy
from gentianfold.routing.subset import choose_subset, connection_budget
from gentianfold.routing.upstream_table import HealthState, UpstreamTable

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from gentianfold.errors import Failure
    from gentianfold.model import Service, Upstream
    from gentianfold.routing.choice import Choice
    from gentianfold.routing.outcome import Outcome
    from gentianfold.routing.upstream_table import UpstreamRow

PEER_CHECK_PERIOD_S = 1.0
"""Time between searches for silent peers."""
SHED_PAUSE_S = 0.25
"""Time for which an upstream counts as full after it shed load."""

_FAILURES = frozenset(
    {
        OutcomeKind.ERROR,
        OutcomeKind.CONNECT_FAILED,
        OutcomeKind.TIMEOUT,
        OutcomeKind.BROKEN,
    }
)


@attrs.frozen
class StatusRow:
    """What operators see of one upstream."""

    upstream: str
    """Name of the upstream."""
    service: str
    """Name of its service."""
    state: HealthState
    """What this VM thinks of it."""
    weight: float
    """Share of work relative to a healthy upstream."""
    in_flight: int
    """Attempts of this VM in flight."""
    reason: str
    """Why it is in that state, in short."""


class Router:
    """Places attempts, learns from them and exchanges what it learned."""

    def __init__(
        self,
        vm: str,
        zone: str,
        rng: random.Random,
        policy: RoutingPolicy | None = None,
    ) -> None:
        self.vm = vm
        self.policy = policy or RoutingPolicy()
        self.table = UpstreamTable(zone)
        self.observers = ObserverTable(ObserverRow(Observer(vm, zone)))
        self.ejection = EjectionSystem(self.policy, self.observers, rng)
        self.health = HealthSystem(
            self.policy, self.table, self.observers, self.ejection
        )
        self.exchange = ExchangeSystem(
            self.policy,
            self.table,
            self.observers,
            self.health,
            incarnation=rng.getrandbits(32),
        )
        self.overdue = OverdueSystem()
        self.placement = PlacementSystem(self.policy, self.table, rng)
        self._fleet_vms = 1
        self._group_sizes: dict[str, int] = {}
        self._peers_checked_s = 0.0
        self._snapshot_seen = False

    def on_snapshot(
        self,
        services: Iterable[Service],
        upstreams: Iterable[Upstream],
        now_s: float,
        *,
        fleet_vms: int = 1,
    ) -> None:
        """Take over what operators publish.

        Args:
            services: All services.
            upstreams: All upstreams; those left out get no new work from now on.
            now_s: The current time.
            fleet_vms: VMs that share the upstreams, for connection budgets.
        """
        listed = list(upstreams)
        self._fleet_vms = max(1, fleet_vms)
        self._group_sizes = {}
        for upstream in listed:
            size = self._group_sizes.get(upstream.service, 0)
            self._group_sizes[upstream.service] = size + 1
        used = choose_subset(self.vm, listed, self._fleet_vms, self.policy.min_subset)
        added = self.table.replace(services, used)
        for row in added:
            self.exchange.forget_upstream(row.key)
            if self._snapshot_seen:
                row.warm_until_s = now_s + self.policy.warm_up_s
                row.weight = self.policy.min_weight
        self._snapshot_seen = self._snapshot_seen or bool(listed)
        self._forget_removed()
        for service in self.table.services.values():
            self.health.update(service, now_s)

    def _forget_removed(self) -> None:
        rows = self.table.rows
        tables = (
            self.exchange.news,
            self.exchange.urgent,
            self.overdue.busy,
            self.ejection.held,
        )
        for held in tables:
            gone = [name for name, row in held.items() if rows.get(name) is not row]
            for name in gone:
                del held[name]

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
        """Choose the upstream for one attempt, none of ``exclude``."""
        return self.placement.choose(
            service, exclude, now_s, route, customer, idempotent
        )

    def started(
        self, upstream: str, now_s: float, *, route: str = "", customer: str = ""
    ) -> None:
        """Count an attempt in flight."""
        row = self.table.rows.get(upstream)
        if row is not None:
            row.seen_s = now_s
            self.overdue.start(row, _scope(route, customer), now_s)

    def finished(self, outcome: Outcome, now_s: float) -> None:
        """Take an attempt out of flight and learn from its outcome."""
        row = self.table.rows.get(outcome.upstream)
        if row is None:
            return
        scope = _scope(outcome.route, outcome.customer)
        start_s = now_s - outcome.latency_s
        attempt = self.overdue.finish(row, scope, start_s)
        row.busy_s += now_s - max(start_s, self.exchange.heartbeat_s)
        service = row.service
        service.routes.record(scope.route)
        service.customers.record(scope.customer)
        self.exchange.news[outcome.upstream] = row
        counted = attempt is not None and attempt.overdue
        if outcome.kind is OutcomeKind.OK:
            self._succeed(row, scope.route, outcome.latency_s, counted, now_s)
        elif outcome.kind is OutcomeKind.SHED:
            row.full_until_s = now_s + SHED_PAUSE_S
        elif outcome.kind in _FAILURES and not counted:
            unscoped = outcome.kind is OutcomeKind.CONNECT_FAILED
            self._fail(row, Scope() if unscoped else scope, now_s)

    def _succeed(
        self,
        row: UpstreamRow,
        route: int,
        latency_s: float,
        counted: bool,
        now_s: float,
    ) -> None:
        own = self.observers.own
        if counted:
            row.failures -= 1
            self.health.retract_failure(row, own)
        if row.fleet.score > 0.0 or row.ejected:
            self.exchange.urgent[row.upstream.name] = row
        row.successes += 1
        row.failure_streak = 0
        row.latency_sum_s += latency_s
        row.latency_count += 1
        self.health.record_latency(row, route, latency_s)
        self.health.add_successes(row, own, 1, now_s)

    def _fail(self, row: UpstreamRow, scope: Scope, now_s: float) -> None:
        row.failures += 1
        row.failed_scopes.append(scope)
        self.exchange.news[row.upstream.name] = row
        self.health.add_failures(row, self.observers.own, [scope], now_s)
        if self.observers.own.trusted(now_s):
            self.exchange.urgent[row.upstream.name] = row
        self.health.pause(row, now_s)

    def on_probe(self, upstream: str, healthy: bool) -> None:
        """Take the answer of a health endpoint as weak evidence.

        It lowers the weight a little; it neither ejects nor readmits.
        """
        row = self.table.rows.get(upstream)
        if row is not None:
            row.probe_failed = not healthy

    def on_tick(self, now_s: float) -> None:
        """Find overdue attempts, end pauses and recompute weights."""
        for row, attempt in self.overdue.tick(now_s):
            self._fail(row, attempt.scope, now_s)
        self.ejection.tick(now_s)
        self.health.tick(now_s)
        if now_s - self._peers_checked_s >= PEER_CHECK_PERIOD_S:
            self._peers_checked_s = now_s
            self.exchange.tick(now_s)

    def heartbeat_payload(self, now_s: float) -> bytes:
        """Return the sketch for all peers, once a second."""
        return self.exchange.heartbeat_payload(now_s)

    def urgent_payload(self, now_s: float) -> bytes | None:
        """Return news that can't wait for the heartbeat, if there is any."""
        return self.exchange.urgent_payload(now_s)

    def on_heartbeat(
        self, sender_vm: str, sender_zone: str, payload: bytes, now_s: float
    ) -> Failure | None:
        """Merge a heartbeat or urgent sketch of another VM."""
        return self.exchange.on_heartbeat(sender_vm, sender_zone, payload, now_s)

    def free_slots(self, service: str, now_s: float) -> int:
        """Estimate the free slots of a service over all its active upstreams."""
        row = self.table.services.get(service)
        if row is None:
            return 0
        return sum(
            max(0, int(active.upstream.slots - active.load))
            for active in row.active
            if active.full_until_s <= now_s
        )

    def path_suspect(self, now_s: float) -> bool:
        """Return whether most upstreams fail from this VM, so that it may be cut off.

        The platform's balancer should prefer other VMs then.
        """
        return not self.observers.own.trusted(now_s)

    def connection_budget(self, upstream: str) -> int:
        """Return how many connections this VM may open to an upstream."""
        row = self.table.rows.get(upstream)
        if row is None:
            return 0
        size = self._group_sizes[row.upstream.service]
        return connection_budget(
            row.upstream, size, self._fleet_vms, self.policy.min_subset
        )

    def rows(self, now_s: float) -> list[StatusRow]:
        """Return the state of every upstream that this VM uses."""
        return [
            StatusRow(
                row.upstream.name,
                row.upstream.service,
                row.state(now_s),
                round(row.weight, 3),
                row.in_flight,
                _reason(row),
            )
            for row in self.table.rows.values()
        ]


def _scope(route: str, customer: str) -> Scope:
    return Scope(scope_key(route), scope_key(customer))


def _reason(row: UpstreamRow) -> str:
    if row.ejected:
        return f"{row.cause.value}, ejected {row.ejections} times"
    if row.avoided:
        return f"avoided for {len(row.avoided)} routes or customers"
    if row.fleet.failures:
        return f"failures seen by {len(row.fleet.failures)} VMs"
    return ""
