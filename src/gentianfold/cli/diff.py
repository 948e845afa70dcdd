"""The command ``diff``: shows how two rules files or configurations differ in effect."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._files import read_configuration_file, read_rules
from gentianfold.cli._output import (
    change_fields,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.rules import diff_rules
from gentianfold.rules.configuration_difference import diff_configurations

if TYPE_CHECKING:
    from gentianfold.errors import Failure
    from gentianfold.rules import RuleChange


@cappa.command(name="diff", help="Show how two files differ in effect.")
@attrs.frozen(kw_only=True)
class Diff:
    """Compares two files, ignoring differences without effect."""

    old: Annotated[str, cappa.Arg(help="The old file.")]
    """Path of the old file."""
    new: Annotated[str, cappa.Arg(help="The new file.")]
    """Path of the new file."""
    configuration: Annotated[
        bool,
        cappa.Arg(
            long=True, help="The files are configurations, as the store holds them."
        ),
    ] = False
    """Whether the files are configuration documents, not rules."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Compare the files and write the changes."""
        compare = self._diff_configurations if self.configuration else self._diff_rules
        changes, failures = compare()
        if failures:
            write_failures(failures)
            return ExitCode.USAGE
        if self.as_json:
            write_json({"changes": [change_fields(change) for change in changes]})
        else:
            write_line("\n".join(map(str, changes)) or "no difference in effect")
        return ExitCode.FINDINGS if changes else ExitCode.OK

    def _diff_rules(self) -> tuple[tuple[RuleChange, ...], tuple[Failure, ...]]:
        old, new = read_rules(self.old), read_rules(self.new)
        if isinstance(old, tuple) or isinstance(new, tuple):
            return (), (*_failures(old), *_failures(new))
        return diff_rules(old, new), ()

    def _diff_configurations(
        self,
    ) -> tuple[tuple[RuleChange, ...], tuple[Failure, ...]]:
        old, new = read_configuration_file(self.old), read_configuration_file(self.new)
        if isinstance(old, tuple) or isinstance(new, tuple):
            return (), (*_failures(old), *_failures(new))
        return diff_configurations(old.configuration, new.configuration), ()


def _failures(result: object) -> tuple[Failure, ...]:
    return result if isinstance(result, tuple) else ()
