"""The command ``diff``: shows how two rules files differ in effect."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._files import read_rules
from gentianfold.cli._output import write_failures, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.rules import diff_rules


@cappa.command(name="diff", help="Show how two rules files differ in effect.")
@attrs.frozen(kw_only=True)
class Diff:
    """Compares two rules files, ignoring differences without effect."""

    old: Annotated[str, cappa.Arg(help="The old rules file.")]
    """Path of the old rules file."""
    new: Annotated[str, cappa.Arg(help="The new rules file.")]
    """Path of the new rules file."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Compare the files and write the changes."""
        old, new = read_rules(self.old), read_rules(self.new)
        if isinstance(old, tuple) or isinstance(new, tuple):
            for rules in (old, new):
                write_failures(rules if isinstance(rules, tuple) else ())
            return ExitCode.USAGE
        changes = diff_rules(old, new)
        if self.as_json:
            fields = [
                attrs.asdict(change, value_serializer=_serialize_enum)
                for change in changes
            ]
            write_json({"changes": fields})
        else:
            write_line("\n".join(map(str, changes)) or "no difference in effect")
        return ExitCode.FINDINGS if changes else ExitCode.OK


def _serialize_enum(instance: object, field: object, value: object) -> object:
    """Return the value of an enum member, and any other value unchanged."""
    return getattr(value, "value", value)
