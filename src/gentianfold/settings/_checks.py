"""Checks that the settings are consistent with each other."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.settings._scanner import FieldPath
    from gentianfold.settings.settings import Settings

_WILDCARD_ADDRESSES = frozenset(("0.0.0.0", "::"))


def find_conflicts(settings: Settings) -> Iterator[tuple[FieldPath, str]]:
    """Yield path and problem of each field that conflicts with another field."""
    listeners = [
        ("callers", settings.callers),
        ("readiness", settings.readiness),
        ("operators", settings.operators),
    ]
    if settings.metrics is not None:
        listeners.append(("metrics", settings.metrics))
    for first, second in itertools.combinations(listeners, 2):
        hosts = (first[1].host, second[1].host)
        same_host = hosts[0] == hosts[1] or not _WILDCARD_ADDRESSES.isdisjoint(hosts)
        if same_host and first[1].port == second[1].port != 0:
            yield (second[0],), f"port {second[1].port} is the same as {first[0]}"
    if settings.stop.settle_s > settings.stop.grace_s:
        yield ("stop", "settle_s"), "is longer than stop.grace_s"
