"""The answers of an operator port, with defaults for fields that it leaves out."""

from __future__ import annotations

import attrs


@attrs.frozen
class PeerStatus:
    """Another VM, as one VM sees it."""

    vm: str = "?"
    """Name of the VM."""
    zone: str | None = None
    """Its availability zone."""
    state: str | None = None
    """Its state."""


@attrs.frozen
class UpstreamStatus:
    """An upstream, as one VM sees it."""

    name: str = "?"
    """Name of the upstream."""
    service: str | None = None
    """Name of its service."""
    zone: str | None = None
    """Its availability zone."""
    state: str | None = None
    """Its state."""
    weight: float | None = None
    """Its share of new work."""
    in_flight: int | None = None
    """Attempts that run."""
    reason: str | None = None
    """Why it is in its state."""


@attrs.frozen
class CustomerStatus:
    """A customer, as one VM sees it."""

    name: str = "?"
    """Name of the customer."""
    rate_per_s: float | None = None
    """Its rate over the fleet."""
    burst: float | None = None
    """Its burst over the fleet."""
    admitted: int | None = None
    """Requests admitted since the VM's start."""
    refused: int | None = None
    """Requests refused since the VM's start."""
    refused_by: dict[str, int] | None = None
    """Refused requests by result code."""


@attrs.frozen
class ShareStatus:
    """The share slots of one VM."""

    held: int | None = None
    """Slots that the VM possesses."""
    total: int | None = None
    """Slots of the fleet."""
    suspended: bool | int | None = None
    """Whether the VM may not use them now."""


@attrs.frozen
class VmStatus:
    """The answer to ``GET /status``."""

    vm: str = "?"
    """Name of the VM."""
    zone: str | None = None
    """Its availability zone."""
    state: str | None = None
    """Its state."""
    configuration_version: int | str | None = None
    """Version of the configuration in force."""
    uptime_s: float | None = None
    """Time since its start."""
    peers: list[PeerStatus] | None = None
    """The other VMs."""
    upstreams: list[UpstreamStatus] | None = None
    """The upstreams."""
    customers: list[CustomerStatus] | None = None
    """The customers."""
    shares: ShareStatus | None = None
    """Its share slots."""


@attrs.frozen
class DecisionLine:
    """One line of the decision log."""

    seq: int = 0
    """Its number, rising."""
    text: str = ""
    """The line."""


@attrs.frozen
class DecisionPage:
    """The answer to ``GET /decisions``."""

    next: int = 0
    """What to ask for next, as ``after``."""
    lines: list[DecisionLine] | None = None
    """The lines, oldest first."""
