"""Checks that the rules of a text are consistent with each other."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from gentianfold.codes import rules as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.model import Customer, Route, Service
from gentianfold.rules._route_checks import (
    find_route_conflicts,
    find_unreachable_prefixes,
)
from gentianfold.rules._syntax import suggest
from gentianfold.rules.rule_set import LimitRule, Rule

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

MAX_SUGGESTIONS = 10
"""Maximum number of unknown names for which a similar name is suggested."""


def check_rules(rules: Sequence[Rule], source: str, *, complete: bool) -> list[Failure]:
    """Check that rules are consistent with each other.

    Args:
        rules: All rules whose lines are valid.
        source: Name of the rules text, for locations.
        complete: Whether all lines are valid. If not, unknown names aren't reported,
            since an invalid line may define them.

    Returns:
        All failures, empty if the rules are consistent.
    """
    routes = [rule for rule in rules if isinstance(rule, Route)]
    limits = [rule for rule in rules if isinstance(rule, LimitRule)]
    errors = itertools.chain(
        _find_duplicate_names(rules),
        _find_unknown_references(rules) if complete else (),
        find_route_conflicts(routes),
        find_unreachable_prefixes(routes),
        _find_limits_on_open_routes(routes, limits),
    )
    return [
        Failure(code, reason, location=Location(source, rule.line))
        for rule, code, reason in errors
    ]


def _find_duplicate_names(
    rules: Iterable[Rule],
) -> Iterator[tuple[Rule, ResultCode, str]]:
    """Find rules with the name of an earlier rule of the same kind."""
    lines: dict[tuple[type, str], int] = {}
    for rule in rules:
        name = _unique_name(rule)
        first_line = lines.setdefault((type(rule), name), rule.line)
        if first_line != rule.line:
            kind = type(rule).__name__.removesuffix("Rule").lower()
            reason = f"{kind} {name!r} is already defined in line {first_line}"
            yield rule, codes.DUPLICATE_NAME, reason


def _unique_name(rule: Rule) -> str:
    """Return the name that must be unique among the rules of a kind."""
    if isinstance(rule, LimitRule):
        return f"{rule.customer} {rule.route}"
    return rule.name


def _find_unknown_references(
    rules: Sequence[Rule],
) -> Iterator[tuple[Rule, ResultCode, str]]:
    """Find references to services, customers and routes that no rule defines."""
    names_by_kind: Mapping[str, set[str]] = {
        kind.__name__.lower(): {rule.name for rule in rules if isinstance(rule, kind)}
        for kind in (Route, Service, Customer)
    }
    unknown = (
        (rule, kind, name)
        for rule in rules
        for kind in ("service", "customer", "route")
        if (name := getattr(rule, kind, None)) and name not in names_by_kind[kind]
    )
    for count, (rule, kind, name) in enumerate(unknown):
        # Each suggestion compares against all names, so only the first errors get one.
        hint = suggest(name, names_by_kind[kind]) if count < MAX_SUGGESTIONS else ""
        reason = f"no rule defines {kind} {name!r}{hint}"
        yield rule, codes.UNKNOWN_REFERENCE, reason


def _find_limits_on_open_routes(
    routes: Iterable[Route], limits: Iterable[LimitRule]
) -> Iterator[tuple[Rule, ResultCode, str]]:
    """Find customer limits on routes that accept requests without an API key."""
    open_names = {route.name for route in routes if route.open_to_all}
    for rule in limits:
        if rule.route in open_names:
            reason = (
                f"route {rule.route!r} is open to all, so its requests have no customer"
            )
            yield rule, codes.UNREACHABLE_RULE, reason
