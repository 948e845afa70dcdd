"""What one VM is told at its start."""

from __future__ import annotations

import attrs


@attrs.frozen
class VmOptions:
    """Addresses, place and times of one VM."""

    name: str
    """Name of this VM, as the VM list has it."""
    zone: str
    """Availability zone."""
    platform_url: str
    """Base URL of the configuration service."""
    region: str = ""
    """Region of the zone."""
    caller_host: str = "127.0.0.1"
    """IP number of the caller port."""
    caller_port: int = 0
    """TCP port for callers; 0 for any free one."""
    operator_host: str = "127.0.0.1"
    """IP number of the operator port."""
    operator_port: int = 0
    """TCP port for operators; 0 for any free one."""
    max_head_bytes: int = 32 * 1024
    """Largest request head."""
    head_timeout_s: float = 10.0
    """Time for a whole request head."""
    settle_s: float = 3.0
    """Time between failing readiness and refusing new connections on a stop."""
    stop_timeout_s: float = 30.0
    """Longest time of a planned stop."""
    log_decisions: bool = True
    """Whether decisions are written to the log, besides being kept."""
