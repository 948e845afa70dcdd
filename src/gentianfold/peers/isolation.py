"""Whether this VM may act on the configuration that it holds."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.peers.peer_row import NEVER_S

if TYPE_CHECKING:
    from gentianfold.configuration.store import ConfigurationStore
    from gentianfold.peers.membership import MembershipTable

ISOLATION_S = 5.0
"""Time without platform and peers after which a VM is isolated."""
SHORT_WATCH_S = 2.0
"""Time of a watch of a VM that needs the platform to hear of withdrawn keys."""
START_WAIT_S = 5.0
"""Time for which a starting VM waits for peers."""


@attrs.define(eq=False)
class IsolationDetector:
    """Tells whether this VM could hear of a withdrawn key; pure.

    A VM is isolated when within ``ISOLATION_S`` the platform didn't answer and fewer
    than ``needed_acks`` peers acknowledged it. A VM that peers hear but that doesn't
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

    def needed_acks(self) -> int:
        """Return the peers that must acknowledge this VM: a sixth of all."""
        snapshot, peers = self.store.snapshot, len(self.table.rows)
        if snapshot and snapshot.fleet.isolation_acks is not None:
            return min(peers, snapshot.fleet.isolation_acks)
        return -(-peers // 6)

    def on_tick(self, now_s: float, platform_answered_s: float) -> bool:
        """Let time pass; return whether the VM is isolated."""
        if self._started_s is None:
            self._started_s = now_s
        acks = len(self.table.acknowledging(now_s, ISOLATION_S))
        self.lacks_peers = acks < self.needed_acks()
        self.isolated = self.lacks_peers and now_s - platform_answered_s > ISOLATION_S
        return self.isolated

    def is_ready(self, now_s: float) -> bool:
        """Return whether a starting VM knows enough to serve.

        It holds a configuration and a VM list, none older than any peer has. It first
        waits until ``needed_acks`` peers were heard, but only for ``START_WAIT_S``: if
        fewer answer by then, their versions decide; if none does, the platform's does.
        """
        if self.store.snapshot is None or self.store.vm_list is None or self.isolated:
            return False
        rows = self.table.rows.values()
        refused = self.store.refusal.version if self.store.refusal else 0
        newest = max((row.config_version for row in rows), default=0)
        if newest > self.store.version and newest != refused:
            return False
        heard = sum(row.heard_s != NEVER_S for row in rows)
        started_s = now_s if self._started_s is None else self._started_s
        waited = now_s - started_s >= START_WAIT_S
        return waited or heard >= self.needed_acks()
