"""Tells whether this VM has lost its own paths to the upstreams."""

from __future__ import annotations

import attrs

MIN_LOST_PATHS = 2
"""Upstreams in succession that other VMs reach and this VM does not, after which it
counts as cut off (count)."""
EVIDENCE_S = 5.0
"""Age above which a failure to connect is no evidence (seconds)."""
PROBE_INTERVAL_S = 0.5
"""Time between two direct connections that a VM tries while it is cut off (seconds)."""
MIN_CUT_OFF_S = 1.0
"""Shortest time for which a VM counts as cut off (seconds): a path that comes and goes
does not move all requests to and fro."""


@attrs.define(eq=False, repr=False)
class PathState:
    """Evidence of one VM; a failure counts only if another VM did connect."""

    cut_off_since_s: float | None = None
    """When the VM was found to be cut off (seconds); ``None`` if it is not."""
    _lost_s: dict[str, float] = attrs.field(factory=dict)
    _next_probe_s: float = 0.0

    @property
    def is_cut_off(self) -> bool:
        """Whether requests use the paths of other VMs."""
        return self.cut_off_since_s is not None

    def record_lost(self, upstream: str, now_s: float) -> bool:
        """Record an upstream that only another VM could connect to.

        Returns:
            Whether this VM counts as cut off from now on.
        """
        self._lost_s = {
            name: at_s
            for name, at_s in self._lost_s.items()
            if now_s - at_s < EVIDENCE_S
        }
        self._lost_s[upstream] = now_s
        if self.is_cut_off or len(self._lost_s) < MIN_LOST_PATHS:
            return False
        self.cut_off_since_s = now_s
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        return True

    def record_connected(self, now_s: float) -> bool:
        """Record a new direct connection.

        Returns:
            Whether this VM no longer counts as cut off.
        """
        self._lost_s.clear()
        since_s = self.cut_off_since_s
        if since_s is None or now_s - since_s < MIN_CUT_OFF_S:
            return False
        self.cut_off_since_s = None
        return True

    def take_probe(self, now_s: float) -> bool:
        """Tell whether a direct connection is due, and count it."""
        if now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        return True
