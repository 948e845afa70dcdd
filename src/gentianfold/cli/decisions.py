"""The command that shows the decision log of VMs."""

from __future__ import annotations

import re
import time
from typing import Annotated

import attrs
import cappa

from gentianfold.cli._arguments import IntervalOption, JsonFlag, VmOption
from gentianfold.cli._operator_client import (
    Call,
    VmAddress,
    call_vms,
    decode_answer,
    parse_addresses,
)
from gentianfold.cli._output import write_failures, write_json, write_line
from gentianfold.cli._vm_status import DecisionLine, DecisionPage
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.errors import Failure

MIN_INTERVAL_S = 0.1
"""Shortest time between two looks."""


def _filter(name: str) -> cappa.Arg[str]:
    """Return the option that keeps only lines about one thing."""
    return cappa.Arg(long=True, help=f"Show only lines that name this {name}.")


@cappa.command(name="decisions", help="Show routing and placement decisions.")
@attrs.frozen(kw_only=True)
class Decisions:
    """Shows the decision log."""

    vm: VmOption
    """Operator ports."""
    follow: Annotated[
        bool, cappa.Arg(long=True, help="Go on and show new decisions.")
    ] = False
    """Whether to go on."""
    customer: Annotated[str | None, _filter("customer")] = None
    """Shows only lines that name this customer."""
    upstream: Annotated[str | None, _filter("upstream")] = None
    """Shows only lines that name this upstream."""
    reason: Annotated[str | None, _filter("reason")] = None
    """Shows only lines that name this reason."""
    interval: IntervalOption = 1.0
    """Time between two looks, in seconds."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Show the lines of all VMs."""
        vms = parse_addresses(self.vm)
        if isinstance(vms, tuple):
            write_failures(vms)
            return ExitCode.USAGE
        reader = DecisionReader(vms)
        try:
            while True:
                failures = self._show(reader)
                if not self.follow:
                    return ExitCode.UNREACHABLE if failures else ExitCode.OK
                time.sleep(max(self.interval, MIN_INTERVAL_S))
        except KeyboardInterrupt:
            return ExitCode.OK

    def _show(self, reader: DecisionReader) -> list[Failure]:
        """Write the lines that are new, and the VMs that newly don't answer."""
        lines, failures = reader.read()
        for vm, line in lines:
            if not self._wants(line.text):
                continue
            if self.as_json:
                write_json({"address": str(vm), **attrs.asdict(line)})
            elif len(reader.vms) > 1:
                write_line(f"{vm} {_printable(line.text)}")
            else:
                write_line(_printable(line.text))
        write_failures(failures)
        return failures

    def _wants(self, text: str) -> bool:
        """Tell whether a line passes all filters."""
        filters = {
            "customer": self.customer,
            "upstream": self.upstream,
            "reason": self.reason,
        }
        return all(
            names(text, label, value)
            for label, value in filters.items()
            if value is not None
        )


@attrs.define
class DecisionReader:
    """Reads the decision logs of VMs, each line once."""

    vms: list[VmAddress]
    """Operator ports."""
    _after: dict[VmAddress, int] = attrs.field(factory=dict)
    _silent: set[VmAddress] = attrs.field(factory=set)

    def read(self) -> tuple[list[tuple[VmAddress, DecisionLine]], list[Failure]]:
        """Return the new lines, and why VMs stopped answering since the last call."""
        calls = [
            Call(vm, "GET", f"/decisions?after={self._after.get(vm, 0)}")
            for vm in self.vms
        ]
        lines: list[tuple[VmAddress, DecisionLine]] = []
        failures: list[Failure] = []
        for vm, body in zip(self.vms, call_vms(calls), strict=True):
            page = decode_answer(body, DecisionPage)
            if isinstance(page, Failure):
                if vm not in self._silent:
                    failures.append(page)
                self._silent.add(vm)
                continue
            self._silent.discard(vm)
            # A number that falls means that the VM started anew.
            restarted = page.next < self._after.get(vm, 0)
            self._after[vm] = 0 if restarted else page.next
            lines += [(vm, line) for line in page.lines or ()]
        return lines, failures


def names(text: str, label: str, value: str) -> bool:
    """Tell whether a line names a value.

    Args:
        text: The line.
        label: What the value is; if the line has ``label=...``, only that counts.
        value: The value, or words of a value in quotes.
    """
    labelled = re.search(rf'\b{label}=(?:"([^"]*)"|(\S+))', text)
    if labelled and labelled[1] is None:
        return labelled[2].rstrip(".,;:") == value
    searched = labelled[1] if labelled else text
    word = rf"(?<![\w.-]){re.escape(value)}(?![\w-]|\.\w)"
    return re.search(word, searched) is not None


def _printable(text: str) -> str:
    """Return a line without characters that steer a terminal."""
    return "".join(char if char.isprintable() else "?" for char in text)
