"""Clocks that measure elapsed time, including time spent suspended."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

MAX_CLOCK_RATE_ERROR = 0.001
"""Largest relative rate difference between two VM clocks (seconds per second)."""


class Clock(Protocol):
    """Tells elapsed seconds since an arbitrary start; never goes back."""

    def now_s(self) -> float:
        """Return the elapsed time in seconds."""
        ...


class BootClock:
    """Reads the boot clock, which goes on while the VM is suspended."""

    def now_s(self) -> float:
        """Return the seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.define
class ManualClock:
    """Returns a time that its owner sets; drives tests and reports."""

    time_s: float = 0.0
    """Current time in seconds."""

    def now_s(self) -> float:
        """Return the time last set."""
        return self.time_s

    def advance(self, delta_s: float) -> None:
        """Move the clock forward by ``delta_s`` seconds."""
        self.time_s += delta_s
