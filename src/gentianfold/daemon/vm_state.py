"""Whether a VM may serve callers, and why not."""

from __future__ import annotations

import secrets

import attrs


def _new_incarnation() -> int:
    return secrets.randbits(32)


@attrs.define
class VmState:
    """The state of one VM as its ports see it."""

    incarnation: int = attrs.field(factory=_new_incarnation)
    """Random number of this run of the daemon."""
    configured: bool = False
    """Whether a configuration is in force and peers were asked for a later one."""
    isolated: bool = False
    """Whether neither the platform nor enough peers are heard."""
    draining: bool = False
    """Whether a planned stop was asked for."""
    closed: bool = False
    """Whether the planned stop no longer takes new requests."""

    @property
    def serves(self) -> bool:
        """Whether requests are taken at all; goes on during a planned stop."""
        return self.configured and not self.closed

    def not_ready_reason(self) -> str:
        """Return why the balancer should send callers elsewhere; empty if ready."""
        if self.closed or self.draining:
            return "draining"
        if not self.configured:
            return "no configuration is in force yet"
        if self.isolated:
            return "isolated: neither the platform nor enough peers are heard"
        return ""
