"""The command ``check``: validates files before they are published."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._files import read_rules
from gentianfold.cli._output import (
    failure_fields,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import FILE_UNREADABLE, NOTHING_TO_CHECK
from gentianfold.codes.settings import SETTINGS_UNREADABLE
from gentianfold.errors import Failure
from gentianfold.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Iterator

_USAGE_CODES = (FILE_UNREADABLE, SETTINGS_UNREADABLE, NOTHING_TO_CHECK)
"""Result codes for which the command exits with ``ExitCode.USAGE``."""


@cappa.command(name="check", help="Check settings and rules files.")
@attrs.frozen(kw_only=True)
class Check:
    """Validates files and reports all errors."""

    settings: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A settings file.")
    ] = attrs.field(factory=list)
    """Paths of settings files."""
    rules: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A rules file.")
    ] = attrs.field(factory=list)
    """Paths of rules files."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Validate the files and write the errors."""
        failures = tuple(self._find_failures())
        if self.as_json:
            write_json({"failures": [failure_fields(failure) for failure in failures]})
        elif failures:
            write_failures(failures)
        else:
            write_line("no faults")
        if any(failure.code in _USAGE_CODES for failure in failures):
            return ExitCode.USAGE
        return ExitCode.FINDINGS if failures else ExitCode.OK

    def _find_failures(self) -> Iterator[Failure]:
        """Yield the errors of all files."""
        if not (self.settings or self.rules):
            yield Failure(NOTHING_TO_CHECK)
        for path in self.settings:
            settings = load_settings(path)
            yield from settings if isinstance(settings, tuple) else ()
        for path in self.rules:
            rules = read_rules(path)
            yield from rules if isinstance(rules, tuple) else ()
