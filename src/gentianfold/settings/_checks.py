"""Checks of settings against each other."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.settings._scanner import Path
    from gentianfold.settings.settings import Settings

_ANY_HOSTS = frozenset(("0.0.0.0", "::"))


def find_conflicts(settings: Settings) -> Iterator[tuple[Path, str]]:
    """Yield the path and the problem of fields that don't fit each other."""
    listeners = [
        ("callers", settings.callers),
        ("readiness", settings.readiness),
        ("operators", settings.operators),
    ]
    if settings.metrics is not None:
        listeners.append(("metrics", settings.metrics))
    for one, other in itertools.combinations(listeners, 2):
        hosts = (one[1].host, other[1].host)
        same_host = hosts[0] == hosts[1] or not _ANY_HOSTS.isdisjoint(hosts)
        if same_host and one[1].port == other[1].port != 0:
            yield (other[0],), f"port {other[1].port} is the same as {one[0]}"
    if settings.stop.settle_s > settings.stop.grace_s:
        yield ("stop", "settle_s"), "is longer than stop.grace_s"
