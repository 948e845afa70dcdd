"""The difference in effect between two rules texts.

Order, spacing, units, comments and defaults that are written out make no difference.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianfold.model import RateLimit, Route
from gentianfold.rules import _options as options
from gentianfold.rules.formatter import format_methods

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from gentianfold.rules.rule_set import Rule, RuleSet

_IGNORED = frozenset(("line", "comment", "path_kind", "route_limits"))
_FORMS = {
    option.field: (name, option.value_format)
    for table in (
        options.ROUTE_OPTIONS,
        options.SERVICE_OPTIONS,
        options.CUSTOMER_OPTIONS,
    )
    for name, option in table.items()
}


class Action(enum.Enum):
    """What became of a rule."""

    ADDED = "added"
    """It is new."""
    REMOVED = "removed"
    """It is gone."""
    CHANGED = "changed"
    """It has another effect."""


@attrs.frozen
class FieldChange:
    """A change of one field, as rules write it."""

    name: str
    """Name of the option."""
    old: str
    """The value before."""
    new: str
    """The value after."""

    def __str__(self) -> str:
        return f"{self.name}: {self.old} -> {self.new}"


@attrs.frozen
class RuleChange:
    """A rule that was added, removed or changed."""

    kind: str
    """Kind of the rule."""
    name: str
    """Its name; customer and route for limits."""
    action: Action
    """What became of it."""
    fields: tuple[FieldChange, ...] = ()
    """Fields that changed."""

    def __str__(self) -> str:
        changes = ", ".join(str(change) for change in self.fields)
        suffix = f" ({changes})" if changes else ""
        return f"{self.kind} {self.name} {self.action.value}{suffix}"


def diff_rules(old: RuleSet, new: RuleSet) -> tuple[RuleChange, ...]:
    """Return what differs in effect, sorted by kind and name."""
    before, after = _index(old), _index(new)
    changes = (
        _diff_rule(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
    )
    return tuple(change for change in changes if change)


def _index(rules: RuleSet) -> Mapping[tuple[str, str], Rule]:
    """Return every rule by kind and name."""
    services, customers = rules.services.values(), rules.customers.values()
    return {
        **{("service", service.name): service for service in services},
        **{("route", route.name): route for route in rules.routes},
        **{("customer", customer.name): customer for customer in customers},
        **{("limit", f"{rule.customer} {rule.route}"): rule for rule in rules.limits},
    }


def _diff_rule(
    key: tuple[str, str], old: Rule | None, new: Rule | None
) -> RuleChange | None:
    """Return what became of one rule, or ``None`` if nothing did."""
    kind, name = key
    if old is None:
        return RuleChange(kind, name, Action.ADDED)
    if new is None:
        return RuleChange(kind, name, Action.REMOVED)
    before, after = dict(_written(old)), dict(_written(new))
    fields = tuple(
        FieldChange(field, before.get(field, "none"), after.get(field, "none"))
        for field in {**before, **after}
        if before.get(field) != after.get(field)
    )
    return RuleChange(kind, name, Action.CHANGED, fields) if fields else None


def _written(rule: Rule | RateLimit) -> Iterator[tuple[str, str]]:
    """Yield the fields of a rule by option name, as rules write them."""
    for field in attrs.fields(type(rule)):
        value = getattr(rule, field.name)
        if field.name in _IGNORED or value is None:
            continue
        if isinstance(value, RateLimit):
            yield from _written(value)
        elif field.name == "methods" and isinstance(rule, Route):
            yield "methods", format_methods(rule)
        elif field.name == "headers" and isinstance(rule, Route):
            for header in rule.headers:
                yield f"header:{header.name.decode()}", header.value.decode()
        else:
            name, form = _FORMS.get(field.name, (field.name, None))
            yield name, _write(value) if form is None else form.format(value)


def _write(value: object) -> str:
    """Write a value that has no form of its own."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)
