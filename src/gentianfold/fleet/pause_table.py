"""Upstreams that want no requests of this VM for a while."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REPORTED = 20
"""Pauses in one report (count)."""


@attrs.define(eq=False, repr=False)
class PauseTable:
    """Pauses of this VM by upstream and start; all times are monotonic (seconds)."""

    _until_s: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def record(self, name: str, start_time_ms: int, until_s: float) -> None:
        """Record until when an upstream wants no requests; the latest answer counts."""
        self._until_s.pop((name, start_time_ms), None)
        self._until_s[name, start_time_ms] = until_s

    def is_paused(self, name: str, start_time_ms: int, now_s: float) -> bool:
        """Tell whether a start of an upstream wants no requests of this VM."""
        return self._until_s.get((name, start_time_ms), now_s) > now_s

    def running(self, now_s: float) -> Iterator[tuple[str, int, float]]:
        """Yield upstream, start and end of each pause, the latest answer first."""
        for key in [key for key, until_s in self._until_s.items() if until_s <= now_s]:
            del self._until_s[key]
        for (name, start_time_ms), until_s in reversed(self._until_s.items()):
            yield name, start_time_ms, until_s

    def report(self, now_s: float) -> Iterator[tuple[str, int, int]]:
        """Yield upstream, start and milliseconds left of the latest pauses."""
        for name, start_time_ms, until_s in itertools.islice(
            self.running(now_s), MAX_REPORTED
        ):
            yield name, start_time_ms, int((until_s - now_s) * 1000)

    def age(self, elapsed_s: float) -> None:
        """Shorten all pauses by a suspension, in which the clock stood still."""
        for key in self._until_s:
            self._until_s[key] -= elapsed_s
