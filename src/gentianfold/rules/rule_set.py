"""The rules of a rules text."""

from __future__ import annotations

from typing import TypeAlias

import attrs

from gentianfold.model import Customer, RateLimit, Route, Service


@attrs.frozen
class LimitRule:
    """An additional rate limit for the requests of a customer to a route."""

    customer: str
    """Name of the customer."""
    route: str
    """Name of the route."""
    limit: RateLimit
    """Rate limit, shared by all VMs."""
    line: int = 0
    """Line number in the rules file, from 1; 0 if not read from a file."""
    comment: str = ""
    """Comment of the rule: who requested it and why."""


Rule: TypeAlias = Route | Service | Customer | LimitRule
"""A rule of any kind."""


@attrs.frozen
class RuleSet:
    """The valid rules of one rules text, by kind."""

    routes: tuple[Route, ...] = ()
    """Routes in the order of their lines."""
    services: dict[str, Service] = attrs.field(factory=dict)
    """Services by name."""
    customers: dict[str, Customer] = attrs.field(factory=dict)
    """Customers by name; their route limits include ``limits``."""
    limits: tuple[LimitRule, ...] = ()
    """Limits of customers on routes, in the order of their lines."""
