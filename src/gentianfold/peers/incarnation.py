"""One run of a process on a VM."""

from __future__ import annotations

import secrets
import time

import attrs


@attrs.frozen(order=True)
class Incarnation:
    """Identifies one run of the process of a VM."""

    started_ms: int
    """Wall clock at its start; orders the incarnations of a VM."""
    nonce: int
    """Random 63 bits, so that equal starts differ."""

    @classmethod
    def create(cls) -> Incarnation:
        """Return the identity of a run that starts now."""
        return cls(time.time_ns() // 1_000_000, secrets.randbits(63))
