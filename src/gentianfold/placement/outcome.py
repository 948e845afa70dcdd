"""What became of a request at an upstream."""

from __future__ import annotations

import enum


class Outcome(enum.IntEnum):
    """How an attempt ended, as its VM saw it; the numbers are sent between VMs."""

    SUCCEEDED = 0
    """A whole answer that is no server error."""
    FAILED = 1
    """A server error, or an answer that was cut, reset or not valid."""
    SHED = 2
    """The upstream said that it did not run the request."""
    CONNECT_FAILED = 3
    """No connection could be made; nothing was sent."""
    TIMED_OUT = 4
    """No answer within the time for the request."""
    CANCELLED = 5
    """The VM ended the attempt for a reason that says nothing of the upstream."""
    MISDIRECTED = 6
    """Another upstream has the address."""

    @property
    def is_failure(self) -> bool:
        """Whether it counts against the upstream."""
        return self in _FAILURES


_FAILURES = frozenset({Outcome.FAILED, Outcome.TIMED_OUT})
