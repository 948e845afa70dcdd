"""The command ``follow``: finds log lines in the files of several VMs."""

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


@cappa.command(
    name="follow", help="Find the log lines of a request, an upstream or a VM."
)
@attrs.frozen
class Follow:
    """Shows the log lines that contain a word, sorted by time."""

    word: Annotated[
        str, cappa.Arg(help="A request ID, or the name of an upstream or a VM.")
    ]
    """Text that the lines must contain."""
    files: Annotated[
        list[str], cappa.Arg(help="Log files of VMs, each sorted by time.")
    ]
    """Paths of log files; the lines of each file must be sorted by time."""

    def __call__(self) -> ExitCode:
        """Write the matching lines of all files."""
        failures = [failure for path in self.files if (failure := _check_file(path))]
        if failures:
            write_failures(failures)
            return ExitCode.USAGE
        found = False
        for timestamp, path, line in heapq.merge(
            *(self._matching_lines(path) for path in self.files)
        ):
            found = True
            write_line(f"{timestamp} {Path(path).name}: {line}")
        return ExitCode.OK if found else ExitCode.FINDINGS

    def _matching_lines(self, path: str) -> Iterator[tuple[str, str, str]]:
        """Yield timestamp, path and remainder of each line that contains the word."""
        with Path(path).open(errors="replace") as lines:
            for line in lines:
                if self.word in line:
                    timestamp, _, rest = line.rstrip("\n").partition(" ")
                    yield timestamp, path, rest


def _check_file(path: str) -> Failure | None:
    """Return a failure if a path is not a file."""
    if Path(path).is_file():
        return None
    return Failure(FILE_UNREADABLE, "no such file", location=Location(path, 1))
