"""A VM's copy of the published configuration and upstreams, with its age."""

from __future__ import annotations

import attrs

from gentianfold.fleet.evacuation_table import EvacuationTable
from gentianfold.fleet.leaving_table import LeavingTable
from gentianfold.fleet.upstream_list import UpstreamList
from gentianfold.forwarding.routing_state import RoutingState
from gentianfold.model import Upstream, UpstreamState

COPY_EXPIRY_S = 5.0
"""Time after which entries that only the copy of a restored store held have expired
(seconds): three heartbeats of 1.5 seconds, and the time until they are read."""


@attrs.define(eq=False, repr=False)
class NodeView:
    """The newest published state that this VM knows, and when it was read."""

    routing: RoutingState = attrs.field(factory=RoutingState)
    """State by which requests are routed."""
    upstreams: UpstreamList = attrs.field(factory=UpstreamList)
    """Upstreams with their revisions."""
    configuration_document: bytes = b""
    """Configuration document as published; empty before the first one."""
    compressed_document: bytes = b""
    """``configuration_document`` compressed for other VMs; empty until requested."""
    store_read_s: float | None = None
    """Time of this VM's own last read of the store (event loop time, seconds).

    ``None`` if this VM has never read it.
    """

    leaving: LeavingTable = attrs.field(factory=LeavingTable)
    """Upstreams that told a VM of the fleet that they are about to end."""
    evacuations: EvacuationTable = attrs.field(factory=EvacuationTable)
    """Availability zones to which operators want nothing to be sent."""
    restored_s: float = float("-inf")
    """When this VM learned that the store was restored from a copy (event loop time,
    seconds); minus infinity if it was not restored since the VM's start."""
    _era: int = 0

    def record_era(self, now_s: float) -> None:
        """Record when the era of the list of upstreams has risen."""
        era = self.upstreams.revision.era
        if era > self._era > 0:
            self.restored_s = now_s
        self._era = era

    def is_usable(self, name: str, start_time_ms: int) -> bool:
        """Tell whether a start of an upstream may get requests."""
        return (
            not self.leaving.is_leaving(name, start_time_ms)
            and not self.evacuations.is_evacuated(self.upstreams.zone(name))
            and self.upstreams.is_usable(name)
        )

    def is_within(self, name: str, zones: tuple[str, ...] | None) -> bool:
        """Tell whether an upstream is in some zones; ``None`` for any zone."""
        return zones is None or self.upstreams.zone(name) in zones

    def list_upstreams(self) -> list[Upstream]:
        """Return all upstreams; those that are leaving count as draining."""
        return [
            upstream if state is upstream.state else attrs.evolve(upstream, state=state)
            for upstream in self.upstreams.upstreams()
            for state in (self._state(upstream),)
        ]

    def _state(self, upstream: Upstream) -> UpstreamState:
        if self.leaving.is_leaving(upstream.name, upstream.start_time_ms):
            return UpstreamState.DRAINING
        if upstream.state is UpstreamState.LIVE and self.evacuations.is_evacuated(
            upstream.zone
        ):
            return UpstreamState.EVACUATED
        return upstream.state

    def accept_withheld(self, now_s: float) -> bool:
        """Accept the upstreams that a restored store still lists after a while.

        Returns:
            Whether any upstream was added.
        """
        if now_s - self.restored_s < COPY_EXPIRY_S:
            return False
        return self.upstreams.accept_withheld()

    def record_suspension(self, suspended_s: float) -> None:
        """Age the recorded times by a suspension of this VM (seconds)."""
        self.restored_s -= suspended_s
        self.evacuations.record_suspension(suspended_s)
        if self.store_read_s is not None:
            self.store_read_s -= suspended_s
        if self.routing.upstreams_current_at_s is not None:
            self.routing.upstreams_current_at_s -= suspended_s

    @property
    def configuration_version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        configuration = self.routing.configuration
        return configuration.version if configuration is not None else 0

    def store_age_ms(self, now_s: float) -> int:
        """Return the time since this VM's last read of the store (milliseconds).

        -1 if it has never read the store.
        """
        if self.store_read_s is None:
            return -1
        return int((now_s - self.store_read_s) * 1000)

    def published_age_ms(self, now_s: float) -> int:
        """Return the age of the list, whichever VM read it (milliseconds).

        -1 if no list was received yet. VMs that start while the store is down take the
        list of a broker that never read the store itself.
        """
        age_s = self.upstreams_age_s(now_s)
        return -1 if age_s == float("inf") else int(age_s * 1000)

    def upstreams_age_s(self, now_s: float) -> float:
        """Return the age of the upstream list, whichever VM read it (seconds).

        Infinite if no list was received yet.
        """
        read_s = self.routing.upstreams_current_at_s
        return float("inf") if read_s is None else now_s - read_s
