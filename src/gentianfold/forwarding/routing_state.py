"""What the VM knows of configuration and upstreams, as one snapshot."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from gentianfold.forwarding.prefix_table import PrefixTable

if TYPE_CHECKING:
    from gentianfold.model import Configuration, Upstream


@attrs.define(eq=False)
class RoutingState:
    """The newest configuration and upstream list; a version never goes back."""

    configuration: Configuration | None = None
    """The configuration in force; ``None`` until one was read."""
    routes: PrefixTable = attrs.field(factory=lambda: PrefixTable(()))
    """Its routes."""
    upstreams: dict[str, Upstream] = attrs.field(factory=dict)
    """Upstreams by name."""
    upstreams_current_at_s: float | None = None
    """When the upstream list was last known to be current (loop time)."""

    def update_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration into force if it is newer; tell whether it is."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        self.routes = PrefixTable(configuration.routes)
        return True

    def upstreams_age_s(self) -> float:
        """Return the age of the upstream list (seconds); infinite before the first."""
        if self.upstreams_current_at_s is None:
            return float("inf")
        return asyncio.get_running_loop().time() - self.upstreams_current_at_s
