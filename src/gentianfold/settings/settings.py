"""Settings of a VM.

Field names are the keys of the settings file.
"""

from __future__ import annotations

from typing import Any

import attrs

from gentianfold.settings import _value_types as value_types
from gentianfold.settings._value_types import Endpoint, type_metadata


@attrs.frozen(kw_only=True)
class CallerTlsSettings:
    """TLS of the caller endpoint."""

    certificate_file: str = attrs.field(metadata=type_metadata(value_types.FILE_PATH))
    """Path of the certificate chain (PEM)."""
    key_file: str = attrs.field(metadata=type_metadata(value_types.FILE_PATH))
    """Path of the private key (PEM)."""


@attrs.frozen(kw_only=True)
class StoreSettings:
    """Access to the platform's store, the source of configuration and upstreams."""

    endpoint: Endpoint = attrs.field(metadata=type_metadata(value_types.ENDPOINT))
    """Endpoint of the store."""
    poll_s: float = attrs.field(
        default=0.4, metadata=type_metadata(value_types.NumberType(0.05, 60))
    )
    """Poll interval (seconds); a fifth of the 2 s within which a change must take
    effect."""


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Discovery of and communication with other VMs."""

    port: int = attrs.field(default=8082, metadata=type_metadata(value_types.PORT))
    """UDP port for messages between VMs; must be the same on all VMs."""
    seeds: tuple[Endpoint, ...] = attrs.field(
        default=(),
        metadata=type_metadata(
            value_types.ListType(value_types.ENDPOINT, max_length=64)
        ),
    )
    """Operator endpoints of VMs to contact in order to join the fleet."""
    largest_size: int = attrs.field(
        default=0,
        metadata=type_metadata(value_types.NumberType(0, 100_000, is_integer=True)),
    )
    """Most VMs that the fleet can have (count): each uses an equal part of limits, with
    or without seeds. 0 if it is not known; the fleet then finds its size by its seeds.
    """


@attrs.frozen(kw_only=True)
class RetryBudgetSettings:
    """Retry budget of each service, shared by all VMs."""

    ratio: float = attrs.field(
        default=0.2, metadata=type_metadata(value_types.NumberType(0, 10))
    )
    """Retries allowed per request."""
    slack: float = attrs.field(
        default=50, metadata=type_metadata(value_types.NumberType(0, 1e6))
    )
    """Retries allowed per window in addition, whatever the number of requests."""
    window_s: float = attrs.field(
        default=10, metadata=type_metadata(value_types.NumberType(1, 3600))
    )
    """Length of the sliding window (seconds)."""


@attrs.frozen(kw_only=True)
class PlacementSettings:
    """Choice of the upstreams."""

    zone_price_per_kb: float = attrs.field(
        default=0.025, metadata=type_metadata(value_types.NumberType(0, 10))
    )
    """Price of each kilobyte between availability zones, as a fraction of the value of a
    request; the higher it is, the more risk is taken to stay within a zone."""


@attrs.frozen(kw_only=True)
class RateLimitSettings:
    """Measurement of the request rates of customers."""

    window_s: float = attrs.field(
        default=5.0, metadata=type_metadata(value_types.NumberType(0.1, 3600))
    )
    """Length of the sliding window in which requests are counted (seconds)."""
    slack: float | None = attrs.field(
        default=None, metadata=type_metadata(value_types.NumberType(0, 1e6))
    )
    """Requests of a customer in a window that are tolerated beyond its limit (count);
    ``None`` as the platform states, else 0."""
    overshoot: float | None = attrs.field(
        default=None, metadata=type_metadata(value_types.NumberType(0, 100))
    )
    """Part of a customer's limit in a window that is tolerated beyond it; ``None`` as
    the platform states, else 0."""


@attrs.frozen(kw_only=True)
class WarmupSettings:
    """Bound of the requests to cold upstreams, beside the rate of their service."""

    overshoot: float | None = attrs.field(
        default=None, metadata=type_metadata(value_types.NumberType(1, 100))
    )
    """Multiple of the stated rate up to which no harm is done; ``None`` as the platform
    states, else 1."""
    slack: float | None = attrs.field(
        default=None, metadata=type_metadata(value_types.NumberType(0, 1e6))
    )
    """Requests in one second in addition (count); ``None`` as the platform states,
    else 0."""


@attrs.frozen(kw_only=True)
class ResourceSettings:
    """Resources available to the VM."""

    cpu_share: float = attrs.field(
        default=1.0, metadata=type_metadata(value_types.NumberType(0.01, 256))
    )
    """CPU share (cores); VMs with a larger share are preferred as broker."""
    link_mbps: float = attrs.field(
        default=1000, metadata=type_metadata(value_types.NumberType(0.1, 1e6))
    )
    """Bandwidth of the network link (megabits per second)."""
    memory_mb: float = attrs.field(
        default=300, metadata=type_metadata(value_types.NumberType(32, 1e6))
    )
    """Memory limit at which the process is killed (megabytes). Bytes held for clients
    are bounded by it."""
    max_fds: int = attrs.field(
        default=4100,
        metadata=type_metadata(value_types.NumberType(256, 1e6, is_integer=True)),
    )
    """Descriptors that the process may have open (count), unless the platform states
    them; a lower limit of the operating system takes precedence. The default is the limit
    of the smallest VM."""


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """Planned shutdown of the VM."""

    grace_s: float = attrs.field(
        default=6.0, metadata=type_metadata(value_types.NumberType(0, 3600))
    )
    """Time from the start of the shutdown until the process is killed (seconds)."""
    settle_s: float = attrs.field(
        default=2.8, metadata=type_metadata(value_types.NumberType(0, 600))
    )
    """Time for which new requests are still accepted (seconds): the load balancer
    removes a VM after two failed readiness checks, one second apart, and allows three
    seconds for requests that it sent before."""


@attrs.frozen(kw_only=True)
class LoggingSettings:
    """Level and content of the log."""

    platform: dict[str, Any] = attrs.field(
        factory=dict, metadata=type_metadata(value_types.TableType())
    )
    """Fields that the platform states, under its own names."""

    level: str = attrs.field(
        default="info", metadata=type_metadata(value_types.LOG_LEVEL)
    )
    """Minimum level: debug, info, warning or error."""
    decisions: bool = attrs.field(
        default=True, metadata=type_metadata(value_types.BooleanType())
    )
    """Whether the decisions for each request are logged."""


@attrs.frozen(kw_only=True)
class Settings:
    """Root of the settings file of a VM."""

    vm: str = attrs.field(metadata=type_metadata(value_types.NAME))
    """Name of the VM."""
    address: str = attrs.field(metadata=type_metadata(value_types.IpAddressType()))
    """IP address of the VM, which identifies the VM within the fleet."""
    zone: str = attrs.field(metadata=type_metadata(value_types.NAME))
    """Availability zone of the VM."""
    region: str = attrs.field(
        default="default", metadata=type_metadata(value_types.NAME)
    )
    """Region of the VM."""
    zones: dict[str, str] = attrs.field(
        factory=dict,
        metadata=type_metadata(
            value_types.MappingType(value_types.NAME, value_types.NAME)
        ),
    )
    """Region of each availability zone, by which homes of routes and customers are
    kept; empty as the platform states."""
    callers: Endpoint = attrs.field(metadata=type_metadata(value_types.ENDPOINT))
    """Endpoint for requests of callers."""
    caller_tls: CallerTlsSettings | None = attrs.field(
        default=None, metadata=type_metadata(value_types.ObjectType(CallerTlsSettings))
    )
    """TLS of the caller endpoint; ``None`` for plain HTTP."""
    readiness: Endpoint = attrs.field(metadata=type_metadata(value_types.ENDPOINT))
    """Endpoint for readiness checks of the load balancer."""
    operators: Endpoint = attrs.field(metadata=type_metadata(value_types.ENDPOINT))
    """Endpoint from which operators and other VMs read the state of the VM."""
    metrics: Endpoint | None = attrs.field(
        default=None, metadata=type_metadata(value_types.ENDPOINT)
    )
    """Additional endpoint for metrics; ``None`` to serve them only at ``operators``."""
    store: StoreSettings = attrs.field(
        metadata=type_metadata(value_types.ObjectType(StoreSettings))
    )
    """Access to the platform's store."""
    fleet: FleetSettings = attrs.field(
        factory=FleetSettings,
        metadata=type_metadata(value_types.ObjectType(FleetSettings)),
    )
    """Discovery of and communication with other VMs."""
    retries: RetryBudgetSettings = attrs.field(
        factory=RetryBudgetSettings,
        metadata=type_metadata(value_types.ObjectType(RetryBudgetSettings)),
    )
    """Retry budget of each service."""
    placement: PlacementSettings = attrs.field(
        factory=PlacementSettings,
        metadata=type_metadata(value_types.ObjectType(PlacementSettings)),
    )
    """Choice of the upstreams."""
    limits: RateLimitSettings = attrs.field(
        factory=RateLimitSettings,
        metadata=type_metadata(value_types.ObjectType(RateLimitSettings)),
    )
    """Measurement of the request rates of customers."""
    warmup: WarmupSettings = attrs.field(
        factory=WarmupSettings,
        metadata=type_metadata(value_types.ObjectType(WarmupSettings)),
    )
    """Bound of the requests to cold upstreams."""
    machine: ResourceSettings = attrs.field(
        factory=ResourceSettings,
        metadata=type_metadata(value_types.ObjectType(ResourceSettings)),
    )
    """Resources available to the VM."""
    stop: ShutdownSettings = attrs.field(
        factory=ShutdownSettings,
        metadata=type_metadata(value_types.ObjectType(ShutdownSettings)),
    )
    """Planned shutdown of the VM."""
    logging: LoggingSettings = attrs.field(
        factory=LoggingSettings,
        metadata=type_metadata(value_types.ObjectType(LoggingSettings)),
    )
    """Level and content of the log."""
    platform: dict[str, Any] = attrs.field(
        factory=dict, metadata=type_metadata(value_types.TableType())
    )
    """Fields that the platform states, under its own names."""
