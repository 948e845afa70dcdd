"""Exit codes of the commands."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    """The command succeeded."""
    FINDINGS = 1
    """The command found errors or differences, or found no match."""
    USAGE = 2
    """The arguments are invalid, or an input file can't be read."""
    UNREACHABLE = 3
    """A VM didn't respond, or its response was invalid."""


EXIT_CODE_MEANINGS = {
    ExitCode.OK: "The command did what it was asked to.",
    ExitCode.FINDINGS: "The command found faults, differences or no route.",
    ExitCode.USAGE: "The arguments are wrong, or a file can't be read.",
    ExitCode.UNREACHABLE: "A VM didn't answer, or refused the command.",
}
"""Meaning of each exit code, for the page of result codes."""
