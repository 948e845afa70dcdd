"""Formats rules as text that parses to the same rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.model import Customer, RateLimit, Route, Service
from gentianfold.rules import _options as options
from gentianfold.rules._syntax import ANY_METHOD, HEADER_PREFIX, METHODS
from gentianfold.rules.rule_set import Rule, RuleSet

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping


def format_rules(rules: RuleSet) -> str:
    """Return a rules text with one line per rule, by kind."""
    ordered: tuple[Rule, ...] = (
        *rules.services.values(),
        *rules.routes,
        *rules.customers.values(),
        *rules.limits,
    )
    return "".join(f"{format_rule(rule)}\n" for rule in ordered)


def format_rule(rule: Rule) -> str:
    """Return the line of a rule, with its comment."""
    return f"{' '.join(_format_tokens(rule))}  # {rule.comment}"


def _format_tokens(rule: Rule) -> Iterator[str]:
    """Yield the tokens of a rule line."""
    if isinstance(rule, Route):
        yield from ("route", rule.name, format_methods(rule), rule.path)
        yield f"service={rule.service}"
        yield from _format_options(rule, options.ROUTE_OPTIONS)
        for header in rule.headers:
            yield f"{HEADER_PREFIX}{header.name.decode()}={header.value.decode()}"
    elif isinstance(rule, Service):
        yield from ("service", rule.name)
        yield from _format_options(rule, options.SERVICE_OPTIONS)
    elif isinstance(rule, Customer):
        yield from ("customer", rule.name)
        yield from _format_options(rule, options.CUSTOMER_OPTIONS)
        if rule.limit:
            yield from _format_options(rule.limit, options.LIMIT_OPTIONS)
    else:
        yield from ("limit", rule.customer, rule.route)
        yield from _format_options(rule.limit, options.LIMIT_OPTIONS)


def format_methods(route: Route) -> str:
    """Return the methods of a route as written in rules."""
    if not route.methods:
        return ANY_METHOD
    return ",".join(method for method in METHODS if method in route.methods)


def _format_options(
    entity: Route | Service | Customer | RateLimit,
    options_by_name: Mapping[str, options.Option],
) -> Iterator[str]:
    """Yield the options of the fields that differ from their defaults."""
    defaults = {field.name: field.default for field in attrs.fields(type(entity))}
    for name, option in options_by_name.items():
        value = getattr(entity, option.field, None)
        if option.field not in defaults or value == defaults[option.field]:
            continue
        if option.value_format is not None:
            yield f"{name}={option.value_format.format(value)}"
        elif value is True:
            yield name
