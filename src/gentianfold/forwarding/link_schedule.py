"""Shares the VM's network link between long answers: decisions without I/O.

The load that it answers: answers of 540 KB beside short ones on links of 5 to 100 Mbit/s. A
long answer that is written at once fills the queue of the link, and every short answer that
comes then waits behind it, for 0.9 s at 5 Mbit/s. Short answers are written at once; long
ones take turns, a piece at a time, and only as fast as the link sends them.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

import attrs

LINK_FRACTION = 0.9
"""Part of the link that long answers may fill (0 to 1); the rest is for requests to
upstreams and datagrams, which are not counted."""
BACKLOG_S = 0.01
"""Time for which the link may have bytes to send when a long answer takes its turn
(seconds): timers that are late by a few milliseconds leave no gap."""
MIN_PIECE_BYTES = 16 << 10
"""Shortest piece of a long answer (bytes): 26 ms at 5 Mbit/s."""
MAX_PIECE_BYTES = 64 << 10
"""Longest piece (bytes): what the transport of one caller holds."""
MAX_GAP_S = 0.1
"""Longest time between two pieces while long answers wait (seconds): bytes that count as
on the link may wait for callers that don't take them, and short answers alone may fill
the link."""
USAGE_S = 1.0
"""Time over which the use of the link is averaged (seconds)."""
BYTES_PER_MEGABIT = 125_000
"""Bytes of a megabit."""


class LinkUser(Protocol):
    """Sends a long answer."""

    def continue_answer(self) -> None:
        """Go on, as the turn has come."""
        ...


@attrs.define(eq=False, repr=False)
class LinkSchedule:
    """Tells when the next piece of a long answer may be written, and whose it is."""

    link_mbps: float
    """Bandwidth of the link (megabits per second)."""
    _free_s: float = -math.inf
    _waiting: deque[LinkUser] = attrs.field(factory=deque)
    _turn: LinkUser | None = None
    _gap_since_s: float = -math.inf
    _used_bytes_per_s: float = 0.0
    _used_at_s: float = 0.0

    @property
    def piece_bytes(self) -> int:
        """Longest piece of a long answer (bytes): what the link sends in some 10 ms."""
        piece_bytes = int(self._rate_bytes_per_s * BACKLOG_S)
        return min(max(piece_bytes, MIN_PIECE_BYTES), MAX_PIECE_BYTES)

    @property
    def is_waited_for(self) -> bool:
        """Whether a long answer waits for its turn."""
        return bool(self._waiting)

    def record(self, size_bytes: int, now_s: float) -> None:
        """Record bytes that were written, whatever they are of."""
        seconds = size_bytes / self._rate_bytes_per_s
        self._free_s = max(self._free_s, now_s) + seconds
        self._used_bytes_per_s = self._usage(now_s) + size_bytes / USAGE_S
        self._used_at_s = now_s

    def delay_s(self, now_s: float) -> float:
        """Return after which time the next piece may be written (seconds)."""
        delay_s = self._free_s - now_s - BACKLOG_S
        if self._waiting:
            delay_s = min(delay_s, self._gap_since_s + MAX_GAP_S - now_s)
        return max(delay_s, 0.0)

    def is_waiting(self, user: LinkUser) -> bool:
        """Tell whether a user waits for its turn."""
        return user in self._waiting

    def take_turn(self, user: LinkUser, now_s: float) -> bool:
        """Return whether a user may write a piece now; if not, it waits for its turn."""
        is_turn = self._turn is user
        self._turn = None if is_turn else self._turn
        if is_turn or (not self._waiting and self.delay_s(now_s) <= 0):
            self._gap_since_s = now_s
            return True
        if not self._waiting:
            self._gap_since_s = now_s
        if user not in self._waiting:
            self._waiting.append(user)
        return False

    def next_user(self, now_s: float) -> LinkUser | None:
        """Give the turn to the one that has waited longest; ``None`` if it is too early."""
        self._turn = None
        if self._waiting and self.delay_s(now_s) <= 0:
            self._turn = self._waiting.popleft()
        return self._turn

    def used_mbps(self, now_s: float) -> float:
        """Return the use of the link by answers of late (megabits per second)."""
        return self._usage(now_s) / BYTES_PER_MEGABIT

    @property
    def _rate_bytes_per_s(self) -> float:
        return self.link_mbps * BYTES_PER_MEGABIT * LINK_FRACTION

    def _usage(self, now_s: float) -> float:
        return self._used_bytes_per_s * math.exp((self._used_at_s - now_s) / USAGE_S)
