"""Writes log lines to standard output without ever waiting for its reader."""

from __future__ import annotations

import os
from collections import deque

import attrs

MAX_BUFFER_BYTES = 512 << 10
"""Lines kept while the reader is slow (bytes): seconds of the log under load."""
ROUTINE_FRACTION = 0.5
"""Part of the buffer that routine lines may fill; the rest is for failures."""


@attrs.define(eq=False)
class LogWriter:
    """A bounded buffer before a file descriptor that does not block."""

    descriptor: int = 1
    """Where lines go."""
    left_out: int = 0
    """Lines that found no room since the last one that says so."""
    buffered_bytes: int = 0
    """Bytes that are kept."""
    _lines: deque[bytes] = attrs.field(factory=deque)

    def open(self) -> None:
        """Make writes return at once when the reader is slow."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str, is_routine: bool) -> None:
        """Write a line, or keep it until there is room.

        Args:
            text: The line with its end.
            is_routine: Whether it gives way to failures and refusals.
        """
        line = text.encode(errors="replace")
        limit = MAX_BUFFER_BYTES * (ROUTINE_FRACTION if is_routine else 1.0)
        if self.buffered_bytes + len(line) > limit:
            self.left_out += 1
            return
        self._lines.append(line)
        self.buffered_bytes += len(line)

    def flush(self) -> None:
        """Write what the reader takes."""
        if self.left_out and self.buffered_bytes < MAX_BUFFER_BYTES // 4:
            note = f"log: {self.left_out} lines were left out\n".encode()
            self.left_out = 0
            self._lines.append(note)
            self.buffered_bytes += len(note)
        while self._lines:
            chunk = b"".join(self._lines)
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nobody to tell.
                self._lines.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes = len(chunk) - written
            self._lines.clear()
            if written < len(chunk):
                self._lines.append(chunk[written:])
                return
