"""Holds signals that arrive before the VM handles them, and after it has ended.

The default action of SIGHUP and SIGTERM ends the process, and loading the modules of the
VM takes a third of a second. This module loads nothing else for that reason.
"""

from __future__ import annotations

import signal
from types import FrameType

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that a VM handles."""
_held: list[signal.Signals] = []


def hold_signals() -> None:
    """Hold the signals that arrive from now on."""
    for number in SIGNALS:
        signal.signal(number, _hold)


def take_held_signals() -> list[signal.Signals]:
    """Return the signals that were held, in order of arrival, and forget them."""
    held = _held.copy()
    _held.clear()
    return held


def ignore_signals() -> None:
    """Ignore the signals until the process has ended."""
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def _hold(number: int, frame: FrameType | None) -> None:
    _held.append(signal.Signals(number))
