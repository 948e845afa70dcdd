"""Semantic differences between two versions of the published configuration."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from gentianfold.rules.difference import (
    Action,
    FieldChange,
    RuleChange,
    diff_entries,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.model import Configuration


@attrs.frozen
class _ServiceEntry:
    """What a configuration states of a service."""

    health_path: str | None
    max_connections: int | None
    warmup_rate_per_s: float | None
    warmup_s: float | None


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[RuleChange, ...]:
    """Return what differs in effect, sorted by kind and name.

    Keys are secrets: of each customer only their numbers are told.
    """
    changes = diff_entries(_entries(old), _entries(new))
    return (*changes, *_diff_keys(old, new))


def _entries(
    configuration: Configuration,
) -> Mapping[tuple[str, str], attrs.AttrsInstance]:
    """Return all entries by kind and name."""
    return {
        ("caller", "limits"): configuration.caller_limits,
        **{
            ("service", name): _service_entry(configuration, name)
            for name in configuration.service_names
        },
        **{("route", route.name): route for route in configuration.routes},
        **{("customer", name): row for name, row in configuration.customers.items()},
    }


def _service_entry(configuration: Configuration, name: str) -> _ServiceEntry:
    warmup = configuration.warmups.get(name)
    return _ServiceEntry(
        configuration.health_paths.get(name),
        configuration.max_connections.get(name),
        warmup.rate_per_s if warmup else None,
        warmup.duration_s if warmup else None,
    )


def _diff_keys(old: Configuration, new: Configuration) -> tuple[RuleChange, ...]:
    """Return the customers whose keys were added or removed."""
    before, after = old.customer_by_key.items(), new.customer_by_key.items()
    added = Counter(customer for _, customer in after - before)
    removed = Counter(customer for _, customer in before - after)
    old_counts = Counter(old.customer_by_key.values())
    new_counts = Counter(new.customer_by_key.values())
    return tuple(
        RuleChange(
            "keys",
            name,
            Action.CHANGED,
            (
                FieldChange(
                    "keys",
                    str(old_counts[name]),
                    f"{new_counts[name]}"
                    f" ({added[name]} added, {removed[name]} removed)",
                ),
            ),
        )
        for name in sorted(added | removed)
    )
