"""Numbers that tell the processes of one VM apart in messages.

A VM that restarts keeps its address, and messages of its earlier process may still wait
somewhere, such as in the socket of a VM that is suspended. So messages that ask for
something, or answer, state the process that asked. Builds that don't know of these
numbers leave them out, and echo identifiers alone: those of a process begin at a point
drawn at random.
"""

from __future__ import annotations

import itertools
import random

NOT_STATED = 0
"""Stands for the number of a process in messages of builds that state none."""
PROCESS_NUMBERS = 65_521
"""Numbers in use (count); a prime, so that starts at even intervals differ. They take
three bytes in a message."""
FIRST_IDENTIFIERS = 1 << 31
"""Range of the first identifier of a process (count): far more than a process has in
use at a time, and short enough for five bytes in a message."""


def process_number(incarnation: int) -> int:
    """Return the number of a process; never 0.

    Args:
        incarnation: Unix time of its start (milliseconds).
    """
    return incarnation % PROCESS_NUMBERS + 1


def is_other_process(stated: int, process: int) -> bool:
    """Tell whether a message states another process than the given one.

    Args:
        stated: Number in the message.
        process: Number of the process.
    """
    return NOT_STATED not in (stated, process) and stated != process


def first_identifier() -> int:
    """Return the first identifier of a process, drawn at random."""
    return random.randrange(1, FIRST_IDENTIFIERS)


def new_identifiers() -> itertools.count[int]:
    """Return the identifiers of a process, which differ from those of earlier ones."""
    return itertools.count(first_identifier())
