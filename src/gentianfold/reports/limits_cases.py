"""Scripted faults that the limits are measured under."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.lot_table import LotTable
from gentianfold.model import RateLimit

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.reports.limits_fleet import Fleet

VM_COUNT = 36
"""VMs of the simulated fleet."""

ZONE_COUNT = 4
"""Zones that they stand in."""

FAULT_S = 30.0
"""Time of the fault."""

END_S = 60.0
"""End of the requests."""

CUSTOMERS = {
    "stall-0.2": RateLimit(0.2, 3.0),
    "stall-1": RateLimit(1.0, 3.0),
    "fitter-5": RateLimit(5.0, 10.0),
    "depot-20": RateLimit(20.0, 20.0),
    "tight-50": RateLimit(50.0, 5.0),
    "coop-100": RateLimit(100.0, 60.0),
    "buses-200": RateLimit(200.0, 100.0),
    "large-500": RateLimit(500.0, 200.0),
}
"""Customers and their limits."""

VMS = tuple(f"vm{number}" for number in range(VM_COUNT))
"""Names of the VMs at the start."""


@attrs.define
class Network:
    """Which VMs are up and reach each other, over time."""

    down_s: dict[str, float] = attrs.field(factory=dict)
    """When VMs crashed."""
    split_s: float = float("inf")
    """When the network was split."""
    parts: int = 1
    """Number of parts."""

    def reaches(self, sender: str, receiver: str, true_s: float) -> bool:
        """Tell whether a message passes at a time."""
        if self.down_s.get(receiver, true_s + 1.0) <= true_s:
            return False
        if true_s < self.split_s:
            return True
        return self._part(sender) == self._part(receiver)

    def _part(self, vm: str) -> int:
        return int(vm[2:]) % self.parts


@attrs.frozen
class Case:
    """One scripted case."""

    name: str
    """What happens."""
    schedule: Callable[[Fleet, Network], None] = lambda fleet, network: None
    """Plans the faults."""
    skewed: bool = False
    """Whether the balancer prefers few VMs."""
    large_factor: float = 1.0
    """Demand of the customer with 20/s, as a multiple of the others'."""


def home_of(fleet: Fleet, customer: str) -> str:
    """Return the home of a customer's bucket."""
    row = LotTable().row(customer, "all", CUSTOMERS[customer], 0, 0.0)
    return fleet.vms[VMS[0]].limiter.homes_of(row.home_slot)[0]


def _crash(fleet: Fleet, network: Network, vms: list[str]) -> None:
    for vm in vms:
        fleet.crash(vm)
        network.down_s[vm] = fleet.now_s


def _home_crash(fleet: Fleet, network: Network) -> None:
    def crash() -> None:
        _crash(fleet, network, [home_of(fleet, "large-500")])

    fleet.at(FAULT_S, crash)


def _zone_loss(fleet: Fleet, network: Network) -> None:
    lost = [vm.name for vm in fleet.vms.values() if vm.zone == 0]
    fleet.at(FAULT_S, lambda: _crash(fleet, network, lost))


def _split(parts: int) -> Callable[[Fleet, Network], None]:
    def schedule(fleet: Fleet, network: Network) -> None:
        network.split_s, network.parts = FAULT_S, parts

    return schedule


def _outage(fleet: Fleet, network: Network) -> None:
    """Crash a VM that stays listed, and restart one that learns no list."""

    def fault() -> None:
        _crash(fleet, network, [VMS[5], VMS[6]])
        fleet.start(VMS[6], 2)

    fleet.at(FAULT_S, fault)


def _pause(fleet: Fleet, network: Network) -> None:
    fleet.at(FAULT_S, lambda: fleet.pause(home_of(fleet, "large-500")))

    def resume() -> None:
        for vm in VMS:
            if fleet.vms[vm].paused:
                fleet.resume(vm)

    fleet.at(FAULT_S + 8.0, resume)


def _churn(fleet: Fleet, network: Network) -> None:
    """Replace a VM every 5 s: a planned stop, a list without it, a new VM."""
    versions = itertools.count(2)
    members = list(VMS)

    def stop(vm: str) -> None:
        limiter = fleet.vms[vm].limiter
        limiter.on_stop(fleet.vms[vm].local_s(fleet.now_s))

    def publish(vm: str, added: str) -> None:
        members.remove(vm)
        members.append(added)
        fleet.start(added, fleet.vms[vm].zone)
        fleet.publish(next(versions), list(members), [*members, vm])

    def end(vm: str) -> None:
        _crash(fleet, network, [vm])

    for index, vm in enumerate(VMS[:5]):
        start_s = FAULT_S + 5.0 * index
        fleet.at(start_s, lambda vm=vm: stop(vm))  # type: ignore[misc]
        added = f"vm{VM_COUNT + index}"
        fleet.at(start_s + 2.0, lambda vm=vm, added=added: publish(vm, added))  # type: ignore[misc]
        fleet.at(start_s + 4.0, lambda vm=vm: end(vm))  # type: ignore[misc]


CASES = (
    Case("steady"),
    Case("skewed balancer", skewed=True),
    Case("home crash", _home_crash),
    Case("home pauses 8 s", _pause),
    Case("zone loss", _zone_loss),
    Case("split in two", _split(2)),
    Case("split in four", _split(4)),
    Case("config outage", _outage),
    Case("churn", _churn),
    Case("one customer at 8x", large_factor=8.0),
)
"""All cases."""
