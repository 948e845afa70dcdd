"""The command that shows the state of VMs, upstreams and customers."""

from __future__ import annotations

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag, VmOption
from gentianfold.cli._fleet_status import (
    FleetStatus,
    format_customers,
    format_upstreams,
    format_vms,
)
from gentianfold.cli._operator_client import parse_addresses
from gentianfold.cli._output import write_failures, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode


@cappa.command(name="status", help="Show the state of VMs, upstreams and customers.")
@attrs.frozen(kw_only=True)
class Status:
    """Shows the state of the fleet once."""

    vm: VmOption
    """Operator ports."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Ask the VMs and show their answers."""
        vms = parse_addresses(self.vm)
        if isinstance(vms, tuple):
            write_failures(vms)
            return ExitCode.USAGE
        fleet = FleetStatus.fetch(vms)
        if self.as_json:
            write_json({"vms": fleet.json_fields()})
        else:
            write_line(format_status(fleet))
            write_failures(fleet.failures)
        return ExitCode.UNREACHABLE if fleet.failures else ExitCode.OK


def format_status(fleet: FleetStatus) -> str:
    """Return the tables of VMs, upstreams and customers."""
    statuses = fleet.statuses
    tables = [format_vms(fleet)]
    if any(status.upstreams for status in statuses):
        tables.append(format_upstreams(statuses))
    if any(status.customers for status in statuses):
        tables.append(format_customers(statuses))
    return "\n\n".join(tables)
