"""Parsing of rules texts; every error is reported with its location."""

from __future__ import annotations

import pytest
from rule_texts import VALID_RULES

from gentianfold.codes import rules as codes
from gentianfold.model import HeaderMatch, PathKind, RateLimit
from gentianfold.rules import RuleSet, parse_rules
from gentianfold.rules.parser import MAX_RULES_BYTES

VALID_LINES = (
    "service s  # a: b\ncustomer c  # a: b\nroute r GET /a service=s  # a: b\n"
)


def test_a_valid_text_parses_to_models():
    rules = parse_rules(VALID_RULES, "rules")
    assert isinstance(rules, RuleSet), rules
    lookup, claim, health = rules.routes
    assert lookup.methods == {"GET", "HEAD"}
    assert lookup.path_kind is PathKind.PREFIX
    assert lookup.idempotent and not claim.idempotent
    assert claim.path_kind is PathKind.PATTERN
    assert claim.headers == (HeaderMatch(b"x-app", b"2"),)
    assert (claim.timeout_s, claim.retries, claim.body_limit_bytes) == (0.8, 0, 65536)
    assert claim.needs_idempotency_key
    assert claim.comment == "claims: one family a pair"
    assert claim.line == 6
    assert health.open_to_all and health.methods == frozenset()
    assert rules.services["registry"].floor_fraction == 0.6
    assert not rules.services["dispatch"].ejection_enabled
    stall = rules.customers["stall"]
    assert (stall.weight, stall.limit) == (2.0, RateLimit(50.0, 100.0))
    assert stall.route_limits == {"lookup": RateLimit(0.1, 10.0)}


@pytest.mark.parametrize(
    ("line", "code", "column", "hint"),
    [
        ("service t", codes.COMMENT_MISSING, 10, "# WHO: WHY"),
        ("service t  # because", codes.COMMENT_MISSING, 12, "# WHO: WHY"),
        ("service t  # : why", codes.COMMENT_MISSING, 12, "# WHO: WHY"),
        ("rout x  # a: b", codes.UNKNOWN_RULE_KIND, 1, "mean 'route'"),
        ("route x GET  # a: b", codes.RULE_INCOMPLETE, 12, "PATH"),
        ("route x GET /x  # a: b", codes.RULE_INCOMPLETE, 15, "service=NAME"),
        ("service t flor=5%  # a: b", codes.UNKNOWN_OPTION, 11, "mean 'floor'"),
        ("service t queue=1 queue=2  # a: b", codes.DUPLICATE_OPTION, 19, "queue"),
        ("service t floor=101%  # a: b", codes.INVALID_VALUE, 11, "percentage"),
        ("service t floor=0.5  # a: b", codes.INVALID_VALUE, 11, "percentage"),
        ("service t queue=-1  # a: b", codes.INVALID_VALUE, 11, "whole number"),
        ("service t eject  # a: b", codes.INVALID_VALUE, 11, "on or off"),
        ("customer d weight=nan  # a: b", codes.INVALID_VALUE, 12, "number"),
        ("customer d weight=inf  # a: b", codes.INVALID_VALUE, 12, "number"),
        ("customer d rate=0/s burst=1  # a: b", codes.INVALID_VALUE, 12, "rate"),
        ("customer d rate=1 burst=1  # a: b", codes.INVALID_VALUE, 12, "50/s"),
        ("customer d rate=1/s burst=0.5  # a: b", codes.INVALID_VALUE, 21, "from 1"),
        ("customer d rate=1/s  # a: b", codes.RULE_INCOMPLETE, 20, "together"),
        ("limit c r  # a: b", codes.RULE_INCOMPLETE, 10, "rate=N/s"),
        ("customer d/e  # a: b", codes.INVALID_NAME, 10, "name"),
        ("route x get /x service=s  # a: b", codes.INVALID_METHOD, 9, "mean 'GET'"),
        ("route x GET,GET /x service=s  # a: b", codes.INVALID_METHOD, 9, "twice"),
        ("route x GET x service=s  # a: b", codes.INVALID_PATH, 13, "slash"),
        ("route x GET /x/ service=s  # a: b", codes.INVALID_PATH, 13, "'/x'"),
        ("route x GET /%61 service=s  # a: b", codes.INVALID_PATH, 13, "'/a'"),
        ("route x GET /../x service=s  # a: b", codes.INVALID_PATH, 13, "'..'"),
        ("route x GET /**/x service=s  # a: b", codes.INVALID_PATH, 13, "last"),
        ("route x GET /x* service=s  # a: b", codes.INVALID_PATH, 13, "segment"),
        (
            "route x GET /x service=s open=1  # a: b",
            codes.INVALID_VALUE,
            26,
            "no value",
        ),
        ("route x GET /x service=s timeout=2h  # a: b", codes.INVALID_VALUE, 26, "1h"),
        ("route x GET /x service=s body=1.5B  # a: b", codes.INVALID_VALUE, 26, "size"),
        ("route x GET /x service=s header:X=1  # a: b", codes.INVALID_HEADER, 26, "X"),
        (
            "route x GET /x service=s header:x-api-key=1  # a: b",
            codes.INVALID_HEADER,
            26,
            "keys",
        ),
        (
            "route x GET /x service=s header:y=1 header:y=2  # a: b",
            codes.DUPLICATE_OPTION,
            37,
            "twice",
        ),
        ("service t\x00  # a: b", codes.CONTROL_CHARACTER, 10, "U+0000"),
        ("service s  # a: b", codes.DUPLICATE_NAME, 1, "line 1"),
        ("route x GET /x service=z  # a: b", codes.UNKNOWN_REFERENCE, 1, "'z'"),
        ("limit c rr rate=1/s burst=1  # a: b", codes.UNKNOWN_REFERENCE, 1, "'r'"),
        ("route x GET,PUT /a service=s  # a: b", codes.CONFLICTING_ROUTES, 1, "line 3"),
    ],
)
def test_an_error_is_reported_with_code_location_and_hint(line, code, column, hint):
    failures = parse_rules(VALID_LINES + line + "\n", "rules")
    assert isinstance(failures, tuple), failures
    assert [failure.code for failure in failures] == [code]
    assert failures[0].location.line == 4
    assert failures[0].location.column == column
    assert hint in failures[0].reason


def test_all_errors_are_reported_in_the_order_of_their_lines():
    text = "service s floor=x queue=y\nroute r BAD x service=s  # a: b\nx  # a: b\n"
    failures = parse_rules(text, "rules")
    assert [(f.code.number, f.location.line) for f in failures] == [
        (2008, 1),
        (2008, 1),
        (2003, 1),
        (2010, 2),
        (2011, 2),
        (2004, 3),
    ]


def test_routes_whose_headers_one_request_can_match_are_ambiguous():
    line = "route {0} GET /x service=s header:{1}  # a: b\n"
    ambiguous = line.format("x", "k=1") + line.format("y", "l=1")
    failures = parse_rules(VALID_LINES + ambiguous, "rules")
    assert [f.code for f in failures] == [codes.AMBIGUOUS_ROUTES]
    distinct = line.format("x", "k=1") + line.format("y", "k=2")
    assert isinstance(parse_rules(VALID_LINES + distinct, "rules"), RuleSet)


def test_unreachable_rules_are_errors():
    unreachable = (
        "route all GET /b/** service=s  # a: b\n"
        "route one * /b service=s  # a: b\n"
        "route two GET /b/* service=s  # a: b\n"
        "route rest GET,PUT /b/*/*/** service=s  # a: b\n"
    )
    failures = parse_rules(VALID_LINES + unreachable, "rules")
    assert [(f.code, f.location.line) for f in failures] == [
        (codes.UNREACHABLE_RULE, 4)
    ]
    reachable = unreachable.replace("all GET", "all GET,POST")
    assert isinstance(parse_rules(VALID_LINES + reachable, "rules"), RuleSet)
    limit_on_open_route = (
        "route o GET /o service=s open  # a: b\nlimit c o rate=1/s burst=1  # a: b\n"
    )
    failures = parse_rules(VALID_LINES + limit_on_open_route, "rules")
    assert [f.code for f in failures] == [codes.UNREACHABLE_RULE]


def test_a_text_over_the_size_limit_is_rejected():
    failures = parse_rules("#" * (MAX_RULES_BYTES + 1), "rules")
    assert [f.code for f in failures] == [codes.RULES_TOO_LARGE]
