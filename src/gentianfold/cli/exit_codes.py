"""Exit codes of all commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What a command tells the shell."""

    OK = 0
    """The command did what it was asked to."""
    FINDINGS = 1
    """The command found faults, differences or no route."""
    USAGE = 2
    """The arguments are wrong, or a file can't be read."""
    UNREACHABLE = 3
    """A VM didn't answer, or refused the command."""


EXIT_CODE_MEANINGS = {
    ExitCode.OK: "The command did what it was asked to.",
    ExitCode.FINDINGS: "The command found faults, differences or no route.",
    ExitCode.USAGE: "The arguments are wrong, or a file can't be read.",
    ExitCode.UNREACHABLE: "A VM didn't answer, or refused the command.",
}
"""One sentence for each exit code."""
