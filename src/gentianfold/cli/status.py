"""The command ``status``: shows the state of VMs and upstreams."""

from __future__ import annotations

from typing import Annotated, Any

import attrs
import cappa
import msgspec

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._output import (
    format_table,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli._vm_request import request_vm
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import VM_ADDRESS_INVALID, VM_UNREACHABLE
from gentianfold.errors import Failure


@cappa.command(name="status", help="Show the state of VMs and upstreams.")
@attrs.frozen(kw_only=True)
class Status:
    """Requests and shows the state of VMs."""

    vm: Annotated[
        list[str],
        cappa.Arg(
            long="--vm",
            value_name="HOST:PORT",
            required=True,
            help="Operator endpoint of a VM; may be repeated.",
        ),
    ]
    """Operator endpoints of VMs, in the form ``HOST:PORT``."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Request the state of each VM and write the results."""
        results = [fetch_status(vm) for vm in self.vm]
        failures = [result for result in results if isinstance(result, Failure)]
        states = [result for result in results if not isinstance(result, Failure)]
        if self.as_json:
            write_json({"vms": states})
        elif states:
            write_line(format_states(states))
        write_failures(failures)
        if any(failure.code is VM_ADDRESS_INVALID for failure in failures):
            return ExitCode.USAGE
        return ExitCode.UNREACHABLE if failures else ExitCode.OK


def fetch_status(address: str) -> dict[str, Any] | Failure:
    """Request the state of a VM.

    Args:
        address: Operator endpoint, in the form ``HOST:PORT``.

    Returns:
        The decoded response, or a failure if the address or the response is invalid
        or the VM can't be reached.
    """
    body = request_vm(address, "/status")
    if isinstance(body, Failure):
        return body
    try:
        state: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError as error:
        return Failure(VM_UNREACHABLE, f"{address}: {error}")
    return state


def format_states(states: list[dict[str, Any]]) -> str:
    """Return a table of the VMs, and a table of the upstreams known to the first VM."""
    header = ("VM", "STANDING", "BROKER", "MEMBERS", "CONFIGURATION", "UNDER WAY")
    rows = [
        (
            state["vm"],
            state["standing"],
            state["broker"],
            state["members"],
            state["configuration"],
            state["requests_under_way"],
        )
        for state in states
    ]
    upstream_header = (
        "UPSTREAM",
        "SERVICE",
        "STATE",
        "SLOTS",
        "IN USE",
        "SUSPECT",
        "LEAVING",
        "PAUSE S",
        "COLD S",
    )
    upstream_rows = [
        (
            upstream["name"],
            upstream["service"],
            upstream["state"],
            upstream["slots"],
            upstream["in_use"],
            "yes" if upstream["is_suspect"] else "no",
            "yes" if upstream["is_leaving"] else "no",
            upstream["pause_s"],
            upstream.get("warmup_left_s", 0.0),
        )
        for upstream in states[0]["upstreams"]
    ]
    evacuation_rows = [
        (
            evacuation["zone"],
            evacuation["requests_running"],
            " ".join(evacuation["waiting_vms"]) or "-",
        )
        for evacuation in states[0].get("evacuations", [])
    ]
    tables = [format_table(header, rows), format_table(upstream_header, upstream_rows)]
    if evacuation_rows:
        evacuation_header = ("EVACUATED ZONE", "RUNNING", "WAITS FOR")
        tables.append(format_table(evacuation_header, evacuation_rows))
    return "\n\n".join(tables)
