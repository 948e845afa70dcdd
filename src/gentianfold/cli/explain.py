"""The command ``explain``: shows which route matches, and why others don't."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

import attrs
import cappa

from gentianfold.cli._arguments import JsonFlag, RulesOption
from gentianfold.cli._files import read_rules
from gentianfold.cli._output import (
    failure_fields,
    format_table,
    write_failures,
    write_json,
    write_line,
)
from gentianfold.cli.exit_codes import ExitCode
from gentianfold.codes.cli import FILE_UNREADABLE, HEADER_ARGUMENT_INVALID
from gentianfold.errors import Failure
from gentianfold.rules import Explanation, explain, format_rule

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import Route


@cappa.command(
    name="explain", help="Show which route matches a request, and why others don't."
)
@attrs.frozen(kw_only=True)
class Explain:
    """Finds the route of a request, and similar routes that don't match."""

    method: Annotated[str, cappa.Arg(help="The HTTP method.")]
    """HTTP method, in upper or lower case."""
    path: Annotated[str, cappa.Arg(help="The request path, percent-encoded.")]
    """Path of the request, percent-encoded."""
    rules: RulesOption
    """Path of the rules file."""
    headers: Annotated[
        list[str],
        cappa.Arg(
            short="-H",
            long="--header",
            value_name="'NAME: VALUE'",
            help="A request header; may be repeated.",
        ),
    ] = attrs.field(factory=list)
    """Request headers, in the form ``NAME: VALUE``."""
    as_json: JsonFlag = False
    """Whether to write JSON."""

    def __call__(self) -> ExitCode:
        """Find the route and write the explanation."""
        headers = _parse_headers(self.headers)
        if isinstance(headers, Failure):
            write_failures((headers,))
            return ExitCode.USAGE
        rules = read_rules(self.rules)
        if isinstance(rules, tuple):
            write_failures(rules)
            unreadable = rules[0].code is FILE_UNREADABLE
            return ExitCode.USAGE if unreadable else ExitCode.FINDINGS
        explanation = explain(rules, self.method.upper(), self.path, headers)
        if self.as_json:
            write_json(_json_fields(explanation))
        else:
            _write_text(explanation)
        found = not isinstance(explanation.result, Failure)
        return ExitCode.OK if found else ExitCode.FINDINGS


def _parse_headers(texts: Iterable[str]) -> list[tuple[bytes, bytes]] | Failure:
    """Parse headers of the form ``NAME: VALUE``, or return a failure."""
    headers = []
    for text in texts:
        name, colon, value = text.partition(":")
        if not colon or not name.strip():
            return Failure(HEADER_ARGUMENT_INVALID, f"{text!r} isn't NAME: VALUE")
        headers.append((name.strip().encode(), value.strip().encode()))
    return headers


def _write_text(explanation: Explanation) -> None:
    """Write an explanation as text."""
    result = explanation.result
    if isinstance(result, Failure):
        write_line(str(result))
    else:
        write_line(f"line {result.line}: {format_rule(result)}")
    if explanation.near_routes:
        rows = [
            (near.route.name, near.route.line, near.reason)
            for near in explanation.near_routes
        ]
        write_line("\n" + format_table(("NEAR ROUTE", "LINE", "WHY NOT"), rows))


def _json_fields(explanation: Explanation) -> dict[str, Any]:
    """Return the JSON fields of an explanation."""
    result = explanation.result
    return {
        "route": None if isinstance(result, Failure) else _route_fields(result),
        "failure": failure_fields(result) if isinstance(result, Failure) else None,
        "near": [
            {**_route_fields(near.route), "reason": near.reason}
            for near in explanation.near_routes
        ],
    }


def _route_fields(route: Route) -> dict[str, Any]:
    """Return the JSON fields of a route."""
    return {
        "name": route.name,
        "line": route.line,
        "service": route.service,
        "rule": format_rule(route),
    }
