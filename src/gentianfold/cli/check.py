"""The command that checks files before they are published."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._files import read_rules, read_text
from gentianfold.cli._output import (
    failure_fields,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import FILE_UNREADABLE, NOTHING_TO_CHECK
from gentianfold.errors import Failure
from gentianfold.keys import parse_keys
from gentianfold.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Iterator


@cappa.command(name="check", help="Check settings, rules and keys files.")
@attrs.frozen(kw_only=True)
class Check:
    """Checks files and reports all their faults."""

    settings: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A settings file.")
    ] = attrs.field(factory=list)
    """Settings files."""
    rules: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A rules file.")
    ] = attrs.field(factory=list)
    """Rules files."""
    keys: Annotated[
        list[str], cappa.Arg(long=True, value_name="FILE", help="A keys file.")
    ] = attrs.field(factory=list)
    """Files of published keys."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Check the files."""
        failures = tuple(self._check())
        if self.as_json:
            write_json({"failures": [failure_fields(failure) for failure in failures]})
        elif failures:
            write_failures(failures)
        else:
            write_line("no faults")
        if any(f.code in (FILE_UNREADABLE, NOTHING_TO_CHECK) for f in failures):
            return ExitCode.USAGE
        return ExitCode.FINDINGS if failures else ExitCode.OK

    def _check(self) -> Iterator[Failure]:
        """Yield the faults of all files."""
        if not (self.settings or self.rules or self.keys):
            yield Failure(NOTHING_TO_CHECK)
        for path in self.settings:
            settings = load_settings(path)
            yield from settings if isinstance(settings, tuple) else ()
        for path in self.rules:
            rules = read_rules(path)
            yield from rules if isinstance(rules, tuple) else ()
        for path in self.keys:
            text = read_text(path)
            keys = (text,) if isinstance(text, Failure) else parse_keys(text, path)
            yield from keys if isinstance(keys, tuple) else ()
