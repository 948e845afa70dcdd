"""Rows of upstreams and services that the routing systems run over."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs
import xxhash

from gentianfold.model import UpstreamState
from gentianfold.routing.evidence import Evidence, EvidenceWeights, Scope
from gentianfold.routing.latency import LatencyHistogram
from gentianfold.routing.traffic import TrafficMix

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import Service, Upstream


class HealthState(enum.Enum):
    """What this VM thinks of an upstream."""

    HEALTHY = "healthy"
    """In service; nothing speaks against it."""
    WARMING = "warming"
    """In service with a weight that still grows."""
    SUSPECT = "suspect"
    """In service; recent failures are being verified."""
    PAUSED = "paused"
    """Out of service on this VM for a moment after a failure here."""
    EJECTED = "ejected"
    """Out of service until trial traffic succeeds."""
    KEPT = "kept by floor"
    """Should be out of service, but capacity would fall below the floor."""
    DRAINING = "draining"
    """Operators take it out; it gets no new work."""


class Cause(enum.Enum):
    """Which evidence ejected an upstream."""

    NONE = ""
    """It isn't ejected."""
    FLEET = "observers in several zones"
    """Failures seen from several zones."""
    ZONE = "observers in this zone"
    """Failures seen from the zone of this VM only."""


@attrs.define(eq=False)
class Attempt:
    """A request in flight at an upstream."""

    start_s: float
    """Time of its placement."""
    scope: Scope
    """Its route and customer."""
    overdue: bool = False
    """Whether it was counted as a failure before its end."""


@attrs.define(eq=False)
class UpstreamRow:
    """Everything that this VM knows of one upstream."""

    upstream: Upstream
    """The published upstream."""
    service: ServiceRow
    """The service that it belongs to."""
    key: int
    """The 32-bit key that stands for its name in sketches."""
    same_zone: bool
    """Whether it is in the zone of this VM."""
    draining: bool = False
    """Whether it finishes what it has only."""
    removed: bool = False
    """Whether it is out of service."""
    weight: float = 1.0
    """Share of work relative to a healthy upstream."""
    in_flight: int = 0
    """Attempts of this VM in flight."""
    attempts: list[Attempt] = attrs.field(factory=list)
    """The attempts in flight, oldest first."""
    remote_load: float = 0.0
    """Attempts of other VMs in flight, as last reported."""
    seen_s: float = -math.inf
    """Time of the last news of an attempt by any VM."""
    busy_s: float = 0.0
    """Slot time that attempts took since the last heartbeat."""
    full_until_s: float = -math.inf
    """Time until which it counts as full, after it shed load."""

    successes: int = 0
    """Successes on this VM, as sketches carry them."""
    failures: int = 0
    """Failures on this VM, as sketches carry them."""
    failed_scopes: list[Scope] = attrs.field(factory=list)
    """Scopes of the failures since the last sketch."""
    latency_sum_s: float = 0.0
    """Sum of latencies since the last sketch."""
    latency_count: int = 0
    """Number of latencies in ``latency_sum_s``."""
    sent_successes: int = 0
    """``successes`` in the last sketch."""
    sent_failures: int = 0
    """``failures`` in the last sketch."""

    fleet: Evidence = attrs.field(factory=Evidence)
    """Evidence of all observers."""
    zone: Evidence = attrs.field(factory=Evidence)
    """Evidence of the observers in the zone of this VM."""
    recent_successes: float = 0.0
    """Decayed successes over all observers."""
    recent_failures: float = 0.0
    """Decayed failures over all observers."""
    recent_latency_s: float = 0.0
    """Decayed sum of latencies over all observers."""
    recent_latencies: float = 0.0
    """Decayed number of latencies over all observers."""
    failing: bool = False
    """Whether its failure rate is well above that of the service."""
    probe_failed: bool = False
    """Whether the last health probe failed."""

    failure_streak: int = 0
    """Failures on this VM since its last success here."""
    paused_until_s: float = -math.inf
    """End of the pause on this VM."""
    held: bool = False
    """Whether it gets no new work until an ejection is confirmed or dropped."""
    cause: Cause = Cause.NONE
    """Why it is ejected."""
    ejections: int = 0
    """Ejections that are not forgotten yet."""
    ejected_s: float = -math.inf
    """Time of the last ejection."""
    readmitted_s: float = -math.inf
    """Time of the last readmission."""
    backoff_s: float = 0.0
    """Delay before the next trial."""
    backoff_until_s: float = -math.inf
    """Time before which further failures don't lengthen the backoff."""
    trial_s: float = math.inf
    """Time from which this VM may send a trial request."""
    trial_successes: int = 0
    """Successes since the last failure, while ejected."""
    warm_until_s: float = -math.inf
    """End of the slow start."""
    avoided: dict[int, float] = attrs.field(factory=dict)
    """Routes and customers kept away from it, with the end of that."""

    @property
    def ejected(self) -> bool:
        """Whether trial traffic must succeed before it returns."""
        return self.cause is not Cause.NONE

    @property
    def load(self) -> float:
        """Estimated slots in use."""
        return self.in_flight + self.remote_load

    def state(self, now_s: float) -> HealthState:
        """Return the state as operators see it."""
        if self.draining:
            return HealthState.DRAINING
        if self.removed:
            return HealthState.EJECTED if self.ejected else HealthState.PAUSED
        if self.ejected or self.held or self.paused_until_s > now_s:
            return HealthState.KEPT
        if self.fleet.score > 0.0:
            return HealthState.SUSPECT
        if self.warm_until_s > now_s:
            return HealthState.WARMING
        return HealthState.HEALTHY


@attrs.define(eq=False)
class ServiceRow:
    """A service and its upstreams."""

    service: Service
    """The published service."""
    rows: list[UpstreamRow] = attrs.field(factory=list)
    """All upstreams that this VM uses."""
    active: list[UpstreamRow] = attrs.field(factory=list)
    """The upstreams that take new work."""
    suspects: list[UpstreamRow] = attrs.field(factory=list)
    """Upstreams in service with failures to verify."""
    trials: list[UpstreamRow] = attrs.field(factory=list)
    """Ejected upstreams."""
    active_slots: int = 0
    """Slots of the active upstreams."""
    unsettled: bool = True
    """Whether some upstream isn't fully in service."""
    ticked_s: float = -math.inf
    """Time of the last recomputation of its health."""
    latency: LatencyHistogram = attrs.field(factory=LatencyHistogram)
    """Latencies of successes on this VM."""
    route_latency: dict[int, LatencyHistogram] = attrs.field(factory=dict)
    """The same by route."""
    overdue_s: float = 1.0
    """Age from which an attempt counts as overdue."""
    route_overdue_s: dict[int, float] = attrs.field(factory=dict)
    """The same by route, for routes with enough latencies."""
    baseline_rate: float = 0.0
    """Failure rate of the ordinary upstreams."""
    weights: EvidenceWeights = attrs.field(factory=EvidenceWeights)
    """Weights of outcomes against that baseline."""
    verify_share: float = 0.0
    """Share of idempotent requests that verify a suspect."""
    routes: TrafficMix = attrs.field(factory=TrafficMix)
    """Shares of routes on this VM."""
    customers: TrafficMix = attrs.field(factory=TrafficMix)
    """Shares of customers on this VM."""


@attrs.define(eq=False)
class UpstreamTable:
    """All rows of one VM."""

    zone: str
    """Availability zone of this VM."""
    rows: dict[str, UpstreamRow] = attrs.field(factory=dict)
    """Rows by upstream name."""
    by_key: dict[int, UpstreamRow] = attrs.field(factory=dict)
    """Rows by sketch key."""
    services: dict[str, ServiceRow] = attrs.field(factory=dict)
    """Services by name."""

    def replace(
        self, services: Iterable[Service], upstreams: Iterable[Upstream]
    ) -> list[UpstreamRow]:
        """Take a new snapshot over; return the rows that are new."""
        old_services, old_rows = self.services, self.rows
        self.services = {
            service.name: self._service_row(old_services.get(service.name), service)
            for service in services
        }
        self.rows = {}
        added = []
        for upstream in upstreams:
            service = self.services.get(upstream.service)
            if service is None:
                continue
            row = old_rows.get(upstream.name)
            if row is None or _moved(row.upstream, upstream):
                row = self._new_row(upstream, service)
                added.append(row)
            row.upstream = upstream
            row.service = service
            row.draining = upstream.state is UpstreamState.DRAINING
            self.rows[upstream.name] = row
            service.rows.append(row)
        self.by_key = {row.key: row for row in self.rows.values()}
        return added

    def _service_row(self, old: ServiceRow | None, service: Service) -> ServiceRow:
        row = old or ServiceRow(service)
        row.service = service
        row.rows = []
        return row

    def _new_row(self, upstream: Upstream, service: ServiceRow) -> UpstreamRow:
        return UpstreamRow(
            upstream,
            service,
            key=xxhash.xxh32_intdigest(upstream.name.encode()),
            same_zone=upstream.zone == self.zone,
        )


def _moved(old: Upstream, new: Upstream) -> bool:
    """Return whether another server stands behind the name now."""
    return (old.service, old.host, old.port) != (new.service, new.host, new.port)
