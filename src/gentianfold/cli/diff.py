"""The command that shows what an edit of the rules changes."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._files import read_rules
from gentianfold.cli._output import write_failures, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.rules import diff_rules


@cappa.command(name="diff", help="Show what differs in effect between two rules files.")
@attrs.frozen(kw_only=True)
class Diff:
    """Shows the difference in effect between two rules files."""

    old: Annotated[str, cappa.Arg(help="The rules file before.")]
    """The rules file before."""
    new: Annotated[str, cappa.Arg(help="The rules file after.")]
    """The rules file after."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Compare the files."""
        old, new = read_rules(self.old), read_rules(self.new)
        if isinstance(old, tuple) or isinstance(new, tuple):
            for rules in (old, new):
                write_failures(rules if isinstance(rules, tuple) else ())
            return ExitCode.USAGE
        changes = diff_rules(old, new)
        if self.as_json:
            fields = [
                attrs.asdict(change, value_serializer=_plain) for change in changes
            ]
            write_json({"changes": fields})
        else:
            write_line("\n".join(map(str, changes)) or "no difference in effect")
        return ExitCode.FINDINGS if changes else ExitCode.OK


def _plain(instance: object, field: object, value: object) -> object:
    """Replace a member of an enumeration by its value."""
    return getattr(value, "value", value)
