"""Polls the store and applies the published state that was read."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.fleet.membership import Role

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.fleet.messages import UpstreamEntry
    from gentianfold.fleet.node import Node
    from gentianfold.fleet.store_revision import StoreRevision
    from gentianfold.model import Configuration
    from gentianfold.platform.store_synchronizer import StoreSynchronizer

DEPUTY_MAX_AGE_S = 0.85
"""Age of the published state above which a deputy polls the store (seconds): about two
poll intervals of the broker. A deputy that can read the store takes over as broker."""
MAX_AGE_S = 1.3
"""Age of the published state above which any VM polls the store (seconds): leaves time
to replace the broker, so that the VMs do not all poll the store at the same time."""
MAX_JITTER_S = 0.3
"""Upper bound of the random time that each VM adds to ``MAX_AGE_S`` and
``STARTUP_WAIT_S`` (seconds), so that polls of different VMs do not coincide."""
STARTUP_WAIT_S = 0.6
"""Time that a starting VM waits for the state from a broker before the first poll
(seconds)."""
MAX_BACKOFF_S = 1.2
"""Upper bound of the backoff while the store does not respond (seconds); limits the
calls, and the VM is current within three seconds after the store recovers."""
CHECK_INTERVAL_S = 0.1
"""Time between two checks whether a poll is due (seconds)."""


@attrs.define(eq=False, repr=False)
class StorePoller:
    """Polls the store at the configured interval on the broker.

    On other VMs it polls only while the published state is outdated, and once more
    after a poll that held back deletions.
    """

    node: Node
    """Fleet node of this VM; provides the VM's role and the age of the state."""
    synchronizer: StoreSynchronizer
    """Reads the store and passes changes to its sink."""
    poll_s: float
    """Interval between two polls (seconds); on VMs other than the broker it grows
    linearly with consecutive failures, up to ``MAX_BACKOFF_S``."""
    _failure_count: int = 0
    _jitter_s: float = attrs.field(factory=lambda: random.random() * MAX_JITTER_S)

    async def run(self) -> None:
        """Poll the store whenever a poll is due, until cancelled."""
        await anyio.sleep(STARTUP_WAIT_S / 2)
        while True:
            if not self._is_due():
                await anyio.sleep(CHECK_INTERVAL_S)
                continue
            started_s = self._now_s()
            has_succeeded = await self.synchronizer.poll()
            if has_succeeded:
                self._failure_count = 0
                self._record_read(started_s)
            else:
                self._failure_count += 1
            await anyio.sleep(self._delay_s())

    def _is_due(self) -> bool:
        if self.node.membership.role is Role.BROKER:
            return True
        if self.node.view.configuration_version == 0:
            waited_s = self._now_s() - self.node.started_s
            return waited_s > STARTUP_WAIT_S + self._jitter_s
        if self.synchronizer.is_list_due(self._now_s() - self._jitter_s):
            return True
        view, now_s = self.node.view, self._now_s()
        # A broker of an older build does not pass evacuations on.
        evacuations_age_s = now_s - view.evacuations.current_at_s
        age_s = max(view.upstreams_age_s(now_s), evacuations_age_s)
        return age_s > self._max_age_s()

    def _max_age_s(self) -> float:
        if self.node.vm in self.node.membership.deputies:
            return DEPUTY_MAX_AGE_S
        return MAX_AGE_S + self._jitter_s

    def _delay_s(self) -> float:
        if self.node.membership.role is Role.BROKER:
            return self.poll_s
        return min(self.poll_s * (1 + self._failure_count), MAX_BACKOFF_S)

    def _record_read(self, started_s: float) -> None:
        """Set the read time of the state to the time at which the poll started."""
        view = self.node.view
        view.store_read_s = started_s
        routing = view.routing
        previous_s = routing.upstreams_current_at_s
        routing.upstreams_current_at_s = max(started_s, previous_s or started_s)
        evacuations = view.evacuations
        evacuations.current_at_s = max(started_s, evacuations.current_at_s)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


@attrs.define(eq=False, repr=False)
class StateSink:
    """Applies published state to this VM; implements ``PublishedStateSink``."""

    node: Node
    """Fleet node of this VM; keeps the published state."""

    def last_read_s(self) -> float | None:
        """Return when any VM of the fleet last read the state (loop time in seconds).

        ``None`` if this VM has no state yet.
        """
        return self.node.view.routing.upstreams_current_at_s

    def known_era(self) -> int:
        """Return the newest era of the store that this VM knows; 0 for none."""
        return self.node.view.upstreams.revision.era

    def restored_s(self) -> float:
        """Return when this VM learned that the store was restored (loop time)."""
        return self.node.view.restored_s

    def update_upstreams(
        self, entries: list[UpstreamEntry], revision: StoreRevision
    ) -> None:
        """Apply changed upstream entries, complete up to a store revision."""
        upstreams = self.node.view.upstreams
        changed = [upstreams.put(entry) for entry in entries]
        upstreams.advance(revision)
        self.node.view.record_era(self._now_s())
        if any(changed):
            self.node.upstreams.apply(self._now_s())

    def replace_upstreams(
        self, entries: list[UpstreamEntry], revision: StoreRevision
    ) -> None:
        """Replace all upstream entries by those at a store revision."""
        self._apply_list(self.node.view.upstreams.replace(entries, revision))

    def add_upstreams(
        self, entries: list[UpstreamEntry], revision: StoreRevision
    ) -> bool:
        """Add all upstream entries at a store revision; delete none.

        Returns:
            Whether any known upstream is not among them.
        """
        upstreams = self.node.view.upstreams
        self._apply_list(upstreams.add_listed(entries, revision))
        return not upstreams.names() <= {entry.name for entry in entries}

    def update_evacuation(
        self, zone: str, revision: StoreRevision, is_requested: bool
    ) -> None:
        """Apply that the evacuation of a zone was requested or taken back."""
        self.node.evacuations.record_change(zone, revision, is_requested)

    def replace_evacuations(
        self, zones: Mapping[str, StoreRevision], revision: StoreRevision
    ) -> None:
        """Replace the evacuated zones by those at a store revision."""
        self.node.evacuations.replace(zones, revision)

    def _apply_list(self, has_changed: bool) -> None:
        self.node.view.record_era(self._now_s())
        if has_changed:
            self.node.upstreams.apply(self._now_s())

    def update_configuration(
        self, document: bytes, configuration: Configuration, compressed: bytes = b""
    ) -> None:
        """Apply a configuration if its version is newer than the current one.

        Args:
            document: The configuration as published.
            configuration: The decoded configuration.
            compressed: The document compressed for other VMs; empty if it is not.
        """
        if self.node.view.routing.update_configuration(configuration):
            self.node.view.configuration_document = document
            self.node.view.compressed_document = compressed
            self.node.apply_configuration()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
