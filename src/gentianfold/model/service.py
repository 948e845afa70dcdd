"""Services and the upstream servers that provide them."""

from __future__ import annotations

import enum

import attrs


class UpstreamState(enum.Enum):
    """State of an upstream as published by operators or the platform."""

    LIVE = "live"
    """Accepts new requests."""
    DRAINING = "draining"
    """Completes running requests; gets no new ones."""
    EVACUATED = "evacuated"
    """The same, since operators evacuate its availability zone."""


@attrs.frozen
class Upstream:
    """An upstream server of a service."""

    name: str
    """Unique name of the upstream."""
    service: str
    """Name of the service that the upstream provides."""
    host: str
    """IP address."""
    port: int
    """TCP port."""
    zone: str
    """Availability zone."""
    slots: int = 1
    """Concurrency limit: number of requests that the upstream executes at once."""
    max_connections: int = 330
    """Connections that the upstream accepts from all VMs together."""
    state: UpstreamState = UpstreamState.LIVE
    """Whether the upstream accepts new requests."""
    start_time_ms: int = 0
    """Unix time of the start (milliseconds); another value means a restarted server."""
    warmup_remaining_s: float = 0.0
    """Warm-up time remaining at publication (seconds); responses are slow meanwhile."""
    entry_revision: tuple[int, int, int] = (0, 0, 0)
    """Revision of its entry; another one means that the warm-up was stated anew."""


@attrs.frozen
class Warmup:
    """What the upstreams of a service tolerate until they have warmed up."""

    rate_per_s: float
    """Requests per second that one upstream gets from all VMs together."""
    duration_s: float
    """Usual length of a warm-up (seconds)."""


@attrs.frozen
class Service:
    """A service that upstreams provide."""

    name: str
    """Unique name of the service."""
    floor_fraction: float = 0.5
    """Fraction of the published slots, 0 to 1, that ejection must leave in use."""
    max_queue: int = 256
    """Maximum number of requests that wait for a slot on one VM."""
    ejection_enabled: bool = True
    """Whether unhealthy upstreams are ejected."""
    line: int = 0
    """Line number in the rules file, from 1; 0 if not read from a file."""
    comment: str = ""
    """Comment of the rule: who requested it and why."""
