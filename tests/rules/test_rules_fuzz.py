"""No text makes the rules parser raise; written rules parse to themselves."""

from __future__ import annotations

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from rule_texts import GOOD

from gentianfold.errors import Failure
from gentianfold.model import Customer, HeaderMatch, RateLimit, Route, Service
from gentianfold.rules import (
    LimitRule,
    PathPattern,
    RuleSet,
    format_rule,
    format_rules,
    parse_line,
    parse_rules,
    split_path,
)

SETTINGS = settings(derandomize=True, max_examples=300, deadline=None)
names = st.from_regex(r"\A[A-Za-z0-9][A-Za-z0-9._-]{0,20}\Z")
words = st.from_regex(r"\A[a-z][a-z ]{0,10}[a-z]\Z")
comments = st.builds("{}: {}".format, words, words)
limits = st.builds(RateLimit, st.floats(0.001, 1e6), st.floats(1, 1e6))
headers = st.builds(
    HeaderMatch,
    st.from_regex(rb"\Ax-[a-z]{1,5}\Z"),
    st.from_regex(rb"\A[a-zA-Z0-9=:#%]{1,9}\Z"),
)


def build_route(name, methods, parts, tail, headers, **fields):
    path = "/" + "/".join(parts + ["**"] * tail)
    kind = PathPattern.parse(path).kind
    unique = {header.name: header for header in headers}
    ordered = tuple(unique[key] for key in sorted(unique))
    return Route(name, methods, path, kind, headers=ordered, **fields)


routes = st.builds(
    build_route,
    names,
    st.frozensets(st.sampled_from(["GET", "POST", "DELETE"])),
    st.lists(st.sampled_from(["a", "b.c", "%20", "*"]), max_size=4),
    st.booleans(),
    st.lists(headers, max_size=3),
    service=names,
    open_to_all=st.booleans(),
    idempotent=st.booleans(),
    needs_idempotency_key=st.booleans(),
    timeout_s=st.floats(0.001, 3600),
    retries=st.integers(0, 10),
    body_limit_bytes=st.integers(0, 1 << 30),
    comment=comments,
)
services = st.builds(
    Service,
    names,
    st.just(0.0) | st.floats(0.0001, 1),
    st.integers(0, 100_000),
    st.booleans(),
    comment=comments,
)
customers = st.builds(
    Customer, names, st.floats(0.01, 1000), st.none() | limits, comment=comments
)
limit_rules = st.builds(LimitRule, names, names, limits, comment=comments)


@SETTINGS
@given(st.one_of(routes, services, customers, limit_rules))
def test_a_written_rule_parses_to_itself(rule):
    assert parse_line(format_rule(rule), rule.line, "rules") == rule


def test_a_written_text_parses_to_the_same_rules():
    rules = parse_rules(GOOD, "rules")
    again = parse_rules(format_rules(rules), "again")
    assert _without_lines(again) == _without_lines(rules)


def _without_lines(rules):
    kinds = (
        rules.routes,
        rules.services.values(),
        rules.customers.values(),
        rules.limits,
    )
    return [attrs.evolve(rule, line=0) for kind in kinds for rule in kind]


@SETTINGS
@given(st.text(alphabet=st.characters(), max_size=200))
def test_arbitrary_text_never_raises(text):
    _assert_result(parse_rules(text, "rules"))
    assert isinstance(split_path(text), tuple | Failure)


@SETTINGS
@given(st.randoms(use_true_random=False))
def test_a_damaged_text_never_raises(source: random.Random):
    text = list(GOOD)
    for _ in range(source.randint(1, 12)):
        place = source.randrange(len(text))
        action = source.randrange(4)
        if action == 0:
            del text[place : place + source.randint(1, 30)]
        elif action == 1:
            text.insert(place, chr(source.randrange(0x11000)))
        elif action == 2:
            start = source.randrange(len(text))
            text[place:place] = text[start : start + 40]
        else:
            text[place] = source.choice("\n #=/*:%\x00\"'0")
        text = text or ["#"]
    _assert_result(parse_rules("".join(text), "rules"))


def _assert_result(result):
    if isinstance(result, RuleSet):
        again = parse_rules(format_rules(result), "again")
        assert _without_lines(again) == _without_lines(result)
        return
    assert result
    assert all(isinstance(failure, Failure) for failure in result)
    assert all(failure.reason and failure.location for failure in result)
