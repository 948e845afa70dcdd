"""What VMs tell each other about a request under which upstreams crashed."""

from __future__ import annotations

import msgspec


class CrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """Crashes, successes and trials of one request; times are ages."""

    fingerprint: bytes
    """Digest of the request's content."""
    customer: str
    """Name of the customer that sent it; empty if there is none."""
    crashes: tuple[tuple[str, int, int], ...]
    """Upstream, and milliseconds since the request was sent and since the crash."""
    success_age_ms: int
    """Milliseconds since the last request that succeeded was sent; -1 for none."""
    trials: int
    """Trials since it was blocked (count)."""
    late_trials: int
    """Trials since an upstream crashed under a trial (count)."""
    trial_age_ms: int
    """Milliseconds since the last trial; -1 for none."""
    is_confirmed: bool
    """Whether an upstream crashed under a trial."""
