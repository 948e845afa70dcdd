"""Explains which route answers a request, and why the near ones don't."""

from __future__ import annotations

import difflib
import itertools
from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure
from gentianfold.rules.formatter import format_methods
from gentianfold.rules.path_pattern import PathPattern
from gentianfold.rules.paths import split_path
from gentianfold.rules.route_table import RouteTable, join_headers, request_matches

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from gentianfold.model import Route
    from gentianfold.rules.rule_set import RuleSet

MAX_NEAR_ROUTES = 5
"""Most routes that an explanation lists beside the answer."""
_MIN_SIMILARITY = 0.6


@attrs.frozen
class NearRoute:
    """A route that a reader may have expected to answer."""

    route: Route
    """The route."""
    reason: str
    """Why it doesn't answer."""


@attrs.frozen
class Explanation:
    """The route that answers a request, and the near ones."""

    result: Route | Failure
    """The route that answers, or why none does."""
    near_routes: tuple[NearRoute, ...]
    """Other routes, the nearest first."""


def explain(
    rules: RuleSet, method: str, path: str, headers: Sequence[tuple[bytes, bytes]]
) -> Explanation:
    """Explain how a request is routed.

    Args:
        rules: The rules.
        method: The method in upper case.
        path: The path as a caller sends it.
        headers: Names and values.

    Returns:
        The route or failure that answers, and why near routes don't answer.
    """
    answer = RouteTable(rules.routes).find(method, path, headers)
    segments = split_path(path)
    if isinstance(segments, Failure):
        return Explanation(answer, ())
    others = [route for route in rules.routes if route is not answer]
    matching = [route for route in others if PathPattern.of(route).matches(segments)]
    similar = _similar(others, matching, segments)
    carried = join_headers(headers)
    near = itertools.chain(
        (
            NearRoute(route, _explain_match(route, answer, method, carried))
            for route in matching
        ),
        (NearRoute(route, "its path doesn't match") for route in similar),
    )
    return Explanation(answer, tuple(itertools.islice(near, MAX_NEAR_ROUTES)))


def _explain_match(
    route: Route,
    answer: Route | Failure,
    method: str,
    carried: Mapping[bytes, bytes],
) -> str:
    """Return why a route whose path matches doesn't answer."""
    if route.methods and method not in route.methods:
        return f"it takes {format_methods(route)}, not {method}"
    if not request_matches(route, method, carried):
        missing = next(
            header
            for header in route.headers
            if carried.get(header.name) != header.value
        )
        wanted = f"{missing.name.decode()}: {missing.value.decode()}"
        return f"the request lacks the header {wanted!r}"
    if isinstance(answer, Failure):
        return "it matches"
    if PathPattern.of(answer).is_more_specific(PathPattern.of(route)):
        return f"it matches, but the path of {answer.name!r} is more specific"
    if len(answer.headers) > len(route.headers):
        return f"it matches, but {answer.name!r} asks for more headers"
    return f"it matches, but {answer.name!r} lists the method"


def _similar(
    routes: Iterable[Route], matching: Sequence[Route], segments: tuple[str, ...]
) -> list[Route]:
    """Return routes with a similar path that doesn't match, the nearest first."""
    path = "/" + "/".join(segments)
    scored = (
        (difflib.SequenceMatcher(None, path, route.path).ratio(), route)
        for route in routes
        if route not in matching
    )
    near = [(score, route) for score, route in scored if score >= _MIN_SIMILARITY]
    near.sort(key=lambda item: (-item[0], item[1].name))
    return [route for _, route in near]
