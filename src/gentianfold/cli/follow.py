"""The command that follows one request through the logs of many VMs."""

from __future__ import annotations

import heapq
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from gentianfold.cli._output import write_failures, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import FILE_UNREADABLE
from gentianfold.errors import Failure, Location

if TYPE_CHECKING:
    from collections.abc import Iterator


@cappa.command(name="follow", help="Find a request, an upstream or a VM in logs.")
@attrs.frozen
class Follow:
    """Shows the log lines that name something, in the order of their times."""

    word: Annotated[str, cappa.Arg(help="A request's id, an upstream or a VM.")]
    """What the lines must contain."""
    files: Annotated[list[str], cappa.Arg(help="Log files of VMs.")]
    """Log files."""

    def __call__(self) -> ExitCode:
        """Write the lines."""
        failures = [failure for path in self.files if (failure := _check(path))]
        if failures:
            write_failures(failures)
            return ExitCode.USAGE
        found = False
        for at, path, line in heapq.merge(*(self._lines(path) for path in self.files)):
            found = True
            write_line(f"{at} {Path(path).name}: {line}")
        return ExitCode.OK if found else ExitCode.FINDINGS

    def _lines(self, path: str) -> Iterator[tuple[str, str, str]]:
        """Yield time, file and rest of each line that contains the word."""
        with Path(path).open(errors="replace") as lines:
            for line in lines:
                if self.word in line:
                    at, _, rest = line.rstrip("\n").partition(" ")
                    yield at, path, rest


def _check(path: str) -> Failure | None:
    """Return why a file can't be read, or ``None``."""
    if Path(path).is_file():
        return None
    return Failure(FILE_UNREADABLE, "no such file", location=Location(path, 1))
