"""What one VM knows of the published state, and how old that is."""

from __future__ import annotations

import attrs

from gentianfold.fleet.upstream_list import UpstreamList
from gentianfold.forwarding.routing_state import RoutingState


@attrs.define(eq=False)
class NodeView:
    """The newest published state and when it was read."""

    published: RoutingState = attrs.field(factory=RoutingState)
    """What requests are decided by."""
    upstreams: UpstreamList = attrs.field(factory=UpstreamList)
    """The list of upstreams with revisions."""
    configuration_document: bytes = b""
    """The configuration as it was published."""
    compressed_document: bytes = b""
    """The same, compressed for other VMs; empty until one asks."""
    store_read_s: float | None = None
    """When this VM itself last read the store."""

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        configuration = self.published.configuration
        return configuration.version if configuration is not None else 0

    def store_age_ms(self, now_s: float) -> int:
        """Return the time since this VM read the store; -1 if it never did."""
        if self.store_read_s is None:
            return -1
        return int((now_s - self.store_read_s) * 1000)

    def upstreams_age_s(self, now_s: float) -> float:
        """Return the age of the upstream list, from wherever it came (seconds)."""
        read_s = self.published.upstreams_current_at_s
        return float("inf") if read_s is None else now_s - read_s
