"""Decides when this VM reads the store by itself."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import anyio
import attrs

from gentianfold.fleet.membership import Role

if TYPE_CHECKING:
    from gentianfold.fleet.messages import UpstreamEntry
    from gentianfold.fleet.node import Node
    from gentianfold.model import Configuration
    from gentianfold.platform.store_synchronizer import StoreSynchronizer

DEPUTY_STALE_S = 0.85
"""Age of the state above which a deputy reads the store itself (seconds): two reads of
the broker. A deputy that can read takes the broker's part over."""
STALE_S = 1.3
"""Age of the state above which any VM reads the store itself (seconds): leaves time for
a change of the broker, so that not all VMs ask the store together."""
SPREAD_S = 0.3
"""Spread of that age over the VMs (seconds), for the same reason."""
FIRST_WAIT_S = 0.6
"""Time for which a VM that starts waits for a broker's state (seconds)."""
MAX_PAUSE_S = 1.2
"""Longest pause between reads while the store does not answer (seconds); keeps the
calls few, and the VM is current within three seconds of the store's return."""
CHECK_S = 0.1
"""Time between two looks at the state's age (seconds)."""


@attrs.define(eq=False)
class StorePolling:
    """Reads the store always as broker, and as another VM while its state is old."""

    node: Node
    """This VM's part in the fleet."""
    follower: StoreSynchronizer
    """Reads the store."""
    poll_s: float
    """Time between two reads (seconds)."""
    _failures: int = 0
    _spread_s: float = attrs.field(factory=lambda: random.random() * SPREAD_S)

    async def run(self) -> None:
        """Read the store whenever this VM should."""
        await anyio.sleep(FIRST_WAIT_S / 2)
        while True:
            if not self._is_due():
                await anyio.sleep(CHECK_S)
                continue
            started_s = self._now_s()
            answered = await self.follower.poll()
            if answered:
                self._failures = 0
                self._note_read(started_s)
            else:
                self._failures += 1
            await anyio.sleep(self._pause_s())

    def _is_due(self) -> bool:
        if self.node.membership.role is Role.BROKER:
            return True
        if self.node.view.configuration_version == 0:
            waited_s = self._now_s() - self.node.started_s
            return waited_s > FIRST_WAIT_S + self._spread_s
        return self.node.view.upstreams_age_s(self._now_s()) > self._stale_s()

    def _stale_s(self) -> float:
        if self.node.vm in self.node.membership.deputies:
            return DEPUTY_STALE_S
        return STALE_S + self._spread_s

    def _pause_s(self) -> float:
        if self.node.membership.role is Role.BROKER:
            return self.poll_s
        return min(self.poll_s * (1 + self._failures), MAX_PAUSE_S)

    def _note_read(self, started_s: float) -> None:
        """Count the state as of the moment at which the question was sent."""
        view = self.node.view
        view.store_read_s = started_s
        published = view.published
        known_s = published.upstreams_current_at_s
        published.upstreams_current_at_s = max(started_s, known_s or started_s)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


@attrs.define(eq=False)
class StateSink:
    """Puts what the store says into force."""

    node: Node
    """This VM's part in the fleet."""

    def last_read_s(self) -> float | None:
        """Return when the state was last current, by any VM's reading."""
        return self.node.view.published.upstreams_current_at_s

    def update_upstreams(self, entries: list[UpstreamEntry], revision: int) -> None:
        """Take changed entries, complete up to a revision."""
        upstreams = self.node.view.upstreams
        changed = [upstreams.put(entry) for entry in entries]
        upstreams.revision = max(upstreams.revision, revision)
        if any(changed):
            self.node.apply_upstreams(self._now_s())

    def replace_upstreams(self, entries: list[UpstreamEntry], revision: int) -> None:
        """Take the whole list as it was at a revision."""
        if self.node.view.upstreams.replace(entries, revision):
            self.node.apply_upstreams(self._now_s())

    def update_configuration(
        self, document: bytes, configuration: Configuration
    ) -> None:
        """Put a configuration into force if it is newer."""
        if self.node.view.published.update_configuration(configuration):
            self.node.view.configuration_document = document
            self.node.view.compressed_document = b""
            self.node.apply_configuration()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
