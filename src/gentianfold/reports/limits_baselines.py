"""Simple ways to count limits over a fleet, for comparison."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from gentianfold.limits.slot_map import SlotMap, slot_of_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.model import RateLimit

DETECTION_S = 2.5
"""Time after which a VM counts another one as gone."""

GOSSIP_S = 0.2
"""Time between two exchanges of counts."""


@attrs.define
class LocalBucket:
    """A token bucket on one VM."""

    level: float
    """Tokens left."""
    at_s: float
    """Time up to which the level is computed."""

    def take(self, rate_per_s: float, burst: float, now_s: float) -> bool:
        """Spend a token if there is one."""
        self.refill(rate_per_s, burst, now_s)
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True

    def refill(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Bring the level up to date."""
        refill = (now_s - self.at_s) * rate_per_s
        self.level = min(burst, self.level + refill)
        self.at_s = now_s


class Baseline(Protocol):
    """Decides on a request at once, knowing which VMs are reachable."""

    def admit(self, vm: str, customer: str, limit: RateLimit, now_s: float) -> bool:
        """Tell whether a request is admitted."""
        ...


@attrs.define
class StaticSplit:
    """Gives each VM of the list the same part of rate and burst."""

    vm_count: int
    """VMs of the list."""
    buckets: dict[tuple[str, str], LocalBucket] = attrs.field(factory=dict)
    """Buckets by VM and customer."""

    def admit(self, vm: str, customer: str, limit: RateLimit, now_s: float) -> bool:
        """Tell whether a request is admitted."""
        burst = limit.burst / self.vm_count
        bucket = self.buckets.setdefault((vm, customer), LocalBucket(burst, now_s))
        return bucket.take(limit.rate_per_s / self.vm_count, burst, now_s)


@attrs.define
class SingleHome:
    """Keeps each bucket on one VM; the next one takes over with a full bucket."""

    vms: tuple[str, ...]
    """VMs of the list."""
    reaches: Callable[[str, str, float], bool]
    """Tells whether a VM reaches another one at a time."""
    fenced: bool
    """Whether a home serves only while it reaches a majority of the list."""
    buckets: dict[tuple[str, str], LocalBucket] = attrs.field(factory=dict)
    """Buckets by home and customer."""

    def admit(self, vm: str, customer: str, limit: RateLimit, now_s: float) -> bool:
        """Tell whether a request is admitted."""
        seen_s = now_s - DETECTION_S
        view = frozenset(x for x in self.vms if self.reaches(vm, x, seen_s))
        if not view or (self.fenced and 2 * len(view) <= len(self.vms)):
            return False
        home = SlotMap(view).owner(slot_of_key(customer.encode(), 4096))
        if not self.reaches(vm, home, now_s):
            return False
        start = LocalBucket(limit.burst, now_s)
        bucket = self.buckets.setdefault((home, customer), start)
        return bucket.take(limit.rate_per_s, limit.burst, now_s)


@attrs.define
class GossipedCounts:
    """Gives each VM the whole bucket, less what others say that they admitted."""

    vms: tuple[str, ...]
    """VMs of the list."""
    reaches: Callable[[str, str, float], bool]
    """Tells whether a VM reaches another one at a time."""
    buckets: dict[tuple[str, str], LocalBucket] = attrs.field(factory=dict)
    """Buckets by VM and customer."""
    admitted: dict[tuple[str, str], int] = attrs.field(factory=dict)
    """Admissions since the last exchange."""
    gossiped_s: float = 0.0
    """Time of the last exchange."""

    def admit(self, vm: str, customer: str, limit: RateLimit, now_s: float) -> bool:
        """Tell whether a request is admitted."""
        if now_s >= self.gossiped_s + GOSSIP_S:
            self._exchange(now_s)
        start = LocalBucket(limit.burst, now_s)
        bucket = self.buckets.setdefault((vm, customer), start)
        if not bucket.take(limit.rate_per_s, limit.burst, now_s):
            return False
        self.admitted[vm, customer] = self.admitted.get((vm, customer), 0) + 1
        return True

    def _exchange(self, now_s: float) -> None:
        for (sender, customer), count in self.admitted.items():
            for vm in self.vms:
                bucket = self.buckets.get((vm, customer))
                if vm != sender and bucket and self.reaches(sender, vm, now_s):
                    bucket.level -= count
        self.admitted.clear()
        self.gossiped_s = now_s
