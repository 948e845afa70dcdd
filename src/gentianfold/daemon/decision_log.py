"""The decision log: a bounded table of decisions, written to the log in batches."""

from __future__ import annotations

import time
from collections import deque
from functools import lru_cache
from itertools import islice
from typing import TYPE_CHECKING

import attrs
from loguru import logger

if TYPE_CHECKING:
    from gentianfold.daemon.decision import Decision

MAX_DECISIONS = 20_000
"""Decisions kept for operators (rows)."""


@attrs.define
class DecisionLog:
    """Keeps recent decisions and writes each one to the log once.

    Requests only append a row. The lines are formatted and written by ``flush``,
    which the daemon calls each tick, so that no request waits for the log.
    """

    write_lines: bool = True
    """Whether decisions are written to the log, besides being kept."""
    next_seq: int = 1
    """Sequence number of the next decision."""
    lost: int = 0
    """Decisions that left the table before they were written."""
    _rows: deque[Decision] = attrs.field(factory=lambda: deque(maxlen=MAX_DECISIONS))
    _written_seq: int = 0

    def add(self, decision: Decision) -> None:
        """Append a decision."""
        self._rows.append(decision)
        self.next_seq += 1

    def after(self, seq: int, limit: int = 1000) -> list[tuple[int, str]]:
        """Return up to ``limit`` decisions later than ``seq`` as numbered lines."""
        first_seq = self.next_seq - len(self._rows)
        start = max(0, seq + 1 - first_seq)
        rows = islice(self._rows, start, start + limit)
        return [
            (number, row.line()) for number, row in enumerate(rows, first_seq + start)
        ]

    def flush(self) -> None:
        """Write the decisions that were added since the last flush."""
        last_seq = self.next_seq - 1
        pending = last_seq - self._written_seq
        if not pending:
            return
        self._written_seq = last_seq
        self.lost += max(0, pending - len(self._rows))
        if not self.write_lines:
            return
        start = max(0, len(self._rows) - pending)
        # One call for all lines: the logger costs far more than the formatting.
        lines = (
            f"{_time_text(row.at_unix_s)} INFO    {row.line()}\n"
            for row in islice(self._rows, start, None)
        )
        logger.opt(raw=True).info("".join(lines))


def _time_text(at_unix_s: float) -> str:
    """Return a time as the log writes it, in UTC."""
    second = int(at_unix_s)
    return f"{_second_text(second)}.{int((at_unix_s - second) * 1000):03}+0000"


@lru_cache(maxsize=4)
def _second_text(unix_s: int) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(unix_s))
