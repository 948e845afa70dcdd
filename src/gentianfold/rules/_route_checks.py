"""Checks of routes against each other: conflicts, ambiguity, hidden routes."""

from __future__ import annotations

import itertools
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes import rules as codes
from gentianfold.model import HeaderMatch, Route
from gentianfold.rules.path_pattern import ANY_SEGMENT, PathPattern

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from gentianfold.errors import ResultCode


def find_indistinct_routes(
    routes: Iterable[Route],
) -> Iterator[tuple[Route, ResultCode, str]]:
    """Find routes with one path of which neither goes before the other."""
    by_path: dict[str, _SamePath] = defaultdict(_SamePath)
    for route in routes:
        same_path = by_path[route.path]
        conflict = next(same_path.find_equal(route), None)
        ambiguous = next(same_path.find_ambiguous(route), None)
        if conflict:
            reason = f"matches the same requests as {_describe(conflict)}"
            yield route, codes.CONFLICTING_ROUTES, reason
        elif ambiguous:
            reason = f"a request can carry the headers of {_describe(ambiguous)} too"
            yield route, codes.AMBIGUOUS_ROUTES, reason
        same_path.add(route)


def _describe(route: Route) -> str:
    """Return how a message names another route."""
    return f"route {route.name!r} in line {route.line}"


@attrs.define
class _SamePath:
    """Routes with one path, indexed so that most pairs are never compared."""

    by_headers: dict[tuple[HeaderMatch, ...], list[Route]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    """Routes by their header conditions."""
    by_names: dict[tuple[bytes, ...], list[Route]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    """Routes by the names in their header conditions."""

    def add(self, route: Route) -> None:
        """Add a route."""
        self.by_headers[route.headers].append(route)
        self.by_names[_header_names(route)].append(route)

    def find_equal(self, route: Route) -> Iterator[Route]:
        """Yield routes that match the same requests."""
        equal = self.by_headers.get(route.headers, ())
        return (other for other in equal if _methods_overlap(route, other))

    def find_ambiguous(self, route: Route) -> Iterator[Route]:
        """Yield routes with as many, other headers that a request can carry too.

        Conditions on the same names differ in a value, so no request meets both.
        """
        names = _header_names(route)
        others = itertools.chain.from_iterable(
            routes
            for other_names, routes in self.by_names.items()
            if len(other_names) == len(names) and other_names != names
        )
        return (
            other
            for other in others
            if _methods_overlap(route, other) and _headers_agree(route, other)
        )


def _header_names(route: Route) -> tuple[bytes, ...]:
    """Return the sorted names of a route's header conditions."""
    return tuple(header.name for header in route.headers)


def _headers_agree(route: Route, other: Route) -> bool:
    """Tell whether one request can carry the headers of both."""
    values = {header.name: header.value for header in route.headers}
    return all(
        values.get(header.name, header.value) == header.value
        for header in other.headers
    )


def find_hidden_prefixes(
    routes: Iterable[Route],
) -> Iterator[tuple[Route, ResultCode, str]]:
    """Find prefix routes all of whose paths more specific routes take.

    Literal segments never exhaust the paths under a prefix. Only ``/a`` and
    ``/a/*/**`` together hide ``/a/**``; the latter may be split up once more.
    """
    patterns = {route.path: PathPattern.of_route(route) for route in routes}
    takers: dict[PathPattern, list[Route]] = defaultdict(list)
    for route in routes:
        takers[patterns[route.path]].append(route)
    for route in routes:
        pattern = patterns[route.path]
        if pattern.is_prefix and _is_covered(pattern, route, takers):
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
        longer = takers.get(PathPattern(segments, is_prefix=True))
        if longer and _takes_methods(longer, route):
            return True


def _takes_methods(routes: Iterable[Route], hidden: Route) -> bool:
    """Tell whether ``routes`` take every method of ``hidden``, given its headers."""
    listed: set[str] = set()
    wanted = set(hidden.headers)
    for route in routes:
        if not wanted.issuperset(route.headers):
            continue
        if not route.methods:
            return True
        listed |= route.methods
    return bool(hidden.methods) and hidden.methods <= listed


def _methods_overlap(route: Route, other: Route) -> bool:
    """Tell whether some method fits both, and neither lists it more closely."""
    if not route.methods or not other.methods:
        return not route.methods and not other.methods
    return bool(route.methods & other.methods)
