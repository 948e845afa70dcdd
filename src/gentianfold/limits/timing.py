"""Durations that the VMs of one list agree on."""

from __future__ import annotations

import functools

import attrs

from gentianfold.clock import MAX_CLOCK_RATE_ERROR

CLOCK_MARGIN = 1.0 + MAX_CLOCK_RATE_ERROR
"""Factor by which a duration on one VM's clock may look longer on another's."""

HEARTBEATS_PER_SECOND = 55.0
"""Most heartbeats that one VM sends each second, over all peers."""

LOT_LIFETIME_S = 0.5
"""Longest lifetime of a lot; the same on all VMs of every list."""


@attrs.frozen
class Timing:
    """Durations that follow from the size of a VM list."""

    heartbeat_s: float
    """Time between two heartbeats to the same peer."""
    silent_s: float
    """Time without an echo after which a peer leaves the view."""
    suspect_s: float
    """Time without an echo after which a peer leaves along with a silent one."""
    keep_s: float
    """Time for which acknowledgements let a VM use its share slots."""
    pledge_s: float
    """Time from a home's ping to the end of the pledge that answers it."""

    @staticmethod
    @functools.lru_cache(maxsize=64)
    def for_size(vm_count: int) -> Timing:
        """Return the durations for a list of ``vm_count`` VMs."""
        scale = max(1.0, vm_count / HEARTBEATS_PER_SECOND)
        return Timing(
            heartbeat_s=scale,
            silent_s=2.4 * scale,
            suspect_s=1.5 * scale,
            keep_s=5.0 * scale,
            pledge_s=2.5 * scale + LOT_LIFETIME_S,
        )

    @property
    def pledge_end_s(self) -> float:
        """Time after which a VM that pledged knows that the pledge is over."""
        return self.pledge_s * CLOCK_MARGIN**2

    @property
    def restart_s(self) -> float:
        """Time after a restart until pledges of the earlier incarnation are over.

        The earlier one may have stood at a list of up to twice the size.
        """
        longest = self.pledge_end_s
        return longest if self.heartbeat_s <= 1.0 else 2.0 * longest

    @property
    def fence_s(self) -> float:
        """Time after which a VM without acknowledgements has no share in use."""
        return (self.keep_s + self.pledge_end_s) * CLOCK_MARGIN**2


def lot_end_s(lifetime_s: float) -> float:
    """Return the time after which a lot is surely over on its holder's clock."""
    return lifetime_s * CLOCK_MARGIN**2


def quorum_of(vm_count: int) -> int:
    """Return how many VMs of a list keep each other's share slots in use."""
    return 1 if vm_count <= 2 else max(2, -(-vm_count // 6))
