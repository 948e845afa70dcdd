"""Parser of a rule line that reports all errors of the line."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import attrs

from gentianfold.codes import rules as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.model import Customer, HeaderMatch, RateLimit, Route, Service
from gentianfold.rules import _options as options
from gentianfold.rules import _syntax as syntax
from gentianfold.rules.path_pattern import PathPattern
from gentianfold.rules.rule_set import LimitRule, Rule

if TYPE_CHECKING:
    from collections.abc import Callable

_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
_COMMENT_START = re.compile(r"(?:^|\s)#")
_COMMENT = re.compile(r"[^:\s][^:]*:\s*\S.*")


@attrs.frozen
class Token:
    """A run of characters without whitespace in a rule line."""

    text: str
    """Characters of the token."""
    column: int
    """Column number of the first character, from 1."""


@attrs.define
class LineParser:
    """Parses one rule line and collects its errors in ``failures``."""

    source: str
    """Name of the rules text, for locations."""
    line: int
    """Line number, from 1."""
    failures: list[Failure] = attrs.field(factory=list)
    """Errors of the line, in the order in which they are found."""

    def parse(self, text: str) -> Rule | None:
        """Return the rule, or ``None`` if the line is invalid."""
        control = _CONTROL.search(text)
        if control:
            reason = f"character U+{ord(control[0]):04X}"
            self.add_failure(codes.CONTROL_CHARACTER, reason, control.start() + 1)
            return None
        rule_text, comment = self._split_comment(text)
        tokens = [
            Token(match[0], match.start() + 1)
            for match in re.finditer(r"\S+", rule_text)
        ]
        if not tokens:
            return None
        kind = _KINDS.get(tokens[0].text)
        if kind is None:
            name = tokens[0].text
            reason = f"{name!r} is not a kind of rule{syntax.suggest(name, _KINDS)}"
            self.add_failure(codes.UNKNOWN_RULE_KIND, reason, tokens[0].column)
            return None
        rule = self._parse_rule(kind, tokens, comment)
        return None if self.failures else rule

    def add_failure(self, code: ResultCode, reason: str, column: int) -> None:
        """Add an error at a column of the line."""
        location = Location(self.source, self.line, column)
        self.failures.append(Failure(code, reason, location=location))

    def _split_comment(self, text: str) -> tuple[str, str]:
        """Split a line into rule and comment; the comment is empty if missing."""
        start = _COMMENT_START.search(text)
        if start is None:
            column = len(text.rstrip()) + 1
            reason = "the rule doesn't end with a comment; add `# WHO: WHY`"
            self.add_failure(codes.COMMENT_MISSING, reason, column)
            return text, ""
        comment = text[start.end() :].strip()
        if not _COMMENT.fullmatch(comment):
            reason = "the comment isn't of the form `# WHO: WHY`"
            self.add_failure(codes.COMMENT_MISSING, reason, start.end())
        return text[: start.start()], comment

    def _parse_rule(
        self, kind: _RuleKind, tokens: list[Token], comment: str
    ) -> Rule | None:
        """Parse the tokens after the kind and build the model."""
        required = len(kind.positional_fields)
        fields: dict[str, Any] = {"line": self.line, "comment": comment}
        positional, rest = tokens[1 : required + 1], tokens[required + 1 :]
        for field, token in zip(kind.positional_fields, positional, strict=False):
            fields[field] = self._parse_positional(field, token)
        if len(positional) < required:
            missing = " ".join(kind.positional_fields[len(positional) :]).upper()
            last = tokens[-1]
            reason = f"{tokens[0].text!r} needs {missing}"
            self.add_failure(
                codes.RULE_INCOMPLETE, reason, last.column + len(last.text)
            )
            return None
        fields |= self._parse_options(kind, rest)
        end_column = tokens[-1].column + len(tokens[-1].text)
        return kind.build(self, fields, end_column)

    def _parse_positional(self, field: str, token: Token) -> Any:
        """Parse the value of a positional field."""
        if field == "methods":
            methods = syntax.parse_methods(token.text)
            if isinstance(methods, str):
                self.add_failure(codes.INVALID_METHOD, methods, token.column)
            return methods
        if field == "path":
            pattern = PathPattern.parse(token.text)
            if isinstance(pattern, str):
                self.add_failure(codes.INVALID_PATH, pattern, token.column)
            return token.text
        if not syntax.is_name(token.text):
            reason = f"{token.text[:80]!r} is not a valid name"
            self.add_failure(codes.INVALID_NAME, reason, token.column)
        return token.text

    def _parse_options(self, kind: _RuleKind, tokens: list[Token]) -> dict[str, Any]:
        """Return the values of options and header conditions by model field."""
        fields: dict[str, Any] = {}
        headers: list[HeaderMatch] = []
        for token in tokens:
            name, equals, value = token.text.partition("=")
            if kind.allows_headers and name.startswith(syntax.HEADER_PREFIX):
                self._parse_header(token, headers)
                continue
            option = kind.options.get(name)
            if option is None:
                reason = f"unknown option {name!r}{syntax.suggest(name, kind.options)}"
                self.add_failure(codes.UNKNOWN_OPTION, reason, token.column)
            elif option.field in fields:
                reason = f"option {name!r} is given twice"
                self.add_failure(codes.DUPLICATE_OPTION, reason, token.column)
            else:
                fields[option.field] = self._parse_value(
                    option, token, value if equals else None
                )
        if headers:
            fields["headers"] = tuple(sorted(headers, key=lambda header: header.name))
        return fields

    def _parse_header(self, token: Token, headers: list[HeaderMatch]) -> None:
        """Parse a header condition and append it to ``headers``."""
        header = syntax.parse_header(token.text)
        if isinstance(header, str):
            self.add_failure(codes.INVALID_HEADER, header, token.column)
        elif any(other.name == header.name for other in headers):
            reason = f"header {header.name.decode()!r} is given twice"
            self.add_failure(codes.DUPLICATE_OPTION, reason, token.column)
        else:
            headers.append(header)

    def _parse_value(
        self, option: options.Option, token: Token, value: str | None
    ) -> Any:
        """Parse the value of an option.

        Args:
            option: The option.
            token: Token of the option, for the location of an error.
            value: Text after the equals sign; ``None`` without an equals sign.

        Returns:
            The value to build the model from. If it is invalid, an error is added to
            ``failures``.
        """
        name = token.text.partition("=")[0]
        if option.field == "service":
            if not syntax.is_name(value or ""):
                reason = f"{name!r} needs the name of a service"
                self.add_failure(codes.INVALID_NAME, reason, token.column)
            return value
        if option.value_format is None:
            if value is not None:
                reason = f"{name!r} takes no value"
                self.add_failure(codes.INVALID_VALUE, reason, token.column)
            return True
        parsed = option.value_format.parse(value or "")
        if parsed is None:
            reason = (
                f"{name!r} needs {option.value_format.expected}; found {value or ''!r}"
            )
            self.add_failure(codes.INVALID_VALUE, reason, token.column)
        return parsed


def _build_route(
    parser: LineParser, fields: dict[str, Any], end_column: int
) -> Route | None:
    """Build a route; add an error if the service is missing."""
    if "service" not in fields:
        parser.add_failure(
            codes.RULE_INCOMPLETE, "'route' needs service=NAME", end_column
        )
    if parser.failures:
        return None
    pattern = PathPattern.parse(fields["path"])
    assert isinstance(pattern, PathPattern)
    return Route(path_kind=pattern.kind, **fields)


def _build_service(
    parser: LineParser, fields: dict[str, Any], end_column: int
) -> Service:
    """Build a service."""
    return Service(**fields)


def _build_customer(
    parser: LineParser, fields: dict[str, Any], end_column: int
) -> Customer:
    """Build a customer; add an error if only one of rate and burst is given."""
    limit = _pop_limit(parser, fields, end_column)
    return Customer(limit=limit, **fields)


def _build_limit(
    parser: LineParser, fields: dict[str, Any], end_column: int
) -> LimitRule | None:
    """Build a limit; add an error unless both rate and burst are given."""
    limit = _pop_limit(parser, fields, end_column)
    if limit is None:
        if not parser.failures:
            reason = "'limit' needs rate=N/s burst=N"
            parser.add_failure(codes.RULE_INCOMPLETE, reason, end_column)
        return None
    return LimitRule(limit=limit, **fields)


def _pop_limit(
    parser: LineParser, fields: dict[str, Any], end_column: int
) -> RateLimit | None:
    """Remove rate and burst from ``fields`` and return them as a limit.

    Adds an error if only one of them is given.

    Returns:
        The limit, or ``None`` unless both are given and valid.
    """
    given = [name for name in ("rate_per_s", "burst") if name in fields]
    if len(given) == 1:
        reason = "rate=N/s and burst=N must be given together"
        parser.add_failure(codes.RULE_INCOMPLETE, reason, end_column)
    rate, burst = fields.pop("rate_per_s", None), fields.pop("burst", None)
    if rate is None or burst is None:
        return None
    return RateLimit(rate, burst)


@attrs.frozen
class _RuleKind:
    """Syntax of a kind of rule."""

    positional_fields: tuple[str, ...]
    """Model fields of the tokens that follow the kind, in order."""
    options: dict[str, options.Option]
    """Options by name; they follow the positional fields in any order."""
    build: Callable[[LineParser, dict[str, Any], int], Rule | None]
    """Builds the model from the parser, the fields and the column after the last token;
    returns ``None`` if the rule is invalid."""
    allows_headers: bool = False
    """Whether header conditions are allowed among the options."""


_KINDS = {
    "route": _RuleKind(
        ("name", "methods", "path"), options.ROUTE_OPTIONS, _build_route, True
    ),
    "service": _RuleKind(("name",), options.SERVICE_OPTIONS, _build_service),
    "customer": _RuleKind(("name",), options.CUSTOMER_OPTIONS, _build_customer),
    "limit": _RuleKind(("customer", "route"), options.LIMIT_OPTIONS, _build_limit),
}
