"""Services and the upstream servers that run them."""

from __future__ import annotations

import enum

import attrs


class UpstreamState(enum.Enum):
    """What operators or the platform say of an upstream."""

    LIVE = "live"
    """Takes new work."""
    DRAINING = "draining"
    """Finishes what it has; gets no new work."""


@attrs.frozen
class Upstream:
    """One upstream server of a service."""

    name: str
    """The unique name."""
    service: str
    """Name of its service."""
    host: str
    """IP number."""
    port: int
    """TCP port."""
    zone: str
    """Availability zone."""
    slots: int = 1
    """Requests that it runs at the same time."""
    max_connections: int = 330
    """Connections that it accepts from all VMs together."""
    state: UpstreamState = UpstreamState.LIVE
    """Whether it takes new work."""
    start_time_ms: int = 0
    """Unix time of its start (milliseconds); another one is another incarnation."""
    warmup_remaining_s: float = 0.0
    """How much longer it is slow after its start, when this was published."""


@attrs.frozen
class Service:
    """A service that upstreams provide."""

    name: str
    """The unique name."""
    floor_fraction: float = 0.5
    """Fraction of its published slots that ejection must leave in use."""
    max_queue: int = 256
    """Requests that may wait for a slot on one VM."""
    ejection_enabled: bool = True
    """Whether sick upstreams are ejected at all."""
    line: int = 0
    """Line in the rules file; 0 for defaults."""
    comment: str = ""
    """Who asked for the rule and why."""
