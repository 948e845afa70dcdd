"""Detects conflicting, ambiguous and unreachable routes."""

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


def find_route_conflicts(
    routes: Iterable[Route],
) -> Iterator[tuple[Route, ResultCode, str]]:
    """Find routes with the same path of which neither has precedence.

    Yields:
        The later route of each pair, the result code and the reason.
    """
    by_path: dict[str, _SamePathRoutes] = defaultdict(_SamePathRoutes)
    for route in routes:
        earlier = by_path[route.path]
        conflict = next(earlier.find_conflicting(route), None)
        ambiguous = next(earlier.find_ambiguous(route), None)
        if conflict:
            reason = f"matches the same requests as {_describe(conflict)}"
            yield route, codes.CONFLICTING_ROUTES, reason
        elif ambiguous:
            reason = f"a request can match the headers of {_describe(ambiguous)} too"
            yield route, codes.AMBIGUOUS_ROUTES, reason
        earlier.add(route)


def _describe(route: Route) -> str:
    """Return name and line of a route, for messages."""
    return f"route {route.name!r} in line {route.line}"


@attrs.define
class _SamePathRoutes:
    """Routes with the same path, indexed so that few pairs are compared."""

    by_headers: dict[tuple[HeaderMatch, ...], list[Route]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    """Routes by their header conditions, which are sorted by header name."""
    by_header_names: dict[tuple[bytes, ...], list[Route]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    """Routes by the sorted header names of their conditions."""

    def add(self, route: Route) -> None:
        """Add a route."""
        self.by_headers[route.headers].append(route)
        self.by_header_names[_header_names(route)].append(route)

    def find_conflicting(self, route: Route) -> Iterator[Route]:
        """Return routes with the same headers and precedence that share a method."""
        same_headers = self.by_headers.get(route.headers, ())
        return (other for other in same_headers if _methods_overlap(route, other))

    def find_ambiguous(self, route: Route) -> Iterator[Route]:
        """Return routes with the same number of headers that a request can match too.

        Routes with the same header names are skipped: unless all values are equal, no
        request matches both.
        """
        names = _header_names(route)
        others = itertools.chain.from_iterable(
            routes
            for other_names, routes in self.by_header_names.items()
            if len(other_names) == len(names) and other_names != names
        )
        return (
            other
            for other in others
            if _methods_overlap(route, other) and _headers_compatible(route, other)
        )


def _header_names(route: Route) -> tuple[bytes, ...]:
    """Return the sorted header names of the conditions of a route."""
    return tuple(header.name for header in route.headers)


def _headers_compatible(route: Route, other: Route) -> bool:
    """Tell whether one request can match the header conditions of both routes."""
    values = {header.name: header.value for header in route.headers}
    return all(
        values.get(header.name, header.value) == header.value
        for header in other.headers
    )


def find_unreachable_prefixes(
    routes: Iterable[Route],
) -> Iterator[tuple[Route, ResultCode, str]]:
    """Find prefix routes that never match because more specific routes match first.

    Literal segments can't cover all paths below a prefix. Only ``/a`` and
    ``/a/*/**`` together cover ``/a/**``; ``/a/*`` and ``/a/*/*/**`` in turn cover
    ``/a/*/**``.

    Yields:
        The unreachable route, the result code and the reason.
    """
    patterns = {route.path: PathPattern.of_route(route) for route in routes}
    by_pattern: dict[PathPattern, list[Route]] = defaultdict(list)
    for route in routes:
        by_pattern[patterns[route.path]].append(route)
    for route in routes:
        pattern = patterns[route.path]
        if pattern.is_prefix and _is_covered(pattern, route, by_pattern):
            reason = f"more specific routes match every request of {route.name!r}"
            yield route, codes.UNREACHABLE_RULE, reason


def _is_covered(
    pattern: PathPattern, route: Route, by_pattern: Mapping[PathPattern, list[Route]]
) -> bool:
    """Tell whether more specific routes match every request of a prefix route."""
    segments = pattern.segments
    while True:
        if not _covers_methods(by_pattern.get(PathPattern(segments), ()), route):
            return False
        segments = (*segments, ANY_SEGMENT)
        longer = by_pattern.get(PathPattern(segments, is_prefix=True))
        if longer and _covers_methods(longer, route):
            return True


def _covers_methods(routes: Iterable[Route], covered: Route) -> bool:
    """Tell whether ``routes`` accept all methods of ``covered`` with its headers."""
    accepted_methods: set[str] = set()
    known_headers = set(covered.headers)
    for route in routes:
        if not known_headers.issuperset(route.headers):
            continue
        if not route.methods:
            return True
        accepted_methods |= route.methods
    return bool(covered.methods) and covered.methods <= accepted_methods


def _methods_overlap(route: Route, other: Route) -> bool:
    """Tell whether the routes share a method and neither has precedence for it.

    A route that lists its methods has precedence over a route for any method.
    """
    if not route.methods or not other.methods:
        return not route.methods and not other.methods
    return bool(route.methods & other.methods)
