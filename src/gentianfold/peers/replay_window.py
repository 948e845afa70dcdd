"""Refuses messages that come twice."""

from __future__ import annotations

import attrs

WINDOW = 1024
"""Messages below the newest one that may still come late."""


@attrs.define
class ReplayWindow:
    """Remembers the sequence numbers of one incarnation of one peer."""

    newest: int = -1
    """The highest number seen."""
    _seen: int = attrs.field(default=0, init=False)

    def accept(self, seq: int) -> bool:
        """Return whether ``seq`` is new, and remember it."""
        if seq > self.newest:
            shift = min(seq - self.newest, WINDOW)
            self._seen = ((self._seen << shift) | 1) & ((1 << WINDOW) - 1)
            self.newest = seq
            return True
        age = self.newest - seq
        if age >= WINDOW or self._seen >> age & 1:
            return False
        self._seen |= 1 << age
        return True
