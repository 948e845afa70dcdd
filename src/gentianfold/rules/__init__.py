"""Rules that operators write: syntax, checks, route lookup, explanation and diff."""

from __future__ import annotations

from gentianfold.rules.difference import Action, FieldChange, RuleChange, diff_rules
from gentianfold.rules.explanation import Explanation, NearRoute, explain
from gentianfold.rules.formatter import format_rule, format_rules
from gentianfold.rules.parser import parse_line, parse_rules
from gentianfold.rules.path_pattern import PathPattern
from gentianfold.rules.paths import split_path
from gentianfold.rules.route_table import RouteTable
from gentianfold.rules.rule_set import LimitRule, Rule, RuleSet

__all__ = [
    "Action",
    "Explanation",
    "FieldChange",
    "LimitRule",
    "NearRoute",
    "PathPattern",
    "RouteTable",
    "Rule",
    "RuleChange",
    "RuleSet",
    "diff_rules",
    "explain",
    "format_rule",
    "format_rules",
    "parse_line",
    "parse_rules",
    "split_path",
]
