"""Explanations of which route a request matches, and why similar routes don't."""

from __future__ import annotations

import difflib
import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure
from gentianfold.rules.formatter import format_methods
from gentianfold.rules.path_pattern import PathPattern
from gentianfold.rules.paths import split_path
from gentianfold.rules.route_table import RouteTable, combine_headers, request_matches

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from gentianfold.model import Route
    from gentianfold.rules.rule_set import RuleSet

MAX_NEAR_ROUTES = 5
"""Maximum number of other routes that an explanation lists."""
_MIN_SIMILARITY = 0.6
"""Minimum similarity of two paths, 0 to 1; the default cutoff of ``difflib``."""


@attrs.frozen
class NearRoute:
    """A route that a request could be expected to match but is not routed to."""

    route: Route
    """The route."""
    reason: str
    """Why the request is not routed to it."""


@attrs.frozen
class Explanation:
    """The routing result of a request, and the routes that nearly matched."""

    result: Route | Failure
    """The matching route, or the reason why no route matches."""
    near_routes: tuple[NearRoute, ...]
    """Other routes: those whose path matches, then those with a similar path, the most
    similar first."""


def explain(
    rules: RuleSet, method: str, path: str, headers: Sequence[tuple[bytes, bytes]]
) -> Explanation:
    """Explain how a request is routed.

    Args:
        rules: Rules with the routes to search.
        method: Request method in upper case.
        path: Percent-encoded path as received.
        headers: Header names, in any case, and values.

    Returns:
        The routing result, and why similar routes were not selected.
    """
    result = RouteTable(rules.routes).find(method, path, headers)
    segments = split_path(path)
    if isinstance(segments, Failure):
        return Explanation(result, ())
    others = [route for route in rules.routes if route is not result]
    matching = [
        route for route in others if PathPattern.of_route(route).matches(segments)
    ]
    similar = _similar_routes(others, matching, segments)
    value_by_header = combine_headers(headers)
    near_routes = itertools.chain(
        (
            NearRoute(route, _explain_match(route, result, method, value_by_header))
            for route in matching
        ),
        (NearRoute(route, "its path doesn't match") for route in similar),
    )
    return Explanation(result, tuple(itertools.islice(near_routes, MAX_NEAR_ROUTES)))


def _explain_match(
    route: Route,
    result: Route | Failure,
    method: str,
    value_by_header: Mapping[bytes, bytes],
) -> str:
    """Return why a route whose path matches was not selected."""
    if route.methods and method not in route.methods:
        return f"it takes {format_methods(route)}, not {method}"
    if not request_matches(route, method, value_by_header):
        missing = next(
            header
            for header in route.headers
            if value_by_header.get(header.name) != header.value
        )
        expected = f"{missing.name.decode()}: {missing.value.decode()}"
        return f"the request lacks the header {expected!r}"
    if isinstance(result, Failure):
        return "it matches"
    if PathPattern.of_route(result).is_more_specific_than(PathPattern.of_route(route)):
        return f"it matches, but the path of {result.name!r} is more specific"
    if len(result.headers) > len(route.headers):
        return f"it matches, but {result.name!r} asks for more headers"
    return f"it matches, but {result.name!r} lists the method"


def _similar_routes(
    routes: Iterable[Route], matching: Sequence[Route], segments: tuple[str, ...]
) -> list[Route]:
    """Return routes with a similar path, except ``matching``, most similar first."""
    path = "/" + "/".join(segments)
    scored = (
        (difflib.SequenceMatcher(None, path, route.path).ratio(), route)
        for route in routes
        if route not in matching
    )
    similar = [(score, route) for score, route in scored if score >= _MIN_SIMILARITY]
    similar.sort(key=lambda item: (-item[0], item[1].name))
    return [route for _, route in similar]
