"""Paces the calls of one VM so that the whole fleet stays below the service's rate.

Sums, with two waiting watches a VM and watches of 20 s:

* ``FLEET_CALLS_PER_S`` = 750 calls a second are shared by all VMs. The rest of the
  service's 2,000 covers the case that a waiting watch counts for as long as it
  waits: 2 x 550 = 1,100 at 550 VMs, 1,850 together.
* The least gap between two calls of a VM is then N / 750 s: 0.053 s at 40 VMs,
  0.73 s at 550. No burst is allowed on top, so whatever happens to all VMs at once
  (mass restart, return after hours), calls stay near 750 a second.
* Steady: 2 watches / 20 s x 550 VMs = 55 calls a second; 4 at 40 VMs.
* A change of one key: one watch answer, the shard, and the next watch, three calls
  a VM: about 2.2 s at 550 VMs from the service alone; peers are faster.
* A mass restart at 550 VMs with 43,000 customers: 64 key shards and five other
  values in 69 calls a VM, 51 s at worst; single VMs fetch shards from peers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from random import Random

FLEET_CALLS_PER_S = 750.0
"""Calls a second that all VMs together may make, waiting watches apart."""
ASSUMED_VMS = 550
"""Size of the fleet that a VM assumes before it has a VM list."""
BACKOFF_START_S = 0.5
"""Longest wait after the first failed call."""
BACKOFF_LIMIT_S = 20.0
"""Longest wait after any failed call."""
RETURN_SPREAD_S = 0.05
"""Random extra gap between calls, so that VMs don't fall into step."""


@attrs.define(eq=False)
class CallPacer:
    """Tells when this VM may make its next call."""

    random: Random
    """Source of jitter."""
    vm_count: int = ASSUMED_VMS
    """Size of the fleet; set when a VM list arrives."""
    _next_s: float | None = attrs.field(default=None, init=False)

    @property
    def gap_s(self) -> float:
        """The least time between two calls."""
        return max(1, self.vm_count) / FLEET_CALLS_PER_S

    def reserve(self, now_s: float) -> float:
        """Take the next free time for a call and return it."""
        if self._next_s is None:
            # VMs that start in the same moment spread over one gap.
            self._next_s = now_s + self.random.uniform(0, self.gap_s)
        at_s = max(now_s, self._next_s)
        jitter_s = self.random.uniform(0, RETURN_SPREAD_S * self.gap_s)
        self._next_s = at_s + self.gap_s + jitter_s
        return at_s


@attrs.define(eq=False)
class Backoff:
    """Waits longer after each failure in a row, with full jitter."""

    random: Random
    """Source of jitter."""
    failures: int = 0
    """Failures in a row."""

    def succeeded(self) -> None:
        """Start over."""
        self.failures = 0

    def failed(self) -> float:
        """Count a failure and return the time to wait in seconds."""
        limit_s = min(BACKOFF_LIMIT_S, BACKOFF_START_S * 2 ** min(self.failures, 16))
        self.failures += 1
        return self.random.uniform(0, limit_s)
