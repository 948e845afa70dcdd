"""Route lookup: the most specific route matches, whatever the order of the lines."""

from __future__ import annotations

import random

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes.requests import NO_ROUTE
from gentianfold.codes.rules import PATH_REFUSED, UNREACHABLE_RULE
from gentianfold.errors import Failure
from gentianfold.model import HeaderMatch, Route, Service
from gentianfold.rules import PathPattern, RouteTable, RuleSet, format_rule, parse_rules

RULES = """\
service s  # a: b
route root GET / service=s  # a: b
route lookup GET /gloves/** service=s  # a: b
route one GET /gloves/* service=s  # a: b
route red GET /gloves/red service=s  # a: b
route canary GET /gloves/red service=s header:x-app=2  # a: b
route twice GET /gloves/red service=s header:x-app=2 header:x-b=1  # a: b
route any * /gloves/red service=s  # a: b
route claim POST /gloves/*/claim service=s  # a: b
route notes * /gloves/*/notes/** service=s  # a: b
"""
APP_HEADER = (b"X-App", b"2")
CASES = [
    ("GET", "/", (), "root"),
    ("GET", "/gloves", (), "lookup"),
    ("GET", "/gloves/", (), "lookup"),
    ("GET", "/gloves/blue", (), "one"),
    ("GET", "/gloves/blue/x", (), "lookup"),
    ("GET", "/gloves/red?colour=blue", (), "red"),
    ("GET", "/gloves/r%65d", (), "red"),
    ("GET", "/gloves/red", (APP_HEADER,), "canary"),
    ("GET", "/gloves/red", (APP_HEADER, (b"x-b", b"1")), "twice"),
    ("GET", "/gloves/red", ((b"x-app", b"3"),), "red"),
    ("GET", "/gloves/red", (APP_HEADER, (b"x-app", b"3")), "red"),
    ("DELETE", "/gloves/red", (), "any"),
    ("POST", "/gloves/red/claim", (), "claim"),
    ("GET", "/gloves/red/claim", (), "lookup"),
    ("GET", "/gloves/7/notes/1/2", (), "notes"),
]


@pytest.mark.parametrize(("method", "path", "headers", "name"), CASES)
def test_the_most_specific_route_matches(method, path, headers, name):
    routes = list(parse_rules(RULES, "rules").routes)
    for _ in range(5):
        assert RouteTable(routes).find(method, path, headers).name == name
        random.Random(7).shuffle(routes)


def test_unmatched_requests_and_invalid_paths_are_failures():
    table = RouteTable(parse_rules(RULES, "rules").routes)
    assert table.find("POST", "/gloves", ()).code is NO_ROUTE
    assert table.find("GET", "/glove", ()).code is NO_ROUTE
    assert table.find("GET", "/gloves/../x", ()).code is PATH_REFUSED


segments = st.lists(st.sampled_from(["a", "b", "*"]), max_size=4)
paths = st.builds(
    lambda parts, is_prefix: "/" + "/".join(parts + ["**"] * is_prefix),
    segments,
    st.booleans(),
)
routes = st.builds(
    lambda path, methods, headers: (path, methods, headers),
    paths,
    st.sampled_from([frozenset(), frozenset(["GET"])]),
    st.sampled_from([(), (HeaderMatch(b"x", b"1"),)]),
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(routes, unique=True, max_size=12),
    st.lists(st.sampled_from(["a", "b", "c"]), max_size=5),
    st.sampled_from(["GET", "PUT"]),
    st.sampled_from([(), ((b"X", b"1"),)]),
)
def test_lookup_agrees_with_a_scan_of_all_routes(descriptions, parts, method, headers):
    built = [
        Route(
            f"r{number}", methods, path, PathPattern.parse(path).kind, "s", conditions
        )
        for number, (path, methods, conditions) in enumerate(descriptions)
    ]
    found = RouteTable(built).find(method, "/" + "/".join(parts), headers)
    best = None
    for route in built:
        pattern = PathPattern.of_route(route)
        if not pattern.matches(tuple(parts)) or (route.headers and not headers):
            continue
        if route.methods and method not in route.methods:
            continue
        if best is None or _has_precedence(route, best):
            best = route
    if best is None:
        assert isinstance(found, Failure)
    else:
        assert found == best


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(routes, unique=True, max_size=12))
def test_unreachable_routes_are_exactly_those_that_the_parser_reports(descriptions):
    built = [
        Route(
            f"r{number}", methods, path, PathPattern.parse(path).kind, "s", conditions
        )
        for number, (path, methods, conditions) in enumerate(descriptions)
    ]
    service = Service("s", comment="a: b")
    lines = [service, *(attrs.evolve(route, comment="a: b") for route in built)]
    parsed = parse_rules("\n".join(map(format_rule, lines)), "rules")
    if not isinstance(parsed, RuleSet):
        assert {f.code for f in parsed} == {UNREACHABLE_RULE}
        unreachable = {f.location.line for f in parsed}
    else:
        unreachable = set()
    table = RouteTable(built)
    for line, route in enumerate(built, start=2):
        assert _is_reachable(table, route) is (line not in unreachable)


def _is_reachable(table, route):
    """Tell whether the route is found for a request built from its own path."""
    pattern = PathPattern.of_route(route)
    segments = ["z" if part == "*" else part for part in pattern.segments]
    for extra in range(6 if pattern.is_prefix else 1):
        path = "/" + "/".join(segments + ["z"] * extra)
        for method in ("GET", "PUT"):
            request_headers = tuple(
                (header.name, header.value) for header in route.headers
            )
            if table.find(method, path, request_headers) == route:
                return True
    return False


def _has_precedence(route, other):
    pattern, other_pattern = PathPattern.of_route(route), PathPattern.of_route(other)
    if pattern != other_pattern:
        return pattern.is_more_specific_than(other_pattern)
    if len(route.headers) != len(other.headers):
        return len(route.headers) > len(other.headers)
    return bool(route.methods) and not other.methods
