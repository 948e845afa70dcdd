"""Parser of rules texts that reports all errors of a text at once."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, TypeVar

import attrs

from gentianfold.codes import rules as codes
from gentianfold.errors import Failure, Location
from gentianfold.model import Customer, Route, Service
from gentianfold.rules._checks import check_rules
from gentianfold.rules._line_parser import LineParser
from gentianfold.rules.rule_set import LimitRule, Rule, RuleSet

if TYPE_CHECKING:
    from collections.abc import Iterable

    from gentianfold.model import RateLimit

MAX_RULES_BYTES = 8 << 20
"""Maximum size of a rules text (bytes); equals the largest published value."""

_RuleT = TypeVar("_RuleT", Route, Service, Customer, LimitRule)


def parse_rules(text: str, source: str) -> RuleSet | tuple[Failure, ...]:
    """Parse and check a rules text.

    Args:
        text: Rules text with one rule per line.
        source: Name of the text, for locations.

    Returns:
        The rules, or all failures in the order of their locations.
    """
    if len(text.encode(errors="replace")) > MAX_RULES_BYTES:
        reason = f"the text is larger than {MAX_RULES_BYTES} bytes"
        location = Location(source, 1)
        return (Failure(codes.RULES_TOO_LARGE, reason, location=location),)
    rules: list[Rule] = []
    failures: list[Failure] = []
    for number, line in enumerate(text.split("\n"), start=1):
        parsed = parse_line(line.removesuffix("\r"), number, source)
        if isinstance(parsed, tuple):
            failures += parsed
        elif parsed is not None:
            rules.append(parsed)
    # After an invalid line, references to the rule that the line was meant to define
    # would be reported as unknown, so references are checked only without errors.
    failures += check_rules(rules, source, complete=not failures)
    if failures:
        return tuple(sorted(failures, key=_location_key))
    return _build_rule_set(rules)


def parse_line(text: str, line: int, source: str) -> Rule | tuple[Failure, ...] | None:
    """Parse one line.

    Args:
        text: The line without its line break.
        line: Line number, from 1.
        source: Name of the rules text, for locations.

    Returns:
        The rule, all failures of the line, or ``None`` for a blank line or a line
        with only a comment.
    """
    stripped = text.strip()
    if not stripped or stripped.startswith("#"):
        return None
    parser = LineParser(source, line)
    rule = parser.parse(text)
    return tuple(parser.failures) if parser.failures else rule


def _location_key(failure: Failure) -> tuple[int, int]:
    """Return a key that sorts failures by line and column."""
    location = failure.location
    return (location.line, location.column) if location else (0, 0)


def _build_rule_set(rules: list[Rule]) -> RuleSet:
    """Group valid rules by kind and add the limits to their customers."""
    limits = _of_kind(rules, LimitRule)
    limits_by_customer: dict[str, dict[str, RateLimit]] = defaultdict(dict)
    for rule in limits:
        limits_by_customer[rule.customer][rule.route] = rule.limit
    customers = {
        customer.name: attrs.evolve(
            customer, route_limits=limits_by_customer.get(customer.name, {})
        )
        for customer in _of_kind(rules, Customer)
    }
    return RuleSet(
        routes=_of_kind(rules, Route),
        services={service.name: service for service in _of_kind(rules, Service)},
        customers=customers,
        limits=limits,
    )


def _of_kind(rules: Iterable[Rule], kind: type[_RuleT]) -> tuple[_RuleT, ...]:
    """Return the rules of a kind, in order."""
    return tuple(rule for rule in rules if isinstance(rule, kind))
