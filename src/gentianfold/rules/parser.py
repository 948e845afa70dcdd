"""Parses a whole rules text and reports all its faults at once."""

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
"""Largest rules text, which is also the largest published value."""

_RuleT = TypeVar("_RuleT", Route, Service, Customer, LimitRule)


def parse_rules(text: str, source: str) -> RuleSet | tuple[Failure, ...]:
    """Parse and check a rules text.

    Args:
        text: The whole text.
        source: Its name, for locations.

    Returns:
        The rules, or every fault in the order of the lines.
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
    # A fault in one line makes others look wrong that refer to it.
    failures += check_rules(rules, source, complete=not failures)
    if failures:
        return tuple(sorted(failures, key=_position))
    return _build_rule_set(rules)


def parse_line(text: str, line: int, source: str) -> Rule | tuple[Failure, ...] | None:
    """Parse one line; ``None`` for blank lines and whole-line comments."""
    stripped = text.strip()
    if not stripped or stripped.startswith("#"):
        return None
    parser = LineParser(source, line)
    rule = parser.parse(text)
    return tuple(parser.failures) if parser.failures else rule


def _position(failure: Failure) -> tuple[int, int]:
    """Return where a fault stands."""
    location = failure.location
    return (location.line, location.column) if location else (0, 0)


def _build_rule_set(rules: list[Rule]) -> RuleSet:
    """Sort checked rules by kind and hang the limits on their customers."""
    limits = _only(rules, LimitRule)
    by_customer: dict[str, dict[str, RateLimit]] = defaultdict(dict)
    for rule in limits:
        by_customer[rule.customer][rule.route] = rule.limit
    customers = {
        customer.name: attrs.evolve(
            customer, route_limits=by_customer.get(customer.name, {})
        )
        for customer in _only(rules, Customer)
    }
    return RuleSet(
        routes=_only(rules, Route),
        services={service.name: service for service in _only(rules, Service)},
        customers=customers,
        limits=limits,
    )


def _only(rules: Iterable[Rule], kind: type[_RuleT]) -> tuple[_RuleT, ...]:
    """Return the rules of one kind."""
    return tuple(rule for rule in rules if isinstance(rule, kind))
