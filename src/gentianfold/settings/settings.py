"""The settings of one VM."""

from __future__ import annotations

import attrs

from gentianfold.settings import _forms as forms
from gentianfold.settings._forms import Endpoint, form


@attrs.frozen(kw_only=True)
class CallerTlsSettings:
    """TLS towards callers."""

    certificate_file: str = attrs.field(metadata=form(forms.FILE))
    """Certificate chain, in PEM."""
    key_file: str = attrs.field(metadata=form(forms.FILE))
    """Private key, in PEM."""


@attrs.frozen(kw_only=True)
class StoreSettings:
    """The platform's store, which publishes configuration and upstreams."""

    endpoint: Endpoint = attrs.field(metadata=form(forms.ENDPOINT))
    """Where it listens."""
    poll_s: float = attrs.field(default=0.4, metadata=form(forms.Number(0.05, 60)))
    """Time between two reads; a fifth of the two seconds within which a change must
    be in force at both sites."""


@attrs.frozen(kw_only=True)
class FleetSettings:
    """How the VM finds and talks to other VMs."""

    port: int = attrs.field(default=8082, metadata=form(forms.PORT))
    """UDP port; the same on all VMs."""
    seeds: tuple[Endpoint, ...] = attrs.field(
        default=(), metadata=form(forms.ListOf(forms.ENDPOINT, high=64))
    )
    """Operator endpoints of VMs at which the fleet may be found."""


@attrs.frozen(kw_only=True)
class RetryBudgetSettings:
    """The fleet's bound on further attempts, for each service."""

    ratio: float = attrs.field(default=0.2, metadata=form(forms.Number(0, 10)))
    """Further attempts for each request; the value of both sites."""
    slack: float = attrs.field(default=50, metadata=form(forms.Number(0, 1e6)))
    """Further attempts on top in each window; about the value of both sites."""
    window_s: float = attrs.field(default=10, metadata=form(forms.Number(1, 3600)))
    """Length of the sliding window; the value of both sites."""


@attrs.frozen(kw_only=True)
class RateLimitSettings:
    """How customers' limits are counted."""

    window_s: float = attrs.field(default=5.0, metadata=form(forms.Number(0.1, 3600)))
    """Length of the sliding window in which requests are counted; the value of both
    sites."""


@attrs.frozen(kw_only=True)
class ResourceSettings:
    """What the VM may use."""

    cpu_share: float = attrs.field(default=1.0, metadata=form(forms.Number(0.01, 256)))
    """Part of a core; a broker is preferably a VM with more of it."""
    link_mbps: float = attrs.field(default=1000, metadata=form(forms.Number(0.1, 1e6)))
    """Bandwidth of its network link, in megabits a second."""
    memory_mb: float = attrs.field(default=300, metadata=form(forms.Number(32, 1e6)))
    """Memory at whose limit the process is ended; the smallest VM of today."""


@attrs.frozen(kw_only=True)
class ShutdownSettings:
    """How a planned stop goes."""

    grace_s: float = attrs.field(default=6.0, metadata=form(forms.Number(0, 3600)))
    """Time until the process is ended by force; the value of both sites."""
    settle_s: float = attrs.field(default=2.8, metadata=form(forms.Number(0, 600)))
    """Time for which requests are still taken: the balancer notices after two missed
    questions, a second apart, and leaves three seconds for what it sent before."""


@attrs.frozen(kw_only=True)
class LoggingSettings:
    """What is logged."""

    level: str = attrs.field(default="info", metadata=form(forms.LEVEL))
    """Lowest level that is logged."""
    decisions: bool = attrs.field(default=True, metadata=form(forms.Flag()))
    """Whether each request's decisions are logged."""


@attrs.frozen(kw_only=True)
class Settings:
    """Everything that one VM is told at its start."""

    vm: str = attrs.field(metadata=form(forms.NAME))
    """Name of the VM."""
    address: str = attrs.field(metadata=form(forms.Host()))
    """IP number of the VM; other VMs know it by this."""
    zone: str = attrs.field(metadata=form(forms.NAME))
    """Availability zone of the VM."""
    region: str = attrs.field(default="default", metadata=form(forms.NAME))
    """Region of the VM."""
    callers: Endpoint = attrs.field(metadata=form(forms.ENDPOINT))
    """Where callers connect."""
    caller_tls: CallerTlsSettings | None = attrs.field(
        default=None, metadata=form(forms.Nested(CallerTlsSettings))
    )
    """TLS towards callers; ``None`` for plain HTTP."""
    readiness: Endpoint = attrs.field(metadata=form(forms.ENDPOINT))
    """Where the balancer asks whether the VM is ready."""
    operators: Endpoint = attrs.field(metadata=form(forms.ENDPOINT))
    """Where operators and other VMs read state."""
    metrics: Endpoint | None = attrs.field(default=None, metadata=form(forms.ENDPOINT))
    """Where metrics are read; ``None`` for the operators' endpoint only."""
    store: StoreSettings = attrs.field(metadata=form(forms.Nested(StoreSettings)))
    """The platform's store."""
    fleet: FleetSettings = attrs.field(
        factory=FleetSettings, metadata=form(forms.Nested(FleetSettings))
    )
    """Other VMs."""
    retries: RetryBudgetSettings = attrs.field(
        factory=RetryBudgetSettings, metadata=form(forms.Nested(RetryBudgetSettings))
    )
    """Bound on further attempts."""
    limits: RateLimitSettings = attrs.field(
        factory=RateLimitSettings, metadata=form(forms.Nested(RateLimitSettings))
    )
    """How customers' limits are counted."""
    machine: ResourceSettings = attrs.field(
        factory=ResourceSettings, metadata=form(forms.Nested(ResourceSettings))
    )
    """What the VM may use."""
    stop: ShutdownSettings = attrs.field(
        factory=ShutdownSettings, metadata=form(forms.Nested(ShutdownSettings))
    )
    """Planned stops."""
    logging: LoggingSettings = attrs.field(
        factory=LoggingSettings, metadata=form(forms.Nested(LoggingSettings))
    )
    """What is logged."""
