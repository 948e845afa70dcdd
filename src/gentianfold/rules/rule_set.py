"""All rules of one rules text, checked as a whole."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from gentianfold.model import Customer, RateLimit, Route, Service


@attrs.frozen
class LimitRule:
    """A further limit of one customer on one route."""

    customer: str
    """Name of the customer."""
    route: str
    """Name of the route."""
    limit: RateLimit
    """The limit, counted over all VMs together."""
    line: int = 0
    """Line in the rules file."""
    comment: str = ""
    """Who asked for the rule and why."""


Rule: TypeAlias = Route | Service | Customer | LimitRule
"""One line of a rules text."""


@attrs.frozen
class RuleSet:
    """The rules in force, by kind."""

    routes: tuple[Route, ...] = ()
    """Routes in the order of their lines."""
    services: dict[str, Service] = attrs.field(factory=dict)
    """Services by name."""
    customers: dict[str, Customer] = attrs.field(factory=dict)
    """Customers by name, with their limits by route."""
    limits: tuple[LimitRule, ...] = ()
    """The limit lines, which ``customers`` contains too."""
