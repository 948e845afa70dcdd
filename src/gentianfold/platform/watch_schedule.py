"""Decides what to call next to follow one value of the service."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from gentianfold.errors import Failure

if TYPE_CHECKING:
    from gentianfold.platform.client import Value
    from gentianfold.platform.pacing import Backoff, CallPacer

WATCH_S = 20.0
"""Time that a watch waits for a change."""
READ_EVERY = 9
"""Watches without a change after which the value is read again.

The service may lose its versions and count from one again; a watch above the old
version would then never return.
"""


class CallKind(enum.Enum):
    """What to call."""

    READ = "read"
    """The value as it is."""
    WATCH = "watch"
    """The next version."""


@attrs.frozen
class Call:
    """The next call and its time."""

    kind: CallKind
    """What to call."""
    at_s: float
    """When to call."""
    after: int = 0
    """For a watch: the version that is held."""


@attrs.define(eq=False)
class WatchSchedule:
    """Follows one value: reads it, then keeps one watch waiting."""

    pacer: CallPacer
    """Shared by all calls of this VM."""
    backoff: Backoff
    """Waits after failures in a row."""
    answered_s: float = float("-inf")
    """When the service last answered."""
    ready_s: float = float("-inf")
    """When the wait after the last failure is over."""
    _version: int | None = attrs.field(default=None, init=False)
    _unchanged: int = attrs.field(default=0, init=False)

    def next_call(self, now_s: float) -> Call:
        """Return the next call, its time reserved; not to be asked before ready."""
        at_s = self.pacer.reserve(now_s)
        if self._version is None:
            return Call(CallKind.READ, at_s)
        return Call(CallKind.WATCH, at_s, self._version)

    def answered(self, answer: Value | Failure | None, now_s: float) -> None:
        """Take note of the answer to the last call."""
        if isinstance(answer, Failure):
            self.ready_s = now_s + self.backoff.failed()
            return
        self.backoff.succeeded()
        self.answered_s = now_s
        if answer is not None:
            self._version, self._unchanged = answer.version, 0
            return
        self._unchanged += 1
        if self._unchanged >= READ_EVERY:
            self._version, self._unchanged = None, 0
