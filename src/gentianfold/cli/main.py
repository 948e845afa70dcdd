"""The command ``gentianfold``, which runs the subcommands."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, TypeAlias

import attrs
import cappa

from gentianfold import __version__
from gentianfold.cli.check import Check
from gentianfold.cli.diff import Diff
from gentianfold.cli.errors import Errors
from gentianfold.cli.explain import Explain
from gentianfold.cli.follow import Follow
from gentianfold.cli.report import Report
from gentianfold.cli.status import Status

if TYPE_CHECKING:
    from collections.abc import Sequence

# Each command is an attrs class; calling an instance runs the command and returns
# its exit code.
Command: TypeAlias = Check | Explain | Diff | Errors | Status | Follow | Report


@cappa.command(name="gentianfold")
@attrs.frozen
class Gentianfold:
    """Check, explain and operate a gentianfold fleet."""

    command: cappa.Subcommands[Command]
    """The subcommand to run."""


def run(argv: Sequence[str] | None = None) -> int:
    """Run a command and return its exit code.

    Args:
        argv: Arguments without the program name; ``None`` for those of the process.
    """
    try:
        code: int = cappa.invoke(
            Gentianfold,
            argv=None if argv is None else list(argv),
            version=__version__,
            completion=False,
        )
    except BrokenPipeError:
        # The reader of the output, such as `head`, has closed the pipe.
        sys.stderr.close()
        return 0
    return int(code)


def main() -> None:
    """Run the command given by the arguments of the process, then exit."""
    sys.exit(run())
