"""Checks of rules against each other."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from gentianfold.codes import rules as codes
from gentianfold.errors import Failure, Location, ResultCode
from gentianfold.model import Customer, Route, Service
from gentianfold.rules._route_checks import (
    find_hidden_prefixes,
    find_indistinct_routes,
)
from gentianfold.rules._words import suggest
from gentianfold.rules.rule_set import LimitRule, Rule

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence

MAX_HINTS = 10
"""Most unknown names for which the nearest name is searched."""


def check_rules(rules: Sequence[Rule], source: str, *, complete: bool) -> list[Failure]:
    """Check rules against each other.

    Args:
        rules: Every rule whose line has no fault.
        source: Name of the rules text.
        complete: Whether no line had a fault; else names that a faulty line may
            define aren't reported as unknown.

    Returns:
        All faults.
    """
    routes = [rule for rule in rules if isinstance(rule, Route)]
    limits = [rule for rule in rules if isinstance(rule, LimitRule)]
    found = itertools.chain(
        _check_names(rules),
        _check_references(rules) if complete else (),
        find_indistinct_routes(routes),
        find_hidden_prefixes(routes),
        _check_open_routes(routes, limits),
    )
    return [
        Failure(code, reason, location=Location(source, rule.line))
        for rule, code, reason in found
    ]


def _check_names(rules: Iterable[Rule]) -> Iterator[tuple[Rule, ResultCode, str]]:
    """Find names that stand twice."""
    lines: dict[tuple[type, str], int] = {}
    for rule in rules:
        name = _name_of(rule)
        first = lines.setdefault((type(rule), name), rule.line)
        if first != rule.line:
            kind = type(rule).__name__.removesuffix("Rule").lower()
            reason = f"{kind} {name!r} already stands in line {first}"
            yield rule, codes.DUPLICATE_NAME, reason


def _name_of(rule: Rule) -> str:
    """Return what must be unique among the rules of a kind."""
    if isinstance(rule, LimitRule):
        return f"{rule.customer} {rule.route}"
    return rule.name


def _check_references(rules: Sequence[Rule]) -> Iterator[tuple[Rule, ResultCode, str]]:
    """Find names that no rule defines."""
    known: Mapping[str, set[str]] = {
        kind.__name__.lower(): {rule.name for rule in rules if isinstance(rule, kind)}
        for kind in (Route, Service, Customer)
    }
    unknown = (
        (rule, kind, name)
        for rule in rules
        for kind in ("service", "customer", "route")
        if (name := getattr(rule, kind, None)) and name not in known[kind]
    )
    for count, (rule, kind, name) in enumerate(unknown):
        # A search for the nearest name reads all names, so only few faults get one.
        hint = suggest(name, known[kind]) if count < MAX_HINTS else ""
        reason = f"no rule defines {kind} {name!r}{hint}"
        yield rule, codes.UNKNOWN_REFERENCE, reason


def _check_open_routes(
    routes: Iterable[Route], limits: Iterable[LimitRule]
) -> Iterator[tuple[Rule, ResultCode, str]]:
    """Find limits on routes where no customer is known."""
    open_names = {route.name for route in routes if route.open_to_all}
    for rule in limits:
        if rule.route in open_names:
            reason = f"route {rule.route!r} is open to all, so it knows no customer"
            yield rule, codes.UNREACHABLE_RULE, reason
