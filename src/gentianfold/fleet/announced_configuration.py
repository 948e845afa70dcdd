"""The configuration version that other VMs announce, and where to fetch it."""

from __future__ import annotations

import anyio
import attrs
from loguru import logger


@attrs.define(eq=False, repr=False)
class AnnouncedConfiguration:
    """Newest configuration version announced to this VM."""

    version: int = 0
    """Newest announced version; 0 for none."""
    source: str = ""
    """Address of the VM to fetch it from; empty if none is known."""
    announcer: str = ""
    """Address of the VM that announced it last; empty if none did."""
    available: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when a version is announced that is newer than the one in force."""
    source_changed: anyio.Event = attrs.field(factory=anyio.Event)
    """Set when another source is known."""

    def record(self, version: int, source: str, in_force: int, announcer: str) -> None:
        """Record an announcement.

        Args:
            version: Announced version.
            source: Address of the VM to fetch it from; empty for no transfer now.
            in_force: Version that is in force on this VM.
            announcer: Address of the broker that announced it, or of a member.
        """
        if version > self.version:
            self.version = version
            self.source = ""
            logger.info(
                "configuration: version {} announced by {}, source={} in_force={}",
                version,
                announcer,
                source or "none",
                in_force,
            )
        if version > in_force:
            self.announcer = announcer
            self.available.set()
            if source and source != self.source:
                self.source = source
                self.source_changed.set()
