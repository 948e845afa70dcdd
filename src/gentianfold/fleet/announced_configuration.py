"""The configuration version that the broker announces, and where to fetch it."""

from __future__ import annotations

import anyio
import attrs
from loguru import logger


@attrs.define(eq=False)
class AnnouncedConfiguration:
    """Newest configuration version announced to this VM."""

    version: int = 0
    """Newest announced version; 0 for none."""
    source: str = ""
    """Address of the VM to fetch it from; empty if none is known."""
    available: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when a newer configuration can be fetched."""

    def record(self, version: int, source: str, in_force: int, broker: str) -> None:
        """Record an announcement.

        Args:
            version: Announced version.
            source: Address of the VM to fetch it from; empty for no transfer now.
            in_force: Version that is in force on this VM.
            broker: Address of the broker that announced it.
        """
        if version > self.version:
            self.version = version
            logger.info(
                "configuration: version {} announced by {}, source={} in_force={}",
                version,
                broker,
                source or "none",
                in_force,
            )
        if version > in_force and source:
            self.source = source
            self.available.set()
