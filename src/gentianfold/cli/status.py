"""The command that shows the state of VMs and of the upstreams they know."""

from __future__ import annotations

import http.client
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
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import VM_ADDRESS_INVALID, VM_UNREACHABLE
from gentianfold.errors import Failure

TIMEOUT_S = 3.0
"""Time for the answer of one VM (seconds); a person waits for it."""


@cappa.command(name="status", help="Show the state of VMs and upstreams.")
@attrs.frozen(kw_only=True)
class Status:
    """Asks VMs for their state."""

    vm: Annotated[
        list[str],
        cappa.Arg(
            long="--vm",
            value_name="HOST:PORT",
            required=True,
            help="Operators' endpoint of a VM; repeat it for more VMs.",
        ),
    ]
    """Operators' endpoints."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Ask the VMs and show their answers."""
        answers = [fetch_status(vm) for vm in self.vm]
        failures = [answer for answer in answers if isinstance(answer, Failure)]
        states = [answer for answer in answers if not isinstance(answer, Failure)]
        if self.as_json:
            write_json({"vms": states})
        elif states:
            write_line(format_states(states))
        write_failures(failures)
        if any(failure.code is VM_ADDRESS_INVALID for failure in failures):
            return ExitCode.USAGE
        return ExitCode.UNREACHABLE if failures else ExitCode.OK


def fetch_status(address: str) -> dict[str, Any] | Failure:
    """Return the state that a VM gives, or why there is none."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return Failure(VM_ADDRESS_INVALID, f"{address!r} isn't HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=TIMEOUT_S)
    try:
        connection.request("GET", "/status")
        body = connection.getresponse().read()
        state: dict[str, Any] = msgspec.json.decode(body, type=dict[str, Any])
    except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
        return Failure(VM_UNREACHABLE, f"{address}: {error}")
    finally:
        connection.close()
    return state


def format_states(states: list[dict[str, Any]]) -> str:
    """Return a table of the VMs, and one of the upstreams that the first knows."""
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
    upstream_header = ("UPSTREAM", "SERVICE", "STATE", "SLOTS", "IN USE", "SUSPECT")
    upstreams = [
        (
            row["name"],
            row["service"],
            row["state"],
            row["slots"],
            row["in_use"],
            "yes" if row["is_suspect"] else "no",
        )
        for row in states[0]["upstreams"]
    ]
    return (
        format_table(header, rows) + "\n\n" + format_table(upstream_header, upstreams)
    )
