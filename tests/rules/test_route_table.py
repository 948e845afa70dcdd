"""The most specific route wins, in any order of the lines."""

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

LINES = """\
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
APP = (b"X-App", b"2")
CASES = [
    ("GET", "/", (), "root"),
    ("GET", "/gloves", (), "lookup"),
    ("GET", "/gloves/", (), "lookup"),
    ("GET", "/gloves/blue", (), "one"),
    ("GET", "/gloves/blue/x", (), "lookup"),
    ("GET", "/gloves/red?colour=blue", (), "red"),
    ("GET", "/gloves/r%65d", (), "red"),
    ("GET", "/gloves/red", (APP,), "canary"),
    ("GET", "/gloves/red", (APP, (b"x-b", b"1")), "twice"),
    ("GET", "/gloves/red", ((b"x-app", b"3"),), "red"),
    ("GET", "/gloves/red", (APP, (b"x-app", b"3")), "red"),
    ("DELETE", "/gloves/red", (), "any"),
    ("POST", "/gloves/red/claim", (), "claim"),
    ("GET", "/gloves/red/claim", (), "lookup"),
    ("GET", "/gloves/7/notes/1/2", (), "notes"),
]


@pytest.mark.parametrize(("method", "path", "headers", "name"), CASES)
def test_the_most_specific_route_wins(method, path, headers, name):
    routes = list(parse_rules(LINES, "rules").routes)
    for _ in range(5):
        assert RouteTable(routes).find(method, path, headers).name == name
        random.Random(7).shuffle(routes)


def test_no_route_and_a_refused_path_are_failures():
    table = RouteTable(parse_rules(LINES, "rules").routes)
    assert table.find("POST", "/gloves", ()).code is NO_ROUTE
    assert table.find("GET", "/glove", ()).code is NO_ROUTE
    assert table.find("GET", "/gloves/../x", ()).code is PATH_REFUSED


segments = st.lists(st.sampled_from(["a", "b", "*"]), max_size=4)
paths = st.builds(
    lambda parts, tail: "/" + "/".join(parts + ["**"] * tail), segments, st.booleans()
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
def test_the_trie_agrees_with_a_scan_of_all_routes(shapes, parts, method, headers):
    built = [
        Route(f"r{number}", methods, path, PathPattern.parse(path).kind, "s", wanted)
        for number, (path, methods, wanted) in enumerate(shapes)
    ]
    found = RouteTable(built).find(method, "/" + "/".join(parts), headers)
    best = None
    for route in built:
        pattern = PathPattern.of_route(route)
        if not pattern.matches(tuple(parts)) or (route.headers and not headers):
            continue
        if route.methods and method not in route.methods:
            continue
        if best is None or _before(route, best):
            best = route
    if best is None:
        assert isinstance(found, Failure)
    else:
        assert found == best


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(routes, unique=True, max_size=12))
def test_every_route_of_an_accepted_text_answers_some_request(shapes):
    built = [
        Route(f"r{number}", methods, path, PathPattern.parse(path).kind, "s", wanted)
        for number, (path, methods, wanted) in enumerate(shapes)
    ]
    service = Service("s", comment="a: b")
    lines = [service, *(attrs.evolve(route, comment="a: b") for route in built)]
    parsed = parse_rules("\n".join(map(format_rule, lines)), "rules")
    if not isinstance(parsed, RuleSet):
        assert {f.code for f in parsed} == {UNREACHABLE_RULE}
        hidden = {f.location.line for f in parsed}
    else:
        hidden = set()
    table = RouteTable(built)
    for line, route in enumerate(built, start=2):
        assert _answers_something(table, route) is (line not in hidden)


def _answers_something(table, route):
    """Tell whether a route answers one of the requests made from its own path."""
    pattern = PathPattern.of_route(route)
    segments = ["z" if part == "*" else part for part in pattern.segments]
    for extra in range(6 if pattern.is_prefix else 1):
        path = "/" + "/".join(segments + ["z"] * extra)
        for method in ("GET", "PUT"):
            carried = tuple((header.name, header.value) for header in route.headers)
            if table.find(method, path, carried) == route:
                return True
    return False


def _before(route, other):
    pattern, rival = PathPattern.of_route(route), PathPattern.of_route(other)
    if pattern != rival:
        return pattern.is_more_specific_than(rival)
    if len(route.headers) != len(other.headers):
        return len(route.headers) > len(other.headers)
    return bool(route.methods) and not other.methods
