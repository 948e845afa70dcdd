"""Configuration and upstream list that the VM routes requests by."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from gentianfold.forwarding.prefix_table import PrefixTable

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.model import Configuration, Upstream


@attrs.define(eq=False, repr=False)
class RoutingState:
    """Latest configuration and upstream list; the version never decreases."""

    configuration: Configuration | None = None
    """Configuration in force; ``None`` until one has been read."""
    routes: PrefixTable = attrs.field(factory=lambda: PrefixTable(()))
    """Routes of the configuration in force."""
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    """Upstreams by name."""
    upstreams_current_at_s: float | None = None
    """When the upstream list was last known to be current (loop time); ``None`` until
    it has been read."""

    regions: Mapping[str, str] = attrs.field(factory=dict)
    """Region of each availability zone, by which homes are kept."""

    def update_configuration(self, configuration: Configuration) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.routes = PrefixTable(configuration.routes)
        return True

    def upstreams_age_s(self) -> float:
        """Return the age of the upstream list (seconds); infinite until one is read."""
        if self.upstreams_current_at_s is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self.upstreams_current_at_s
