"""Lookup of routes in a trie of path segments."""

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
    """A trie node: the routes whose patterns begin with the same segments."""

    children: dict[str, _Node] = attrs.field(factory=dict)
    """Child nodes by literal segment."""
    wildcard: _Node | None = None
    """Child node for the segment ``*``; ``None`` if no route has one here."""
    exact_routes: list[Route] = attrs.field(factory=list)
    """Routes whose pattern ends at this node, in order of precedence."""
    prefix_routes: list[Route] = attrs.field(factory=list)
    """Routes whose pattern continues with a final ``**``, in order of precedence."""


class RouteTable:
    """Finds the most specific route of a request.

    A lookup descends one node per segment. It backtracks to a wildcard only if the
    more specific paths have no route for the method and headers. It visits each node
    at most once, and only nodes that match the path, so routes with other paths add
    nothing to its cost.
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
            method: Request method in upper case.
            path: Percent-encoded path as received; a query string is ignored.
            headers: Header names, in any case, and values.

        Returns:
            The most specific route that matches, or a failure with the code
            ``NO_ROUTE`` or ``PATH_REFUSED``.
        """
        segments = split_path(path)
        if isinstance(segments, Failure):
            return segments
        value_by_header = combine_headers(headers)
        route = _find_in_subtree(self._root, segments, 0, method, value_by_header)
        return route or Failure(NO_ROUTE, f"no route for {method} {path[:200]}")

    def _add(self, route: Route) -> None:
        """Add a route to the trie."""
        pattern = PathPattern.of_route(route)
        node = self._root
        for segment in pattern.segments:
            if segment == ANY_SEGMENT:
                node.wildcard = node.wildcard or _Node()
                node = node.wildcard
            else:
                node = node.children.setdefault(segment, _Node())
        routes = node.prefix_routes if pattern.is_prefix else node.exact_routes
        bisect.insort(routes, route, key=precedence_key)


def combine_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return the value of each header by its name in lower case.

    The values of a repeated header are joined by commas, so that a request can't match
    two routes that require different values of the header.
    """
    combined: dict[bytes, bytes] = {}
    for name, value in headers:
        lower = name.lower()
        combined[lower] = (
            b", ".join((combined[lower], value)) if lower in combined else value
        )
    return combined


def precedence_key(route: Route) -> tuple[int, bool, str]:
    """Return a key that sorts routes with the same path, the most specific first."""
    return -len(route.headers), not route.methods, route.name


def request_matches(
    route: Route, method: str, value_by_header: Mapping[bytes, bytes]
) -> bool:
    """Tell whether the method and headers of a request match a route.

    Args:
        route: The route; its path is not compared.
        method: Request method in upper case.
        value_by_header: Headers of the request, as returned by ``combine_headers``.
    """
    if route.methods and method not in route.methods:
        return False
    return all(
        value_by_header.get(header.name) == header.value for header in route.headers
    )


def _find_in_subtree(
    node: _Node,
    segments: tuple[str, ...],
    depth: int,
    method: str,
    value_by_header: Mapping[bytes, bytes],
) -> Route | None:
    """Find the most specific matching route in the subtree of a node, or ``None``.

    ``depth`` is the number of segments from the root to the node.
    """
    if depth == len(segments):
        return _first_match(node.exact_routes, method, value_by_header) or _first_match(
            node.prefix_routes, method, value_by_header
        )
    for child in (node.children.get(segments[depth]), node.wildcard):
        if child is None:
            continue
        route = _find_in_subtree(child, segments, depth + 1, method, value_by_header)
        if route is not None:
            return route
    return _first_match(node.prefix_routes, method, value_by_header)


def _first_match(
    routes: Iterable[Route], method: str, value_by_header: Mapping[bytes, bytes]
) -> Route | None:
    """Return the first route that matches the method and headers, or ``None``."""
    matches = (
        route for route in routes if request_matches(route, method, value_by_header)
    )
    return next(matches, None)
