"""The command that makes caller keys."""

from __future__ import annotations

from typing import Annotated

import attrs
import cappa
import msgspec

from gentianfold.cli._arguments import JsonFlag
from gentianfold.cli._output import write_failures, write_json, write_line
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.configuration.key_table import KeyRecord
from gentianfold.keys import digest_key, format_record, new_key, parse_keys


@cappa.command(name="new", help="Make a key; it is shown this once.")
@attrs.frozen(kw_only=True)
class NewKey:
    """Makes a key and the line to publish for it."""

    customer: Annotated[
        str, cappa.Arg(long=True, help="Name of the customer that gets the key.")
    ]
    """Name of the customer."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Make the key."""
        key = new_key()
        line = format_record(KeyRecord(self.customer, digest_key(key)))
        checked = parse_keys(line, "--customer")
        if isinstance(checked, tuple):
            write_failures(checked)
            return ExitCode.USAGE
        if self.as_json:
            write_json({"key": key, "publish": msgspec.json.decode(line)})
            return ExitCode.OK
        write_line(f"key for {self.customer}, shown only now:\n  {key}")
        write_line(f"line to publish:\n  {line}")
        return ExitCode.OK


@cappa.command(name="key", help="Make caller keys.")
@attrs.frozen
class Key:
    """Groups the commands for keys."""

    command: cappa.Subcommands[NewKey]
    """The subcommand."""
