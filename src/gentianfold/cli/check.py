"""The command that checks files before they are published."""

from __future__ import annotations

import itertools
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
from gentianfold.codes.keys import KEY_CUSTOMER_UNKNOWN
from gentianfold.codes.settings import SETTINGS_UNREADABLE
from gentianfold.errors import Failure, Location
from gentianfold.keys import PublishedKeys, parse_keys
from gentianfold.rules import RuleSet
from gentianfold.settings import load_settings

if TYPE_CHECKING:
    from collections.abc import Iterator

_USAGE_CODES = (FILE_UNREADABLE, SETTINGS_UNREADABLE, NOTHING_TO_CHECK)


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
        if any(failure.code in _USAGE_CODES for failure in failures):
            return ExitCode.USAGE
        return ExitCode.FINDINGS if failures else ExitCode.OK

    def _check(self) -> Iterator[Failure]:
        """Yield the faults of all files."""
        if not (self.settings or self.rules or self.keys):
            yield Failure(NOTHING_TO_CHECK)
        for path in self.settings:
            settings = load_settings(path)
            yield from settings if isinstance(settings, tuple) else ()
        rule_sets = [read_rules(path) for path in self.rules]
        tables = [(path, _read_keys(path)) for path in self.keys]
        for result in itertools.chain(rule_sets, (keys for _, keys in tables)):
            yield from result if isinstance(result, tuple) else ()
        customers = {
            name
            for rules in rule_sets
            if isinstance(rules, RuleSet)
            for name in rules.customers
        }
        for path, keys in tables:
            if customers and isinstance(keys, PublishedKeys):
                yield from _find_unknown_customers(path, keys, customers)


def _read_keys(path: str) -> PublishedKeys | tuple[Failure, ...]:
    """Return the keys of a file."""
    text = read_text(path)
    return (text,) if isinstance(text, Failure) else parse_keys(text, path)


def _find_unknown_customers(
    path: str, keys: PublishedKeys, customers: set[str]
) -> Iterator[Failure]:
    """Yield a fault for each customer with a key that no rule defines."""
    for name in sorted({record.customer for record in keys.records.values()}):
        if name not in customers:
            reason = f"no rule defines customer {name!r}"
            yield Failure(KEY_CUSTOMER_UNKNOWN, reason, location=Location(path, 1))
