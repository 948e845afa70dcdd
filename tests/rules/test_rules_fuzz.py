"""The parser never raises, and formatted rules parse to the same rules."""

from __future__ import annotations

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from rule_texts import VALID_RULES

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
phrases = st.from_regex(r"\A[a-z][a-z ]{0,10}[a-z]\Z")
comments = st.builds("{}: {}".format, phrases, phrases)
limits = st.builds(RateLimit, st.floats(0.001, 1e6), st.floats(1, 1e6))
headers = st.builds(
    HeaderMatch,
    st.from_regex(rb"\Ax-[a-z]{1,5}\Z"),
    st.from_regex(rb"\A[a-zA-Z0-9=:#%]{1,9}\Z"),
)


def build_route(name, methods, parts, is_prefix, headers, **fields):
    path = "/" + "/".join(parts + ["**"] * is_prefix)
    kind = PathPattern.parse(path).kind
    header_by_name = {header.name: header for header in headers}
    ordered = tuple(header_by_name[key] for key in sorted(header_by_name))
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
def test_a_formatted_rule_parses_to_the_same_rule(rule):
    assert parse_line(format_rule(rule), rule.line, "rules") == rule


def test_a_formatted_text_parses_to_the_same_rules():
    rules = parse_rules(VALID_RULES, "rules")
    reparsed = parse_rules(format_rules(rules), "reparsed")
    assert _without_lines(reparsed) == _without_lines(rules)


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
    _check_result(parse_rules(text, "rules"))
    assert isinstance(split_path(text), tuple | Failure)


@SETTINGS
@given(st.randoms(use_true_random=False))
def test_a_corrupted_text_never_raises(rng: random.Random):
    text = list(VALID_RULES)
    for _ in range(rng.randint(1, 12)):
        position = rng.randrange(len(text))
        mutation = rng.randrange(4)
        if mutation == 0:
            del text[position : position + rng.randint(1, 30)]
        elif mutation == 1:
            text.insert(position, chr(rng.randrange(0x11000)))
        elif mutation == 2:
            start = rng.randrange(len(text))
            text[position:position] = text[start : start + 40]
        else:
            text[position] = rng.choice("\n #=/*:%\x00\"'0")
        text = text or ["#"]
    _check_result(parse_rules("".join(text), "rules"))


def _check_result(result):
    if isinstance(result, RuleSet):
        reparsed = parse_rules(format_rules(result), "reparsed")
        assert _without_lines(reparsed) == _without_lines(result)
        return
    assert result
    assert all(isinstance(failure, Failure) for failure in result)
    assert all(failure.reason and failure.location for failure in result)
