"""Checks of rules against each other."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING

from gentianfold.codes import rules as codes
from gentianfold.errors import Code, Failure, Location
from gentianfold.model import Customer, Route, Service
from gentianfold.rules._words import suggest
from gentianfold.rules.path_pattern import ANY_SEGMENT, PathPattern
from gentianfold.rules.rule_set import LimitRule, Rule

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping, Sequence


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
        _check_route_pairs(routes),
        _check_hidden_prefixes(routes),
        _check_open_routes(routes, limits),
    )
    return [
        Failure(code, reason, location=Location(source, rule.line))
        for rule, code, reason in found
    ]


def methods_overlap(route: Route, other: Route) -> bool:
    """Tell whether some method fits both, and neither lists it more closely."""
    if not route.methods or not other.methods:
        return not route.methods and not other.methods
    return bool(route.methods & other.methods)


def _check_names(rules: Iterable[Rule]) -> Iterator[tuple[Rule, Code, str]]:
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


def _check_references(rules: Sequence[Rule]) -> Iterator[tuple[Rule, Code, str]]:
    """Find names that no rule defines."""
    known: Mapping[str, set[str]] = {
        kind.__name__.lower(): {rule.name for rule in rules if isinstance(rule, kind)}
        for kind in (Route, Service, Customer)
    }
    for rule in rules:
        for kind in ("service", "customer", "route"):
            name = getattr(rule, kind, None)
            if name is not None and name not in known[kind]:
                hint = suggest(name, known[kind])
                reason = f"no rule defines {kind} {name!r}{hint}"
                yield rule, codes.UNKNOWN_REFERENCE, reason


def _check_route_pairs(routes: Iterable[Route]) -> Iterator[tuple[Rule, Code, str]]:
    """Find routes with one path of which neither goes before the other."""
    by_path: dict[str, list[Route]] = defaultdict(list)
    for route in routes:
        for other in by_path[route.path]:
            if not methods_overlap(route, other):
                continue
            named = f"route {other.name!r} in line {other.line}"
            if route.headers == other.headers:
                reason = f"matches the same requests as {named}"
                yield route, codes.CONFLICTING_ROUTES, reason
                break
            if len(route.headers) == len(other.headers) and _headers_agree(
                route, other
            ):
                reason = f"a request with the headers of both fits {named} as well"
                yield route, codes.AMBIGUOUS_ROUTES, reason
                break
        by_path[route.path].append(route)


def _headers_agree(route: Route, other: Route) -> bool:
    """Tell whether one request can carry the headers of both."""
    values = {header.name: header.value for header in route.headers}
    return all(
        values.get(header.name, header.value) == header.value
        for header in other.headers
    )


def _check_hidden_prefixes(
    routes: Iterable[Route],
) -> Iterator[tuple[Rule, Code, str]]:
    """Find prefix routes all of whose paths more specific routes take.

    Literal segments never exhaust the paths under a prefix. Only ``/a`` and
    ``/a/*/**`` together hide ``/a/**``; the latter may be split up once more.
    """
    patterns = {route.path: PathPattern.of(route) for route in routes}
    takers: dict[PathPattern, list[Route]] = defaultdict(list)
    for route in routes:
        if not route.headers:
            takers[patterns[route.path]].append(route)
    for route in routes:
        pattern = patterns[route.path]
        if pattern.open_ended and _is_covered(pattern, route, takers):
            reason = f"more specific routes take every request of {route.name!r}"
            yield route, codes.UNREACHABLE_RULE, reason


def _is_covered(
    pattern: PathPattern, route: Route, takers: Mapping[PathPattern, list[Route]]
) -> bool:
    """Tell whether other routes take all paths of an open-ended pattern."""
    segments = pattern.segments
    while True:
        if not _takes_methods(takers.get(PathPattern(segments), ()), route):
            return False
        segments = (*segments, ANY_SEGMENT)
        longer = takers.get(PathPattern(segments, open_ended=True))
        if longer and _takes_methods(longer, route):
            return True


def _takes_methods(routes: Iterable[Route], hidden: Route) -> bool:
    """Tell whether ``routes`` take every method of ``hidden``."""
    listed: set[str] = set()
    for route in routes:
        if not route.methods:
            return True
        listed |= route.methods
    return bool(hidden.methods) and hidden.methods <= listed


def _check_open_routes(
    routes: Iterable[Route], limits: Iterable[LimitRule]
) -> Iterator[tuple[Rule, Code, str]]:
    """Find limits on routes where no customer is known."""
    open_names = {route.name for route in routes if route.open_to_all}
    for rule in limits:
        if rule.route in open_names:
            reason = f"route {rule.route!r} is open to all, so it knows no customer"
            yield rule, codes.UNREACHABLE_RULE, reason
