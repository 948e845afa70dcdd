"""An explanation names the answering route and why near ones don't answer."""

from __future__ import annotations

from rule_texts import GOOD

from gentianfold.codes.requests import NO_ROUTE
from gentianfold.rules import explain, parse_rules

LINES = GOOD + (
    "route one * /gloves/* service=registry  # web: b\n"
    "route red GET /gloves/red service=registry  # web: b\n"
    "route canary GET /gloves/red service=registry header:x-app=2  # web: b\n"
)


def reasons(method, path, *headers):
    found = explain(parse_rules(LINES, "rules"), method, path, headers)
    return found.result, {near.route.name: near.reason for near in found.near_routes}


def test_the_answer_and_the_reasons_of_near_routes():
    answer, near = reasons("GET", "/gloves/red")
    assert answer.name == "red"
    assert "path of 'red' is more specific" in near["lookup"]
    assert "path of 'red' is more specific" in near["one"]
    assert "lacks the header 'x-app: 2'" in near["canary"]
    answer, near = reasons("GET", "/gloves/red", (b"X-App", b"2"))
    assert answer.name == "canary"
    assert "'canary' asks for more headers" in near["red"]


def test_no_answer_shows_what_is_near():
    answer, near = reasons("POST", "/gloves/red/claims")
    assert answer.code is NO_ROUTE
    assert near["lookup"] == "it takes GET,HEAD, not POST"
    assert near["claim"] == "its path doesn't match"
    assert reasons("GET", "/a/../b")[1] == {}
