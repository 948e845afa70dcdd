"""Tells the time that this VM took for an answer from the time of its upstream.

The load that it answers: callers slower than their upstreams, and a VM whose memory is
full, on which upstreams are not read for a while. That must not make a healthy upstream
look slow or silent, nor hide one that hangs amid an answer.
"""

from __future__ import annotations

import attrs


@attrs.define
class ReadingPauses:
    """The pauses of reading from an upstream during one exchange; does no I/O."""

    _total_s: float = 0.0
    _since_s: float | None = None
    # The last read, or the end of the last pause.
    _quiet_since_s: float = 0.0

    @classmethod
    def begin(cls, now_s: float) -> ReadingPauses:
        """Return the state of an exchange that begins now."""
        return cls(quiet_since_s=now_s)

    @property
    def is_paused(self) -> bool:
        """Whether the upstream is not read now."""
        return self._since_s is not None

    def pause(self, now_s: float) -> None:
        """Begin a pause."""
        self._since_s = now_s

    def resume(self, now_s: float) -> None:
        """End a pause; what has waited in the socket can be read from now on."""
        self._total_s = self.total_s(now_s)
        self._since_s, self._quiet_since_s = None, now_s

    def record_read(self, now_s: float) -> None:
        """Record that bytes were read."""
        self._quiet_since_s = now_s

    def total_s(self, now_s: float) -> float:
        """Return for how long the upstream was not read in all (seconds)."""
        since_s = now_s if self._since_s is None else self._since_s
        return self._total_s + now_s - since_s

    def may_be_cause(self, now_s: float) -> bool:
        """Tell whether an answer might be complete now if there had been no pause.

        A pause delays what the upstream sends by its own length at most. So an upstream
        that has been silent for longer, while it was read, is late for itself.
        """
        silent_s = 0.0 if self.is_paused else now_s - self._quiet_since_s
        return self.total_s(now_s) > silent_s
