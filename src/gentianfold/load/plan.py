"""What a load run sends, and when."""

from __future__ import annotations

import random
from ipaddress import ip_address
from itertools import accumulate, repeat, takewhile
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_REQUESTS = 1_000_000
"""Most requests of one run."""


@attrs.frozen
class LoadPlan:
    """An open-loop run: arrivals don't wait for answers."""

    targets: tuple[tuple[str, int], ...]
    """Addresses of the VMs, each an IP number and a TCP port."""
    rate_per_s: float
    """Mean arrivals each second over all targets."""
    duration_s: float
    """Length of the run."""
    method: str = "GET"
    """Method of each request."""
    path: str = "/"
    """Path of each request."""
    headers: tuple[tuple[bytes, bytes], ...] = ()
    """Headers of each request."""
    body: bytes = b""
    """Body of each request."""
    timeout_s: float = 10.0
    """Time for one answer."""
    seed: int = 1
    """Seed of the arrival times and of the choice of targets."""

    def find_fault(self) -> str:
        """Return why the plan must not run; empty if it may."""
        outside = [host for host, _ in self.targets if not _is_loopback(host)]
        if outside:
            return f"{outside[0]} is not a loopback address"
        if not self.targets:
            return "no target is given"
        if not 0 < self.rate_per_s * self.duration_s <= MAX_REQUESTS:
            return f"the run must send between 1 and {MAX_REQUESTS} requests"
        return ""

    def arrivals(self) -> Iterator[tuple[float, tuple[str, int]]]:
        """Yield the Poisson arrival times and the target of each request."""
        rng = random.Random(self.seed)
        gaps = (rng.expovariate(rate) for rate in repeat(self.rate_per_s))
        times_s = takewhile(lambda time_s: time_s < self.duration_s, accumulate(gaps))
        return ((time_s, rng.choice(self.targets)) for time_s in times_s)


def _is_loopback(host: str) -> bool:
    try:
        return ip_address(host).is_loopback
    except ValueError:
        return False
