"""Parses one rule line into a model, and reports every fault of the line."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import attrs

from gentianfold.codes import rules as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.model import Customer, HeaderMatch, RateLimit, Route, Service
from gentianfold.rules import _options as options
from gentianfold.rules import _words as words
from gentianfold.rules.path_pattern import PathPattern
from gentianfold.rules.rule_set import LimitRule, Rule

if TYPE_CHECKING:
    from collections.abc import Callable

_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f-\x9f\u2028\u2029\ud800-\udfff]")
_COMMENT_START = re.compile(r"(?:^|\s)#")
_COMMENT = re.compile(r"[^:\s][^:]*:\s*\S.*")


@attrs.frozen
class Word:
    """A word of a line."""

    text: str
    """The word itself."""
    column: int
    """Its first column, from 1."""


@attrs.define
class LineParser:
    """Parses one rule line; collects its faults in ``failures``."""

    source: str
    """Name of the rules text."""
    line: int
    """Number of the line."""
    failures: list[Failure] = attrs.field(factory=list)
    """Faults found."""

    def parse(self, text: str) -> Rule | None:
        """Return the rule, or ``None`` if the line has faults."""
        control = _CONTROL.search(text)
        if control:
            reason = f"character U+{ord(control[0]):04X}"
            self.fail(codes.CONTROL_CHARACTER, reason, control.start() + 1)
            return None
        head, comment = self._split_comment(text)
        found = [
            Word(match[0], match.start() + 1) for match in re.finditer(r"\S+", head)
        ]
        if not found:
            return None
        kind = _KINDS.get(found[0].text)
        if kind is None:
            word = found[0].text
            reason = f"{word!r} is no kind of rule{words.suggest(word, _KINDS)}"
            self.fail(codes.UNKNOWN_RULE_KIND, reason, found[0].column)
            return None
        rule = self._parse_rule(kind, found, comment)
        return None if self.failures else rule

    def fail(self, code: ResultCode, reason: str, column: int) -> None:
        """Note a fault."""
        location = Location(self.source, self.line, column)
        self.failures.append(Failure(code, reason, location=location))

    def _split_comment(self, text: str) -> tuple[str, str]:
        """Split a line into the rule and its comment."""
        start = _COMMENT_START.search(text)
        if start is None:
            column = len(text.rstrip()) + 1
            reason = "the rule doesn't end with a comment; add `# WHO: WHY`"
            self.fail(codes.COMMENT_MISSING, reason, column)
            return text, ""
        comment = text[start.end() :].strip()
        if not _COMMENT.fullmatch(comment):
            reason = "the comment isn't of the form `# WHO: WHY`"
            self.fail(codes.COMMENT_MISSING, reason, start.end())
        return text[: start.start()], comment

    def _parse_rule(
        self, kind: _RuleKind, found: list[Word], comment: str
    ) -> Rule | None:
        """Parse the words after the kind and build the model."""
        needed = len(kind.positions)
        fields: dict[str, Any] = {"line": self.line, "comment": comment}
        positional, rest = found[1 : needed + 1], found[needed + 1 :]
        for position, word in zip(kind.positions, positional, strict=False):
            fields[position] = self._parse_position(position, word)
        if len(positional) < needed:
            missing = " ".join(kind.positions[len(positional) :]).upper()
            last = found[-1]
            reason = f"{found[0].text!r} needs {missing}"
            self.fail(codes.RULE_INCOMPLETE, reason, last.column + len(last.text))
            return None
        fields |= self._parse_options(kind, rest)
        end = found[-1].column + len(found[-1].text)
        return kind.build(self, fields, end)

    def _parse_position(self, position: str, word: Word) -> Any:
        """Parse a word that stands at a fixed position."""
        if position == "methods":
            methods = words.parse_methods(word.text)
            if isinstance(methods, str):
                self.fail(codes.INVALID_METHOD, methods, word.column)
            return methods
        if position == "path":
            pattern = PathPattern.parse(word.text)
            if isinstance(pattern, str):
                self.fail(codes.INVALID_PATH, pattern, word.column)
            return word.text
        if not words.is_name(word.text):
            reason = f"{word.text[:80]!r} is no name"
            self.fail(codes.INVALID_NAME, reason, word.column)
        return word.text

    def _parse_options(self, kind: _RuleKind, found: list[Word]) -> dict[str, Any]:
        """Parse the options into fields."""
        fields: dict[str, Any] = {}
        headers: list[HeaderMatch] = []
        for word in found:
            name, equals, value = word.text.partition("=")
            if kind.takes_headers and name.startswith(words.HEADER_PREFIX):
                self._parse_header(word, headers)
                continue
            option = kind.options.get(name)
            if option is None:
                reason = f"unknown option {name!r}{words.suggest(name, kind.options)}"
                self.fail(codes.UNKNOWN_OPTION, reason, word.column)
            elif option.field in fields:
                reason = f"option {name!r} stands twice"
                self.fail(codes.DUPLICATE_OPTION, reason, word.column)
            else:
                fields[option.field] = self._parse_value(
                    option, word, value if equals else None
                )
        if headers:
            fields["headers"] = tuple(sorted(headers, key=lambda header: header.name))
        return fields

    def _parse_header(self, word: Word, headers: list[HeaderMatch]) -> None:
        """Parse a header condition into ``headers``."""
        header = words.parse_header(word.text)
        if isinstance(header, str):
            self.fail(codes.INVALID_HEADER, header, word.column)
        elif any(other.name == header.name for other in headers):
            reason = f"header {header.name.decode()!r} stands twice"
            self.fail(codes.DUPLICATE_OPTION, reason, word.column)
        else:
            headers.append(header)

    def _parse_value(
        self, option: options.Option, word: Word, value: str | None
    ) -> Any:
        """Parse the value of an option; ``None`` if it has another form."""
        name = word.text.partition("=")[0]
        if option.field == "service":
            if not words.is_name(value or ""):
                reason = f"{name!r} needs the name of a service"
                self.fail(codes.INVALID_NAME, reason, word.column)
            return value
        if option.form is None:
            if value is not None:
                reason = f"{name!r} takes no value"
                self.fail(codes.INVALID_VALUE, reason, word.column)
            return True
        parsed = option.form.parse(value or "")
        if parsed is None:
            reason = f"{name!r} needs {option.form.expected}; found {value or ''!r}"
            self.fail(codes.INVALID_VALUE, reason, word.column)
        return parsed


def _build_route(parser: LineParser, fields: dict[str, Any], end: int) -> Route | None:
    """Build a route."""
    if "service" not in fields:
        parser.fail(codes.RULE_INCOMPLETE, "'route' needs service=NAME", end)
    if parser.failures:
        return None
    pattern = PathPattern.parse(fields["path"])
    assert isinstance(pattern, PathPattern)
    return Route(path_kind=pattern.kind, **fields)


def _build_service(parser: LineParser, fields: dict[str, Any], end: int) -> Service:
    """Build a service."""
    return Service(**fields)


def _build_customer(parser: LineParser, fields: dict[str, Any], end: int) -> Customer:
    """Build a customer."""
    limit = _pop_limit(parser, fields, end)
    return Customer(limit=limit, **fields)


def _build_limit(
    parser: LineParser, fields: dict[str, Any], end: int
) -> LimitRule | None:
    """Build a limit of a customer on a route."""
    limit = _pop_limit(parser, fields, end)
    if limit is None:
        if not parser.failures:
            reason = "'limit' needs rate=N/s burst=N"
            parser.fail(codes.RULE_INCOMPLETE, reason, end)
        return None
    return LimitRule(limit=limit, **fields)


def _pop_limit(
    parser: LineParser, fields: dict[str, Any], end: int
) -> RateLimit | None:
    """Take rate and burst out of ``fields``; they only come together."""
    given = [name for name in ("rate_per_s", "burst") if name in fields]
    if len(given) == 1:
        reason = "rate=N/s and burst=N must stand together"
        parser.fail(codes.RULE_INCOMPLETE, reason, end)
    rate, burst = fields.pop("rate_per_s", None), fields.pop("burst", None)
    if rate is None or burst is None:
        return None
    return RateLimit(rate, burst)


@attrs.frozen
class _RuleKind:
    """The grammar of one kind of rule."""

    positions: tuple[str, ...]
    """Fields of the words at fixed positions."""
    options: dict[str, options.Option]
    """Options by name."""
    build: Callable[[LineParser, dict[str, Any], int], Rule | None]
    """Builds the model from the fields."""
    takes_headers: bool = False
    """Whether header conditions may stand among the options."""


_KINDS = {
    "route": _RuleKind(
        ("name", "methods", "path"), options.ROUTE_OPTIONS, _build_route, True
    ),
    "service": _RuleKind(("name",), options.SERVICE_OPTIONS, _build_service),
    "customer": _RuleKind(("name",), options.CUSTOMER_OPTIONS, _build_customer),
    "limit": _RuleKind(("customer", "route"), options.LIMIT_OPTIONS, _build_limit),
}
