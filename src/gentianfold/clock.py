"""Clocks that measure elapsed time, including time while the VM is suspended."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

MAX_CLOCK_RATE_ERROR = 0.001
"""Largest relative difference in rate of two VM clocks (seconds per second)."""


class Clock(Protocol):
    """A monotonic clock with an arbitrary origin."""

    def now_s(self) -> float:
        """Return the elapsed time in seconds."""
        ...


class BootClock:
    """Monotonic system clock that keeps counting while the VM is suspended."""

    def now_s(self) -> float:
        """Return the seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """Clock that is advanced by hand, for tests and reports."""

    time_s: float = 0.0
    """Current time in seconds."""

    def now_s(self) -> float:
        """Return the current time of the clock in seconds."""
        return self.time_s

    def advance(self, delta_s: float) -> None:
        """Move the clock forward by ``delta_s`` seconds."""
        self.time_s += delta_s
