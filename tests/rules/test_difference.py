"""Differences between rules texts: only differences in effect are reported."""

from __future__ import annotations

import random

from rule_texts import VALID_RULES

from gentianfold.rules import diff_rules, parse_rules


def diff(old, new):
    changes = diff_rules(parse_rules(old, "old"), parse_rules(new, "new"))
    return [str(change) for change in changes]


def test_order_comments_units_and_explicit_defaults_make_no_difference():
    lines = VALID_RULES.splitlines()
    random.Random(1).shuffle(lines)
    equivalent = "\n".join(lines).replace("800ms", "0.8s").replace("6/min", "0.1/s")
    equivalent = equivalent.replace("/health service", "/health timeout=10s service")
    assert diff(VALID_RULES, equivalent.replace("# ops: ", "# other: ")) == []


def test_changes_are_reported_in_the_syntax_of_rules():
    new = VALID_RULES.replace("800ms", "2s").replace("x-app=2", "x-app=3")
    new = new.replace("POST", "PUT").replace("rate=50/s", "rate=60/s")
    new = new.replace("route health", "route alive").replace(" open", "")
    claim = "methods: POST -> PUT, header:x-app: 2 -> 3, timeout: 800ms -> 2s"
    assert diff(VALID_RULES, new) == [
        "customer stall changed (rate: 50/s -> 60/s)",
        "route alive added",
        f"route claim changed ({claim})",
        "route health removed",
    ]


def test_a_removed_flag_is_a_change():
    new = VALID_RULES.replace(" idempotency-key=required", "").replace(" open", "")
    assert diff(VALID_RULES, new) == [
        "route claim changed (idempotency-key: required -> none)",
        "route health changed (open: yes -> no)",
    ]
