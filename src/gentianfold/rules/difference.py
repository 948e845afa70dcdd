"""Semantic differences between two rules texts.

Order, spacing, units, comments and explicitly written defaults make no difference.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianfold.model import RateLimit, Route, WeightedService
from gentianfold.rules import _options as options
from gentianfold.rules.formatter import format_methods

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from gentianfold.rules.rule_set import Rule, RuleSet

_IGNORED_FIELDS = frozenset(("line", "comment", "path_kind", "route_limits"))
_OPTION_BY_FIELD = {
    option.field: (name, option.value_format)
    for table in (
        options.ROUTE_OPTIONS,
        options.SERVICE_OPTIONS,
        options.CUSTOMER_OPTIONS,
    )
    for name, option in table.items()
}


class Action(enum.Enum):
    """Kind of change of a rule between two rules texts."""

    ADDED = "added"
    """Only the new text defines the rule."""
    REMOVED = "removed"
    """Only the old text defines the rule."""
    CHANGED = "changed"
    """Both texts define the rule, with different effects."""


@attrs.frozen
class FieldChange:
    """A change of one field, in the syntax of rules."""

    name: str
    """Name of the option, or of the field if no option sets it."""
    old: str
    """Value in the old text; ``none`` if absent."""
    new: str
    """Value in the new text; ``none`` if absent."""

    def __str__(self) -> str:
        return f"{self.name}: {self.old} -> {self.new}"


@attrs.frozen
class RuleChange:
    """A rule that was added, removed or changed."""

    kind: str
    """Kind of the rule: ``route``, ``service``, ``customer`` or ``limit``."""
    name: str
    """Name of the rule; for limits the names of customer and route."""
    action: Action
    """Whether the rule was added, removed or changed."""
    fields: tuple[FieldChange, ...] = ()
    """Changes of fields; empty for added and removed rules."""

    def __str__(self) -> str:
        changes = ", ".join(str(change) for change in self.fields)
        suffix = f" ({changes})" if changes else ""
        return f"{self.kind} {self.name} {self.action.value}{suffix}"


def diff_rules(old: RuleSet, new: RuleSet) -> tuple[RuleChange, ...]:
    """Return the rules that differ in effect, sorted by kind and name."""
    return diff_entries(_rules_by_key(old), _rules_by_key(new))


def diff_entries(
    before: Mapping[tuple[str, str], attrs.AttrsInstance],
    after: Mapping[tuple[str, str], attrs.AttrsInstance],
) -> tuple[RuleChange, ...]:
    """Return the entries, by kind and name, that differ in effect, sorted by both."""
    changes = (
        _diff_rule(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
    )
    return tuple(change for change in changes if change)


def _rules_by_key(rules: RuleSet) -> Mapping[tuple[str, str], Rule]:
    """Return all rules by kind and name."""
    services, customers = rules.services.values(), rules.customers.values()
    return {
        **{("service", service.name): service for service in services},
        **{("route", route.name): route for route in rules.routes},
        **{("customer", customer.name): customer for customer in customers},
        **{("limit", f"{rule.customer} {rule.route}"): rule for rule in rules.limits},
    }


def _diff_rule(
    key: tuple[str, str],
    old: attrs.AttrsInstance | None,
    new: attrs.AttrsInstance | None,
) -> RuleChange | None:
    """Compare two versions of a rule, of which one can be ``None``.

    Returns:
        The change, or ``None`` if the versions have the same effect.
    """
    kind, name = key
    if old is None:
        return RuleChange(kind, name, Action.ADDED)
    if new is None:
        return RuleChange(kind, name, Action.REMOVED)
    before, after = dict(_format_fields(old)), dict(_format_fields(new))
    fields = tuple(
        FieldChange(field, before.get(field, "none"), after.get(field, "none"))
        for field in {**before, **after}
        if before.get(field) != after.get(field)
    )
    return RuleChange(kind, name, Action.CHANGED, fields) if fields else None


def _format_fields(rule: attrs.AttrsInstance) -> Iterator[tuple[str, str]]:
    """Yield option name and value of each field that has an effect, as text."""
    for field in attrs.fields(type(rule)):
        value = getattr(rule, field.name)
        if field.name in _IGNORED_FIELDS or value is None:
            continue
        if isinstance(value, RateLimit):
            yield from _format_fields(value)
        elif field.name == "methods" and isinstance(rule, Route):
            yield "methods", format_methods(rule)
        elif field.name == "headers" and isinstance(rule, Route):
            for header in rule.headers:
                yield f"header:{header.name.decode()}", header.value.decode()
        else:
            name, value_format = _OPTION_BY_FIELD.get(field.name, (field.name, None))
            yield (
                name,
                _format_value(value)
                if value_format is None
                else value_format.format(value),
            )


def _format_value(value: object) -> str:
    """Format a value for which no option defines a format."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, WeightedService):
        return f"{value.service}:{value.weight:g}"
    if isinstance(value, tuple | frozenset):
        parts = map(_format_value, value)
        return ",".join(parts if isinstance(value, tuple) else sorted(parts)) or "none"
    return str(value)
