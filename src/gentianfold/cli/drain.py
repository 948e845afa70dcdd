"""The command that drains VMs before a planned stop."""

from __future__ import annotations

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag, VmOption
from gentianfold.cli._operator_client import Call, call_vms, parse_addresses
from gentianfold.cli._output import (
    failure_fields,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.errors import Failure


@cappa.command(name="drain", help="Let VMs finish their requests and take no more.")
@attrs.frozen(kw_only=True)
class Drain:
    """Drains VMs."""

    vm: VmOption
    """Operator ports."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Ask the VMs to drain."""
        vms = parse_addresses(self.vm)
        if isinstance(vms, tuple):
            write_failures(vms)
            return ExitCode.USAGE
        answers = call_vms([Call(vm, "POST", "/drain") for vm in vms])
        failures = [answer for answer in answers if isinstance(answer, Failure)]
        for vm, answer in zip(vms, answers, strict=True):
            failed = isinstance(answer, Failure)
            if self.as_json:
                fields = failure_fields(answer) if isinstance(answer, Failure) else None
                write_json(
                    {"address": str(vm), "draining": not failed, "failure": fields}
                )
            elif not failed:
                write_line(f"{vm} is draining")
        if not self.as_json:
            write_failures(failures)
        return ExitCode.UNREACHABLE if failures else ExitCode.OK
