"""The command ``check``: validates files before they are published."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._files import (
    ReadConfiguration,
    decode_document,
    read_configuration_file,
    read_rules,
)
from gentianfold.cli._output import (
    change_fields,
    failure_fields,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli._vm_request import request_vm
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import (
    FILE_UNREADABLE,
    NOTHING_TO_CHECK,
    VM_ADDRESS_INVALID,
    VM_UNREACHABLE,
)
from gentianfold.codes.settings import SETTINGS_UNREADABLE
from gentianfold.errors import Failure
from gentianfold.rules.configuration_checks import check_configuration, check_newer
from gentianfold.rules.configuration_difference import diff_configurations
from gentianfold.settings import Settings, load_settings
from gentianfold.vm.policies import zone_regions

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.rules import RuleChange

_USAGE_CODES = (
    FILE_UNREADABLE,
    SETTINGS_UNREADABLE,
    NOTHING_TO_CHECK,
    VM_ADDRESS_INVALID,
)
"""Result codes for which the command exits with ``ExitCode.USAGE``."""


@cappa.command(
    name="check", help="Check settings, rules and configurations before they are sent."
)
@attrs.frozen(kw_only=True)
class Check:
    """Validates files and reports all errors."""

    settings: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A settings file.")
    ] = attrs.field(factory=list)
    """Paths of settings files; their zones tell which homes have one."""
    rules: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A rules file.")
    ] = attrs.field(factory=list)
    """Paths of rules files."""
    configuration: Annotated[
        str | None,
        cappa.Arg(
            long=True, value_name="FILE", help="A configuration, as the store holds it."
        ),
    ] = None
    """Path of a configuration document; ``None`` for none."""
    in_force: Annotated[
        str | None,
        cappa.Arg(
            long="--in-force",
            value_name="FILE",
            help="The configuration in force: show what differs.",
        ),
    ] = None
    """Path of the configuration to compare with; ``None`` for none."""
    vm: Annotated[
        str | None,
        cappa.Arg(
            long="--vm",
            value_name="HOST:PORT",
            help="Operator endpoint of a VM whose configuration is in force.",
        ),
    ] = None
    """Endpoint of a VM that serves the configuration to compare with; ``None`` for none."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Validate the files, write the errors and what differs."""
        changes: list[RuleChange] = []
        failures = tuple(self._find_failures(changes))
        if self.as_json:
            fields: dict[str, Any] = {
                "failures": [failure_fields(failure) for failure in failures]
            }
            if self.configuration:
                fields["changes"] = [change_fields(change) for change in changes]
            write_json(fields)
        else:
            write_failures(failures)
            lines = (
                [*map(str, changes)] if failures else ["no faults", *map(str, changes)]
            )
            if lines:
                write_line("\n".join(lines))
        codes = {failure.code for failure in failures}
        if codes & {*_USAGE_CODES}:
            return ExitCode.USAGE
        if VM_UNREACHABLE in codes:
            return ExitCode.UNREACHABLE
        return ExitCode.FINDINGS if failures else ExitCode.OK

    def _find_failures(self, changes: list[RuleChange]) -> Iterator[Failure]:
        """Yield the errors of all files; add what differs from what is in force."""
        if not (self.settings or self.rules or self.configuration):
            yield Failure(NOTHING_TO_CHECK)
        regions: set[str] = set()
        for path in self.settings:
            settings = load_settings(path)
            if isinstance(settings, Settings):
                regions.update(zone_regions(settings).values())
            else:
                yield from settings
        for path in self.rules:
            rules = read_rules(path)
            yield from rules if isinstance(rules, tuple) else ()
        if self.configuration:
            known = frozenset(regions) if regions else None
            yield from self._check_configuration(self.configuration, known, changes)

    def _check_configuration(
        self, path: str, regions: frozenset[str] | None, changes: list[RuleChange]
    ) -> Iterator[Failure]:
        read = read_configuration_file(path)
        in_force = self._read_in_force()
        if isinstance(in_force, tuple):
            yield from in_force
        if isinstance(read, tuple):
            yield from read
            return
        configuration = read.configuration
        yield from read.ignored
        yield from check_configuration(configuration, path, regions)
        if isinstance(in_force, ReadConfiguration):
            changes += diff_configurations(in_force.configuration, configuration)
            if changes:
                yield from check_newer(configuration, in_force.configuration, path)

    def _read_in_force(self) -> ReadConfiguration | tuple[Failure, ...] | None:
        """Read the configuration in force; ``None`` if none is given."""
        if self.in_force:
            return read_configuration_file(self.in_force)
        if not self.vm:
            return None
        # Imported on demand: it loads the event loop.
        from gentianfold.vm.configuration_fetcher import (
            CONFIGURATION_PATH,
            decompress_document,
        )

        body = request_vm(self.vm, CONFIGURATION_PATH.decode())
        if isinstance(body, Failure):
            return (body,)
        return decode_document(decompress_document(body), self.vm)
