"""Measures admission under scripted faults, beside simpler schemes."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from gentianfold.reports.limits_baselines import (
    GossipedCounts,
    LocalBucket,
    SingleHome,
    StaticSplit,
)
from gentianfold.reports.limits_cases import (
    CUSTOMERS,
    END_S,
    FAULT_S,
    VM_COUNT,
    VMS,
    ZONE_COUNT,
    Case,
    Network,
)
from gentianfold.reports.limits_fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from gentianfold.model import RateLimit
    from gentianfold.reports.limits_baselines import Baseline

START_S = 20.0
"""Time of the first request."""

RECOVERY_S = 5.0
"""Time after a fault from which the admitted part of the limit counts."""


@attrs.frozen
class Arrival:
    """One request."""

    at_s: float
    """True time."""
    customer: str
    """Who sends it."""
    pick: float
    """Random number that chooses the VM."""


@attrs.frozen
class Decision:
    """A request and its outcome."""

    sent_s: float
    """True time of the request."""
    settled_s: float
    """True time of the outcome."""
    admitted: bool
    """Whether it was admitted."""


@attrs.define
class Result:
    """What a scheme did in a case."""

    decisions: dict[str, list[Decision]]
    """Decisions by customer, in order of the requests."""
    messages_per_request: float = 0.0
    """Messages between VMs, heartbeats excluded."""
    bytes_per_request: float = 0.0
    """Their encoded size."""

    def refused_within_rate(self, customer: str) -> int:
        """Return refusals beyond those of one central bucket on these requests."""
        decisions = self.decisions[customer]
        limit = CUSTOMERS[customer]
        bucket = LocalBucket(limit.burst, START_S)
        central = sum(
            not bucket.take(limit.rate_per_s, limit.burst, x.sent_s) for x in decisions
        )
        return max(0, sum(not x.admitted for x in decisions) - central)

    def excess(self, customer: str) -> float:
        """Return the tokens admitted beyond the limit in the worst window."""
        limit = CUSTOMERS[customer]
        times_s = sorted(x.settled_s for x in self.decisions[customer] if x.admitted)
        bucket = LocalBucket(limit.burst, 0.0)
        worst = 0.0
        for true_s in times_s:
            bucket.refill(limit.rate_per_s, limit.burst, true_s)
            bucket.level -= 1.0
            worst = max(worst, -bucket.level)
        return worst if worst > 1e-6 else 0.0

    def admitted_part(self, customer: str) -> float:
        """Return admissions from a while after the fault, as part of a central
        bucket's on the same requests.
        """
        start_s = FAULT_S + RECOVERY_S
        limit = CUSTOMERS[customer]
        bucket = LocalBucket(limit.burst, START_S)
        central = count = 0
        for decision in self.decisions[customer]:
            passed = bucket.take(limit.rate_per_s, limit.burst, decision.sent_s)
            if decision.sent_s >= start_s:
                central += passed
                count += decision.admitted
        return count / max(1, central)

    def wait_s(self, quantile: float) -> float:
        """Return a quantile of the wait of admitted requests."""
        waits = sorted(
            x.settled_s - x.sent_s
            for decisions in self.decisions.values()
            for x in decisions
            if x.admitted
        )
        return waits[int(quantile * (len(waits) - 1))] if waits else 0.0


def arrivals(case: Case, load: float, seed: int) -> list[Arrival]:
    """Return Poisson requests of all customers in order of time."""
    random = Random(seed)
    return sorted(
        (
            Arrival(at_s, customer, random.random())
            for customer, limit in CUSTOMERS.items()
            for at_s in _times(customer, limit, case, load, random)
        ),
        key=lambda arrival: arrival.at_s,
    )


def run_fleet(case: Case, load: float, seed: int) -> Result:
    """Run a case with the limiter."""
    network = Network()
    fleet = Fleet(seed=seed)
    fleet.connected = lambda a, b: network.reaches(a, b, fleet.now_s)
    for number, vm in enumerate(VMS):
        clock_rate = 1.0 + 0.0005 * (number % 3 - 1)
        fleet.start(vm, number % ZONE_COUNT, clock_rate)
    fleet.publish(1, VMS, VMS)
    case.schedule(fleet, network)
    requests = arrivals(case, load, seed)
    for arrival in requests:
        fleet.at(arrival.at_s, _sender(fleet, case, arrival))
    fleet.run_until(END_S + 1.0)
    decisions: dict[str, list[Decision]] = {customer: [] for customer in CUSTOMERS}
    for outcome in fleet.outcomes:
        decisions[outcome.customer].append(
            Decision(outcome.sent_s, outcome.settled_s, outcome.failure is None)
        )
    for rows in decisions.values():
        rows.sort(key=lambda decision: decision.sent_s)
    count = max(1, len(fleet.outcomes))
    return Result(decisions, fleet.messages / count, fleet.message_bytes / count)


def run_baseline(case: Case, scheme: str, load: float, seed: int) -> Result:
    """Run a case with one of the simpler schemes; a VM is only up or down."""
    network = Network()
    fleet = Fleet(seed=seed)
    for number, vm in enumerate(VMS):
        fleet.start(vm, number % ZONE_COUNT)
    fleet.publish(1, VMS, VMS)
    case.schedule(fleet, network)
    fleet.run_until(END_S)
    schemes: dict[str, Callable[[], Baseline]] = {
        "static split": lambda: StaticSplit(VM_COUNT),
        "home, lease not fenced": lambda: SingleHome(VMS, network.reaches, False),
        "home, fenced by majority": lambda: SingleHome(VMS, network.reaches, True),
        "gossiped counts": lambda: GossipedCounts(VMS, network.reaches),
    }
    baseline = schemes[scheme]()
    decisions: dict[str, list[Decision]] = {customer: [] for customer in CUSTOMERS}
    for arrival in arrivals(case, load, seed):
        up = [x for x in VMS if network.down_s.get(x, END_S + 1.0) > arrival.at_s]
        vm = choose_vm(up, case, arrival.pick)
        limit = CUSTOMERS[arrival.customer]
        admitted = baseline.admit(vm, arrival.customer, limit, arrival.at_s)
        decisions[arrival.customer].append(
            Decision(arrival.at_s, arrival.at_s, admitted)
        )
    return Result(decisions)


def choose_vm(up: list[str], case: Case, pick: float) -> str:
    """Return the VM that the balancer sends a request to."""
    if case.skewed:
        pick = pick**3
    return up[int(pick * len(up))]


def _sender(fleet: Fleet, case: Case, arrival: Arrival) -> Callable[[], None]:
    def send() -> None:
        up = [
            vm.name
            for vm in fleet.vms.values()
            if vm.up and not vm.paused and not vm.limiter.shares.stopping
        ]
        limits = [("all", CUSTOMERS[arrival.customer])]
        fleet.request(choose_vm(up, case, arrival.pick), arrival.customer, limits)

    return send


def _times(
    customer: str, limit: RateLimit, case: Case, load: float, random: Random
) -> Iterator[float]:
    factor = case.large_factor if customer == "depot-20" else 1.0
    at_s = START_S
    while True:
        at_s += random.expovariate(limit.rate_per_s * load * factor)
        if at_s >= END_S:
            return
        yield at_s
