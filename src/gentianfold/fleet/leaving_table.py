"""Upstreams that told a VM of the fleet that they are about to end."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_LEAVING = 1000
"""Leaving upstreams that are kept (count); the oldest are dropped."""
MAX_REPORTED = 20
"""Leaving upstreams in one report (count)."""
MAX_REPORTED_AGE_S = 20.0
"""Time for which a leaving upstream is reported (seconds): by then the store says so,
or each VM that uses the upstream was told by itself."""


@attrs.define(eq=False, repr=False)
class LeavingTable:
    """Starts of upstreams that are about to end; a later start is not bound."""

    # By name: the start (Unix time in milliseconds) and when this VM learned of it.
    _leaving: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def record(self, name: str, start_time_ms: int, now_s: float) -> bool:
        """Record that a start of an upstream is leaving; tell whether that is new."""
        known = self._leaving.get(name)
        if known is not None and known[0] >= start_time_ms:
            return False
        self._leaving.pop(name, None)
        self._leaving[name] = (start_time_ms, now_s)
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        return True

    def is_leaving(self, name: str, start_time_ms: int) -> bool:
        """Tell whether a start of an upstream is leaving, or an earlier one than that."""
        known = self._leaving.get(name)
        return known is not None and start_time_ms <= known[0]

    def report(self, now_s: float) -> Iterator[tuple[str, int]]:
        """Yield name and start of the upstreams learned of last, newest first."""
        newest = itertools.islice(reversed(self._leaving.items()), MAX_REPORTED)
        for name, (start_time_ms, learned_s) in newest:
            if now_s - learned_s <= MAX_REPORTED_AGE_S:
                yield name, start_time_ms

    def merge(self, report: Iterable[tuple[str, int]], now_s: float) -> list[str]:
        """Merge the report of another VM; return the names that are new."""
        return [name for name, start in report if self.record(name, start, now_s)]
