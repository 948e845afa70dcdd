"""Finds the route of a request in a trie of path segments."""

from __future__ import annotations

import bisect
from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.requests import NO_ROUTE
from gentianfold.errors import Failure
from gentianfold.rules.path_pattern import ANY_SEGMENT, PathPattern
from gentianfold.rules.paths import split_path

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from gentianfold.model import Route

    Headers = Iterable[tuple[bytes, bytes]]


@attrs.define
class _Node:
    """The routes that share their first segments."""

    literals: dict[str, _Node] = attrs.field(factory=dict)
    """Longer paths by their next segment."""
    star: _Node | None = None
    """Longer paths whose next segment is ``*``."""
    exact: list[Route] = attrs.field(factory=list)
    """Routes whose path ends here."""
    prefixes: list[Route] = attrs.field(factory=list)
    """Routes whose path goes on with ``**``."""


class RouteTable:
    """Finds the most specific route of a request.

    A lookup walks one node a segment. It goes back to a wildcard only if the more
    specific paths have no route for the method and headers, and it visits no node
    twice, so its cost follows the depth of the path and not the number of routes.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._root = _Node()
        for route in routes:
            self._add(route)

    def find(
        self, method: str, path: str, headers: Iterable[tuple[bytes, bytes]]
    ) -> Route | Failure:
        """Find the route of a request.

        Args:
            method: The method in upper case.
            path: The path as received, percent-encoded; a query string is ignored.
            headers: Names and values as received; names in any case.

        Returns:
            The most specific route that matches, or a failure ``NO_ROUTE`` or
            ``PATH_REFUSED``.
        """
        segments = split_path(path)
        if isinstance(segments, Failure):
            return segments
        carried = join_headers(headers)
        route = _descend(self._root, segments, 0, method, carried)
        return route or Failure(NO_ROUTE, f"no route for {method} {path[:200]}")

    def _add(self, route: Route) -> None:
        """Add a route to the trie."""
        pattern = PathPattern.of(route)
        node = self._root
        for segment in pattern.segments:
            if segment == ANY_SEGMENT:
                node.star = node.star or _Node()
                node = node.star
            else:
                node = node.literals.setdefault(segment, _Node())
        routes = node.prefixes if pattern.open_ended else node.exact
        bisect.insort(routes, route, key=specificity)


def join_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return the value of each header by its name in lower case.

    The values of a repeated header are joined by commas, so that a second value can't
    make a request fit two routes that ask for different ones.
    """
    carried: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        carried[lower] = (
            b", ".join((carried[lower], value)) if lower in carried else value
        )
    return carried


def specificity(route: Route) -> tuple[int, bool, str]:
    """Return a key that sorts routes with one path, the most specific first."""
    return -len(route.headers), not route.methods, route.name


def request_matches(route: Route, method: str, carried: Mapping[bytes, bytes]) -> bool:
    """Tell whether method and headers of a request fit a route.

    Args:
        route: The route.
        method: The method in upper case.
        carried: The request's headers, as ``join_headers`` returns them.
    """
    if route.methods and method not in route.methods:
        return False
    return all(carried.get(header.name) == header.value for header in route.headers)


def _descend(
    node: _Node,
    segments: tuple[str, ...],
    depth: int,
    method: str,
    carried: Mapping[bytes, bytes],
) -> Route | None:
    """Find the most specific route at or below a node."""
    if depth == len(segments):
        return _first(node.exact, method, carried) or _first(
            node.prefixes, method, carried
        )
    for child in (node.literals.get(segments[depth]), node.star):
        if child is None:
            continue
        route = _descend(child, segments, depth + 1, method, carried)
        if route is not None:
            return route
    return _first(node.prefixes, method, carried)


def _first(
    routes: Iterable[Route], method: str, carried: Mapping[bytes, bytes]
) -> Route | None:
    """Return the first route that method and headers fit."""
    matches = (route for route in routes if request_matches(route, method, carried))
    return next(matches, None)
