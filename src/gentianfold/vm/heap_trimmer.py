"""Gives memory back to the operating system after a peak.

The load that it answers: two dozen answers of 540 KB at once on a VM of 200 MB. Their pieces
lie between others in the heap, and the allocator keeps the pages for as long as it runs.
"""

from __future__ import annotations

import ctypes
from collections.abc import Callable

import attrs

MIN_DROP_BYTES = 1 << 20
"""Bytes by which what is held must have fallen (bytes): less is soon used again."""
MIN_INTERVAL_S = 1.0
"""Shortest time between two trims (seconds): each costs system calls."""


def trim_heap() -> None:
    """Ask the C library to give back free pages; nothing if it can't."""
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)


@attrs.define
class HeapTrimmer:
    """Tells when the heap is trimmed: after the claimed bytes have fallen by half."""

    trim: Callable[[], None] = trim_heap
    """Gives back memory."""
    trim_count: int = 0
    """Trims since the start."""
    _peak_bytes: int = 0
    _next_s: float = 0.0

    def advance(self, used_bytes: int, now_s: float) -> None:
        """Trim if a peak has passed.

        Args:
            used_bytes: Bytes that are claimed.
            now_s: Current time (seconds).
        """
        self._peak_bytes = max(self._peak_bytes, used_bytes)
        drop_bytes = self._peak_bytes - used_bytes
        has_passed = drop_bytes >= max(MIN_DROP_BYTES, self._peak_bytes // 2)
        if has_passed and now_s >= self._next_s:
            self._next_s = now_s + MIN_INTERVAL_S
            self._peak_bytes = used_bytes
            self.trim_count += 1
            self.trim()
