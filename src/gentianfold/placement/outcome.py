"""Outcomes of attempts at an upstream."""

from __future__ import annotations

import enum


class Outcome(enum.IntEnum):
    """How an attempt ended on its VM; the numbers are sent between VMs."""

    SUCCEEDED = 0
    """A complete response other than a server error."""
    FAILED = 1
    """A server error, or a response that was truncated, reset or invalid."""
    SHED = 2
    """The upstream responded that it did not run the request."""
    CONNECT_FAILED = 3
    """The connection failed; nothing was sent."""
    TIMED_OUT = 4
    """No response before the deadline of the request."""
    CANCELLED = 5
    """The VM ended the attempt for a reason unrelated to the upstream."""
    MISDIRECTED = 6
    """A different upstream responded at the address."""

    @property
    def is_failure(self) -> bool:
        """Whether the outcome counts as a failure of the upstream."""
        return self in _FAILURES


_FAILURES = frozenset({Outcome.FAILED, Outcome.TIMED_OUT})
