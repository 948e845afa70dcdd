"""The command that shows rates, again and again."""

from __future__ import annotations

import itertools
import sys
import time
from typing import Annotated, Any

import attrs
import cappa

from gentianfold.cli._arguments import IntervalOption, JsonFlag, VmOption
from gentianfold.cli._fleet_status import FleetStatus, format_upstreams, format_vms
from gentianfold.cli._operator_client import parse_addresses
from gentianfold.cli._output import (
    format_table,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli._vm_status import VmStatus
from gentianfold.cli.exit_codes import ExitCode

MIN_INTERVAL_S = 0.2
"""Shortest time between two looks."""
_CLEAR_SCREEN = "\x1b[H\x1b[2J"


@attrs.frozen
class CustomerRate:
    """Requests of a customer between two looks, over all VMs."""

    customer: str
    """Name of the customer."""
    limit_per_s: float | None
    """Its rate over the fleet."""
    admitted_per_s: float
    """Requests admitted each second."""
    refused_per_s: float
    """Requests refused each second."""


@cappa.command(name="top", help="Show request rates and upstreams, again and again.")
@attrs.frozen(kw_only=True)
class Top:
    """Shows the rates of customers and the state of upstreams."""

    vm: VmOption
    """Operator ports."""
    interval: IntervalOption = 2.0
    """Time between two looks, in seconds."""
    count: Annotated[
        int | None, cappa.Arg(long=True, help="Stop after so many screens.")
    ] = None
    """Number of screens; ``None`` for no end."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Show screens until the count is reached or the user interrupts."""
        vms = parse_addresses(self.vm)
        if isinstance(vms, tuple):
            write_failures(vms)
            return ExitCode.USAGE
        interval_s = max(self.interval, MIN_INTERVAL_S)
        try:
            before, start_s = FleetStatus.fetch(vms), time.monotonic()
            for _ in itertools.count() if self.count is None else range(self.count):
                time.sleep(interval_s)
                after, now_s = FleetStatus.fetch(vms), time.monotonic()
                self._show(after, measure_rates(before, after, now_s - start_s))
                before, start_s = after, now_s
        except KeyboardInterrupt:
            return ExitCode.OK
        return ExitCode.UNREACHABLE if before.failures else ExitCode.OK

    def _show(self, fleet: FleetStatus, rates: list[CustomerRate]) -> None:
        """Write one screen."""
        if self.as_json:
            write_json(_json_fields(fleet, rates))
            return
        header = ("CUSTOMER", "LIMIT/S", "ADMITTED/S", "REFUSED/S")
        tables = [
            format_table(header, map(attrs.astuple, rates)),
            format_upstreams(fleet.statuses),
            format_vms(fleet),
        ]
        clear = _CLEAR_SCREEN if sys.stdout.isatty() else ""
        write_line(clear + "\n\n".join(tables) + "\n")


def measure_rates(
    before: FleetStatus, after: FleetStatus, elapsed_s: float
) -> list[CustomerRate]:
    """Return the rate of each customer, the busiest first.

    Args:
        before: The earlier look.
        after: The later look.
        elapsed_s: The time between them.

    Returns:
        Rates over the VMs that answered both times. A VM that started anew in
        between counts from zero.
    """
    earlier = {vm: _counters(answer) for vm, answer in _answered(before)}
    limits: dict[str, float | None] = {}
    sums: dict[str, tuple[int, int]] = {}
    for vm, status in _answered(after):
        if vm not in earlier:
            continue
        for customer in status.customers or ():
            name = customer.name
            limits[name] = limits.get(name) or customer.rate_per_s
            counts = customer.admitted or 0, customer.refused or 0
            last = earlier[vm].get(name, (0, 0))
            admitted, refused = map(_increase, last, counts)
            total = sums.get(name, (0, 0))
            sums[name] = total[0] + admitted, total[1] + refused
    rates = [
        CustomerRate(name, limits[name], admitted / elapsed_s, refused / elapsed_s)
        for name, (admitted, refused) in sums.items()
    ]
    return sorted(rates, key=lambda rate: (-rate.admitted_per_s, rate.customer))


def _answered(fleet: FleetStatus) -> list[tuple[str, VmStatus]]:
    """Return the VMs that answered, by address."""
    return [
        (str(vm), answer)
        for vm, answer in fleet.answers
        if isinstance(answer, VmStatus)
    ]


def _counters(status: VmStatus) -> dict[str, tuple[int, int]]:
    """Return admitted and refused requests by customer."""
    return {
        customer.name: (customer.admitted or 0, customer.refused or 0)
        for customer in status.customers or ()
    }


def _increase(last: int, current: int) -> int:
    """Return how much a counter grew; a counter that fell started at zero."""
    return current - last if current >= last else current


def _json_fields(fleet: FleetStatus, rates: list[CustomerRate]) -> dict[str, Any]:
    """Return a screen as fields for JSON."""
    return {
        "customers": [attrs.asdict(rate) for rate in rates],
        "vms": fleet.json_fields(),
    }
