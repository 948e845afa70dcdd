"""The settings of one VM's daemon."""

from __future__ import annotations

import attrs

from gentianfold.settings import _forms as forms
from gentianfold.settings._forms import form
from gentianfold.settings.secret import Secret


@attrs.frozen(kw_only=True)
class CallerTls:
    """TLS towards callers."""

    certificate_file: str = attrs.field(metadata=form(forms.FILE))
    """Certificate chain, in PEM."""
    key_file: str = attrs.field(metadata=form(forms.FILE))
    """Private key, in PEM."""


@attrs.frozen(kw_only=True)
class UpstreamTls:
    """TLS towards upstreams."""

    ca_file: str = attrs.field(metadata=form(forms.FILE))
    """Certificates of the authorities that sign the upstreams', in PEM."""


@attrs.frozen(kw_only=True)
class PeerKeys:
    """Keys of the encrypted links between VMs.

    Either each VM has a key pair and lists the public keys of the others, or all
    share one secret. To rotate, publish the next key to all VMs first, then make it
    the key in use.
    """

    public_key: str | None = attrs.field(default=None, metadata=form(forms.PUBLIC_KEY))
    """CURVE public key of this VM."""
    secret_key: Secret | None = attrs.field(
        default=None, metadata=form(forms.SECRET_KEY)
    )
    """CURVE secret key of this VM."""
    next_public_key: str | None = attrs.field(
        default=None, metadata=form(forms.PUBLIC_KEY)
    )
    """CURVE public key that follows in a rotation."""
    next_secret_key: Secret | None = attrs.field(
        default=None, metadata=form(forms.SECRET_KEY)
    )
    """CURVE secret key that follows in a rotation."""
    allowed_public_keys: tuple[str, ...] = attrs.field(
        default=(), metadata=form(forms.ListOf(forms.PUBLIC_KEY, high=1024))
    )
    """CURVE public keys of the VMs that may connect."""
    fleet_secret: Secret | None = attrs.field(
        default=None, metadata=form(forms.FLEET_SECRET)
    )
    """Secret that all VMs share."""
    next_fleet_secret: Secret | None = attrs.field(
        default=None, metadata=form(forms.FLEET_SECRET)
    )
    """Shared secret that follows in a rotation."""


@attrs.frozen(kw_only=True)
class DaemonLimits:
    """Bounds that protect one VM."""

    max_connections: int = attrs.field(
        default=4096, metadata=form(forms.Number(1, 1_000_000, whole=True))
    )
    """Caller connections open at the same time."""
    max_header_bytes: int = attrs.field(
        default=32768, metadata=form(forms.Number(1024, 1 << 20, whole=True))
    )
    """Largest request line and headers."""
    header_timeout_s: float = attrs.field(
        default=10.0, metadata=form(forms.Number(0.1, 600))
    )
    """Time in which a caller must send the headers."""
    body_timeout_s: float = attrs.field(
        default=30.0, metadata=form(forms.Number(0.1, 3600))
    )
    """Time in which a caller must send the body."""
    settle_s: float = attrs.field(default=5.0, metadata=form(forms.Number(0, 600)))
    """Time that the balancer takes to send callers elsewhere on a planned stop."""
    stop_timeout_s: float = attrs.field(
        default=30.0, metadata=form(forms.Number(0, 3600))
    )
    """Time that a planned stop waits for requests to end."""


@attrs.frozen(kw_only=True)
class Logging:
    """What is logged, and where."""

    level: str = attrs.field(default="info", metadata=form(forms.LEVEL))
    """Lowest level that is logged."""
    decisions: bool = attrs.field(default=True, metadata=form(forms.Flag()))
    """Whether each routing and placement decision is logged."""
    file: str | None = attrs.field(default=None, metadata=form(forms.FILE))
    """Path of the log file; ``None`` for the standard error output."""


@attrs.frozen(kw_only=True)
class Settings:
    """Everything that one VM's daemon is told at its start."""

    vm: str = attrs.field(metadata=form(forms.NAME))
    """Name of the VM."""
    zone: str = attrs.field(metadata=form(forms.NAME))
    """Availability zone of the VM."""
    region: str = attrs.field(default="default", metadata=form(forms.NAME))
    """Region of the VM."""
    platform_urls: tuple[str, ...] = attrs.field(
        metadata=form(forms.ListOf(forms.Url(), low=1, high=16))
    )
    """Addresses of the configuration service."""
    caller_host: str = attrs.field(default="0.0.0.0", metadata=form(forms.Host()))
    """IP number for callers."""
    caller_port: int = attrs.field(default=8080, metadata=form(forms.PORT))
    """TCP port for callers."""
    operator_host: str = attrs.field(default="127.0.0.1", metadata=form(forms.Host()))
    """IP number for operators."""
    operator_port: int = attrs.field(default=8081, metadata=form(forms.PORT))
    """TCP port for operators."""
    peer_host: str = attrs.field(default="0.0.0.0", metadata=form(forms.Host()))
    """IP number for other VMs."""
    peer_port: int = attrs.field(default=8082, metadata=form(forms.PORT))
    """TCP port for other VMs."""
    caller_tls: CallerTls | None = attrs.field(
        default=None, metadata=form(forms.Nested(CallerTls))
    )
    """TLS towards callers; ``None`` for plain HTTP."""
    upstream_tls: UpstreamTls | None = attrs.field(
        default=None, metadata=form(forms.Nested(UpstreamTls))
    )
    """TLS towards upstreams; ``None`` for plain HTTP."""
    peer_keys: PeerKeys = attrs.field(
        factory=PeerKeys, metadata=form(forms.Nested(PeerKeys))
    )
    """Keys of the links between VMs."""
    limits: DaemonLimits = attrs.field(
        factory=DaemonLimits, metadata=form(forms.Nested(DaemonLimits))
    )
    """Bounds that protect the VM."""
    logging: Logging = attrs.field(
        factory=Logging, metadata=form(forms.Nested(Logging))
    )
    """What is logged."""
