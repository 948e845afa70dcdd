"""Whether this VM may act on the configuration that it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.configuration.store import ConfigurationStore
    from gentianfold.peers.membership import MembershipTable

ISOLATION_S = 5.0
"""Time without platform and peers after which a VM is isolated."""
SHORT_WATCH_S = 2.0
"""Time of a watch of a VM that needs the platform to hear of withdrawn keys."""
START_WAIT_S = 5.0
"""Time for which a starting VM that knows its VM list waits for peers."""
BEHIND_S = 5.0
"""Time for which a VM may lack a version that it hears peers have."""


@attrs.define(eq=False)
class IsolationDetector:
    """Tells whether this VM could hear of a withdrawn key; pure.

    A VM is isolated when it lacks a version that peers have for ``BEHIND_S``, since it
    then knows that it misses something, or when within ``ISOLATION_S`` the platform
    didn't answer and fewer than ``needed_acks`` peers acknowledged it. A VM that peers hear but that doesn't
    hear them is not acknowledged either: acknowledgements come in heartbeats of the
    peer. A VM without enough peers must watch the platform in short turns.
    """

    table: MembershipTable
    """The view of the peers."""
    store: ConfigurationStore
    """Holds the VM list and the fleet options."""
    isolated: bool = True
    """Whether this VM must refuse requests that need a key."""
    lacks_peers: bool = True
    """Whether this VM relies on the platform and must use ``SHORT_WATCH_S``."""
    _started_s: float | None = attrs.field(default=None, init=False)
    _ticked_s: float = attrs.field(default=float("-inf"), init=False)
    _behind_since_s: float | None = attrs.field(default=None, init=False)
    _was_ready: bool = attrs.field(default=False, init=False)

    def needed_acks(self) -> int:
        """Return how many direct peers must acknowledge this VM: a sixth of them."""
        snapshot, peers = self.store.snapshot, len(self.table.neighbours)
        if snapshot and snapshot.fleet.isolation_acks is not None:
            return min(peers, snapshot.fleet.isolation_acks)
        return -(-peers // 6)

    def on_tick(self, now_s: float, platform_answered_s: float) -> bool:
        """Let time pass; return whether the VM is isolated."""
        if now_s - self._ticked_s > ISOLATION_S:
            # After a pause, what this VM knows may be as old as after a start.
            self._was_ready = False
            self._started_s = None
        self._ticked_s = now_s
        if self._started_s is None and self.store.vm_list is not None:
            self._started_s = now_s
        acks = len(self.table.acknowledging(now_s, ISOLATION_S))
        self.lacks_peers = acks < self.needed_acks()
        unheard = self.lacks_peers and now_s - platform_answered_s > ISOLATION_S
        self.isolated = unheard or self._is_behind(now_s)
        return self.isolated

    def is_isolated(self, now_s: float) -> bool:
        """Return whether requests that need a key must be refused; ask for each.

        A process that wakes up after a pause may take a request before its next tick.
        """
        stale = now_s - self._ticked_s > ISOLATION_S
        return self.isolated or stale or not self._was_ready

    def is_ready(self, now_s: float) -> bool:
        """Return whether this VM may serve.

        A starting VM holds a configuration and a VM list, none older than any peer that
        it hears has. It first waits until ``needed_acks`` peers were heard, but only
        for ``START_WAIT_S``: if fewer answer by then, their versions decide; if none
        does, the platform's does. Once ready, only isolation ends it.
        """
        if self.store.snapshot is None or self.store.vm_list is None:
            return False
        if self.isolated or now_s - self._ticked_s > ISOLATION_S:
            return False
        self._was_ready = self._was_ready or self._knows_enough(now_s)
        return self._was_ready

    def _knows_enough(self, now_s: float) -> bool:
        if self._newest_heard(now_s) > self.store.version:
            return False
        started_s = now_s if self._started_s is None else self._started_s
        heard = len(self.table.heard(now_s, ISOLATION_S))
        return now_s - started_s >= START_WAIT_S or heard >= self.needed_acks()

    def _is_behind(self, now_s: float) -> bool:
        if self._newest_heard(now_s) <= self.store.version:
            self._behind_since_s = None
            return False
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        return now_s - self._behind_since_s > BEHIND_S

    def _newest_heard(self, now_s: float) -> int:
        """Return the newest version that peers have and this VM did not refuse."""
        refused = self.store.refusal.version if self.store.refusal else 0
        heard = (
            row.config_version
            for row in self.table.rows.values()
            if row.is_heard(now_s, ISOLATION_S) and row.config_version != refused
        )
        return max(heard, default=0)
