"""Memory and connections as budgets of the process: decisions without I/O.

The load that it answers: clients that nobody controls send bodies of legal size, many at
once, and stop just short of their end; heads of very many short fields; requests without
reading the answers; more connections than the process has descriptors. What one client
may do is bounded by the published limits; what all may do together is bounded here.

Bytes are claimed before they are kept. Each use has a ceiling: bodies are refused first,
then answers wait, and what remains serves small requests. A claim that finds no room ends
holders that have stalled, the oldest first.
"""

from __future__ import annotations

import enum
import sys
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

import attrs

GROWTH_BYTES = 10_000_000
"""Memory that the process takes after its start for tables, the configuration and the
log (bytes)."""
USABLE_FRACTION = 0.8
"""Part of the remaining memory that may be claimed (0 to 1): the rest is for fragments
and for bytes that have arrived and are not yet claimed."""
MIN_CAPACITY_BYTES = 4_000_000
"""Smallest budget (bytes): enough for a hundred small requests."""
RESERVED_FILES = 200
"""Descriptors that the platform reserves for files (count)."""
MIN_CONNECTIONS = 16
"""Smallest limit on connections (count)."""

CONNECTION_BYTES = 8 << 10
"""Cost of an open connection: transport, parser, queues (bytes)."""
REQUEST_BYTES = 24 << 10
"""Cost of a request from its first byte to its answer: task, record and a head of up to
``HEAD_BYTES`` (bytes)."""
HEAD_BYTES = 8 << 10
"""Part of ``REQUEST_BYTES`` that a head may use (bytes)."""
FIELD_BYTES = 176
"""Cost of a header field beside its text: a tuple and two objects (bytes)."""
UNREAD_BYTES = 64 << 10
"""Cost of a connection that is not read from: bytes wait in its socket (bytes)."""
ANSWER_BYTES = 64 << 10
"""Room that each request has for its answer while it waits (bytes): what one read brings
at most."""
TUNNEL_BYTES = 128 << 10
"""Cost of a tunnel: bytes that wait in both directions (bytes)."""
CLAIM_STEP_BYTES = 64 << 10
"""Step by which the claim of a body without a stated length grows (bytes)."""

STALL_S = 1.0
"""Time without a byte after which a client has stalled (seconds): a lost packet is sent
again within that time."""
SLOW_AFTER_S = 2.0
"""Time from which the mean rate of a client counts (seconds)."""
STALL_BYTES_PER_S = 32 << 10
"""Mean rate below which a client has stalled (bytes per second): a twentieth of the
narrowest link."""
END_AFTER_S = 30.0
"""Time from which a client is ended for its mean rate also while there is room (seconds):
longer than any deadline."""
END_BYTES_PER_S = 8 << 10
"""That rate (bytes per second)."""
ROOM_RETRY_S = 0.02
"""Time between two checks whether there is memory to read on (seconds)."""
ROOM_WAIT_S = 1.0
"""Time for which a body without a stated length waits for memory (seconds)."""
SCAN_INTERVAL_S = 0.05
"""Time between two searches for stalled holders (seconds)."""


class Use(enum.Enum):
    """What bytes are held for; the value is the ceiling as a part of the budget."""

    BODY = 0.8
    """Bodies of requests."""
    ANSWER = 0.9
    """Answers of upstreams, and bytes that pass through tunnels."""
    REQUEST = 1.0
    """Heads of requests, requests under way and connections."""


class Holder(Protocol):
    """A connection that holds bytes and can be ended for the room of others."""

    def idle_since_s(self) -> float | None:
        """Return since when it is idle (loop time); ``None`` if it isn't."""
        ...

    def stalled_since_s(self, now_s: float) -> float | None:
        """Return when what has stalled began (loop time); ``None`` if nothing has."""
        ...

    def end_for_room(self, at_once: bool) -> None:
        """End what has stalled and release its bytes.

        Args:
            at_once: Whether to close the connection now; if not, its client may still
                get an answer.
        """
        ...


@attrs.define
class Progress:
    """How fast a client sends or reads a message."""

    started_s: float
    """When the message began (loop time)."""
    last_s: float
    """When its last bytes were sent or read (loop time)."""
    byte_count: int = 0
    """Bytes so far."""

    @classmethod
    def begin(cls, now_s: float) -> Progress:
        """Return the state of a message that begins now."""
        return cls(now_s, now_s)

    def record(self, byte_count: int, now_s: float) -> None:
        """Add bytes."""
        self.byte_count += byte_count
        self.last_s = now_s

    def has_stalled(self, now_s: float) -> bool:
        """Return whether the client is ended if room is needed."""
        age_s = now_s - self.started_s
        return now_s - self.last_s >= STALL_S or (
            age_s >= SLOW_AFTER_S and self.byte_count < STALL_BYTES_PER_S * age_s
        )

    def is_too_slow(self, now_s: float) -> bool:
        """Return whether the client is ended also while there is room."""
        age_s = now_s - self.started_s
        return age_s >= END_AFTER_S and self.byte_count < END_BYTES_PER_S * age_s


def memory_capacity_bytes(memory_mb: float, start_bytes: int) -> int:
    """Return the bytes that may be claimed.

    Args:
        memory_mb: Memory limit of the process (megabytes).
        start_bytes: Memory that the process has at its start (bytes).
    """
    rest = memory_mb * 1e6 - start_bytes - GROWTH_BYTES
    return max(int(rest * USABLE_FRACTION), MIN_CAPACITY_BYTES)


def socket_capacity(max_files: int, file_limit: int) -> int:
    """Return the number of sockets that the process may open.

    Args:
        max_files: Descriptors that the settings allow.
        file_limit: Descriptors that the operating system allows.
    """
    return max(min(max_files, file_limit) - RESERVED_FILES, 4 * MIN_CONNECTIONS)


@attrs.define(eq=False, repr=False)
class MemoryBudget:
    """Bytes that the process holds for its clients."""

    capacity_bytes: int
    """Bytes that may be claimed."""
    used_bytes: int = 0
    """Bytes that are claimed."""
    peak_bytes: int = 0
    """Most bytes that were claimed at a time."""
    refused_counts: Counter[str] = attrs.field(factory=Counter)
    """Claims that found no room, by use."""
    ended_count: int = 0
    """Holders ended for the room of others."""
    _holders: dict[Holder, None] = attrs.field(factory=dict)
    _next_scan_s: float = float("-inf")

    @classmethod
    def unlimited(cls) -> MemoryBudget:
        """Return a budget that refuses nothing."""
        return cls(sys.maxsize)

    def add_holder(self, holder: Holder) -> None:
        """Add a holder that may be ended when it has stalled."""
        self._holders[holder] = None

    def remove_holder(self, holder: Holder) -> None:
        """Forget a holder."""
        self._holders.pop(holder, None)

    def has_room(self, size_bytes: int, use: Use) -> bool:
        """Return whether bytes could be claimed without ending a holder."""
        return self.used_bytes + size_bytes <= use.value * self.capacity_bytes

    def try_claim(self, size_bytes: int, use: Use, now_s: float) -> bool:
        """Claim bytes; end holders that have stalled if there is no room.

        Returns:
            Whether the bytes are claimed.
        """
        if not self.has_room(size_bytes, use):
            self._make_room(size_bytes, use, now_s)
        if not self.has_room(size_bytes, use):
            self.refused_counts[use.name.lower()] += 1
            return False
        self.add(size_bytes)
        return True

    def add(self, size_bytes: int) -> None:
        """Count bytes that are held already, whether or not there is room."""
        self.used_bytes += size_bytes
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)

    def release(self, size_bytes: int) -> None:
        """Give back claimed bytes."""
        self.used_bytes -= size_bytes

    def _make_room(self, size_bytes: int, use: Use, now_s: float) -> None:
        if now_s < self._next_scan_s:
            return
        self._next_scan_s = now_s + SCAN_INTERVAL_S
        for holder in oldest_stalled(self._holders, now_s):
            if self.has_room(size_bytes, use):
                break
            holder.end_for_room(at_once=False)
            self.ended_count += 1


@attrs.define(eq=False, repr=False)
class Claim:
    """Bytes claimed for one object; they are given back when it is dropped."""

    budget: MemoryBudget
    """Budget of the process."""
    use: Use
    """What the bytes are held for."""
    size_bytes: int = 0
    """Claimed bytes."""

    def grow_to(self, size_bytes: int, now_s: float) -> bool:
        """Claim up to a size; return whether there was room."""
        missing = size_bytes - self.size_bytes
        if missing <= 0:
            return True
        if not self.budget.try_claim(missing, self.use, now_s):
            return False
        self.size_bytes = size_bytes
        return True

    def has_room(self, size_bytes: int, now_s: float) -> bool:
        """Return whether further bytes could be claimed, after making room."""
        if not self.budget.try_claim(size_bytes, self.use, now_s):
            return False
        self.budget.release(size_bytes)
        return True

    def force_to(self, size_bytes: int) -> None:
        """Claim exactly a size, whether or not there is room."""
        self.budget.add(size_bytes - self.size_bytes)
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Give back all bytes."""
        self.budget.release(self.size_bytes)
        self.size_bytes = 0

    def __del__(self) -> None:
        self.release()


def claim_answer(budget: MemoryBudget, now_s: float) -> Claim | None:
    """Return the claim of an answer that may come in one read; ``None`` without room.

    Such an answer can't be held back any more, so its request is not sent without room.
    """
    claim = Claim(budget, Use.ANSWER)
    return claim if claim.grow_to(ANSWER_BYTES, now_s) else None


@attrs.define(eq=False, repr=False)
class ConnectionLimit:
    """Connections that a listener has open at a time.

    A new connection ends an idle one if there are too many, or one that has stalled, and
    is refused if there is none.
    """

    capacity: int
    """Most open connections (count)."""
    refused_count: int = 0
    """Connections that were refused."""
    ended_count: int = 0
    """Connections that were ended for new ones."""
    _holders: dict[Holder, None] = attrs.field(factory=dict)
    _next_scan_s: float = float("-inf")

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    def try_open(self, holder: Holder, now_s: float) -> bool:
        """Add a connection; return whether it may stay open."""
        if len(self._holders) >= self.capacity and now_s >= self._next_scan_s:
            self._next_scan_s = now_s + SCAN_INTERVAL_S
            spare = oldest_idle(self._holders) + oldest_stalled(self._holders, now_s)
            for other in spare[: self.end_at_a_time]:
                self._holders.pop(other, None)
                other.end_for_room(at_once=True)
                self.ended_count += 1
        if len(self._holders) >= self.capacity:
            self.refused_count += 1
            return False
        self._holders[holder] = None
        return True

    def close(self, holder: Holder) -> None:
        """Remove a connection; no effect if it is not counted."""
        self._holders.pop(holder, None)

    @property
    def end_at_a_time(self) -> int:
        """Connections that are ended in one search: those that come until the next."""
        return max(self.capacity // 16, 1)


def oldest_idle(holders: dict[Holder, None]) -> list[Holder]:
    """Return the holders that are idle, those that are it for longest first."""
    return _sort_by_age((holder.idle_since_s(), holder) for holder in holders)


def oldest_stalled(holders: dict[Holder, None], now_s: float) -> list[Holder]:
    """Return the holders that have stalled, the oldest first."""
    return _sort_by_age((holder.stalled_since_s(now_s), holder) for holder in holders)


def _sort_by_age(entries: Iterable[tuple[float | None, Holder]]) -> list[Holder]:
    aged = [(since_s, holder) for since_s, holder in entries if since_s is not None]
    return [holder for _, holder in sorted(aged, key=lambda entry: entry[0])]
