"""Explanations: the matching route, and why similar routes were not selected."""

from __future__ import annotations

from rule_texts import VALID_RULES

from gentianfold.codes.requests import NO_ROUTE
from gentianfold.rules import explain, parse_rules

RULES = VALID_RULES + (
    "route one * /gloves/* service=registry  # web: b\n"
    "route red GET /gloves/red service=registry  # web: b\n"
    "route canary GET /gloves/red service=registry header:x-app=2  # web: b\n"
)


def explain_request(method, path, *headers):
    explanation = explain(parse_rules(RULES, "rules"), method, path, headers)
    return explanation.result, {
        near.route.name: near.reason for near in explanation.near_routes
    }


def test_explanation_names_the_result_and_the_reasons_of_near_routes():
    result, reasons = explain_request("GET", "/gloves/red")
    assert result.name == "red"
    assert "path of 'red' is more specific" in reasons["lookup"]
    assert "path of 'red' is more specific" in reasons["one"]
    assert "lacks the header 'x-app: 2'" in reasons["canary"]
    result, reasons = explain_request("GET", "/gloves/red", (b"X-App", b"2"))
    assert result.name == "canary"
    assert "'canary' asks for more headers" in reasons["red"]


def test_near_routes_are_listed_if_no_route_matches():
    result, reasons = explain_request("POST", "/gloves/red/claims")
    assert result.code is NO_ROUTE
    assert reasons["lookup"] == "it takes GET,HEAD, not POST"
    assert reasons["claim"] == "its path doesn't match"
    assert explain_request("GET", "/a/../b")[1] == {}
