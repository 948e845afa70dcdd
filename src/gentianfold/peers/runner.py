"""Runs the peer systems of one VM, tick by tick."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.peers.isolation import SHORT_WATCH_S
from gentianfold.platform.watch_schedule import WATCH_S

if TYPE_CHECKING:
    from gentianfold.clock import Clock
    from gentianfold.peers.configuration_spread import ConfigurationSpread
    from gentianfold.peers.isolation import IsolationDetector
    from gentianfold.peers.node import PeerNode
    from gentianfold.platform.follower import PlatformFollower

TICK_S = 0.1
"""Time between two ticks."""


@attrs.define(eq=False)
class PeerRunner:
    """Lets time pass for heartbeats, the spread of configuration and isolation."""

    node: PeerNode
    """Talks to the peers."""
    spread: ConfigurationSpread
    """Fetches newer configuration from peers."""
    isolation: IsolationDetector
    """Tells whether this VM may act on its configuration."""
    follower: PlatformFollower
    """Follows the platform."""
    clock: Clock
    """Tells elapsed time."""

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await anyio.sleep(TICK_S)

    def tick(self) -> None:
        """Let time pass once; also call it first after a pause."""
        was_isolated = self.isolation.isolated
        self.node.tick()
        self.spread.tick()
        self.isolation.on_tick(self.clock.now_s(), self.follower.answered_s)
        self.follower.set_watch_s(
            SHORT_WATCH_S if self.isolation.lacks_peers else WATCH_S
        )
        if self.isolation.isolated != was_isolated:
            self._log_change()

    def _log_change(self) -> None:
        if self.isolation.isolated:
            logger.warning("peers: this VM is isolated")
        else:
            # Every start begins isolated, so this end of it alarms nobody.
            logger.info("peers: this VM is no longer isolated")
