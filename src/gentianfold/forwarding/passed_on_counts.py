"""Counts the answers that were passed on while they were received."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from gentianfold.forwarding.answer_stream import AnswerStream


@attrs.define
class PassedOnCounts:
    """Totals since the start of the process."""

    answers: int = 0
    """Answers of which bytes were passed on before the last one had come (count)."""
    received_bytes: int = 0
    """Bytes of these answers."""
    paused_s: float = 0.0
    """Time for which slow callers held back upstreams (seconds)."""

    def record(self, stream: AnswerStream) -> None:
        """Add an answer that has ended."""
        self.answers += 1
        self.received_bytes += stream.received_bytes
        self.paused_s += stream.paused_s()
